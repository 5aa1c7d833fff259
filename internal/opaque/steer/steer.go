// Package steer decides what a balancer does with a caller's packet of an opaque flow. It is a pure state machine.
// A balancer needs no state to forward a flow: it sends each packet to the candidates of the flow, agents beside targets,
// in an order that all balancers share. An agent whose target does not hold the flow forwards the packet to the next
// candidate. A frame names a few candidates. When all of them have declined the packet, the last one returns it to the
// balancer, which sends it to the candidates that follow in the order.
package steer

import (
	"math"
	"time"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/rendezvous"
)

// Verdict is what the balancer does with a packet.
type Verdict uint8

// The verdicts.
const (
	// Forward sends the packet to the first candidate.
	Forward Verdict = iota + 1
	// Reset sends the caller a reset, since the flow is not served.
	Reset
	// Drop discards the packet.
	Drop
	// Revalidate keeps the packet pending until the targets have been read from the store again. Then HandleRevalidated
	// returns the decision.
	Revalidate
	// ConfirmTable keeps the packet pending like Revalidate, until a read of the store that began after the packet had arrived has
	// also shown that the table in force is the newest one. Then HandleTableConfirmed returns the decision.
	ConfirmTable
)

// String returns the name that metrics and logs use.
func (v Verdict) String() string {
	return [...]string{"invalid", "forward", "reset", "drop", "confirm", "confirm_table"}[v]
}

// Reason is why a verdict was reached.
type Reason uint8

// The reasons.
const (
	// CandidateSearch means that the packet is forwarded to the candidates of its flow.
	CandidateSearch Reason = iota
	// KnownLocation means that the balancer knows the agent that holds the flow.
	KnownLocation
	// NoConfiguration means that the balancer has no routes yet.
	NoConfiguration
	// NoRoute means that no route has the address that the packet was sent to.
	NoRoute
	// NoTarget means that the balancer knows no target at all.
	NoTarget
	// AllDeclined means that every candidate has declined the packet.
	AllDeclined
	// ResetOfUnknownFlow means that the packet is a reset and that no candidate holds its flow.
	ResetOfUnknownFlow
	// ViewChanges means that the packet has visited too many agents, because changes of the view or the routes made its
	// candidate search start over again and again.
	ViewChanges
	// MayBeOpen means that a target may have accepted the flow of an opening packet, so that the caller is not sent a reset.
	MayBeOpen
	// Overload means that the opening packet timed out at an agent while it waited for room at the target.
	Overload
	// UnknownHistory means that the balancer does not know which services the route has named before, and that there are too many
	// to search all of them.
	UnknownHistory
	// Evacuated means that every target of the route's services is in an evacuated availability zone.
	Evacuated
)

// String returns the name that metrics and logs use.
func (r Reason) String() string {
	return [...]string{
		"candidates", "located", "no_configuration", "no_route", "no_target", "all_declined",
		"reset_of_unknown_flow", "view_changes", "may_be_open", "overload",
		"unknown_history", "evacuated",
	}[r]
}

// Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Agent is the agent to send to, for Forward. Header is the header of the frame, or, for Revalidate and ConfirmTable, what
	// HandleRevalidated and HandleTableConfirmed need.
	Agent  hop.IP
	Header hop.Header
	// Skipped is the flow's first candidate, when HasSkipped is set. It does not answer pings, so the candidate search
	// starts with the next one. The target beside it may still hold the flow, so it is sent a copy of the packet.
	Skipped    hop.IP
	HasSkipped bool
	// Route is the route of the flow, or nil when it has none.
	Route *desired.Route
}

// Machine decides on packets. It holds the routes, the view of the targets and the known locations of flows.
type Machine struct {
	self  hop.IP
	table *desired.Table
	// tableSince is when table came into force.
	tableSince time.Time
	view       *directory.View
	// epoch changes with the table and the view, since both determine the order of candidates.
	epoch     uint16
	history   serviceHistory
	locations locationCache
	// rotatedAt is when the locations were last rotated because of their age.
	rotatedAt time.Time
}

// New returns the Machine of the balancer at the address self. It has no table and an empty view.
func New(self hop.IP) *Machine {
	return &Machine{
		self: self, view: &directory.View{}, locations: newLocationCache(),
		history: newServiceHistory(),
	}
}

// Table returns the table in force, or nil if there is none yet.
func (s *Machine) Table() *desired.Table { return s.table }

// TableSince returns when the table in force came into force, or the zero time if there is none.
func (s *Machine) TableSince() time.Time { return s.tableSince }

// SetView replaces the view of the targets.
func (s *Machine) SetView(view *directory.View) {
	if view != s.view {
		s.view = view
		s.epoch++
	}
}

// SetTable replaces the table in force with the one that follows it. It reports false, and changes nothing, when the version of
// table is not above that of the table in force.
func (s *Machine) SetTable(now time.Time, table *desired.Table) bool {
	h := desired.History{Version: table.Version, From: table.Version}
	if s.table != nil {
		h.From = s.table.Version
	}
	return s.SetTableWithHistory(now, table, h)
}

// SetTableWithHistory replaces the table in force with a newer one, like SetTable. Versions may lie between the two; h is the
// history that ends with the new table. Its field From is zero if nothing is known of earlier versions.
func (s *Machine) SetTableWithHistory(now time.Time, table *desired.Table, h desired.History) bool {
	if s.table != nil && table.Version <= s.table.Version {
		return false
	}
	if s.table != nil {
		s.history.recordReplacement(now, s.table, table)
	}
	if h.From == 0 {
		h.From = table.Version
	}
	if s.table == nil || s.table.Version < h.From {
		s.history.from, s.history.since = h.From, now.Add(-h.KnownFor)
	}
	s.table, s.tableSince = table, now
	s.history.merge(now, table.Version, h)
	s.epoch++
	return true
}

// SetLocation records that an agent, beside a target of a service, holds a flow. Copies of the opening packet follow the location only
// if the opening is known.
func (s *Machine) SetLocation(now time.Time, id flow.ID, opening flow.Opening, agent hop.IP, service desired.ServiceKey) {
	if now.Sub(s.rotatedAt) > flow.Lifetime {
		s.locations.rotate()
		s.rotatedAt = now
	}
	s.locations.put(id, newLocation(opening, agent, service))
}

// Decide returns the decision for a packet that has just arrived from a caller.
func (s *Machine) Decide(now time.Time, p *flow.Packet) Decision {
	id := p.IDFromCaller()
	route, refusal := s.findRoute(p, id, false, false)
	if route == nil {
		return refusal
	}
	known, ok := s.locations.get(id)
	if ok && p.Opens && !known.isOf(p, route) {
		ok = false
		if p.Retransmissions == 0 {
			s.locations.remove(id)
		}
	}
	if !ok || !s.view.IsKnown(known.agent) {
		return s.searchCandidates(now, p, Decision{Route: route}, 0, false)
	}
	d := Decision{
		Verdict: Forward, Reason: KnownLocation, Route: route, Agent: known.agent,
		Header: hop.Header{Kind: hop.Forward, Origin: s.self, Epoch: s.epoch, Service: uint64(known.service)},
	}
	s.setPriority(&d, p)
	return d
}

// setPriority writes the priority and the latency objective of the route into the header of an opening packet.
func (s *Machine) setPriority(d *Decision, p *flow.Packet) {
	if p.Opens {
		d.Header.PriorityOffset = s.table.PriorityOffset(d.Route)
		d.Header.RunsOnce = d.Route.RunsOnce
		d.Header.Objective = uint16(min(d.Route.Objective.Milliseconds(), math.MaxUint16))
	}
}

// HandleReturned returns the decision for a packet that came back with the header h because all candidates of its frame have
// declined it. When the view or the routes have changed since the candidate search started, the order may have changed too,
// and the search starts over.
func (s *Machine) HandleReturned(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	id := p.IDFromCaller()
	s.locations.remove(id)
	route, refusal := s.findRoute(p, id, h.MayBeOpen, false)
	switch {
	case route == nil:
		return refusal
	case h.Hops > maxHops:
		return Decision{Verdict: Drop, Reason: ViewChanges, Route: route}
	}
	d := Decision{Route: route, Header: hop.Header{
		MayBeOpen: h.MayBeOpen, Hops: h.Hops, BusyCount: h.BusyCount, MustAccept: h.MustAccept,
	}}
	if h.Epoch == s.epoch {
		return s.searchCandidates(now, p, d, int(h.CandidatesTried), h.IsRevalidated)
	}
	return s.searchCandidates(now, p, d, 0, false)
}

// HandleRefused returns the decision for an opening packet that came back with the header h in a hop.Refused frame: it
// timed out at an agent while it waited for room at the target, or the agent's queue was full. It is not sent to another
// target, where it would wait again. The caller is sent a reset, unless another target may have accepted a copy of the packet.
func (s *Machine) HandleRefused(p *flow.Packet, h *hop.Header) Decision {
	route, refusal := s.findRoute(p, p.IDFromCaller(), h.MayBeOpen, false)
	switch {
	case route == nil:
		return refusal
	case h.MayBeOpen:
		return Decision{Verdict: Drop, Reason: MayBeOpen, Route: route}
	default:
		return Decision{Verdict: Reset, Reason: Overload, Route: route}
	}
}

// HandleRevalidated returns the decision for a packet whose candidate search with the header h was exhausted, after the targets
// have been read from the store again. Flows are placed only on targets that the store holds, so the view now contains the
// target of the flow if the flow is open. When the view and the routes are still those of the search, no target holds the flow.
// Otherwise the search starts over.
func (s *Machine) HandleRevalidated(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	return s.decideRevalidated(now, p, h, false)
}

// HandleTableConfirmed is HandleRevalidated for a packet with the verdict ConfirmTable: the table in force is also known to have been
// the newest one after the packet had arrived. A flow that was open by then has no route any more if that table lacks it.
func (s *Machine) HandleTableConfirmed(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	return s.decideRevalidated(now, p, h, true)
}

// decideRevalidated decides on a packet after the view has been read again and, if isTableCurrent is set, the table was confirmed.
func (s *Machine) decideRevalidated(now time.Time, p *flow.Packet, h *hop.Header, isTableCurrent bool) Decision {
	route, refusal := s.findRoute(p, p.IDFromCaller(), h.MayBeOpen, isTableCurrent)
	if route == nil {
		return refusal
	}
	if h.Epoch == s.epoch {
		d := Decision{Route: route, Header: hop.Header{MayBeOpen: h.MayBeOpen}}
		return s.decideExhausted(now, p, d, true, isTableCurrent)
	}
	return s.searchCandidates(now, p, Decision{Route: route, Header: hop.Header{MayBeOpen: h.MayBeOpen}}, 0, true)
}

// searchCandidates returns the decision to forward a packet to the next candidates after the given number of tried ones. When
// none is left, it returns the decision for an exhausted search. It completes d, which holds the route and the results of the
// earlier frames. isRevalidated is set when the targets have been read from the store again for this packet.
func (s *Machine) searchCandidates(now time.Time, p *flow.Packet, d Decision, tried int, isRevalidated bool) Decision {
	d.Verdict = Forward
	d.Header.Kind, d.Header.Origin = hop.Forward, s.self
	d.Header.Epoch, d.Header.IsRevalidated = s.epoch, isRevalidated
	if !s.setCandidates(&d, now, p, tried) {
		if d.Header.BusyCount == 0 {
			return s.decideExhausted(now, p, d, isRevalidated, false)
		}
		// Targets that were only busy are sent the opening packet once more. This time they must accept it.
		d.Header.BusyCount, d.Header.MustAccept = 0, true
		return s.searchCandidates(now, p, d, 0, isRevalidated)
	}
	// PopCandidate counts a hop, but Hops counts only the agents that forwarded the packet, not the balancer.
	hops := d.Header.Hops
	d.Agent, _ = d.Header.PopCandidate()
	d.Header.Hops = hops
	if tried == 0 && !p.Opens {
		d.Skipped, d.HasSkipped = s.view.SkippedCandidate(desired.ServiceKey(d.Header.Service), p.IDFromCaller().Hash())
		d.HasSkipped = d.HasSkipped && d.Skipped != d.Agent
	}
	return d
}

// SkippedHeader returns the header of the copy that is sent to the skipped candidate. Its hop count is 1, so that an agent
// whose target holds the flow reports the flow's location to the balancer, as agents do for packets that others forwarded.
func (d *Decision) SkippedHeader() hop.Header {
	h := d.Header
	h.IsDuplicate, h.CandidateCount, h.Hops = true, 0, 1
	return h
}

// findRoute returns the route of a flow. When there is none, it returns nil and the decision for the packet. A flow that may be open, by
// its packet or by what agents have reported (mayBeOpen), is reset for want of a route only if the table is current: a newer one, which
// this balancer does not have yet, may have added the route.
func (s *Machine) findRoute(p *flow.Packet, id flow.ID, mayBeOpen, isTableCurrent bool) (*desired.Route, Decision) {
	if s.table == nil {
		return nil, Decision{Verdict: Drop, Reason: NoConfiguration}
	}
	if route := s.table.Route(id.Address); route != nil {
		return route, Decision{}
	}
	d := Decision{Verdict: Reset, Reason: NoRoute, Header: hop.Header{Epoch: s.epoch, MayBeOpen: mayBeOpen}}
	switch {
	case p.Resets:
		d.Verdict = Drop
	case !isTableCurrent && (mayBeOpen || packetKind(p) != directory.OpeningPacket):
		d.Verdict = ConfirmTable
	}
	return nil, d
}

// decideExhausted returns the decision for a packet that every candidate has declined. If it is the first copy of an opening
// packet, no target has accepted the flow, and the caller is sent a reset at once. A flow that may be open, including that of
// a retransmitted opening packet, is reset only after a revalidation has shown that no target can hold it. An open flow is not reset
// at all while it may be open at a service that has not been searched. Where not every service is searched, a newer table may name one
// of the others, so the table has to be current too.
func (s *Machine) decideExhausted(now time.Time, p *flow.Packet, d Decision, isRevalidated, isTableCurrent bool) Decision {
	d.Verdict, d.Reason = Reset, AllDeclined
	switch {
	case s.view.Len() == 0:
		d.Reason = NoTarget
	case p.Opens && s.isEvacuated(d.Route):
		d.Reason = Evacuated
	}
	switch {
	case p.Resets:
		d.Verdict, d.Reason = Drop, ResetOfUnknownFlow
	case p.Opens && d.Header.MayBeOpen:
		d.Verdict, d.Reason = Drop, MayBeOpen
	case packetKind(p) != directory.OpeningPacket:
		return s.decideUnlocated(now, p, d, isRevalidated, isTableCurrent)
	}
	return d
}

// decideUnlocated returns the decision for a packet of a flow that may be open and that no candidate holds. It completes d, which resets
// the flow.
func (s *Machine) decideUnlocated(now time.Time, p *flow.Packet, d Decision, isRevalidated, isTableCurrent bool) Decision {
	switch {
	case !p.Opens && !s.canSearchAll(now):
		d.Verdict, d.Reason = Drop, UnknownHistory
	case !p.Opens && !s.searchesAllServices() && !isTableCurrent:
		d.Verdict = ConfirmTable
		if isRevalidated {
			// The routes or the view have changed during the revalidation. The caller repeats the packet.
			d.Verdict, d.Reason = Drop, ViewChanges
		}
	case !isRevalidated:
		d.Verdict = Revalidate
	case p.Opens && s.mayBeOpening(now, d.Route, p.Destination):
		d.Verdict, d.Reason = Drop, MayBeOpen
	}
	return d
}

// isEvacuated reports whether no service of a route has a target outside the evacuated availability zones.
func (s *Machine) isEvacuated(route *desired.Route) bool {
	hasEvacuated := false
	for i := range route.Services {
		service := route.Services[i].Service
		hasEvacuated = hasEvacuated || s.view.IsEvacuated(service)
		if len(s.view.Pool(service)) > 0 && !s.view.IsEvacuated(service) {
			return false
		}
	}
	return hasEvacuated
}

// setCandidates writes the next candidates after the given number of tried ones into the header. The candidates of a header
// belong to one service, since agents of other services decline the packet. It reports false when no candidate is left.
func (s *Machine) setCandidates(d *Decision, now time.Time, p *flow.Packet, tried int) bool {
	id := p.IDFromCaller()
	hash := id.Hash()
	s.setPriority(d, p)
	var buffer [serviceBufferSize]desired.ServiceKey
	// earlier counts the candidates of the services whose candidates have all been tried.
	earlier := 0
	for _, service := range s.appendServices(buffer[:0], now, d.Route, id, hash, p.Opens) {
		candidates, total := s.view.CandidateOrder(service, hash, packetKind(p), tried-earlier, make([]hop.IP, 0, hop.MaxCandidates))
		if len(candidates) == 0 {
			earlier += total
			continue
		}
		d.Header.Service = uint64(service)
		d.Header.CandidateCount = uint8(copy(d.Header.Candidates[:], candidates))
		d.Header.CandidatesTried = uint8(min(tried+len(candidates), maxCandidatesTried))
		return true
	}
	return false
}

// packetKind returns the kind of a caller's packet, which determines the candidates and their order.
func packetKind(p *flow.Packet) directory.PacketKind {
	switch {
	case !p.Opens:
		return directory.OpenFlowPacket
	case p.Retransmissions == 0:
		return directory.OpeningPacket
	default:
		return directory.RetransmittedOpeningPacket
	}
}

const (
	// maxHops bounds the number of agents that a packet visits when its candidate search starts over again and again, because
	// the view keeps changing. It leaves room for the hops of another frame in hop.Header.Hops, which is one byte.
	maxHops = 200
	// serviceBufferSize is the number of services per flow up to which a decision needs no allocation for them.
	serviceBufferSize = 8
	// maxCandidatesTried is the largest value of hop.Header.CandidatesTried, which is one byte.
	maxCandidatesTried = 255
)

// appendServices appends to out the services whose targets may hold the flow, in the order in which they are searched: the
// service that new flows with this hash go to, then the other services of the route, then, unless the packet opens the flow,
// the previous services of the route, and those that a table which this balancer does not know may have named.
func (s *Machine) appendServices(
	out []desired.ServiceKey, now time.Time, route *desired.Route, id flow.ID, hash uint64, opens bool,
) []desired.ServiceKey {
	best, topScore := 0, -1.0
	for i := range route.Services {
		weighted := &route.Services[i]
		if score := rendezvous.Score(hash, uint64(weighted.Service), weighted.Weight); score > topScore {
			best, topScore = i, score
		}
	}
	if len(route.Services) > 0 {
		out = append(out, route.Services[best].Service)
	}
	for i := range route.Services {
		if i != best && (!opens || route.Services[i].Weight > 0) {
			out = append(out, route.Services[i].Service)
		}
	}
	if opens {
		return out
	}
	for _, previous := range s.history.previous[id.Address] {
		if now.Before(previous.expiresAt) && !route.HasService(previous.service) {
			out = append(out, previous.service)
		}
	}
	return s.appendUnnamedServices(out)
}
