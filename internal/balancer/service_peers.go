package balancer

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
)

// maxServicePeers is the maximum number of agents of the same service in the list that an agent gets.
const maxServicePeers = 16

// serviceAgents are the agents of one service whose targets are ready.
type serviceAgents struct {
	// controls maps the address of each agent to its control address.
	controls map[netip.AddrPort]netip.AddrPort
	// version increases with each change.
	version uint64
}

// sentVersion identifies the list that was last sent on a connection.
type sentVersion struct {
	service uint16
	version uint64
}

// servicePeers selects for each agent the ready agents of the same service to which it can relay requests. Only the membership
// goroutine uses it. It holds only the services of the agents that announce to this balancer.
type servicePeers struct {
	// services maps a service to its ready agents.
	services map[uint16]*serviceAgents
	sent     map[*session]sentVersion
}

func newServicePeers() *servicePeers {
	return &servicePeers{services: make(map[uint16]*serviceAgents), sent: make(map[*session]sentVersion)}
}

// update applies a change of the view: the records that were removed from it and those that were added.
func (p *servicePeers) update(removed, added []member.Target) {
	for _, t := range removed {
		if s := p.services[t.Service]; s != nil {
			delete(s.controls, t.Agent)
			s.version++
		}
	}
	for _, t := range added {
		if s := p.services[t.Service]; s != nil && t.State == member.Ready {
			s.controls[t.Agent] = t.Control
			s.version++
		}
	}
}

// removeSession removes a connection, and its service when no other connection belongs to that service.
func (p *servicePeers) removeSession(s *session) {
	ended, wasSent := p.sent[s]
	if !wasSent {
		return
	}
	delete(p.sent, s)
	for _, other := range p.sent {
		if other.service == ended.service {
			return
		}
	}
	delete(p.services, ended.service)
}

// agentsOf returns the ready agents of a service. The first call for a service reads them from the view.
func (p *servicePeers) agentsOf(service uint16, machine *member.Machine) *serviceAgents {
	if agents := p.services[service]; agents != nil {
		return agents
	}
	agents := &serviceAgents{controls: make(map[netip.AddrPort]netip.AddrPort)}
	for _, t := range machine.ReadyTargets(service) {
		agents.controls[t.Agent] = t.Control
	}
	p.services[service] = agents
	return agents
}

// changedPeers returns the agents of the same service for an agent, or nil when they have not changed since they were last sent
// on the connection.
func (p *servicePeers) changedPeers(agent netip.AddrPort, s *session, machine *member.Machine) *control.PeerList {
	target, isKnown := machine.Target(agent)
	if !isKnown {
		return nil
	}
	if last, wasSent := p.sent[s]; wasSent && last.service != target.Service {
		p.removeSession(s)
	}
	agents := p.agentsOf(target.Service, machine)
	current := sentVersion{service: target.Service, version: agents.version}
	if last, wasSent := p.sent[s]; wasSent && last == current {
		return nil
	}
	p.sent[s] = current
	return &control.PeerList{Controls: p.selectPeers(agent, agents)}
}

// selectPeers returns the control addresses of the agents with the highest rendezvous scores for the given agent. So the agents
// of a large service get different lists, and an agent gets the same list from each of its observers.
func (p *servicePeers) selectPeers(agent netip.AddrPort, s *serviceAgents) []netip.AddrPort {
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
