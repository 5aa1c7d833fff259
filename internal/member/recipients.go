package member

import (
	"cmp"
	"net/netip"
	"slices"
)

// recipientSet holds the agents to which this balancer sends heartbeats over the data path: those for which it is one of the
// next heartbeatSenders live balancers on the hash ring. When there are no more live balancers than that, it holds all agents.
type recipientSet struct {
	agents map[id]struct{}
	// generation is the generation of the ring from which the set was computed.
	generation uint64
	// after and upTo are the exclusive lower and the inclusive upper bound of the part of the ring whose agents are
	// recipients of this balancer. They are unused when isWhole is true: the part is the whole ring then.
	after   uint64
	upTo    uint64
	isWhole bool
	// isChanged is true when a HeartbeatRecipientsChanged action must be emitted.
	isChanged bool
}

// contains reports whether the part of the ring that belongs to this balancer contains the hash of an agent.
func (r *recipientSet) contains(h uint64) bool {
	switch {
	case r.isWhole:
		return true
	case r.after < r.upTo:
		return h > r.after && h <= r.upTo
	default:
		return h > r.after || h <= r.upTo
	}
}

// refreshRecipients updates the set when the ring has changed and emits a HeartbeatRecipientsChanged when the set has.
func (m *Machine) refreshRecipients() {
	m.refreshRing()
	if m.recipients.generation != m.overlay.generation {
		m.recipients.generation = m.overlay.generation
		m.locateRecipients()
		clear(m.recipients.agents)
		for subject, e := range m.targets {
			m.updateRecipient(subject, e)
		}
	}
	if m.recipients.isChanged {
		m.recipients.isChanged = false
		m.emit(HeartbeatRecipientsChanged{Agents: m.recipientAgents()})
	}
}

// locateRecipients computes the part of the ring between this balancer and the one heartbeatSenders positions before it.
func (m *Machine) locateRecipients() {
	ring := m.overlay.ring
	m.recipients.isChanged = true
	m.recipients.isWhole = len(ring) <= heartbeatSenders
	if m.recipients.isWhole {
		return
	}
	own := hash(uint64(m.selfID))
	at, _ := slices.BinarySearchFunc(ring, own, func(p ringPlace, h uint64) int { return cmp.Compare(p.hash, h) })
	m.recipients.upTo = own
	m.recipients.after = ring[(at-heartbeatSenders+len(ring))%len(ring)].hash
}

// updateRecipient adds an agent to the set or removes it, depending on its place on the ring and its state in the view.
func (m *Machine) updateRecipient(subject id, e *targetEntry) {
	isWanted := e.view != 0 && e.view != Gone && m.recipients.contains(hash(uint64(subject)))
	_, isIn := m.recipients.agents[subject]
	if isWanted == isIn {
		return
	}
	m.recipients.isChanged = true
	if isWanted {
		m.recipients.agents[subject] = struct{}{}
	} else {
		delete(m.recipients.agents, subject)
	}
}

// recipientAgents returns the agents in the set, ordered by address.
func (m *Machine) recipientAgents() []netip.AddrPort {
	ids := make([]id, 0, len(m.recipients.agents))
	for subject := range m.recipients.agents {
		ids = append(ids, subject)
	}
	slices.Sort(ids)
	agents := make([]netip.AddrPort, len(ids))
	for i, subject := range ids {
		agents[i] = subject.address()
	}
	return agents
}
