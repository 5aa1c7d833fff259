package forwarder

import (
	"context"
	"sync"
	"time"
)

// rounds lets many wait for a reading that begins after they have asked for it. One round runs at a time, and all who ask
// meanwhile share the next.
type rounds[T any] struct {
	read func(ctx context.Context) (T, error)
	// spacing is the least time between the starts of two rounds.
	spacing time.Duration

	mu   sync.Mutex
	next *round[T]
	// running is held by the round that runs.
	running   sync.Mutex
	startedAt time.Time
}

// round is one reading.
type round[T any] struct {
	done   chan struct{}
	result T
	err    error
}

// wait waits for the end of a round that begins after the call, and returns its result.
func (r *rounds[T]) wait(ctx context.Context) (T, error) {
	r.mu.Lock()
	joined := r.next
	if joined == nil {
		joined = &round[T]{done: make(chan struct{})}
		r.next = joined
		// The round serves others as well, and does not end with the one who began it.
		go r.run(context.WithoutCancel(ctx), joined)
	}
	r.mu.Unlock()
	select {
	case <-joined.done:
		return joined.result, joined.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

func (r *rounds[T]) run(ctx context.Context, own *round[T]) {
	r.running.Lock()
	defer r.running.Unlock()
	sleep(ctx, r.spacing-time.Since(r.startedAt))
	r.mu.Lock()
	r.next = nil
	r.mu.Unlock()
	r.startedAt = time.Now()
	own.result, own.err = r.read(ctx)
	close(own.done)
}
