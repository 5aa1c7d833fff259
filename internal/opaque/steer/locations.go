package steer

import (
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
)

// maxLocationsPerGeneration bounds the flows of one generation of a locationCache: four times the 16,000 flows per balancer
// that are expected in two years (270 million flows on 17,000 VMs).
const maxLocationsPerGeneration = 1 << 16

// locationCache holds the agents of flows that are not on the first candidate of their order. An entry is a hint: a wrong or
// missing one only makes the candidate search longer. Two generations bound the size of the cache; the older one is dropped
// when the newer one is full or older than the lifetime of a flow.
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

func (c *locationCache) get(id flow.ID) (location, bool) {
	if l, ok := c.newer[id]; ok {
		return l, true
	}
	l, ok := c.older[id]
	return l, ok
}

func (c *locationCache) put(id flow.ID, at location) {
	if len(c.newer) >= maxLocationsPerGeneration {
		c.rotate()
	}
	c.newer[id] = at
}

func (c *locationCache) remove(id flow.ID) {
	delete(c.newer, id)
	delete(c.older, id)
}

// rotate drops the older generation and starts a new one.
func (c *locationCache) rotate() {
	c.older, c.newer = c.newer, make(map[flow.ID]location)
}
