package steer

import (
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
)

// maxLocated bounds the remembered flows of a generation: four times the 16,000 flows that fall to a balancer at the
// two-year size (270 million flows on 17,000 nodes).
const maxLocated = 1 << 16

// located remembers which agents hold flows that are not on their first candidate. It is a hint: a wrong or forgotten
// one costs a longer walk. Two generations bound its size; the older one is dropped when the newer one is full.
type located struct {
	newer, older map[flow.ID]place
}

// place is where a flow is.
type place struct {
	agent   hop.IP
	service desired.ServiceKey
}

func newLocated() located {
	return located{newer: make(map[flow.ID]place), older: make(map[flow.ID]place)}
}

func (l *located) get(id flow.ID) (place, bool) {
	if p, ok := l.newer[id]; ok {
		return p, true
	}
	p, ok := l.older[id]
	return p, ok
}

func (l *located) put(id flow.ID, p place) {
	if len(l.newer) >= maxLocated {
		l.rotate()
	}
	l.newer[id] = p
}

func (l *located) drop(id flow.ID) {
	delete(l.newer, id)
	delete(l.older, id)
}

func (l *located) rotate() {
	l.older, l.newer = l.newer, make(map[flow.ID]place)
}
