package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Sizes of the overlay.
const (
	// fullMesh is the number of other balancers up to which each connects to all.
	fullMesh = 8
	// remoteNeighbours is the number of neighbours that a balancer picks in other zones than its own.
	remoteNeighbours = 2
	homeCount        = 3
	spareCount       = 5
	// returnSample is the number of balancers that send heartbeats to an agent over the data path.
	returnSample = 4
	// probeInterval is how long one failed balancer is tried before the next.
	probeInterval = 5 * time.Second
)

// ringPlace is the place of a live balancer on the hash ring.
type ringPlace struct {
	hash uint64
	id   id
	zone string
}

// overlay is the part of the membership that is computed from the live balancers.
type overlay struct {
	isStale bool
	ring    []ringPlace
	// generation rises with each change of the ring.
	generation uint64
}

func (m *Machine) refreshRing() {
	if !m.overlay.isStale && m.overlay.ring != nil {
		return
	}
	m.overlay.isStale = false
	m.overlay.generation++
	ring := make([]ringPlace, 0, len(m.balancers))
	for subject, e := range m.balancers {
		if e.isLive {
			ring = append(ring, ringPlace{hash(uint64(subject)), subject, e.record.Zone})
		}
	}
	slices.SortFunc(ring, func(a, b ringPlace) int { return cmp.Compare(a.hash, b.hash) })
	m.overlay.ring = ring
}

// scored is a balancer and its rendezvous score for a subject.
type scored struct {
	place ringPlace
	score uint64
}

func compareScores(a, b scored) int {
	return cmp.Compare(b.score, a.score)
}

// insertScored adds s to a list that is sorted by falling score and keeps the first n.
func insertScored(list []scored, s scored, n int) []scored {
	if len(list) >= n && s.score <= list[n-1].score {
		return list
	}
	at, _ := slices.BinarySearchFunc(list, s, compareScores)
	list = slices.Insert(list, at, s)
	return list[:min(len(list), n)]
}

// rank returns the live balancers that pass a filter, the highest rendezvous score for the subject first, at most n.
func (m *Machine) rank(subject id, n int, isAllowed func(ringPlace) bool) []ringPlace {
	var best []scored
	for _, p := range m.overlay.ring {
		if isAllowed(p) {
			best = insertScored(best, scored{p, hash(uint64(subject), uint64(p.id))}, n)
		}
	}
	places := make([]ringPlace, len(best))
	for i, b := range best {
		places[i] = b.place
	}
	return places
}

// homes returns the home balancers of an agent: the best of its own zone, then the best of each other zone, then the
// best of the rest, and the balancers to turn to next.
func (m *Machine) homes(agent id, zone string) (homes, spares []Balancer) {
	m.refreshRing()
	best, byZone := m.rankAll(agent)
	chosen := make([]ringPlace, 0, homeCount)
	if own, ok := byZone[zone]; ok {
		chosen = append(chosen, own.place)
	}
	remote := make([]scored, 0, len(byZone))
	for name, s := range byZone {
		if name != zone {
			remote = append(remote, s)
		}
	}
	slices.SortFunc(remote, compareScores)
	for _, s := range slices.Concat(remote, best) {
		if len(chosen) < homeCount && !slices.Contains(chosen, s.place) {
			chosen = append(chosen, s.place)
		}
	}
	for _, s := range best {
		if len(spares) < spareCount && !slices.Contains(chosen, s.place) {
			spares = append(spares, m.balancers[s.place.id].record)
		}
	}
	for _, p := range chosen {
		homes = append(homes, m.balancers[p.id].record)
	}
	return homes, spares
}

// rankAll returns the live balancers with the highest rendezvous scores for the subject, and the best of each zone.
func (m *Machine) rankAll(subject id) (best []scored, byZone map[string]scored) {
	byZone = make(map[string]scored)
	for _, p := range m.overlay.ring {
		s := scored{p, hash(uint64(subject), uint64(p.id))}
		best = insertScored(best, s, homeCount+spareCount)
		if s.score > byZone[p.zone].score {
			byZone[p.zone] = s
		}
	}
	return best, byZone
}

// reply answers an agent when it has just connected or when its homes have changed.
func (m *Machine) reply(t Target, isForced bool) {
	subject := idOf(t.Agent)
	m.refreshRing()
	w := m.watches[subject]
	if !isForced && w != nil && w.generation == m.overlay.generation {
		return
	}
	homes, spares := m.homes(subject, t.Zone)
	var sum uint64
	for _, h := range slices.Concat(homes, spares) {
		sum = hash(sum, uint64(idOf(h.Data)))
	}
	if w != nil {
		isSame := w.homes == sum
		w.generation, w.homes = m.overlay.generation, sum
		if isSame && !isForced {
			return
		}
	}
	m.act(Reply{Agent: t.Agent, Homes: homes, Spares: spares, Incarnation: m.newestIncarnation(subject)})
}

// newestIncarnation returns the newest incarnation of an agent's address. That of a buried record counts as passed.
func (m *Machine) newestIncarnation(subject id) uint64 {
	e := m.targets[subject]
	if e == nil {
		return 0
	}
	if e.record.State == Gone && e.record.Sequence&buriedBit != 0 {
		return e.record.Incarnation + 1
	}
	return e.record.Incarnation
}

// Neighbours returns the balancers that this one shall be connected to. All are when they are few; else the successor on
// the hash ring, which keeps the overlay in one piece, and a few others of its own and of other zones. Balancers that
// have failed are tried in turn, so that the two sides of a partition find each other again.
func (m *Machine) Neighbours(now time.Time) []Balancer {
	m.refreshRing()
	others, failed := m.others()
	if len(others)+len(failed) <= fullMesh {
		return m.records(append(others, failed...))
	}
	picked := others
	if len(others) > fullMesh {
		picked = m.pickNeighbours()
	}
	if len(failed) > 0 {
		turn := now.UnixNano() / int64(probeInterval)
		picked = append(picked, failed[int(turn)%len(failed)])
	}
	return m.records(picked)
}

func (m *Machine) others() (live, failed []id) {
	for subject, e := range m.balancers {
		switch {
		case subject == m.selfID || e.record.State != Ready:
		case e.isLive:
			live = append(live, subject)
		default:
			failed = append(failed, subject)
		}
	}
	slices.Sort(live)
	slices.Sort(failed)
	return live, failed
}

func (m *Machine) pickNeighbours() []id {
	ring := m.overlay.ring
	at, _ := slices.BinarySearchFunc(ring, hash(uint64(m.selfID)), func(p ringPlace, h uint64) int {
		return cmp.Compare(p.hash, h)
	})
	successor := ring[(at+1)%len(ring)].id
	picked := []id{successor}
	isOther := func(p ringPlace) bool { return p.id != m.selfID && p.id != successor }
	own := m.rank(m.selfID, 1, func(p ringPlace) bool { return isOther(p) && p.zone == m.self.Zone })
	remote := m.rank(m.selfID, remoteNeighbours, func(p ringPlace) bool { return isOther(p) && p.zone != m.self.Zone })
	for _, p := range slices.Concat(own, remote) {
		picked = append(picked, p.id)
	}
	return picked
}

func (m *Machine) records(ids []id) []Balancer {
	list := make([]Balancer, len(ids))
	for i, subject := range ids {
		list[i] = m.balancers[subject].record
	}
	return list
}

// peerJoined starts to hear and to inform a connected balancer.
func (m *Machine) peerJoined(now time.Time, b Balancer) {
	peer := idOf(b.Data)
	if peer == 0 || peer == m.selfID {
		return
	}
	m.mergeBalancer(b, peer)
	if m.outboxes[peer] == nil {
		m.outboxes[peer] = &outbox{waiting: make(map[recordID]struct{})}
	}
	m.outboxes[peer].add(recordID{kind: kindBalancer, subject: m.selfID})
	m.hearPeer(now, peer)
	m.isLivenessStale = true
	if m.lastDigest.IsZero() || now.Sub(m.lastDigest) >= HeartbeatInterval {
		m.sendDigestTo(now, peer)
	}
}

// peerDropped releases a balancer that is a neighbour no longer, so that its silence is not taken for a failure.
func (m *Machine) peerDropped(now time.Time, address netip.AddrPort) {
	peer := idOf(address)
	if m.outboxes[peer] == nil {
		return
	}
	m.release(peer)
	m.flush(now)
	delete(m.outboxes, peer)
}
