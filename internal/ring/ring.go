// Package ring implements the bounded queue that passes items from one goroutine to another.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue. It is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPut appends item without blocking. It returns false and counts a dropped item when the ring is full.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put appends item and blocks while the ring is full. It returns false when ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Get removes and returns the oldest item and blocks while the ring is empty. It returns false when ctx ends first.
func (r *Ring[T]) Get(ctx context.Context) (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// TryGet removes and returns the oldest item without blocking. It returns false when the ring is empty.
func (r *Ring[T]) TryGet() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Items returns the channel that holds the items, for use in a select. Receiving from it removes the oldest item.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Dropped returns the number of items that TryPut has dropped because the ring was full.
func (r *Ring[T]) Dropped() uint64 {
	return r.dropped.Load()
}
