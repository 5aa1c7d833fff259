package forwarder

import (
	"context"
	"sync"
	"time"
)

// readResult is the result of a store read and the time at which the read started, as time since the VM booted. That time
// includes suspensions of the VM.
type readResult[T any] struct {
	value     T
	startedAt time.Duration
}

// readCoalescer lets concurrent calls of get share store reads. One read runs at a time, and all calls that arrive meanwhile
// share the next one.
type readCoalescer[T any] struct {
	read func(ctx context.Context) (T, error)
	// clock returns the time since the VM booted.
	clock func() (time.Duration, error)
	// minInterval is the minimum time between the starts of two reads.
	minInterval time.Duration

	mu sync.Mutex
	// pending is the next read, which has not started yet, or nil.
	pending *pendingRead[T]
	// last is the latest successful result, if hasLast is set.
	last    readResult[T]
	hasLast bool
	// running is held by the read that runs, and guards lastStartedAt.
	running       sync.Mutex
	lastStartedAt time.Time
}

// pendingRead is one read. Its result and error are valid once done is closed.
type pendingRead[T any] struct {
	done   chan struct{}
	result readResult[T]
	err    error
}

// get returns the last result if its read started at most maxAge ago. Otherwise it waits for a read that starts after the call.
func (r *readCoalescer[T]) get(ctx context.Context, maxAge time.Duration) (readResult[T], error) {
	var none readResult[T]
	now, err := r.clock()
	if err != nil {
		return none, err
	}
	r.mu.Lock()
	if r.hasLast && now-r.last.startedAt <= maxAge {
		defer r.mu.Unlock()
		return r.last, nil
	}
	pending := r.pending
	if pending == nil {
		pending = &pendingRead[T]{done: make(chan struct{})}
		r.pending = pending
		// The read serves other calls too, so it must not end with the context of the call that started it.
		go r.run(context.WithoutCancel(ctx), pending)
	}
	r.mu.Unlock()
	select {
	case <-pending.done:
		return pending.result, pending.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// run performs a read as soon as the one in progress has ended and minInterval has passed.
func (r *readCoalescer[T]) run(ctx context.Context, read *pendingRead[T]) {
	r.running.Lock()
	defer r.running.Unlock()
	sleep(ctx, r.minInterval-time.Since(r.lastStartedAt))
	r.mu.Lock()
	r.pending = nil
	r.mu.Unlock()
	r.lastStartedAt = time.Now()
	read.result, read.err = r.readOnce(ctx)
	if read.err == nil {
		r.mu.Lock()
		r.last, r.hasLast = read.result, true
		r.mu.Unlock()
	}
	close(read.done)
}

func (r *readCoalescer[T]) readOnce(ctx context.Context) (readResult[T], error) {
	startedAt, err := r.clock()
	if err != nil {
		return readResult[T]{}, err
	}
	value, err := r.read(ctx)
	return readResult[T]{value: value, startedAt: startedAt}, err
}
