package balancer

import (
	"net/netip"
	"sync"

	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
)

// state is the run-time state that several duties read: the tables in force and the members.
type state struct {
	mu            sync.Mutex
	configuration *revision.State
	balancers     []member.Balancer
	returns       []netip.AddrPort
}

func newState() *state {
	return &state{configuration: revision.NewState()}
}

// setBalancers takes the live balancers.
func (s *state) setBalancers(balancers []member.Balancer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancers = balancers
}

// setReturns takes the agents to which this balancer sends heartbeats.
func (s *state) setReturns(agents []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returns = agents
}

// liveBalancers returns the live balancers, this one included. The caller must not change the list.
func (s *state) liveBalancers() []member.Balancer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancers
}

// returnTargets returns the agents to which this balancer sends heartbeats. The caller must not change the list.
func (s *state) returnTargets() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returns
}
