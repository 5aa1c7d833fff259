package sidecar

import (
	"context"
	"time"

	"gentianswitch/internal/duty"
	"gentianswitch/internal/opaque/gate"
)

// offerNext gives waiting flows to the target while it has room.
func (s *Sidecar) offerNext(now time.Time) {
	s.release(func() (gate.Released[[]byte], bool) {
		next, ok := s.gate.Next(now)
		if ok {
			s.counters.openingWait.RecordDuration(next.Waited)
		}
		return next, ok
	})
}

// endOverdue gives flows up whose callers are about to, until ctx ends.
func (s *Sidecar) endOverdue(ctx context.Context) error {
	duty.Every(ctx, gate.OverdueInterval, func(now time.Time) {
		s.release(func() (gate.Released[[]byte], bool) { return s.gate.NextExpired(now) })
		s.offerNext(now)
	})
	return nil
}

// handOnWaiting gives the openings that wait to their next candidates.
func (s *Sidecar) handOnWaiting() {
	s.release(func() (gate.Released[[]byte], bool) { return s.gate.NextRedirect(time.Now()) })
}

// release carries out what becomes of openings that wait no longer, as long as next returns one. It calls next with mu held.
func (s *Sidecar) release(next func() (gate.Released[[]byte], bool)) {
	for {
		s.mu.Lock()
		o, ok := next()
		s.mu.Unlock()
		if !ok {
			return
		}
		s.carryOut(&o.Packet, o.Decision, o.Item)
	}
}
