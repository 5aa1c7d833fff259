package balancer

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
)

// maxColleagues is the number of agents of its service that an agent is told of.
const maxColleagues = 16

// serviceAgents are the agents of one service whose targets are ready.
type serviceAgents struct {
	// controls maps the agent's address to its control address.
	controls map[netip.AddrPort]netip.AddrPort
	// version rises with each change.
	version uint64
}

// toldVersion is what an agent was told last on its connection.
type toldVersion struct {
	service uint16
	version uint64
}

// colleagues tells agents which agents of the same service are ready, so that they can relay requests. It belongs to
// the membership duty.
type colleagues struct {
	services  map[uint16]*serviceAgents
	serviceOf map[netip.AddrPort]uint16
	told      map[*session]toldVersion
}

func newColleagues() *colleagues {
	return &colleagues{
		services:  make(map[uint16]*serviceAgents),
		serviceOf: make(map[netip.AddrPort]uint16),
		told:      make(map[*session]toldVersion),
	}
}

// update takes changed targets.
func (c *colleagues) update(changed []member.Target) {
	for _, t := range changed {
		c.remove(t.Agent)
		if t.State == member.Gone {
			continue
		}
		c.serviceOf[t.Agent] = t.Service
		if t.State == member.Ready {
			c.add(t)
		}
	}
}

func (c *colleagues) remove(agent netip.AddrPort) {
	service, isKnown := c.serviceOf[agent]
	if !isKnown {
		return
	}
	delete(c.serviceOf, agent)
	if s := c.services[service]; s != nil {
		delete(s.controls, agent)
		s.version++
	}
}

func (c *colleagues) add(t member.Target) {
	s := c.services[t.Service]
	if s == nil {
		s = &serviceAgents{controls: make(map[netip.AddrPort]netip.AddrPort)}
		c.services[t.Service] = s
	}
	s.controls[t.Agent] = t.Control
	s.version++
}

// forget forgets a connection that has ended.
func (c *colleagues) forget(s *session) {
	delete(c.told, s)
}

// news returns the colleagues of an agent, or nil when they have not changed since it was told on the connection.
func (c *colleagues) news(agent netip.AddrPort, s *session) *control.PeerList {
	service, isKnown := c.serviceOf[agent]
	if !isKnown || c.services[service] == nil {
		return nil
	}
	now := toldVersion{service: service, version: c.services[service].version}
	if c.told[s] == now {
		return nil
	}
	c.told[s] = now
	return &control.PeerList{Controls: c.pick(agent, c.services[service])}
}

// pick returns the colleagues with the highest rendezvous scores for the agent, so that the agents of a large service
// are told of different ones and every home of an agent tells the same.
func (c *colleagues) pick(agent netip.AddrPort, s *serviceAgents) []netip.AddrPort {
	type scored struct {
		control netip.AddrPort
		score   uint64
	}
	list := make([]scored, 0, len(s.controls))
	for other, address := range s.controls {
		if other != agent {
			list = append(list, scored{control: address, score: xxhash.Sum64String(agent.String() + other.String())})
		}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	list = list[:min(len(list), maxColleagues)]
	controls := make([]netip.AddrPort, len(list))
	for i, l := range list {
		controls[i] = l.control
	}
	return controls
}
