package sidecar

import (
	"net/netip"
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/readers"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/store"
)

// handlePing answers a balancer's ping. The pong contains the highest configuration version that any balancer has reported,
// and the store readers of the balancer's group. In this way a balancer that does not watch the store, or is cut off from it,
// learns that it is behind. A change that a reader reports is sent to the other members of its group at once.
func (s *Sidecar) handlePing(h *hop.Header, body []byte, to netip.AddrPort) {
	status, err := hop.DecodeBalancerStatus(body)
	if err != nil {
		s.counters.malformed.Inc(1)
		return
	}
	now := time.Now()
	if status.Configuration.Version >= s.newestConfiguration.Version {
		s.newestConfiguration = status.Configuration
	}
	s.handleBalancerEra(now, store.Version(status.Revision).Era())
	s.handleEvacuation(now, status)
	s.handleColdRate(now, status)
	update := s.hub.HandleStatus(now, h.Origin, status)
	groupStatus := hop.GroupStatus{Configuration: s.newestConfiguration, Uptime: now.Sub(s.startedAt)}
	if status.Group != 0 {
		groupStatus.Readers = s.hub.Readers(now, status.Group)
	}
	var buffer [hop.MaxGroupStatusFrame]byte
	pong := hop.Header{Kind: hop.Pong, Sequence: h.Sequence}
	s.send(pong.Append(groupStatus.Append(buffer[:0])), to)
	if update == readers.NoUpdate {
		return
	}
	notice := hop.Header{Kind: hop.GroupStatusNotice}
	frame := notice.Append(groupStatus.Append(buffer[:0]))
	for _, member := range s.hub.Recipients(now, update, status) {
		s.send(frame, s.balancerAddress(member))
	}
}

// handleEvacuation records whether the availability zone of the target is evacuated, as a balancer reports it. When the agent starts to
// decline new flows, it forwards those that wait to their next candidates.
func (s *Sidecar) handleEvacuation(now time.Time, status hop.BalancerStatus) {
	s.mu.Lock()
	hasChanged := s.gate.SetEvacuation(status.Evacuation, status.IsEvacuated)
	if hasChanged && !status.IsEvacuated {
		s.gate.StartRamp(now)
	}
	flows, acceptedAt := s.gate.FlowCount(), s.gate.LastAcceptedAt()
	s.mu.Unlock()
	if !hasChanged {
		return
	}
	s.deps.Log.Emit(events.TargetEvacuation, events.F("evacuated", status.IsEvacuated), events.F("flows", flows),
		events.F("revision", store.Version(status.Evacuation).Revision()), events.Age("accepted_ms", now, acceptedAt))
	if status.IsEvacuated {
		s.redirectPending(resident.Evacuated)
	}
}

// handleColdRate records the number of requests per second that a cold target can handle, as a balancer reports it.
func (s *Sidecar) handleColdRate(now time.Time, status hop.BalancerStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.SetColdRate(now, status.Configuration.Version, status.ColdRate)
}
