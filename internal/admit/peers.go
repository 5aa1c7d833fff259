package admit

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// fullPeerPause is how long a peer without room is left alone before it is tried again.
const fullPeerPause = 25 * time.Millisecond

// peerState is what is known of the room at a peer agent.
type peerState struct {
	address netip.AddrPort
	room    int
	at      time.Time
}

// peers holds the room at the peer agents.
type peers struct {
	random *rand.Rand
	list   []peerState
}

func newPeers(random *rand.Rand) peers {
	return peers{random: random}
}

func (p *peers) index(peer netip.AddrPort) int {
	return slices.IndexFunc(p.list, func(s peerState) bool { return s.address == peer })
}

// set records the room at a peer. A negative room removes it.
func (p *peers) set(now time.Time, peer netip.AddrPort, room int) {
	i := p.index(peer)
	switch {
	case room < 0 && i >= 0:
		p.list = slices.Delete(p.list, i, i+1)
	case room < 0:
		return
	case i < 0:
		p.list = append(p.list, peerState{address: peer, room: room, at: now})
	default:
		p.list[i].room, p.list[i].at = room, now
	}
}

// take picks a peer that may have room and counts one slot there as taken. Of two random peers the one with more room
// is picked. A peer without room is tried again after a pause, with one request.
func (p *peers) take(now time.Time) (netip.AddrPort, bool) {
	open := make([]int, 0, len(p.list))
	for i := range p.list {
		s := &p.list[i]
		if s.room <= 0 && now.Sub(s.at) >= fullPeerPause {
			s.room, s.at = 1, now
		}
		if s.room > 0 {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return netip.AddrPort{}, false
	}
	best := &p.list[open[p.random.IntN(len(open))]]
	other := &p.list[open[p.random.IntN(len(open))]]
	if other.room > best.room {
		best = other
	}
	best.room--
	best.at = now
	return best.address, true
}
