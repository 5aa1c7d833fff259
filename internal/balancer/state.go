package balancer

import (
	"net/netip"
	"sync"
	"time"

	"gentianswitch/internal/member"
	"gentianswitch/internal/tables"
)

// heard is a target and when its agent last announced it.
type heard struct {
	target member.Target
	at     time.Time
}

// state is the run-time state of the control duties: the tables in force and the targets heard of.
type state struct {
	mu       sync.Mutex
	revision uint64
	declared *tables.Tables
	targets  map[netip.AddrPort]heard
}

func newState() *state {
	return &state{declared: &tables.Tables{}, targets: make(map[netip.AddrPort]heard)}
}

// view returns the known targets.
func (s *state) view() []member.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := make([]member.Target, 0, len(s.targets))
	for _, h := range s.targets {
		targets = append(targets, h.target)
	}
	return targets
}

// apply puts a revision in force and reports false when it is not newer than the present one.
func (s *state) apply(revision uint64, declared *tables.Tables) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision {
		return false
	}
	s.revision = revision
	s.declared = declared
	return true
}

// announce records a target. It returns the record known before, the zero Target for none, and reports whether the new
// one differs.
func (s *state) announce(now time.Time, target member.Target) (before member.Target, isChanged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.targets[target.Agent]
	if ok && known.target.IsNewerThan(target) {
		return known.target, false
	}
	s.targets[target.Agent] = heard{target: target, at: now}
	return known.target, !ok || known.target != target
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
