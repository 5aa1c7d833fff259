package steer

import (
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
)

// maxLocationsPerGeneration bounds the flows of one generation of a locationCache: four times the 16,000 flows per balancer
// that are expected in two years (270 million flows on 17,000 nodes).
const maxLocationsPerGeneration = 1 << 16

// locationCache holds the agents of flows that are not on their first candidate. An entry is a hint: a wrong or missing one
// only makes the candidate search longer. Two generations bound the size of the cache; the older one is dropped when the newer
// one is full or older than the lifetime of a flow.
type locationCache struct {
	newer, older map[flow.ID]location
}

// location is the agent that holds a flow and the service of its target.
type location struct {
	agent   hop.IP
	service desired.ServiceKey
}

func newLocationCache() locationCache {
	return locationCache{newer: make(map[flow.ID]location), older: make(map[flow.ID]location)}
}

func (l *locationCache) get(id flow.ID) (location, bool) {
	if p, ok := l.newer[id]; ok {
		return p, true
	}
	p, ok := l.older[id]
	return p, ok
}

func (l *locationCache) put(id flow.ID, p location) {
	if len(l.newer) >= maxLocationsPerGeneration {
		l.rotate()
	}
	l.newer[id] = p
}

func (l *locationCache) remove(id flow.ID) {
	delete(l.newer, id)
	delete(l.older, id)
}

func (l *locationCache) rotate() {
	l.older, l.newer = l.newer, make(map[flow.ID]location)
}
