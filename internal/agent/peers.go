package agent

import (
	"net/netip"
	"slices"
	"sync"

	"gentianswitch/internal/admit"
)

// assumedFreeSlots is the number of free slots assumed at a new peer agent. The peer's reply to an offer corrects it.
const assumedFreeSlots = 1

// knownPeers are the control addresses of the peer agents that an observer has listed last.
type knownPeers struct {
	mu        sync.Mutex
	addresses []netip.AddrPort
}

// updatePeers replaces the peer agents and informs the admission about those that were added or removed.
func (a *Agent) updatePeers(addresses []netip.AddrPort) {
	a.idempotency.setPeers(addresses)
	a.knownPeers.mu.Lock()
	defer a.knownPeers.mu.Unlock()
	for _, removed := range a.knownPeers.addresses {
		if !slices.Contains(addresses, removed) {
			a.admission.handleEvent(admit.PeerCapacity{Peer: removed, FreeSlots: -1})
		}
	}
	for _, peer := range addresses {
		if !slices.Contains(a.knownPeers.addresses, peer) {
			a.admission.handleEvent(admit.PeerCapacity{Peer: peer, FreeSlots: assumedFreeSlots})
		}
	}
	a.knownPeers.addresses = slices.Clone(addresses)
}
