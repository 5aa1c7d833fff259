// Package admission orders the flows that wait at an agent because their target is busy. It is a pure state machine: the
// time is an argument of its methods.
//
// After a power failure, or when doors open, all callers come at once, and a target that serves them in order of arrival is
// late for all of them. Therefore flows that can still be answered within their objective go before those that cannot, and
// flows of urgent routes before others.
package admission

import (
	"time"

	"gentianswitch/internal/opaque/flow"
)

const (
	// maxPending bounds the flows in a queue and their memory. It is the only bound while the target's service times are not
	// known.
	maxPending = 256
	// MaxWait is the wait limit of a flow, counted from its first opening packet. Callers give up 1.4 s after that packet. The
	// difference is for the network and the handshake.
	MaxWait = 1200 * time.Millisecond
)

// OpeningSendTimes are the times at which a caller sends its opening packet and the copies of it, counted from the first one.
var OpeningSendTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Urgency describes how urgent a flow is. It depends on the flow's route. The balancer sends it along with the opening packet.
type Urgency struct {
	// PriorityOffset is the number of steps below the most urgent route, which has 0.
	PriorityOffset uint8
	// Objective is the time from the caller's first opening packet within which an answer is fully useful.
	Objective time.Duration
}

// PendingFlow is a flow whose opening packet waits for room at the target.
type PendingFlow[T any] struct {
	ID      flow.ID
	Urgency Urgency
	// Retransmissions is the number of copies of the opening packet that the caller sent before this one.
	Retransmissions uint32
	// Item is what the user of the queue keeps with the flow.
	Item T
	// MayBeAcceptedElsewhere is set when the flow leaves the queue and the caller has sent an opening packet that did not come
	// here. Another target may have received that packet and accepted the flow.
	MayBeAcceptedElsewhere bool
}

// queuedFlow is a flow in the queue.
type queuedFlow[T any] struct {
	pending PendingFlow[T]
	// startedAt is the latest time at which the caller can have sent its first opening packet. It is computed from the arrival
	// times of its packets and the number of copies before each, because the first packet may not have come here.
	startedAt time.Time
	// receivedPackets has one bit for each opening packet that has come here. Bit 0 is the first packet, the others are its
	// copies.
	receivedPackets uint8
}

// Queue holds the flows that wait for room at a target. Its zero value is an empty queue.
type Queue[T any] struct {
	// Limit is the maximum length of the queue. It follows from the target's service times, and is 0 while these are not known.
	Limit int
	// SlotInterval is the mean time after which the next slot of the busy target becomes free, or 0 when that is not known.
	SlotInterval time.Duration
	flows        []queuedFlow[T]
}

// Len returns the number of flows in the queue.
func (q *Queue[T]) Len() int { return len(q.flows) }

// Enqueue adds a flow to the queue. A copy of a queued opening packet is not queued again: it only updates the age of its flow.
// When the queue is too long, Enqueue removes and returns the flow that would be served last, and displaced is true.
func (q *Queue[T]) Enqueue(now time.Time, f PendingFlow[T]) (last PendingFlow[T], displaced bool) {
	copies := min(int(f.Retransmissions), len(OpeningSendTimes)-1)
	startedAt := now.Add(-OpeningSendTimes[copies])
	for i := range q.flows {
		if q.flows[i].pending.ID == f.ID {
			if startedAt.Before(q.flows[i].startedAt) {
				q.flows[i].startedAt = startedAt
			}
			q.flows[i].receivedPackets |= 1 << copies
			return last, false
		}
	}
	q.flows = append(q.flows, queuedFlow[T]{pending: f, startedAt: startedAt, receivedPackets: 1 << copies})
	if len(q.flows) <= q.limit() {
		return last, false
	}
	worst, order := 0, q.servingOrder(now)
	for i := range q.flows {
		if isServedBefore(order, &q.flows[worst], &q.flows[i]) {
			worst = i
		}
	}
	return q.removeAt(now, worst), true
}

// limit returns the maximum length of the queue.
func (q *Queue[T]) limit() int {
	if q.Limit == 0 {
		return maxPending
	}
	return min(q.Limit, maxPending)
}

// Pop removes and returns the flow that is served next. It reports false when the queue is empty.
func (q *Queue[T]) Pop(now time.Time) (PendingFlow[T], bool) {
	if len(q.flows) == 0 {
		var none PendingFlow[T]
		return none, false
	}
	best, order := 0, q.servingOrder(now)
	for i := range q.flows {
		if isServedBefore(order, &q.flows[i], &q.flows[best]) {
			best = i
		}
	}
	if i, isLast := q.findLastChance(now, best); isLast {
		best = i
	}
	return q.removeAt(now, best), true
}

// findLastChance returns the oldest flow as urgent as the flow at index next, and reports whether it is served instead of that flow: it
// would reach MaxWait before the next slot becomes free, and the whole queue can be served within the part of the objective that
// canMeetObjective grants. With a longer queue, each flow served at its limit would make another one late.
func (q *Queue[T]) findLastChance(now time.Time, next int) (oldest int, isLast bool) {
	oldest = next
	if q.SlotInterval == 0 {
		return oldest, false
	}
	for i := range q.flows {
		f := &q.flows[i]
		if f.pending.Urgency.PriorityOffset == q.flows[next].pending.Urgency.PriorityOffset && f.startedAt.Before(q.flows[oldest].startedAt) {
			oldest = i
		}
	}
	f := &q.flows[oldest]
	isShort := time.Duration(len(q.flows))*q.SlotInterval < f.pending.Urgency.Objective/2
	return oldest, isShort && now.Sub(f.startedAt) >= MaxWait-q.SlotInterval
}

// PopExpired removes and returns a flow that has reached MaxWait: its caller is about to give up. It reports false when there
// is none.
func (q *Queue[T]) PopExpired(now time.Time) (PendingFlow[T], bool) {
	for i := range q.flows {
		if now.Sub(q.flows[i].startedAt) >= MaxWait {
			return q.removeAt(now, i), true
		}
	}
	var none PendingFlow[T]
	return none, false
}

// Remove removes a flow if it is in the queue. It is called when a copy of the flow's opening packet was delivered to the
// target without waiting.
func (q *Queue[T]) Remove(id flow.ID) {
	for i := range q.flows {
		if q.flows[i].pending.ID == id {
			q.removeAt(time.Time{}, i)
			return
		}
	}
}

// removeAt removes and returns the flow at an index.
func (q *Queue[T]) removeAt(now time.Time, i int) PendingFlow[T] {
	f := q.flows[i].pending
	f.MayBeAcceptedElsewhere = q.flows[i].hasMissingPacket(now)
	last := len(q.flows) - 1
	q.flows[i] = q.flows[last]
	q.flows[last] = queuedFlow[T]{}
	q.flows = q.flows[:last]
	return f
}

// hasMissingPacket reports whether the caller has sent an opening packet that did not come here.
func (f *queuedFlow[T]) hasMissingPacket(now time.Time) bool {
	for copies, age := range OpeningSendTimes {
		if now.Sub(f.startedAt) >= age && f.receivedPackets&(1<<copies) == 0 {
			return true
		}
	}
	return false
}

// servingOrder decides which of two flows is served first at a given time.
type servingOrder struct {
	now time.Time
	// isOverloaded is set when a queued flow can no longer meet its objective. Then the newest flow goes first: in order of
	// arrival, every flow would be served only when it is about to miss its own objective.
	isOverloaded bool
}

// servingOrder returns the order in which the queued flows are served now.
func (q *Queue[T]) servingOrder(now time.Time) servingOrder {
	o := servingOrder{now: now}
	for i := range q.flows {
		if !q.flows[i].canMeetObjective(now) {
			o.isOverloaded = true
			break
		}
	}
	return o
}

// isServedBefore reports whether a is served before b. The more urgent route goes first, then the flow that can still meet its
// objective, then the older flow, or in an overload the newer one.
func isServedBefore[T any](o servingOrder, a, b *queuedFlow[T]) bool {
	if a.pending.Urgency.PriorityOffset != b.pending.Urgency.PriorityOffset {
		return a.pending.Urgency.PriorityOffset < b.pending.Urgency.PriorityOffset
	}
	if inTime := a.canMeetObjective(o.now); inTime != b.canMeetObjective(o.now) {
		return inTime
	}
	if o.isOverloaded {
		return a.startedAt.After(b.startedAt)
	}
	return a.startedAt.Before(b.startedAt)
}

// canMeetObjective reports whether the flow can be answered within its objective if it is served now. Half of the objective is
// reserved for the run of its request.
func (f *queuedFlow[T]) canMeetObjective(now time.Time) bool {
	return now.Sub(f.startedAt) < f.pending.Urgency.Objective/2
}
