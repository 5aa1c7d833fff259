package sidecar

import (
	"context"
	"net/netip"
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/opaque/socket"
)

// receiveFrames handles the frames of balancers and agents until ctx ends.
func (s *Sidecar) receiveFrames(ctx context.Context) error {
	var header hop.Header
	return socket.Receive(ctx, s.data, func(datagram []byte, from netip.AddrPort) {
		body, err := header.Decode(datagram)
		if err != nil {
			s.counters.malformed.Inc(1)
			return
		}
		switch header.Kind {
		case hop.Forward:
			s.handleForwardedPacket(&header, body)
		case hop.Ping:
			s.handlePing(&header, body, from)
		case hop.EntryUnreadable:
			s.handleUnreadableEntry()
		default:
			s.counters.malformed.Inc(1)
		}
	})
}

// handleForwardedPacket handles a caller's datagram that a balancer or another agent has forwarded.
func (s *Sidecar) handleForwardedPacket(h *hop.Header, datagram []byte) {
	p, err := s.deps.Codec.Decode(datagram)
	if err != nil {
		s.counters.malformed.Inc(1)
		return
	}
	now := time.Now()
	s.mu.Lock()
	d, displaced, isDisplaced := s.gate.HandleCallerPacket(now, &p, h, func() []byte { return hop.CopyDatagram(datagram) })
	if d.Verdict == resident.Wait {
		s.logWait(&p, h)
	}
	s.mu.Unlock()
	if isDisplaced {
		s.applyDecision(&displaced.Packet, displaced.Decision, displaced.Item)
	}
	if d.NotifyOrigin {
		s.notifyOrigin(h.Origin, p.IDFromCaller(), d.Opening)
	}
	s.applyDecision(&p, d, datagram)
	if d.Verdict == resident.Wait {
		s.admitPending(now)
	}
}

// notifyOrigin notifies a balancer that a flow is at this agent.
func (s *Sidecar) notifyOrigin(origin hop.IP, id flow.ID, opening flow.Opening) {
	var buffer [hop.MaxTrailer]byte
	h := hop.Header{Kind: hop.FlowLocation, Service: uint64(desired.ServiceKeyOf(s.settings.Service))}
	s.send(h.Append(flow.AppendLocation(buffer[:0], id, opening)), s.balancerAddress(origin))
}

func (s *Sidecar) balancerAddress(ip hop.IP) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(ip), s.settings.PeerPort)
}

// receiveFromTarget handles the packets of the target until ctx ends.
func (s *Sidecar) receiveFromTarget(ctx context.Context) error {
	return socket.Receive(ctx, s.outbound, func(datagram []byte, _ netip.AddrPort) {
		p, err := s.deps.Codec.Decode(datagram)
		if err != nil {
			s.counters.malformed.Inc(1)
			return
		}
		s.mu.Lock()
		now := time.Now()
		d := s.gate.HandleTargetPacket(now, &p)
		var outcome resident.Outcome
		if d.Reason == resident.Forgotten {
			outcome = s.gate.TakeEndedFlows()
		}
		s.mu.Unlock()
		s.resetEndedFlows("", outcome)
		s.applyDecision(&p, d, datagram)
		s.admitPending(now)
	})
}

// applyDecision sends a datagram as decided, and counts the decision. A packet that is dropped or queued is only counted.
func (s *Sidecar) applyDecision(p *flow.Packet, d resident.Decision, datagram []byte) {
	s.counters.verdict(d.Verdict).Inc(1)
	switch d.Reason {
	case resident.Evacuated:
		s.counters.evacuatedDeclined.Inc(1)
	case resident.Cold:
		s.counters.coldSkipped.Inc(1)
	}
	switch d.Verdict {
	case resident.Deliver:
		s.deps.Codec.SetMark(datagram, d.Mark)
		s.send(datagram, s.settings.Target)
	case resident.SendToCaller:
		to := netip.AddrPortFrom(netip.AddrFrom4(p.Destination.IP), s.settings.Data.Port())
		s.send(datagram, to)
	case resident.ForwardNext:
		s.logDeclined(p, d)
		s.deps.Codec.ClearMarks(datagram)
		s.send(d.Header.Append(datagram), netip.AddrPortFrom(netip.AddrFrom4(d.Next), s.settings.Data.Port()))
	case resident.ReturnToBalancer:
		s.logDeclined(p, d)
		s.deps.Codec.ClearMarks(datagram)
		s.send(d.Header.Append(datagram), s.balancerAddress(d.Header.Origin))
	}
}

func (s *Sidecar) send(datagram []byte, to netip.AddrPort) {
	if _, err := s.data.WriteToUDPAddrPort(datagram, to); err != nil {
		s.counters.sendFailed.Inc(1)
	}
}

// logDeclined logs an opening packet that is forwarded or returned to the balancer, and the loss of a flow that the target has
// served.
func (s *Sidecar) logDeclined(p *flow.Packet, d resident.Decision) {
	if d.Reason == resident.Forgotten {
		s.logForgotten(p, d.PreviousInstance)
	}
	if !p.Opens {
		return
	}
	next := ""
	if d.Verdict == resident.ForwardNext {
		next = netip.AddrFrom4(d.Next).String()
	}
	s.deps.Log.Emit(events.OpaqueFlowForwarded, events.F("flow", p.IDFromCaller().String()), events.F("next", next),
		events.F("reason", d.Reason.String()), events.F("hops", d.Header.Hops),
		events.Age("heartbeat_ms", time.Now(), s.readLastHeartbeatAt()))
}

// logForgotten logs that the target no longer holds a flow that it, or the instance before it, has served.
func (s *Sidecar) logForgotten(p *flow.Packet, previousInstance string) {
	s.deps.Log.Emit(events.OpaqueFlowEnded, events.F("flow", p.IDFromCaller().String()), events.F("former", previousInstance),
		events.F("told", false), events.F("reason", resident.BouncedPacket.String()))
}

// logWait logs that an opening packet waits. The caller holds mu.
func (s *Sidecar) logWait(p *flow.Packet, h *hop.Header) {
	busy, slots := s.gate.Load()
	s.deps.Log.Emit(events.OpaqueFlowWaits, events.F("flow", p.IDFromCaller().String()), events.F("copies", p.Retransmissions),
		events.F("deferral", h.PriorityOffset), events.F("waiting", s.gate.PendingCount()), events.F("busy", busy),
		events.F("slots", slots), events.Age("heartbeat_ms", time.Now(), s.lastHeartbeatAt))
}
