package steer_test

import (
	"fmt"
	"testing"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/steer"
	"gentianswitch/internal/store"
)

func crowd(count int) *steer.Machine {
	s, d := serving()
	for n := range count {
		d.HandleEntry(start, hop.IP{10, byte(n >> 16), byte(n >> 8), byte(n)},
			registry.Entry{Service: "pedidos", Zone: "quito", Slots: 5}, store.Version(n+1))
	}
	s.SetView(d.View())
	return s
}

func BenchmarkDecide(b *testing.B) {
	for _, targets := range []int{7, 49, 500} {
		b.Run(fmt.Sprint(targets, "-targets"), func(b *testing.B) {
			s, p := crowd(targets), data()
			b.ReportAllocs()
			for i := range b.N {
				p.Source.Port = uint16(i)
				s.Decide(start, p)
			}
		})
	}
}

func BenchmarkDecideLocated(b *testing.B) {
	s, p := crowd(49), data()
	s.SetLocation(start, p.IDFromCaller(), hop.IP{10, 0, 0, 7}, 1)
	b.ReportAllocs()
	for b.Loop() {
		s.Decide(start, p)
	}
}

// TestDecideNeedsOneSmallAllocationAtMost bounds the cost of a packet in a pool of the size that runs today.
func TestDecideNeedsOneSmallAllocationAtMost(t *testing.T) {
	s, p := crowd(49), data()
	if n := testing.AllocsPerRun(100, func() { s.Decide(start, p) }); n > 1 {
		t.Errorf("%v allocations a packet", n)
	}
}
