// Package route implements the decision for each datagram of a caller: forward it by its connection ID, place it
// as the first of a flow, or drop it. The decision is a pure function of the datagram and an immutable table.
package route

import (
	"net/netip"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/packet"
	"gentianswitch/internal/tables"
)

// Verdict is what becomes of a datagram.
type Verdict uint8

// The verdicts.
const (
	// Forward sends the datagram to the agent that its connection ID names.
	Forward Verdict = iota + 1
	// Place sends the datagram, which opens a flow, to the first of two candidates.
	Place
	// DropMalformed drops what is not a QUIC packet.
	DropMalformed
	// DropUnknownFlow drops a packet of no flow that an agent has issued an ID for.
	DropUnknownFlow
	// DropOutsideNetworks drops a packet whose ID names an address outside the networks of agents.
	DropOutsideNetworks
	// DropNoRoute drops a packet for an address that no route declares.
	DropNoRoute
	// DropNoTarget drops a packet that opens a flow while no target of the pool is ready.
	DropNoTarget
)

// String returns the name that metrics and logs use.
func (v Verdict) String() string {
	names := [...]string{
		"invalid", "forward", "place", "malformed", "unknown_flow", "outside_networks", "no_route", "no_target",
	}
	if int(v) >= len(names) {
		return names[0]
	}
	return names[v]
}

// Decision is the outcome for one datagram.
type Decision struct {
	Verdict Verdict
	// Agent is the agent to send to, for Forward and Place.
	Agent netip.AddrPort
	// Second is the other candidate of Place, or the zero AddrPort.
	Second netip.AddrPort
	// Service and Class describe the flow, for Forward and Place.
	Service uint16
	Class   class.Class
	// Route is the route of the address, for Place and DropNoTarget.
	Route *tables.Route
}

// Decide returns the decision for a datagram that a caller sent to address.
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

func (t *Table) decideKnownFlow(id connid.ID) Decision {
	if !t.isAgentAddress(id.Agent.Addr()) {
		return Decision{Verdict: DropOutsideNetworks}
	}
	return Decision{Verdict: Forward, Agent: id.Agent, Service: id.Service, Class: id.Class}
}

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
