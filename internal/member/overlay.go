package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Sizes of the overlay, the connections between balancers, and of an agent's set of observers.
const (
	// fullMeshLimit is the number of other balancers up to which each balancer connects to all of them.
	fullMeshLimit = 8
	// remoteNeighbours is the number of neighbours that a balancer picks from zones other than its own.
	remoteNeighbours = 2
	// observersPerAgent is the number of balancers that an agent announces to.
	observersPerAgent = 3
	// backupsPerAgent is the number of balancers that an agent gets to know as replacements for unreachable observers.
	backupsPerAgent = 5
	// heartbeatSenders is the number of balancers that send heartbeats to each agent over the data path. The agent can send
	// answers through these balancers.
	heartbeatSenders = 4
	// probeInterval is how long Neighbours includes one failed balancer before it includes the next one instead.
	probeInterval = 5 * time.Second
)

// ringPlace is the position of a live balancer on the hash ring. Positions are the hashes of the ids.
type ringPlace struct {
	hash uint64
	id   id
	zone string
}

// overlay is the state that is derived from the live balancers.
type overlay struct {
	// isStale is true when the ring must be computed again.
	isStale bool
	// ring holds the live balancers ordered by hash.
	ring []ringPlace
	// generation increases each time the ring is computed.
	generation uint64
}

// refreshRing computes the hash ring when the live balancers have changed.
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

// scoredBalancer is a balancer and its rendezvous score for a subject.
type scoredBalancer struct {
	place ringPlace
	score uint64
}

// compareScores orders balancers by decreasing score.
func compareScores(a, b scoredBalancer) int {
	return cmp.Compare(b.score, a.score)
}

// insertScored inserts s into a list that is sorted by decreasing score and truncates it to n.
func insertScored(list []scoredBalancer, s scoredBalancer, n int) []scoredBalancer {
	if len(list) >= n && s.score <= list[n-1].score {
		return list
	}
	at, _ := slices.BinarySearchFunc(list, s, compareScores)
	list = slices.Insert(list, at, s)
	return list[:min(len(list), n)]
}

// highestScored returns the live balancers with the highest rendezvous scores for the subject, at most n, among those that
// isAllowed accepts. They are ordered by decreasing score.
func (m *Machine) highestScored(subject id, n int, isAllowed func(ringPlace) bool) []ringPlace {
	var best []scoredBalancer
	for _, p := range m.overlay.ring {
		if isAllowed(p) {
			best = insertScored(best, scoredBalancer{p, hash(uint64(subject), uint64(p.id))}, n)
		}
	}
	places := make([]ringPlace, len(best))
	for i, b := range best {
		places[i] = b.place
	}
	return places
}

// assignObservers returns the observers of an agent and the backups that replace unreachable ones. The first observer is the
// balancer with the highest score in the agent's own zone. The next ones are the balancers with the highest score in each other
// zone, in the order of their scores. If these are too few, the remaining balancers with the highest scores follow.
func (m *Machine) assignObservers(agent id, zone string) (observers, backups []Balancer) {
	m.refreshRing()
	best, byZone := m.highestScoredByZone(agent)
	chosen := make([]ringPlace, 0, observersPerAgent)
	if own, ok := byZone[zone]; ok {
		chosen = append(chosen, own.place)
	}
	remote := make([]scoredBalancer, 0, len(byZone))
	for name, s := range byZone {
		if name != zone {
			remote = append(remote, s)
		}
	}
	slices.SortFunc(remote, compareScores)
	for _, s := range slices.Concat(remote, best) {
		if len(chosen) < observersPerAgent && !slices.Contains(chosen, s.place) {
			chosen = append(chosen, s.place)
		}
	}
	for _, s := range best {
		if len(backups) < backupsPerAgent && !slices.Contains(chosen, s.place) {
			backups = append(backups, m.balancers[s.place.id].record)
		}
	}
	for _, p := range chosen {
		observers = append(observers, m.balancers[p.id].record)
	}
	return observers, backups
}

// highestScoredByZone returns the live balancers with the highest rendezvous scores for the subject, enough of them for its
// observers and backups, and the one with the highest score in each zone.
func (m *Machine) highestScoredByZone(subject id) (best []scoredBalancer, byZone map[string]scoredBalancer) {
	byZone = make(map[string]scoredBalancer)
	for _, p := range m.overlay.ring {
		s := scoredBalancer{p, hash(uint64(subject), uint64(p.id))}
		best = insertScored(best, s, observersPerAgent+backupsPerAgent)
		if s.score > byZone[p.zone].score {
			byZone[p.zone] = s
		}
	}
	return best, byZone
}

// replyToAgent answers an announcement when the agent's observers or backups have changed since the last reply, and always
// when isForced is true.
func (m *Machine) replyToAgent(t Target, isForced bool) {
	subject := idOf(t.Agent)
	m.refreshRing()
	w := m.watches[subject]
	if !isForced && w != nil && w.generation == m.overlay.generation {
		return
	}
	observers, backups := m.assignObservers(subject, t.Zone)
	var sum uint64
	for _, b := range slices.Concat(observers, backups) {
		sum = hash(sum, uint64(idOf(b.Data)))
	}
	if w != nil {
		isSame := w.assignmentHash == sum
		w.generation, w.assignmentHash = m.overlay.generation, sum
		if isSame && !isForced {
			return
		}
	}
	m.emit(Reply{Agent: t.Agent, Observers: observers, Backups: backups, Incarnation: m.newestIncarnation(subject)})
}

// newestIncarnation returns the newest incarnation known for an agent's address, or zero. For a tombstone it returns the next
// one, so that an agent that comes back with the incarnation of the tombstone raises its own.
func (m *Machine) newestIncarnation(subject id) uint64 {
	e := m.targets[subject]
	if e == nil {
		return 0
	}
	if e.record.state == Gone && e.record.sequence&tombstoneBit != 0 {
		return e.record.incarnation + 1
	}
	return e.record.incarnation
}

// Neighbours returns the balancers that this one should be connected to. Up to fullMeshLimit, these are all others. Beyond
// that, they are the successor on the hash ring, which keeps the overlay connected, and a few balancers of its own and of
// other zones. One failed balancer is added in turn, so that both sides of a partition find each other again after it.
func (m *Machine) Neighbours(now time.Time) []Balancer {
	m.refreshRing()
	others, failed := m.otherBalancers()
	if len(others)+len(failed) <= fullMeshLimit {
		return m.balancerRecords(append(others, failed...))
	}
	picked := others
	if len(others) > fullMeshLimit {
		picked = m.pickNeighbours()
	}
	if len(failed) > 0 {
		turn := now.UnixNano() / int64(probeInterval)
		picked = append(picked, failed[int(turn)%len(failed)])
	}
	return m.balancerRecords(picked)
}

// otherBalancers returns the live and the failed balancers without this one, each ordered by id.
func (m *Machine) otherBalancers() (live, failed []id) {
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

// pickNeighbours returns the ring successor, one balancer of the own zone and remoteNeighbours of other zones.
func (m *Machine) pickNeighbours() []id {
	ring := m.overlay.ring
	at, _ := slices.BinarySearchFunc(ring, hash(uint64(m.selfID)), func(p ringPlace, h uint64) int {
		return cmp.Compare(p.hash, h)
	})
	successor := ring[(at+1)%len(ring)].id
	picked := []id{successor}
	isOther := func(p ringPlace) bool { return p.id != m.selfID && p.id != successor }
	own := m.highestScored(m.selfID, 1, func(p ringPlace) bool { return isOther(p) && p.zone == m.self.Zone })
	remote := m.highestScored(m.selfID, remoteNeighbours, func(p ringPlace) bool { return isOther(p) && p.zone != m.self.Zone })
	for _, p := range slices.Concat(own, remote) {
		picked = append(picked, p.id)
	}
	return picked
}

// balancerRecords returns the records of the given balancers.
func (m *Machine) balancerRecords(ids []id) []Balancer {
	list := make([]Balancer, len(ids))
	for i, subject := range ids {
		list[i] = m.balancers[subject].record
	}
	return list
}

// handlePeerConnected starts to observe a connected balancer and to gossip with it. It also starts an anti-entropy exchange
// with it, unless one with any peer was started within HeartbeatInterval.
func (m *Machine) handlePeerConnected(now time.Time, b Balancer) {
	peer := idOf(b.Data)
	if peer == 0 || peer == m.selfID {
		return
	}
	m.mergeBalancer(b, peer)
	if m.outboxes[peer] == nil {
		m.outboxes[peer] = &outbox{pending: make(map[recordID]struct{})}
	}
	m.outboxes[peer].enqueue(recordID{kind: kindBalancer, subject: m.selfID})
	m.recordPeerHeartbeat(now, peer)
	m.isLivenessStale = true
	if m.lastDigest.IsZero() || now.Sub(m.lastDigest) >= HeartbeatInterval {
		m.sendDigestTo(now, peer)
	}
}

// handlePeerDropped releases a balancer that is no longer a neighbour, so that its silence isn't reported as a loss. It sends
// the pending records before the connection is closed.
func (m *Machine) handlePeerDropped(now time.Time, address netip.AddrPort) {
	peer := idOf(address)
	if m.outboxes[peer] == nil {
		return
	}
	m.release(peer)
	m.flush(now)
	delete(m.outboxes, peer)
}
