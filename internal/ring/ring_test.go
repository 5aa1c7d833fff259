package ring_test

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"gentianswitch/internal/ring"
)

// A ring behaves as a queue of its capacity that counts what it refuses.
func TestRingIsABoundedQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		r := ring.New[int](capacity)
		var model []int
		refused := uint64(0)
		for next := range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") {
				isRoom := len(model) < capacity
				if r.TryPut(next) != isRoom {
					t.Fatalf("put into %d of %d", len(model), capacity)
				}
				if isRoom {
					model = append(model, next)
				} else {
					refused++
				}
				continue
			}
			item, ok := r.TryGet()
			if ok != (len(model) > 0) || (ok && item != model[0]) {
				t.Fatalf("got %d, %v; expected the first of %v", item, ok, model)
			}
			if ok {
				model = model[1:]
			}
		}
		if r.Len() != len(model) || r.Dropped() != refused {
			t.Fatalf("length %d, dropped %d; expected %d, %d", r.Len(), r.Dropped(), len(model), refused)
		}
	})
}

func TestWaitingEndsWithTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := ring.New[int](1)
	if _, ok := r.Get(ctx); ok {
		t.Error("got an item from an empty ring")
	}
	if !r.TryPut(1) || r.Put(ctx, 2) {
		t.Error("a full ring took an item")
	}
}
