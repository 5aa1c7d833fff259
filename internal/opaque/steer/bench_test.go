package steer_test

import (
	"fmt"
	"testing"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/steer"
	"gentianswitch/internal/store"
)

// newMachineWithTargets returns a Machine whose view holds count targets of one service.
func newMachineWithTargets(count int) *steer.Machine {
	s, d := newMachine()
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
			s, p := newMachineWithTargets(targets), dataPacket()
			b.ReportAllocs()
			for i := range b.N {
				p.Source.Port = uint16(i)
				s.Decide(start, p)
			}
		})
	}
}

func BenchmarkDecideKnownLocation(b *testing.B) {
	s, p := newMachineWithTargets(49), dataPacket()
	s.SetLocation(start, p.IDFromCaller(), p.Opening(), hop.IP{10, 0, 0, 7}, 1)
	b.ReportAllocs()
	for b.Loop() {
		s.Decide(start, p)
	}
}

// The pool of 49 targets is as large as those in production today.
func TestDecideAllocatesAtMostOnce(t *testing.T) {
	s, p := newMachineWithTargets(49), dataPacket()
	if n := testing.AllocsPerRun(100, func() { s.Decide(start, p) }); n > 1 {
		t.Errorf("%v allocations per packet, expected at most 1", n)
	}
}
