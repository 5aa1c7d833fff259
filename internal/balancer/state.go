package balancer

import (
	"net/netip"
	"sync"
	"time"

	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
	"gentianswitch/internal/tables"
)

// heard is a target and when its agent last announced it.
type heard struct {
	target member.Target
	at     time.Time
}

// state is the run-time state of the control duties: the tables in force and the targets heard of.
type state struct {
	mu            sync.Mutex
	configuration *revision.State
	targets       map[netip.AddrPort]heard
}

func newState() *state {
	return &state{configuration: revision.NewState(), targets: make(map[netip.AddrPort]heard)}
}

// view returns the tables in force and the known targets.
func (s *state) view() (*tables.Tables, []member.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := make([]member.Target, 0, len(s.targets))
	for _, h := range s.targets {
		targets = append(targets, h.target)
	}
	return s.configuration.Tables(), targets
}

// announce records a target and reports whether it differs from what was known.
func (s *state) announce(now time.Time, target member.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.targets[target.Agent]
	if ok && known.target.IsNewerThan(target) {
		return false
	}
	s.targets[target.Agent] = heard{target: target, at: now}
	return !ok || known.target != target
}

// expire marks targets that were not heard of within timeout as failed and returns them.
func (s *state) expire(now time.Time, timeout time.Duration) []member.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []member.Target
	for agent, h := range s.targets {
		isLive := h.target.State != member.Failed && h.target.State != member.Gone
		if !isLive || now.Sub(h.at) < timeout {
			continue
		}
		h.target.State = member.Failed
		s.targets[agent] = h
		failed = append(failed, h.target)
	}
	return failed
}
