package agent

import (
	"net/netip"
	"slices"
	"sync"

	"gentianswitch/internal/admit"
)

// firstRoom is the room at a peer agent of which nothing is known; the answer to an offer corrects it.
const assumedFreeSlots = 1

// knownPeers are the agents of the same service that the homes have named.
type knownPeers struct {
	mu        sync.Mutex
	addresses []netip.AddrPort
}

// takePeers tells the admission which peers came and went.
func (a *Agent) updatePeers(addresses []netip.AddrPort) {
	a.idempotency.setPeers(addresses)
	a.knownPeers.mu.Lock()
	defer a.knownPeers.mu.Unlock()
	for _, removed := range a.knownPeers.addresses {
		if !slices.Contains(addresses, removed) {
			a.admission.handleEvent(admit.PeerRoom{Peer: removed, Room: -1})
		}
	}
	for _, peer := range addresses {
		if !slices.Contains(a.knownPeers.addresses, peer) {
			a.admission.handleEvent(admit.PeerRoom{Peer: peer, Room: assumedFreeSlots})
		}
	}
	a.knownPeers.addresses = slices.Clone(addresses)
}
