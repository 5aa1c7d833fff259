// Package admission orders the flows that wait at an agent because their target is busy. It is a pure state machine.
//
// The pattern that it answers is the common return: after a loss of power, or when doors open, every caller comes in the
// same moment, and a target that serves them in the order of their arrival is late for all of them. Here the flows that
// can still be answered within their objective go before those that cannot, and urgent routes before others.
package admission

import (
	"time"

	"gentianswitch/internal/opaque/flow"
)

const (
	// maxWaiting bounds the flows that wait at a target whose pace is not known, and their memory.
	maxWaiting = 256
	// MaxWait is the age up to which a flow may wait. Callers give an opening packet up after 1.4 s; what is left of that
	// is for the way and for the handshake.
	MaxWait = 1200 * time.Millisecond
)

// OpeningSendTimes are the ages of a caller at which it sends its opening packet and the copies of it.
var OpeningSendTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Urgency is what a balancer tells of the route of a flow.
type Urgency struct {
	// Deferral is 0 for the most urgent routes.
	Deferral uint8
	// Objective is the time from the caller's first try within which an answer is of full use.
	Objective time.Duration
}

// PendingFlow is a flow that wants to open.
type PendingFlow[T any] struct {
	ID      flow.ID
	Urgency Urgency
	// Copies counts the earlier copies of the opening packet.
	Copies uint32
	// Item goes with the flow.
	Item T
	// MayBeAcceptedElsewhere is set in a flow that leaves the queue when its caller has sent a packet that did not come here. A
	// target elsewhere may have accepted the flow.
	MayBeAcceptedElsewhere bool
}

type waiting[T any] struct {
	opening PendingFlow[T]
	// born is when the caller began at the latest.
	born time.Time
	// seen has a bit for each copy of the opening packet that has come, the first packet being copy 0.
	seen uint8
}

// Queue holds the flows that wait.
type Queue[T any] struct {
	// Limit is the number of flows that can be served before they are overdue, or 0 when that is not known.
	Limit int
	flows []waiting[T]
}

// Len returns the number of flows that wait.
func (q *Queue[T]) Len() int { return len(q.flows) }

// Enqueue puts a flow into the queue. A copy of a flow that waits only tells how old it is. When the queue is full, the flow
// that would be served last is returned, and displaced is true.
func (q *Queue[T]) Enqueue(now time.Time, o PendingFlow[T]) (last PendingFlow[T], displaced bool) {
	copies := min(int(o.Copies), len(OpeningSendTimes)-1)
	born := now.Add(-OpeningSendTimes[copies])
	for i := range q.flows {
		if q.flows[i].opening.ID == o.ID {
			if born.Before(q.flows[i].born) {
				q.flows[i].born = born
			}
			q.flows[i].seen |= 1 << copies
			return last, false
		}
	}
	q.flows = append(q.flows, waiting[T]{opening: o, born: born, seen: 1 << copies})
	if len(q.flows) <= q.limit() {
		return last, false
	}
	worst, by := 0, q.order(now)
	for i := range q.flows {
		if before(by, &q.flows[worst], &q.flows[i]) {
			worst = i
		}
	}
	return q.remove(now, worst), true
}

func (q *Queue[T]) limit() int {
	if q.Limit == 0 {
		return maxWaiting
	}
	return min(q.Limit, maxWaiting)
}

// Pop removes and returns the flow that is served next.
func (q *Queue[T]) Pop(now time.Time) (PendingFlow[T], bool) {
	if len(q.flows) == 0 {
		var none PendingFlow[T]
		return none, false
	}
	best, by := 0, q.order(now)
	for i := range q.flows {
		if before(by, &q.flows[i], &q.flows[best]) {
			best = i
		}
	}
	return q.remove(now, best), true
}

// PopExpired removes and returns a flow that has waited for so long that its caller is about to give up.
func (q *Queue[T]) PopExpired(now time.Time) (PendingFlow[T], bool) {
	for i := range q.flows {
		if now.Sub(q.flows[i].born) >= MaxWait {
			return q.remove(now, i), true
		}
	}
	var none PendingFlow[T]
	return none, false
}

// Remove removes a flow that has been offered to the target without waiting on.
func (q *Queue[T]) Remove(id flow.ID) {
	for i := range q.flows {
		if q.flows[i].opening.ID == id {
			q.remove(time.Time{}, i)
			return
		}
	}
}

func (q *Queue[T]) remove(now time.Time, i int) PendingFlow[T] {
	o := q.flows[i].opening
	o.MayBeAcceptedElsewhere = q.flows[i].missesCopies(now)
	last := len(q.flows) - 1
	q.flows[i] = q.flows[last]
	q.flows[last] = waiting[T]{}
	q.flows = q.flows[:last]
	return o
}

// missesCopies reports whether the caller has sent a packet that has not come here.
func (w *waiting[T]) missesCopies(now time.Time) bool {
	for copies, age := range OpeningSendTimes {
		if now.Sub(w.born) >= age && w.seen&(1<<copies) == 0 {
			return true
		}
	}
	return false
}

// order tells which of two flows is served before the other at a moment.
type order struct {
	now time.Time
	// isOverloaded is set when a flow has missed its objective. From then on the newest flow goes first: in the order of
	// arrival, every flow would be served when it is about to miss its objective as well.
	isOverloaded bool
}

func (q *Queue[T]) order(now time.Time) order {
	o := order{now: now}
	for i := range q.flows {
		if !q.flows[i].isInTime(now) {
			o.isOverloaded = true
			break
		}
	}
	return o
}

// before reports whether a is served before b: the more urgent route, then who can still be in time, then who has come
// first, or last in an overload.
func before[T any](o order, a, b *waiting[T]) bool {
	if a.opening.Urgency.Deferral != b.opening.Urgency.Deferral {
		return a.opening.Urgency.Deferral < b.opening.Urgency.Deferral
	}
	if inTime := a.isInTime(o.now); inTime != b.isInTime(o.now) {
		return inTime
	}
	if o.isOverloaded {
		return a.born.After(b.born)
	}
	return a.born.Before(b.born)
}

// isInTime reports whether the flow can be answered within its objective. Half of the objective is left for the run.
func (w *waiting[T]) isInTime(now time.Time) bool {
	return now.Sub(w.born) < w.opening.Urgency.Objective/2
}
