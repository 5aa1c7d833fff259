package forwarder

import (
	"context"
	"sync"
	"time"
)

// reading is what a round has read, and when it began: after the start of the VM, with the time for which it was suspended.
type reading[T any] struct {
	value T
	began time.Duration
}

// rounds lets many wait for a reading. One round runs at a time, and all who ask meanwhile share the next.
type rounds[T any] struct {
	read func(ctx context.Context) (T, error)
	// clock returns the time since the start of the VM.
	clock func() (time.Duration, error)
	// spacing is the least time between the starts of two rounds.
	spacing time.Duration

	mu   sync.Mutex
	next *round[T]
	// last is the latest reading without an error, when hasLast is set.
	last    reading[T]
	hasLast bool
	// running is held by the round that runs.
	running   sync.Mutex
	startedAt time.Time
}

// round is one reading.
type round[T any] struct {
	done   chan struct{}
	result reading[T]
	err    error
}

// wait returns a reading that began at most maxAge before the call, or waits for the end of a round that begins after it.
func (r *rounds[T]) wait(ctx context.Context, maxAge time.Duration) (reading[T], error) {
	var none reading[T]
	now, err := r.clock()
	if err != nil {
		return none, err
	}
	r.mu.Lock()
	if r.hasLast && now-r.last.began <= maxAge {
		defer r.mu.Unlock()
		return r.last, nil
	}
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
	own.result, own.err = r.readOnce(ctx)
	if own.err == nil {
		r.mu.Lock()
		r.last, r.hasLast = own.result, true
		r.mu.Unlock()
	}
	close(own.done)
}

func (r *rounds[T]) readOnce(ctx context.Context) (reading[T], error) {
	began, err := r.clock()
	if err != nil {
		return reading[T]{}, err
	}
	value, err := r.read(ctx)
	return reading[T]{value: value, began: began}, err
}
