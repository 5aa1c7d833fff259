package steer

import (
	"slices"

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

// location is the agent that holds a flow and the service of its target. It is small, since one is read for every packet.
type location struct {
	agent hop.IP
	// opening is the sequence number of the opening packet plus one, or zero if it is not known.
	opening uint32
	service desired.ServiceKey
}

func newLocation(opening flow.Opening, agent hop.IP, service desired.ServiceKey) location {
	l := location{agent: agent, service: service}
	if opening.IsKnown {
		l.opening = opening.Sequence + 1
	}
	return l
}

// isOf reports whether an opening packet on a route may follow the location: it is a copy of the packet that opened the located flow, and
// the route leads to the service. Otherwise the location is that of an earlier flow from the same port, and the table in force alone
// decides where the new one is opened.
func (l location) isOf(p *flow.Packet, route *desired.Route) bool {
	return l.opening != 0 && l.opening == p.Sequence+1 && slices.ContainsFunc(route.Services, func(w desired.WeightedService) bool {
		return w.Service == l.service && w.Weight > 0
	})
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
