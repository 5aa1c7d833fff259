package balancer

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
)

// maxServicePeers is the number of agents of its service that an agent is told of.
const maxServicePeers = 16

// serviceAgents are the agents of one service whose targets are ready.
type serviceAgents struct {
	// controls maps the agent's address to its control address.
	controls map[netip.AddrPort]netip.AddrPort
	// version rises with each change.
	version uint64
}

// toldVersion is what an agent was told last on its connection.
type sentVersion struct {
	service uint16
	version uint64
}

// servicePeers tells agents which agents of the same service are ready, so that they can relay requests. It belongs to
// the membership duty and holds only the services of the agents for which this balancer is a home.
type servicePeers struct {
	services map[uint16]*serviceAgents
	sent     map[*session]sentVersion
}

func newServicePeers() *servicePeers {
	return &servicePeers{services: make(map[uint16]*serviceAgents), sent: make(map[*session]sentVersion)}
}

// update takes the records that have left the view and those that have come in their place.
func (c *servicePeers) update(removed, added []member.Target) {
	for _, t := range removed {
		if s := c.services[t.Service]; s != nil {
			delete(s.controls, t.Agent)
			s.version++
		}
	}
	for _, t := range added {
		if s := c.services[t.Service]; s != nil && t.State == member.Ready {
			s.controls[t.Agent] = t.Control
			s.version++
		}
	}
}

// forget forgets a connection that has ended, and its service when no other connection is of that.
func (c *servicePeers) removeSession(s *session) {
	ended, wasSent := c.sent[s]
	if !wasSent {
		return
	}
	delete(c.sent, s)
	for _, other := range c.sent {
		if other.service == ended.service {
			return
		}
	}
	delete(c.services, ended.service)
}

// serviceAgents returns the ready agents of a service. The first time they are taken from the view.
func (c *servicePeers) agentsOf(service uint16, machine *member.Machine) *serviceAgents {
	if agents := c.services[service]; agents != nil {
		return agents
	}
	agents := &serviceAgents{controls: make(map[netip.AddrPort]netip.AddrPort)}
	for _, t := range machine.ReadyTargets(service) {
		agents.controls[t.Agent] = t.Control
	}
	c.services[service] = agents
	return agents
}

// news returns the agents of the same service, or nil when they have not changed since it was told on the connection.
func (c *servicePeers) changedPeers(agent netip.AddrPort, s *session, machine *member.Machine) *control.PeerList {
	target, isKnown := machine.Target(agent)
	if !isKnown {
		return nil
	}
	if last, wasSent := c.sent[s]; wasSent && last.service != target.Service {
		c.removeSession(s)
	}
	agents := c.agentsOf(target.Service, machine)
	current := sentVersion{service: target.Service, version: agents.version}
	if last, wasSent := c.sent[s]; wasSent && last == current {
		return nil
	}
	c.sent[s] = current
	return &control.PeerList{Controls: c.selectPeers(agent, agents)}
}

// pick returns the agents with the highest rendezvous scores for the agent, so that the agents of a large service
// are told of different ones and every home of an agent tells the same.
func (c *servicePeers) selectPeers(agent netip.AddrPort, s *serviceAgents) []netip.AddrPort {
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
	list = list[:min(len(list), maxServicePeers)]
	controls := make([]netip.AddrPort, len(list))
	for i, entry := range list {
		controls[i] = entry.control
	}
	return controls
}
