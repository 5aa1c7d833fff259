package ring_test

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"gentianswitch/internal/ring"
)

// The ring is compared with a model: a bounded first-in first-out queue that counts the items it drops.
func TestRingIsBoundedFIFOQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		r := ring.New[int](capacity)
		var model []int
		dropped := uint64(0)
		for next := range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") {
				hasRoom := len(model) < capacity
				if r.TryPut(next) != hasRoom {
					t.Fatalf("wrong result of TryPut with %d of %d places taken", len(model), capacity)
				}
				if hasRoom {
					model = append(model, next)
				} else {
					dropped++
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
		if r.Len() != len(model) || r.Dropped() != dropped {
			t.Fatalf("length %d, dropped %d; expected %d, %d", r.Len(), r.Dropped(), len(model), dropped)
		}
	})
}

func TestGetAndPutReturnWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := ring.New[int](1)
	if _, ok := r.Get(ctx); ok {
		t.Error("got an item from an empty ring")
	}
	if !r.TryPut(1) || r.Put(ctx, 2) {
		t.Error("a full ring accepted an item")
	}
}
