package agent

import (
	"net/netip"
	"testing"
	"time"
)

func balancerAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 4400)
}

// newTestRotation returns a rotation whose clock reads *now.
func newTestRotation(now *time.Time) *returnRotation {
	r := newReturnRotation()
	r.now = func() time.Time { return *now }
	return r
}

// countReturns returns how many of 640 datagrams to callers leave through each balancer.
func countReturns(r *returnRotation) map[netip.AddrPort]int {
	counts := make(map[netip.AddrPort]int)
	for range 640 {
		b, _ := r.nextBalancer()
		counts[b]++
	}
	return counts
}

func TestReturnsRotateEvenlyOverBalancersWithinWindow(t *testing.T) {
	now := time.Unix(0, 0)
	r := newTestRotation(&now)
	for n := range 4 {
		r.recordDatagram(balancerAddress(n))
	}
	for b, count := range countReturns(r) {
		if count != 160 {
			t.Fatalf("%s carries %d of 640 datagrams, expected 160", b, count)
		}
	}
	now = now.Add(returnWindow / 2)
	r.recordDatagram(balancerAddress(1))
	now = now.Add(returnWindow / 2)
	if counts := countReturns(r); counts[balancerAddress(1)] != 640 {
		t.Fatalf("datagrams leave through balancers outside the window: %v", counts)
	}
}

func TestReturnsFallBackToBalancerHeardLast(t *testing.T) {
	now := time.Unix(0, 0)
	r := newTestRotation(&now)
	if _, ok := r.nextBalancer(); ok {
		t.Fatal("got a balancer from a rotation that has heard none")
	}
	r.recordDatagram(balancerAddress(1))
	now = now.Add(time.Millisecond)
	r.recordDatagram(balancerAddress(2))
	now = now.Add(time.Hour)
	if b, ok := r.nextBalancer(); !ok || b != balancerAddress(2) {
		t.Fatalf("got balancer %s, expected the one heard last", b)
	}
}

func TestReturnRotationIsBoundedAndAdmitsNewBalancers(t *testing.T) {
	now := time.Unix(0, 0)
	r := newTestRotation(&now)
	for n := range 17_000 {
		r.recordDatagram(balancerAddress(n))
	}
	if len(r.paths) != maxReturnPaths || len(r.indexes) != maxReturnPaths {
		t.Fatalf("rotation has %d paths and %d indexes, expected %d", len(r.paths), len(r.indexes), maxReturnPaths)
	}
	now = now.Add(returnWindow)
	for n := range maxReturnPaths {
		r.recordDatagram(balancerAddress(20_000 + n))
	}
	for b := range countReturns(r) {
		if b.Addr().As4()[2] < 20_000>>8 {
			t.Fatalf("%s is still in the rotation", b)
		}
	}
}
