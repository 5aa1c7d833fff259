package sidecar

import (
	"context"
	"time"

	"gentianswitch/internal/duty"
	"gentianswitch/internal/opaque/gate"
	"gentianswitch/internal/opaque/resident"
)

// admitPending delivers pending opening packets to the target while it has room.
func (s *Sidecar) admitPending(now time.Time) {
	s.processReleased(func() (gate.Released[[]byte], bool) {
		next, ok := s.gate.Next(now)
		if ok {
			s.counters.openingWait.RecordDuration(next.Waited)
		}
		return next, ok
	})
}

// expirePending delivers or returns pending opening packets that have reached their wait limit, until ctx ends.
func (s *Sidecar) expirePending(ctx context.Context) error {
	duty.Every(ctx, gate.ExpiryInterval, func(now time.Time) {
		s.processReleased(func() (gate.Released[[]byte], bool) { return s.gate.NextExpired(now) })
		s.admitPending(now)
	})
	return nil
}

// redirectPending forwards all pending opening packets to their next candidates.
func (s *Sidecar) redirectPending(reason resident.Reason) {
	s.processReleased(func() (gate.Released[[]byte], bool) { return s.gate.NextRedirect(time.Now(), reason) })
}

// processReleased calls next with mu held and applies the decision about the opening packet that it returns, until it returns
// none.
func (s *Sidecar) processReleased(next func() (gate.Released[[]byte], bool)) {
	for {
		s.mu.Lock()
		released, ok := next()
		s.mu.Unlock()
		if !ok {
			return
		}
		s.applyDecision(&released.Packet, released.Decision, released.Item)
	}
}
