package admit

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// fullPeerRetryInterval is the time after which a peer without a known free slot is offered a request again.
const fullPeerRetryInterval = 25 * time.Millisecond

// peerState is the last known number of free slots at a peer agent.
type peerState struct {
	address   netip.AddrPort
	freeSlots int
	updatedAt time.Time
}

// peerSet holds the peer agents and their free slots.
type peerSet struct {
	random *rand.Rand
	peers  []peerState
}

func newPeerSet(random *rand.Rand) peerSet {
	return peerSet{random: random}
}

func (p *peerSet) indexOf(peer netip.AddrPort) int {
	return slices.IndexFunc(p.peers, func(s peerState) bool { return s.address == peer })
}

// setFreeSlots records the number of free slots at a peer. A negative number removes the peer.
func (p *peerSet) setFreeSlots(now time.Time, peer netip.AddrPort, freeSlots int) {
	i := p.indexOf(peer)
	switch {
	case freeSlots < 0 && i >= 0:
		p.peers = slices.Delete(p.peers, i, i+1)
	case freeSlots < 0:
		return
	case i < 0:
		p.peers = append(p.peers, peerState{address: peer, freeSlots: freeSlots, updatedAt: now})
	default:
		p.peers[i].freeSlots, p.peers[i].updatedAt = freeSlots, now
	}
}

// reserveSlot selects a peer that may have a free slot and reserves the slot. It chooses the one with more free slots of
// two random peers. A peer without a free slot is tried again with one request after fullPeerRetryInterval. reserveSlot
// returns false when no peer is available.
func (p *peerSet) reserveSlot(now time.Time) (netip.AddrPort, bool) {
	available := make([]int, 0, len(p.peers))
	for i := range p.peers {
		s := &p.peers[i]
		if s.freeSlots <= 0 && now.Sub(s.updatedAt) >= fullPeerRetryInterval {
			s.freeSlots, s.updatedAt = 1, now
		}
		if s.freeSlots > 0 {
			available = append(available, i)
		}
	}
	if len(available) == 0 {
		return netip.AddrPort{}, false
	}
	best := &p.peers[available[p.random.IntN(len(available))]]
	other := &p.peers[available[p.random.IntN(len(available))]]
	if other.freeSlots > best.freeSlots {
		best = other
	}
	best.freeSlots--
	best.updatedAt = now
	return best.address, true
}
