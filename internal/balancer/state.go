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
	targets       map[netip.AddrPort]member.Target
	balancers     []member.Balancer
	returns       []netip.AddrPort
}

func newState() *state {
	return &state{configuration: revision.NewState(), targets: make(map[netip.AddrPort]member.Target)}
}

// view returns the known targets.
func (s *state) view() []member.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := make([]member.Target, 0, len(s.targets))
	for _, t := range s.targets {
		targets = append(targets, t)
	}
	return targets
}

// setTargets takes the changed targets of the membership. It returns the records that they replace.
func (s *state) setTargets(changed []member.Target) (before []member.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range changed {
		if known, ok := s.targets[t.Agent]; ok {
			before = append(before, known)
		}
	}
	for _, t := range changed {
		s.targets[t.Agent] = t
		if t.State == member.Gone {
			delete(s.targets, t.Agent)
		}
	}
	return before
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
