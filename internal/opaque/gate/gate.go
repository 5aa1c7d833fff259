// Package gate combines the decisions of an agent of opaque flows: which packets its target gets (package resident), and in
// which order the opening packets that wait for the target are delivered (package admission). It is a pure state machine.
package gate

import (
	"time"

	"gentianswitch/internal/opaque/admission"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
)

const (
	// ExpiryInterval is the time between two checks for opening packets that have reached their wait limit. It is short
	// compared with that limit of 1.2 s (admission.MaxWait).
	ExpiryInterval = 50 * time.Millisecond
	// SweepInterval is the time between two sweeps of the flow table. It is a fraction of the time for which entries are kept.
	SweepInterval = time.Second
)

// Gate decides on the packets of an agent of opaque flows and queues the opening packets that wait. T is what the agent keeps
// for a pending opening packet, for example its datagram. The methods of Gate must not be called concurrently.
type Gate[T any] struct {
	*resident.Machine
	pending admission.Queue[pendingPacket[T]]
}

// pendingPacket is an opening packet that waits for room at the target.
type pendingPacket[T any] struct {
	packet     flow.Packet
	header     hop.Header
	item       T
	enqueuedAt time.Time
}

// Released is an opening packet that no longer waits, with the decision about it.
type Released[T any] struct {
	Packet   flow.Packet
	Decision resident.Decision
	Item     T
	// Waited is the time that the packet has spent in the queue.
	Waited time.Duration
}

// New returns a gate with an empty queue that makes its decisions with r.
func New[T any](r *resident.Machine) *Gate[T] { return &Gate[T]{Machine: r} }

// PendingCount returns the number of opening packets that wait.
func (g *Gate[T]) PendingCount() int { return g.pending.Len() }

// HandleCallerPacket returns the decision for a packet of a caller, which a balancer or another agent sent. When the packet
// has to wait, it is queued together with the result of item. If the queue was full, isDisplaced is true and displaced is the
// opening packet that was removed from it.
func (g *Gate[T]) HandleCallerPacket(
	now time.Time, p *flow.Packet, h *hop.Header, item func() T,
) (d resident.Decision, displaced Released[T], isDisplaced bool) {
	g.SetPendingCount(g.pending.Len())
	d = g.Machine.HandleCallerPacket(now, p, h)
	switch {
	case d.Verdict == resident.Deliver && p.Opens:
		g.pending.Remove(p.IDFromCaller())
	case d.Verdict == resident.Wait:
		g.pending.Limit, g.pending.SlotInterval = g.Capacity(admission.MaxWait), g.SlotInterval()
		last, isFull := g.pending.Enqueue(now, admission.PendingFlow[pendingPacket[T]]{
			ID: p.IDFromCaller(), Retransmissions: p.Retransmissions,
			Urgency: admission.Urgency{PriorityOffset: h.PriorityOffset, Objective: time.Duration(h.Objective) * time.Millisecond},
			Item:    pendingPacket[T]{packet: *p, header: *h, item: item(), enqueuedAt: now},
		})
		if isFull {
			return d, g.refuse(now, &last), true
		}
	}
	return d, displaced, false
}

// Next removes and returns the opening packet that the target gets next. It reports false when none waits or the target has no
// room or may receive no further opening packet for now.
func (g *Gate[T]) Next(now time.Time) (Released[T], bool) {
	if g.pending.Len() == 0 || g.IsAtOpeningLimit(now) || !g.hasRoomAfterSweep(now) {
		return Released[T]{}, false
	}
	next, _ := g.pending.Pop(now)
	return newReleased(now, &next, g.AdmitPending(now, &next.Item.packet, &next.Item.header)), true
}

// hasRoomAfterSweep reports whether the target has room, if necessary after a sweep: flows whose callers have left then no
// longer count.
func (g *Gate[T]) hasRoomAfterSweep(now time.Time) bool {
	if !g.HasRoom(now) {
		g.Sweep(now)
	}
	return g.HasRoom(now)
}

// NextExpired removes and returns an opening packet that has reached its wait limit. It is delivered when the target can still
// answer within the objective, because a caller whose flow is open continues to wait, and may receive an opening packet. Otherwise it is
// returned to the balancer.
// NextExpired reports false when there is none.
func (g *Gate[T]) NextExpired(now time.Time) (Released[T], bool) {
	expired, ok := g.pending.PopExpired(now)
	if !ok {
		return Released[T]{}, false
	}
	h := &expired.Item.header
	if left := expired.Urgency.Objective - admission.MaxWait; g.CanAnswerWithin(left) && !g.IsAtOpeningLimit(now) {
		return newReleased(now, &expired, g.AdmitPending(now, &expired.Item.packet, h)), true
	}
	return g.refuse(now, &expired), true
}

// NextRedirect removes and returns an opening packet that goes to the next candidate for a reason: this agent shuts down, or its zone is
// evacuated. It reports false when none waits.
func (g *Gate[T]) NextRedirect(now time.Time, reason resident.Reason) (Released[T], bool) {
	next, ok := g.pending.Pop(now)
	if !ok {
		return Released[T]{}, false
	}
	return newReleased(now, &next, resident.Redirect(&next.Item.header, reason)), true
}

// refuse releases an opening packet that goes back to the balancer, since it found no room.
func (g *Gate[T]) refuse(now time.Time, f *admission.PendingFlow[pendingPacket[T]]) Released[T] {
	return newReleased(now, f, g.RefusePending(&f.Item.header, f.MayBeAcceptedElsewhere))
}

func newReleased[T any](now time.Time, f *admission.PendingFlow[pendingPacket[T]], d resident.Decision) Released[T] {
	return Released[T]{Packet: f.Item.packet, Decision: d, Item: f.Item.item, Waited: now.Sub(f.Item.enqueuedAt)}
}
