// Package route decides what a balancer does with each datagram of a caller: forward it by its connection ID, place it on a
// target as the opening packet of a new flow, or drop it. The decision is a pure function of the datagram, the address to which
// it was sent, and an immutable table.
package route

import (
	"net/netip"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/packet"
	"gentianswitch/internal/tables"
)

// Verdict is the decision on a datagram.
type Verdict uint8

// The verdicts.
const (
	// Forward sends the datagram to the agent that is encoded in its connection ID.
	Forward Verdict = iota + 1
	// Place sends the datagram, the opening packet of a new flow, to the first of two candidates.
	Place
	// DropMalformed drops a datagram that is not a QUIC packet.
	DropMalformed
	// DropUnknownFlow drops a packet that opens no flow and whose connection ID was not issued by an agent.
	DropUnknownFlow
	// DropOutsideNetworks drops a packet whose connection ID contains an agent address outside the networks of agents.
	DropOutsideNetworks
	// DropNoRoute drops an opening packet for an address that no route has.
	DropNoRoute
	// DropNoTarget drops an opening packet while no target of the pool is ready.
	DropNoTarget
)

// String returns the name of the verdict in metrics and logs.
func (v Verdict) String() string {
	names := [...]string{
		"invalid", "forward", "place", "malformed", "unknown_flow", "outside_networks", "no_route", "no_target",
	}
	if int(v) >= len(names) {
		return names[0]
	}
	return names[v]
}

// Decision is the verdict on a datagram and its details.
type Decision struct {
	Verdict Verdict
	// Agent is the agent to which the datagram is sent, for Forward and Place.
	Agent netip.AddrPort
	// Second is the agent of the second candidate, for Place. It is the zero AddrPort when there is no other candidate.
	Second netip.AddrPort
	// Service and Class describe the flow, for Forward and Place.
	Service uint16
	Class   class.Class
	// Route is the route that has the address, for Place and DropNoTarget.
	Route *tables.Route
}

// Decide returns the decision on a datagram that a caller sent to the given address.
func (t *Table) Decide(address netip.AddrPort, datagram []byte) Decision {
	header, err := packet.Parse(datagram, connid.Size)
	if err != nil {
		return Decision{Verdict: DropMalformed}
	}
	id, err := t.codec.Decode(header.DestinationID)
	if err == nil {
		return t.decideKnownFlow(id)
	}
	if !header.OpensFlow {
		return Decision{Verdict: DropUnknownFlow}
	}
	return t.decideNewFlow(address, header.DestinationID)
}

// decideKnownFlow decides on a packet with a connection ID that an agent has issued.
func (t *Table) decideKnownFlow(id connid.ID) Decision {
	if !t.isAgentAddress(id.Agent.Addr()) {
		return Decision{Verdict: DropOutsideNetworks}
	}
	return Decision{Verdict: Forward, Agent: id.Agent, Service: id.Service, Class: id.Class}
}

// isAgentAddress reports whether an IP is in the networks of agents.
func (t *Table) isAgentAddress(ip netip.Addr) bool {
	if len(t.agentNetworks) == 0 {
		return true
	}
	for _, n := range t.agentNetworks {
		if n.Contains(ip) {
			return true
		}
	}
	return false
}

// decideNewFlow decides on an opening packet. The parameter callerID is the connection ID that the caller has chosen.
func (t *Table) decideNewFlow(address netip.AddrPort, callerID []byte) Decision {
	e, ok := t.routes.get(address)
	if !ok {
		return Decision{Verdict: DropNoRoute}
	}
	first, second := t.groups.get(e.service).selectCandidates(t.hash.sum(callerID))
	if !first.IsValid() {
		return Decision{Verdict: DropNoTarget, Route: e.route}
	}
	return Decision{
		Verdict: Place, Agent: first, Second: second,
		Service: e.service, Class: e.route.Class, Route: e.route,
	}
}
