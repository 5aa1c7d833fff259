package balancer

import (
	"net/netip"
	"sync"

	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
)

// sharedState is the state that several goroutines read: the tables in force and the members.
type sharedState struct {
	mu            sync.Mutex
	configuration *revision.State
	// live are the live balancers.
	live []member.Balancer
	// recipients are the agents to which this balancer sends heartbeats on the data path.
	recipients []netip.AddrPort
}

func newSharedState() *sharedState {
	return &sharedState{configuration: revision.NewState()}
}

// setLiveBalancers sets the live balancers.
func (s *sharedState) setLiveBalancers(balancers []member.Balancer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = balancers
}

// setHeartbeatRecipients sets the agents to which this balancer sends heartbeats.
func (s *sharedState) setHeartbeatRecipients(agents []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recipients = agents
}

// liveBalancers returns the live balancers, including this one. The caller must not modify the list.
func (s *sharedState) liveBalancers() []member.Balancer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live
}

// heartbeatRecipients returns the agents to which this balancer sends heartbeats. The caller must not modify the list.
func (s *sharedState) heartbeatRecipients() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recipients
}
