// Package resident decides at an agent what becomes of the packets of opaque flows of the target beside it. It is a pure
// state machine: it holds no socket and no clock.
package resident

import (
	"time"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
)

// Verdict is what becomes of a packet.
type Verdict uint8

// The verdicts.
const (
	// Deliver gives the packet to the target with the mark.
	Deliver Verdict = iota + 1
	// ForwardNext sends the packet to the agent that is the next candidate.
	ForwardNext
	// ReturnToBalancer returns the packet to the balancer, since no candidate is left.
	ReturnToBalancer
	// SendToCaller sends the target's packet to the caller.
	SendToCaller
	// Drop discards the packet.
	Drop
	// Wait keeps the packet, which opens a flow, until the target has room: until HasRoom reports so.
	Wait
)

// String returns the name that metrics and logs use.
func (v Verdict) String() string {
	return [...]string{"invalid", "deliver", "pass_on", "give_back", "answer", "drop", "wait"}[v]
}

// Reason tells what a verdict rests on.
type Reason uint8

// The reasons.
const (
	Accepting Reason = iota
	Held
	OtherService
	Draining
	Absent
	Silent
	Bounced
	Stale
	Busy
	Forgotten
	NotHeld
	Stopping
	Joining
)

// String returns the name that metrics and logs use.
func (r Reason) String() string {
	return [...]string{
		"accepting", "held", "other_service", "draining", "absent", "silent", "bounced", "stale_mark", "busy", "forgotten",
		"not_held", "stopping", "joining",
	}[r]
}

// Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Mark goes with a delivered packet.
	Mark uint32
	// Next is the agent to pass the packet on to.
	Next hop.IP
	// Header goes with a packet that is passed on or given back.
	Header hop.Header
	// PreviousInstance is the instance that held the flow, for Forgotten.
	PreviousInstance string
	// NotifyOrigin is set when the balancer that sent the packet has to learn that the flow is here.
	NotifyOrigin bool
}

// Bounds of the marks, and times of openings and hints.
const (
	// markSlots bounds the packets that can be at the target at once and still be passed on when it bounces them. A power of
	// two.
	markSlots = 4096
	// openingLifetime is the time for which callers repeat an opening (1.4 s), and a margin for its way. An agent that
	// started later than that ago may have known the flow in its former run.
	openingLifetime = 2 * time.Second
	// hintInterval is the least time between two hints to balancers on one flow. A hint can be lost, and after a change
	// of rotation another balancer needs it.
	hintInterval = 100 * time.Millisecond
)

// mark is a packet that was delivered and may bounce.
type mark struct {
	sequence uint32
	header   hop.Header
}

// Machine is the state of the decisions on one target.
type Machine struct {
	self      hop.IP
	startedAt time.Time
	// serviceName is the name of the service.
	serviceName string
	service     desired.ServiceKey
	// flowLifetime is the age from which on the platform lets a flow be discarded.
	flowLifetime time.Duration
	target       target
	flows        map[flow.ID]*held
	// incompleteUntil is when the last flow that the table may lack has reached its lifetime.
	incompleteUntil time.Time
	marks           [markSlots]mark
	// sequence numbers the delivered packets, from 1.
	sequence uint32
	// waiting is the number of flows whose isWaiting is set, asked that of those whose caller has sent a request, queued the
	// number of openings that wait for room.
	waiting, asked, queued int
	sweptAt                time.Time
	pace                   pace
}

// New returns the state of an agent at the address self, beside a target that runs a service, that starts now. A flow older
// than flowLifetime may be discarded.
func New(now time.Time, self hop.IP, service string, flowLifetime time.Duration) *Machine {
	r := &Machine{
		self: self, startedAt: now, serviceName: service, service: desired.ServiceKeyOf(service), flowLifetime: flowLifetime,
		flows: make(map[flow.ID]*held),
	}
	r.miss(now)
	return r
}

// HandleCallerPacket returns the decision for a caller's packet that a balancer or another agent sent.
func (r *Machine) HandleCallerPacket(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	if h.Service != uint64(r.service) {
		return decline(h, OtherService)
	}
	id := p.IDFromCaller()
	f := r.flows[id]
	if f == nil && p.Opens {
		h.MayBeOpen = h.MayBeOpen || p.Retransmissions > 0 && now.Sub(r.startedAt) < openingLifetime && !r.IsFlowTableComplete(now)
		return r.opens(now, id, h)
	}
	if r.target.isMissed || r.target.hasLeft && f == nil {
		return decline(h, Absent)
	}
	if f == nil && r.IsFlowTableComplete(now) {
		return decline(h, NotHeld)
	}
	d := Decision{Verdict: Deliver, Mark: r.remember(h)}
	if f != nil {
		d.Reason = Held
		d.NotifyOrigin = r.touch(now, id, f, p) && h.Hops > 0 && r.mayHint(now, f)
	}
	return d
}

// remember keeps the header of a delivered packet until the target may have bounced it.
func (r *Machine) remember(h *hop.Header) uint32 {
	r.sequence++
	r.marks[r.sequence%markSlots] = mark{sequence: r.sequence, header: *h}
	return r.sequence
}

// HandleTargetPacket returns the decision for a packet that the target sent.
func (r *Machine) HandleTargetPacket(now time.Time, p *flow.Packet) Decision {
	if p.IsBounced {
		r.target.reacted()
		return r.bounced(p)
	}
	if p.Accepts || p.Payload > 0 {
		r.target.heard()
	} else {
		r.target.reacted()
	}
	id := p.IDFromTarget()
	f := r.flows[id]
	switch {
	case p.Accepts:
		accepted := r.hold(now, id)
		accepted.isAccepted, accepted.acceptedAt = true, now
	case f == nil:
	case p.Resets:
		r.forget(id, f)
	default:
		r.answered(now, f, p)
	}
	return Decision{Verdict: SendToCaller}
}

func (r *Machine) bounced(p *flow.Packet) Decision {
	reason, former := Bounced, ""
	if f := r.flows[p.IDFromCaller()]; f != nil && (!p.Opens || !f.isAccepted) {
		if f.isServed {
			reason, former = Forgotten, r.target.instanceAt(f.acceptedAt)
		}
		r.forget(p.IDFromCaller(), f)
	}
	m := &r.marks[p.Mark%markSlots]
	if p.Mark == 0 || m.sequence != p.Mark {
		return Decision{Verdict: Drop, Reason: Stale}
	}
	m.sequence = 0
	d := decline(&m.header, reason)
	d.PreviousInstance = former
	return d
}

func decline(h *hop.Header, reason Reason) Decision {
	if h.IsDuplicate {
		return Decision{Verdict: Drop, Reason: reason}
	}
	d := Decision{Verdict: ForwardNext, Reason: reason, Header: *h}
	next, ok := d.Header.Next()
	if !ok && h.Busy > 0 && !h.MustAccept {
		return settle(h, reason)
	}
	if !ok {
		d.Verdict, d.Header.Kind = ReturnToBalancer, hop.Returned
		return d
	}
	d.Next = next
	return d
}
