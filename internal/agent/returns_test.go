package agent

import (
	"net/netip"
	"testing"
	"time"
)

func returnAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 4400)
}

// rotationAt returns a rotation whose clock is *now.
func rotationAt(now *time.Time) *returns {
	r := newReturns()
	r.now = func() time.Time { return *now }
	return r
}

// share returns how many of 640 answers leave through each balancer.
func share(r *returns) map[netip.AddrPort]int {
	counts := make(map[netip.AddrPort]int)
	for range 640 {
		b, _ := r.next()
		counts[b]++
	}
	return counts
}

func TestRotationUsesTheBalancersOfTheWindowEvenly(t *testing.T) {
	now := time.Unix(0, 0)
	r := rotationAt(&now)
	for n := range 4 {
		r.heard(returnAddress(n))
	}
	for b, count := range share(r) {
		if count != 160 {
			t.Fatalf("%s carries %d of 640 answers, expected 160", b, count)
		}
	}
	now = now.Add(returnWindow / 2)
	r.heard(returnAddress(1))
	now = now.Add(returnWindow / 2)
	if counts := share(r); counts[returnAddress(1)] != 640 {
		t.Fatalf("answers leave through balancers that left the window: %v", counts)
	}
}

func TestRotationFallsBackToTheBalancerHeardOfLast(t *testing.T) {
	now := time.Unix(0, 0)
	r := rotationAt(&now)
	if _, ok := r.next(); ok {
		t.Fatal("a rotation that heard of none has a path")
	}
	r.heard(returnAddress(1))
	now = now.Add(time.Millisecond)
	r.heard(returnAddress(2))
	now = now.Add(time.Hour)
	if b, ok := r.next(); !ok || b != returnAddress(2) {
		t.Fatalf("fell back to %s", b)
	}
}

func TestRotationIsBoundedAndTakesNewBalancersIn(t *testing.T) {
	now := time.Unix(0, 0)
	r := rotationAt(&now)
	for n := range 17_000 {
		r.heard(returnAddress(n))
	}
	if len(r.paths) != maxReturnPaths || len(r.places) != maxReturnPaths {
		t.Fatalf("rotation holds %d paths and %d places, expected %d", len(r.paths), len(r.places), maxReturnPaths)
	}
	now = now.Add(returnWindow)
	for n := range maxReturnPaths {
		r.heard(returnAddress(20_000 + n))
	}
	for b := range share(r) {
		if b.Addr().As4()[2] < 20_000>>8 {
			t.Fatalf("%s is still in the rotation", b)
		}
	}
}
