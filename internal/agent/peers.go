package agent

import (
	"net/netip"
	"slices"
	"sync"

	"gentianswitch/internal/admit"
)

// firstRoom is the room at a peer agent of which nothing is known; the answer to an offer corrects it.
const firstRoom = 1

// knownPeers are the agents of the same service that the homes have named.
type knownPeers struct {
	mu       sync.Mutex
	controls []netip.AddrPort
}

// takePeers tells the admission which peers came and went.
func (a *Agent) takePeers(controls []netip.AddrPort) {
	a.idempotency.setPeers(controls)
	a.known.mu.Lock()
	defer a.known.mu.Unlock()
	for _, gone := range a.known.controls {
		if !slices.Contains(controls, gone) {
			a.admission.tell(admit.PeerRoom{Peer: gone, Room: -1})
		}
	}
	for _, peer := range controls {
		if !slices.Contains(a.known.controls, peer) {
			a.admission.tell(admit.PeerRoom{Peer: peer, Room: firstRoom})
		}
	}
	a.known.controls = slices.Clone(controls)
}
