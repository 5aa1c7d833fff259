package balancer

import (
	"net/netip"
	"sync"

	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
)

// state is the run-time state that several duties read: the tables in force and the members.
type sharedState struct {
	mu            sync.Mutex
	configuration *revision.State
	live          []member.Balancer
	recipients    []netip.AddrPort
}

func newSharedState() *sharedState {
	return &sharedState{configuration: revision.NewState()}
}

// setBalancers takes the live balancers.
func (s *sharedState) setLiveBalancers(balancers []member.Balancer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = balancers
}

// setReturns takes the agents to which this balancer sends heartbeats.
func (s *sharedState) setHeartbeatRecipients(agents []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recipients = agents
}

// liveBalancers returns the live balancers, this one included. The caller must not change the list.
func (s *sharedState) liveBalancers() []member.Balancer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live
}

// returnTargets returns the agents to which this balancer sends heartbeats. The caller must not change the list.
func (s *sharedState) heartbeatRecipients() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recipients
}
