// Package steer decides at a balancer what becomes of a caller's packet of an opaque flow. It is a pure state machine.
// A balancer needs no state to carry a flow: it offers a packet to the candidates of the flow in an order that all
// balancers share, and the agent whose target holds the flow keeps it.
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

// Verdict is what becomes of a packet.
type Verdict uint8

// The verdicts.
const (
	// Forward sends the packet to the first candidate.
	Forward Verdict = iota + 1
	// Reset tells the caller that the flow is not served.
	Reset
	// Drop discards the packet.
	Drop
	// Revalidate holds the packet until the targets have been read from the store anew. Then Confirmed decides.
	Revalidate
)

// String returns the name that metrics and logs use.
func (v Verdict) String() string {
	return [...]string{"invalid", "forward", "reset", "drop", "confirm"}[v]
}

// Reason tells what a verdict rests on.
type Reason uint8

// The reasons.
const (
	Placed Reason = iota
	KnownLocation
	NoTable
	NoRoute
	NoTarget
	Declined
	LateReset
	Churn
	MayBeOpen
	Overload
)

// String returns the name that metrics and logs use.
func (r Reason) String() string {
	return [...]string{
		"candidates", "located", "no_configuration", "no_route", "no_target", "all_declined",
		"reset_of_unknown_flow", "view_changes", "may_be_open", "overload",
	}[r]
}

// Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Agent is the agent to send to, for Forward.
	Agent  hop.IP
	Header hop.Header
	// Skipped is the first candidate, when HasPassed is set: it does not answer, so the walk begins behind it, and it gets
	// a copy of the packet.
	Skipped    hop.IP
	HasSkipped bool
	// Route is the route of the flow, or nil.
	Route *desired.Route
}

// former is a service that a route no longer names.
type former struct {
	service desired.ServiceKey
	until   time.Time
}

// Machine is the state of the decisions.
type Machine struct {
	self  hop.IP
	table *desired.Table
	view  *directory.View
	// epoch changes with the table and the view, and so with the order of candidates.
	epoch   uint16
	formers map[flow.Endpoint][]former
	located located
	rotated time.Time
}

// New returns the state of the balancer at the address self.
func New(self hop.IP) *Machine {
	return &Machine{
		self: self, view: &directory.View{}, formers: make(map[flow.Endpoint][]former), located: newLocated(),
	}
}

// Table returns the configuration in force, or nil.
func (s *Machine) Table() *desired.Table { return s.table }

// SetView replaces the view of the targets.
func (s *Machine) SetView(view *directory.View) {
	if view != s.view {
		s.view = view
		s.epoch++
	}
}

// SetTable puts a configuration in force unless its version is not above the one in force.
func (s *Machine) SetTable(now time.Time, table *desired.Table) bool {
	if s.table != nil && table.Version <= s.table.Version {
		return false
	}
	if s.table != nil {
		s.keepFormers(now, table)
	}
	s.table = table
	s.epoch++
	return true
}

// keepFormers remembers for the lifetime of a flow the services that routes no longer name, since open flows stay where they are.
func (s *Machine) keepFormers(now time.Time, next *desired.Table) {
	s.table.Each(func(address flow.Endpoint, route *desired.Route) {
		replacement := next.Route(address)
		if replacement == nil {
			delete(s.formers, address)
			return
		}
		for _, share := range route.Shares {
			if !replacement.HasService(share.Service) {
				s.formers[address] = append(s.formers[address], former{share.Service, now.Add(flow.Lifetime)})
			}
		}
	})
}

// SetLocation remembers that an agent, beside a target of a service, holds a flow.
func (s *Machine) SetLocation(now time.Time, id flow.ID, agent hop.IP, service desired.ServiceKey) {
	if now.Sub(s.rotated) > flow.Lifetime {
		s.located.rotate()
		s.rotated = now
	}
	s.located.put(id, place{agent, service})
}

// Decide returns the decision for a packet that a caller sent.
func (s *Machine) Decide(now time.Time, p *flow.Packet) Decision {
	id := p.IDFromCaller()
	route, refusal := s.route(p, id)
	if route == nil {
		return refusal
	}
	known, ok := s.located.get(id)
	if !ok || !s.view.IsKnown(known.agent) {
		return s.walk(now, p, Decision{Route: route}, 0, false)
	}
	d := Decision{
		Verdict: Forward, Reason: KnownLocation, Route: route, Agent: known.agent,
		Header: hop.Header{Kind: hop.Forward, Origin: s.self, Epoch: s.epoch, Service: uint64(known.service)},
	}
	s.setUrgency(&d, p)
	return d
}

// setUrgency tells in the header of an opening how urgent its route is.
func (s *Machine) setUrgency(d *Decision, p *flow.Packet) {
	if p.Opens {
		d.Header.PriorityOffset = s.table.PriorityOffset(d.Route)
		d.Header.Objective = uint16(min(d.Route.Objective.Milliseconds(), math.MaxUint16))
	}
}

// HandleReturned returns the decision for a packet that came back with the header h: its candidates have declined it. When the
// view or the routes have changed since the walk began, so may the order, and the walk begins anew.
func (s *Machine) HandleReturned(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	id := p.IDFromCaller()
	s.located.drop(id)
	route, refusal := s.route(p, id)
	switch {
	case route == nil:
		return refusal
	case h.Hops > maxHops:
		return Decision{Verdict: Drop, Reason: Churn, Route: route}
	}
	d := Decision{Route: route, Header: hop.Header{
		MayBeOpen: h.MayBeOpen, Hops: h.Hops, Busy: h.Busy, MustAccept: h.MustAccept,
	}}
	if h.Epoch == s.epoch {
		return s.walk(now, p, d, int(h.CandidatesTried), h.IsRevalidated)
	}
	return s.walk(now, p, d, 0, false)
}

// HandleRefused returns the decision for an opening with the header h that has waited in vain at an agent. At another target it
// would wait anew. When another target may have taken a copy, nothing is said.
func (s *Machine) HandleRefused(p *flow.Packet, h *hop.Header) Decision {
	route, refusal := s.route(p, p.IDFromCaller())
	switch {
	case route == nil:
		return refusal
	case h.MayBeOpen:
		return Decision{Verdict: Drop, Reason: MayBeOpen, Route: route}
	default:
		return Decision{Verdict: Reset, Reason: Overload, Route: route}
	}
}

// HandleRevalidated returns the decision for a packet whose walk with the header h has ended in vain, after the targets have been
// read from the store. A flow is placed only on a target that the store knows, so the view holds its target.
func (s *Machine) HandleRevalidated(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	route, refusal := s.route(p, p.IDFromCaller())
	if route == nil {
		return refusal
	}
	if h.Epoch == s.epoch {
		return s.exhausted(p, Decision{Route: route, Header: hop.Header{MayBeOpen: h.MayBeOpen}}, true)
	}
	return s.walk(now, p, Decision{Route: route, Header: hop.Header{MayBeOpen: h.MayBeOpen}}, 0, true)
}

// walk offers a packet to the candidates after the first walked ones. The decision holds what is known of the packet.
func (s *Machine) walk(now time.Time, p *flow.Packet, d Decision, walked int, isConfirmed bool) Decision {
	d.Verdict = Forward
	d.Header.Kind, d.Header.Origin = hop.Forward, s.self
	d.Header.Epoch, d.Header.IsRevalidated = s.epoch, isConfirmed
	if !s.fill(&d, now, p, walked) {
		if d.Header.Busy == 0 {
			return s.exhausted(p, d, isConfirmed)
		}
		// Targets that were only busy are offered the opening once more.
		d.Header.Busy, d.Header.MustAccept = 0, true
		return s.walk(now, p, d, 0, isConfirmed)
	}
	hops := d.Header.Hops
	d.Agent, _ = d.Header.Next()
	d.Header.Hops = hops
	if walked == 0 && !p.Opens {
		d.Skipped, d.HasSkipped = s.view.SkippedCandidate(desired.ServiceKey(d.Header.Service), p.IDFromCaller().Hash())
		d.HasSkipped = d.HasSkipped && d.Skipped != d.Agent
	}
	return d
}

// CopyHeader returns the header of the copy that goes to Passed. It counts a hop, so that an agent which holds the flow
// tells where it is.
func (d *Decision) CopyHeader() hop.Header {
	h := d.Header
	h.IsDuplicate, h.Count, h.Hops = true, 0, 1
	return h
}

func (s *Machine) route(p *flow.Packet, id flow.ID) (*desired.Route, Decision) {
	if s.table == nil {
		return nil, Decision{Verdict: Drop, Reason: NoTable}
	}
	if route := s.table.Route(id.Address); route != nil {
		return route, Decision{}
	}
	if p.Resets {
		return nil, Decision{Verdict: Drop, Reason: NoRoute}
	}
	return nil, Decision{Verdict: Reset, Reason: NoRoute}
}

// exhausted decides on a packet for which no candidate is left. A first opening has been accepted nowhere, so its caller
// is told at once. A flow that may be open, also that of a repeated opening, is reset only when it is confirmed that no
// target can hold it.
func (s *Machine) exhausted(p *flow.Packet, d Decision, isConfirmed bool) Decision {
	d.Verdict, d.Reason = Reset, Declined
	if s.view.Len() == 0 {
		d.Reason = NoTarget
	}
	switch {
	case p.Resets:
		d.Verdict, d.Reason = Drop, LateReset
	case p.Opens && d.Header.MayBeOpen:
		d.Verdict, d.Reason = Drop, MayBeOpen
	case !isConfirmed && (!p.Opens || p.Retransmissions > 0):
		d.Verdict = Revalidate
	}
	return d
}

// fill puts the candidates after the first walked ones into the header. They are of one service, which the agents
// compare with their own. It reports false when none is left.
func (s *Machine) fill(d *Decision, now time.Time, p *flow.Packet, walked int) bool {
	id := p.IDFromCaller()
	hash := id.Hash()
	s.setUrgency(d, p)
	var buffer [maxGroups]desired.ServiceKey
	skipped := 0
	for _, service := range s.groups(buffer[:0], now, d.Route, id, hash, p.Opens) {
		candidates, total := s.view.CandidateOrder(service, hash, audience(p), walked-skipped, make([]hop.IP, 0, hop.MaxCandidates))
		if len(candidates) == 0 {
			skipped += total
			continue
		}
		d.Header.Service = uint64(service)
		d.Header.Count = uint8(copy(d.Header.Candidates[:], candidates))
		d.Header.CandidatesTried = uint8(min(walked+len(candidates), maxWalked))
		return true
	}
	return false
}

func audience(p *flow.Packet) directory.PacketKind {
	switch {
	case !p.Opens:
		return directory.OpenFlowPacket
	case p.Retransmissions == 0:
		return directory.OpeningPacket
	default:
		return directory.RepeatedOpeningPacket
	}
}

const (
	// maxHops bounds the agents that a packet visits while the view changes again and again.
	maxHops = 200
	// maxGroups is the number of services of a flow up to which the decision needs no allocation.
	maxGroups = 8
	// maxWalked is the largest number of candidates that a frame can count.
	maxWalked = 255
)

// groups appends the services that may hold the flow: the one that new flows with this hash go to, then the route's
// others, then for open flows those that the route named before.
func (s *Machine) groups(
	out []desired.ServiceKey, now time.Time, route *desired.Route, id flow.ID, hash uint64, opens bool,
) []desired.ServiceKey {
	best, top := 0, -1.0
	for i := range route.Shares {
		share := &route.Shares[i]
		if score := rendezvous.Score(hash, uint64(share.Service), share.Weight); score > top {
			best, top = i, score
		}
	}
	if len(route.Shares) > 0 {
		out = append(out, route.Shares[best].Service)
	}
	for i := range route.Shares {
		if i != best && (!opens || route.Shares[i].Weight > 0) {
			out = append(out, route.Shares[i].Service)
		}
	}
	if opens {
		return out
	}
	for _, f := range s.formers[id.Address] {
		if now.Before(f.until) && !route.HasService(f.service) {
			out = append(out, f.service)
		}
	}
	return out
}
