package member

import (
	"cmp"
	"net/netip"
	"slices"
)

// returnSet holds the agents to which this balancer sends heartbeats over the data path: those for which it is one of
// the next returnSample live balancers on the hash ring. At a small size they are all agents.
type returnSet struct {
	agents map[id]struct{}
	// generation is that of the ring for which the set was computed.
	generation uint64
	// after and upTo bound the part of the ring whose agents belong to this balancer; isWhole stands for all of it.
	after   uint64
	upTo    uint64
	isWhole bool
	// isChanged asks for a ReturnsChanged action.
	isChanged bool
}

func (r *returnSet) contains(h uint64) bool {
	switch {
	case r.isWhole:
		return true
	case r.after < r.upTo:
		return h > r.after && h <= r.upTo
	default:
		return h > r.after || h <= r.upTo
	}
}

// refreshReturns brings the set up to date with the ring and tells of its changes.
func (m *Machine) refreshReturns() {
	m.refreshRing()
	if m.returns.generation != m.overlay.generation {
		m.returns.generation = m.overlay.generation
		m.locateReturns()
		clear(m.returns.agents)
		for subject, e := range m.targets {
			m.noteReturn(subject, e)
		}
	}
	if m.returns.isChanged {
		m.returns.isChanged = false
		m.act(ReturnsChanged{Agents: m.returnTargets()})
	}
}

// locateReturns finds the part of the ring that precedes this balancer by returnSample places.
func (m *Machine) locateReturns() {
	ring := m.overlay.ring
	m.returns.isChanged = true
	m.returns.isWhole = len(ring) <= returnSample
	if m.returns.isWhole {
		return
	}
	own := hash(uint64(m.selfID))
	at, _ := slices.BinarySearchFunc(ring, own, func(p ringPlace, h uint64) int { return cmp.Compare(p.hash, h) })
	m.returns.upTo = own
	m.returns.after = ring[(at-returnSample+len(ring))%len(ring)].hash
}

// noteReturn adds an agent to the set or removes it.
func (m *Machine) noteReturn(subject id, e *targetEntry) {
	isWanted := e.view != 0 && e.view != Gone && m.returns.contains(hash(uint64(subject)))
	_, isIn := m.returns.agents[subject]
	if isWanted == isIn {
		return
	}
	m.returns.isChanged = true
	if isWanted {
		m.returns.agents[subject] = struct{}{}
	} else {
		delete(m.returns.agents, subject)
	}
}

func (m *Machine) returnTargets() []netip.AddrPort {
	ids := make([]id, 0, len(m.returns.agents))
	for subject := range m.returns.agents {
		ids = append(ids, subject)
	}
	slices.Sort(ids)
	agents := make([]netip.AddrPort, len(ids))
	for i, subject := range ids {
		agents[i] = subject.address()
	}
	return agents
}
