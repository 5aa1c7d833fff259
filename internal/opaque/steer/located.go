package steer

import (
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
)

// maxLocated bounds the remembered flows of a generation: four times the 16,000 flows that fall to a balancer at the
// two-year size (270 million flows on 17,000 nodes).
const maxLocated = 1 << 16

// located remembers which agents hold flows that are not on their first candidate. It is a hint: a wrong or forgotten
// one costs a longer walk. Two generations bound its size; the older one is dropped when the newer one is full.
type located struct {
	newer, older map[flow.ID]hop.IP
}

func newLocated() located {
	return located{newer: make(map[flow.ID]hop.IP), older: make(map[flow.ID]hop.IP)}
}

func (l *located) get(id flow.ID) (hop.IP, bool) {
	if agent, ok := l.newer[id]; ok {
		return agent, true
	}
	agent, ok := l.older[id]
	return agent, ok
}

func (l *located) put(id flow.ID, agent hop.IP) {
	if len(l.newer) >= maxLocated {
		l.rotate()
	}
	l.newer[id] = agent
}

func (l *located) drop(id flow.ID) {
	delete(l.newer, id)
	delete(l.older, id)
}

func (l *located) rotate() {
	l.older, l.newer = l.newer, make(map[flow.ID]hop.IP)
}
