package balancer

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// storeReaders is the number of balancers in each availability zone that watch the store. The others get revisions from peers.
const storeReaders = 3

// isStoreReader reports whether this balancer watches the store. An outdated view of the zone's balancers costs additional
// store reads or a longer path through peers, never correctness.
func (b *Balancer) isStoreReader() bool {
	return hasTopScore(b.settings.Control, b.zoneBalancers(), storeReaders)
}

// zoneBalancers returns the control addresses of the live balancers of this availability zone.
func (b *Balancer) zoneBalancers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range b.shared.liveBalancers() {
		if m.Zone == b.settings.Zone {
			list = append(list, m.Control)
		}
	}
	return list
}

// hasTopScore reports whether self is among the count members with the highest rendezvous scores. It also returns true when
// fewer than count other members are known.
func hasTopScore(self netip.AddrPort, members []netip.AddrPort, count int) bool {
	selfScore := readerScore(self)
	higher := 0
	for _, m := range members {
		if m != self && readerScore(m) > selfScore {
			higher++
		}
	}
	return higher < count
}

// readerScore returns the rendezvous score of a balancer for reading the store.
func readerScore(member netip.AddrPort) uint64 {
	return xxhash.Sum64String(member.String())
}
