// Package gate joins the decisions at an agent of opaque flows: which packets its target gets (resident), and in which order the
// openings that wait for it are offered (admission). It is a pure state machine.
package gate

import (
	"time"

	"gentianswitch/internal/opaque/admission"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
)

const (
	// OverdueInterval is the time between two looks for openings that have waited for too long: short beside their 1.2 s.
	OverdueInterval = 50 * time.Millisecond
	// SweepInterval is the time between two looks for flows that have ended, a fraction of the times that they are kept.
	SweepInterval = time.Second
)

// Gate is the state of the decisions at an agent. T goes with an opening that waits: its datagram.
type Gate[T any] struct {
	*resident.Machine
	openings admission.Queue[opening[T]]
}

// opening is a packet that opens a flow and waits for room at the target.
type opening[T any] struct {
	packet flow.Packet
	header hop.Header
	item   T
	since  time.Time
}

// Released is an opening that waits no longer.
type Released[T any] struct {
	Packet   flow.Packet
	Decision resident.Decision
	Item     T
	Waited   time.Duration
}

// New returns the gate of a target.
func New[T any](r *resident.Machine) *Gate[T] { return &Gate[T]{Machine: r} }

// PendingCount returns the number of openings that wait.
func (g *Gate[T]) PendingCount() int { return g.openings.Len() }

// HandleCallerPacket returns the decision for a caller's packet that a balancer or another agent sent. An opening that has to wait is kept with
// the item. It reports true with an opening that had to make room for it.
func (g *Gate[T]) HandleCallerPacket(now time.Time, p *flow.Packet, h *hop.Header, item func() T) (d resident.Decision, displaced Released[T], isDisplaced bool) {
	g.SetQueued(g.openings.Len())
	d = g.Machine.HandleCallerPacket(now, p, h)
	switch {
	case d.Verdict == resident.Deliver && p.Opens:
		g.openings.Remove(p.IDFromCaller())
	case d.Verdict == resident.Wait:
		g.openings.Limit = g.Capacity(admission.MaxWait)
		last, isFull := g.openings.Enqueue(now, admission.PendingFlow[opening[T]]{
			ID: p.IDFromCaller(), Copies: p.Retransmissions,
			Urgency: admission.Urgency{Deferral: h.PriorityOffset, Objective: time.Duration(h.Objective) * time.Millisecond},
			Item:    opening[T]{packet: *p, header: *h, item: item(), since: now},
		})
		if isFull {
			return d, g.giveUp(now, &last), true
		}
	}
	return d, displaced, false
}

// Next returns the opening that is offered to the target next. It reports false while none waits or the target has no room.
func (g *Gate[T]) Next(now time.Time) (Released[T], bool) {
	if g.openings.Len() == 0 || !g.hasRoom(now) {
		return Released[T]{}, false
	}
	next, _ := g.openings.Pop(now)
	return released(now, &next, g.AdmitPending(now, next.ID, &next.Item.header)), true
}

// hasRoom reports whether the target has room once flows without a caller are left out.
func (g *Gate[T]) hasRoom(now time.Time) bool {
	if !g.HasRoom(now) {
		g.Sweep(now)
	}
	return g.HasRoom(now)
}

// NextExpired returns an opening whose caller is about to give it up. The target takes it when it can still answer within the
// objective: once the flow is open, its caller goes on waiting. It reports false when there is none.
func (g *Gate[T]) NextExpired(now time.Time) (Released[T], bool) {
	overdue, ok := g.openings.PopExpired(now)
	if !ok {
		return Released[T]{}, false
	}
	h := &overdue.Item.header
	if left := overdue.Urgency.Objective - admission.MaxWait; g.CanAnswerWithin(left) {
		return released(now, &overdue, g.AdmitPending(now, overdue.ID, h)), true
	}
	return g.giveUp(now, &overdue), true
}

// NextRedirect returns an opening that goes to another agent, since this one ends. It reports false when none waits.
func (g *Gate[T]) NextRedirect(now time.Time) (Released[T], bool) {
	next, ok := g.openings.Pop(now)
	if !ok {
		return Released[T]{}, false
	}
	return released(now, &next, resident.Redirect(&next.Item.header)), true
}

func (g *Gate[T]) giveUp(now time.Time, o *admission.PendingFlow[opening[T]]) Released[T] {
	return released(now, o, g.HandleWaitExpired(&o.Item.header, o.MayBeAcceptedElsewhere))
}

func released[T any](now time.Time, o *admission.PendingFlow[opening[T]], d resident.Decision) Released[T] {
	return Released[T]{Packet: o.Item.packet, Decision: d, Item: o.Item.item, Waited: now.Sub(o.Item.since)}
}
