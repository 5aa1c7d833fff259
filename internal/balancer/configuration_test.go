package balancer

import (
	"fmt"
	"net/netip"
	"testing"
)

func TestFewBalancersReadTheStore(t *testing.T) {
	var members []netip.AddrPort
	for i := range 100 {
		members = append(members, netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:4401", i/50, i%50+1)))
		chosen := 0
		for _, m := range members {
			if isChosen(m, members, storeReaders) {
				chosen++
			}
		}
		if expected := min(len(members), storeReaders); chosen != expected {
			t.Fatalf("%d of %d balancers read the store, expected %d", chosen, len(members), expected)
		}
	}
	if !isChosen(members[0], nil, storeReaders) {
		t.Error("a balancer that knows no other does not read the store")
	}
}
