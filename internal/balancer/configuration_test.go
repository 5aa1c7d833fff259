package balancer

import (
	"fmt"
	"net/netip"
	"testing"
)

func TestAtMostThreeBalancersReadTheStore(t *testing.T) {
	var members []netip.AddrPort
	for i := range 100 {
		members = append(members, netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:4401", i/50, i%50+1)))
		readers := 0
		for _, m := range members {
			if hasTopScore(m, members, storeReaders) {
				readers++
			}
		}
		if expected := min(len(members), storeReaders); readers != expected {
			t.Fatalf("%d of %d balancers read the store, expected %d", readers, len(members), expected)
		}
	}
	if !hasTopScore(members[0], nil, storeReaders) {
		t.Error("a balancer that knows no other balancer does not read the store")
	}
}
