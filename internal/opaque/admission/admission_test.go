package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/admission"
	"gentianswitch/internal/opaque/flow"
)

var start = time.Unix(1_700_000_000, 0)

func pendingFlow(port uint16, priorityOffset uint8, copies uint32) admission.PendingFlow[string] {
	return admission.PendingFlow[string]{
		ID:              flow.ID{Caller: flow.Endpoint{Port: port}},
		Urgency:         admission.Urgency{PriorityOffset: priorityOffset, Objective: 200 * time.Millisecond},
		Retransmissions: copies,
	}
}

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// popAll empties the queue and returns the ports of its flows in the order in which they are served.
func popAll(q *admission.Queue[string], now time.Time) []uint16 {
	var ports []uint16
	for next, ok := q.Pop(now); ok; next, ok = q.Pop(now) {
		ports = append(ports, next.ID.Caller.Port)
	}
	return ports
}

func TestUrgentFlowsFirstThenOldest(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, pendingFlow(1, 2, 0))
	q.Enqueue(start, pendingFlow(3, 1, 0))
	q.Enqueue(after(10), pendingFlow(4, 1, 0))
	g.Expect(popAll(&q, after(20))).To(Equal([]uint16{3, 4, 1}))
}

func TestUrgentThenTimelyThenNewestFlowsInOverload(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, pendingFlow(1, 2, 0))
	q.Enqueue(start, pendingFlow(2, 1, 1))
	q.Enqueue(start, pendingFlow(3, 1, 0))
	q.Enqueue(after(10), pendingFlow(4, 1, 0))
	g.Expect(popAll(&q, after(20))).To(Equal([]uint16{4, 3, 2, 1}), "flow 2 can no longer meet its objective")
}

// Three of ten targets crash at the load peak. While the peak lasts, callers of less urgent routes come faster than the other
// targets can serve them. In order of arrival, all of them were served only shortly before their objective, and half missed it.
func TestOverloadedTargetServesMostFlowsInTime(t *testing.T) {
	g := NewWithT(t)
	const (
		// A target of two slots serves a request every 18 ms, and a caller comes every 15 ms.
		serviceMs, arrivalMs = 18, 15
		// The run of a request takes from 40 to 160 ms.
		shortestMs, spreadMs = 40, 120
		objectiveMs          = 200
		seconds              = 10
	)
	var q admission.Queue[string]
	arrivedAt := map[uint16]int{}
	served, timely := 0, 0
	for now := 0; now < seconds*1000; now++ {
		if now%arrivalMs == 0 {
			port := uint16(now / arrivalMs)
			arrivedAt[port] = now
			q.Enqueue(after(now), pendingFlow(port, 1, 0))
		}
		for _, isExpired := q.PopExpired(after(now)); isExpired; _, isExpired = q.PopExpired(after(now)) {
		}
		if now%serviceMs != 0 {
			continue
		}
		if next, ok := q.Pop(after(now)); ok {
			served++
			answered := now + shortestMs + int(next.ID.Caller.Port)*37%spreadMs
			if answered-arrivedAt[next.ID.Caller.Port] < objectiveMs {
				timely++
			}
		}
	}
	g.Expect(served).To(BeNumerically(">=", seconds*1000/serviceMs-1), "the target is never idle")
	g.Expect(float64(timely) / float64(served)).To(BeNumerically(">=", 0.9))
}

// At a demand slightly above capacity, the newest flows went first until late ones reached their limit and were refused, although the
// queue was short.
func TestFlowAtItsLimitGoesFirstOnlyInShortQueueOfItsRoute(t *testing.T) {
	for name, test := range map[string]struct {
		slotInterval           time.Duration
		timely, lateAt, urgent int
		want                   uint16
	}{
		"at its limit":                   {20 * time.Millisecond, 3, 0, 0, 1000},
		"a later slot is early enough":   {20 * time.Millisecond, 3, 30, 0, 2},
		"timely flows would become late": {20 * time.Millisecond, 5, 0, 0, 4},
		"a more urgent route goes first": {20 * time.Millisecond, 3, 0, 1, 2000},
		"service times are not known":    {0, 3, 0, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			q := admission.Queue[string]{SlotInterval: test.slotInterval}
			q.Enqueue(after(test.lateAt), pendingFlow(1000, 2, 0))
			for port := range test.timely {
				q.Enqueue(after(1150+port), pendingFlow(uint16(port), 2, 0))
			}
			for range test.urgent {
				q.Enqueue(after(1170), pendingFlow(2000, 1, 0))
			}
			next, _ := q.Pop(after(1185))
			NewWithT(t).Expect(next.ID.Caller.Port).To(Equal(test.want))
		})
	}
}

func TestLateFlowIsServedAfterTimelyOnes(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, pendingFlow(1, 1, 0))
	q.Enqueue(after(150), pendingFlow(2, 1, 0))
	g.Expect(popAll(&q, after(150))).To(Equal([]uint16{2, 1}))
}

func TestCopyIsNotQueuedAgainButUpdatesAge(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, pendingFlow(1, 1, 0))
	q.Enqueue(after(5), pendingFlow(1, 1, 2))
	g.Expect(q.Len()).To(Equal(1))
	_, isExpired := q.PopExpired(after(500))
	g.Expect(isExpired).To(BeFalse())
	_, isExpired = q.PopExpired(after(610))
	g.Expect(isExpired).To(BeTrue(), "the third opening packet is sent 600 ms after the first")
	g.Expect(q.Len()).To(Equal(0))
}

func TestFlowExpiresBeforeItsCallerGivesUp(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, pendingFlow(1, 1, 0))
	_, isExpired := q.PopExpired(after(1199))
	g.Expect(isExpired).To(BeFalse())
	_, isExpired = q.PopExpired(after(1200))
	g.Expect(isExpired).To(BeTrue())
}

func TestFlowMayBeAcceptedElsewhereUnlessAllCopiesArrived(t *testing.T) {
	for name, test := range map[string]struct {
		copies         []uint32
		atMS           int
		mayBeElsewhere bool
	}{
		"before the first copy is sent": {[]uint32{0}, 199, false},
		"the first copy is missing":     {[]uint32{0}, 200, true},
		"the first copy arrived":        {[]uint32{0, 1}, 599, false},
		"the second copy is missing":    {[]uint32{0, 1}, 600, true},
		"all arrived":                   {[]uint32{0, 1, 2}, 1200, false},
		"the first packet is missing":   {[]uint32{1}, 1, true},
		"the first copy went elsewhere": {[]uint32{0, 2}, 1200, true},
	} {
		t.Run(name, func(t *testing.T) {
			var q admission.Queue[string]
			for _, copies := range test.copies {
				q.Enqueue(after([]int{0, 200, 600}[copies]), pendingFlow(1, 1, copies))
			}
			firstSentMS := 0
			if test.copies[0] == 1 {
				firstSentMS = 200
			}
			next, _ := q.Pop(after(firstSentMS + test.atMS))
			NewWithT(t).Expect(next.MayBeAcceptedElsewhere).To(Equal(test.mayBeElsewhere))
		})
	}
}

func TestRemovedFlowLeavesQueue(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, pendingFlow(1, 1, 0))
	q.Enqueue(start, pendingFlow(2, 1, 0))
	q.Remove(pendingFlow(1, 1, 0).ID)
	q.Remove(pendingFlow(7, 1, 0).ID)
	g.Expect(popAll(&q, start)).To(Equal([]uint16{2}))
}

func TestFullQueueDisplacesLeastUrgentFlow(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, pendingFlow(9999, 3, 0))
	displaced := 0
	for port := range 300 {
		last, isDisplaced := q.Enqueue(after(1), pendingFlow(uint16(port), 1, 0))
		if isDisplaced && displaced == 0 {
			g.Expect(last.ID.Caller.Port).To(BeEquivalentTo(9999))
		}
		if isDisplaced {
			displaced++
		}
	}
	g.Expect(q.Len() + displaced).To(Equal(301))
	g.Expect(q.Len()).To(Equal(256))
}

// At the load peak a target of two slots cannot serve 256 waiting flows before their callers leave, so most of them would
// expire.
func TestQueueHoldsNoMoreThanItsLimit(t *testing.T) {
	g := NewWithT(t)
	q := admission.Queue[string]{Limit: 30}
	displaced := 0
	for port := range 100 {
		if _, isDisplaced := q.Enqueue(start, pendingFlow(uint16(port), 1, 0)); isDisplaced {
			displaced++
		}
	}
	g.Expect(q.Len()).To(Equal(30))
	g.Expect(displaced).To(Equal(70))
}

// After an outage, all callers of two seconds return at once, and new ones continue to arrive. A queue in order of arrival is
// late for all of them until the backlog is served.
func TestCommonReturnServesNewCallersInTime(t *testing.T) {
	g := NewWithT(t)
	const (
		backlog = 200
		// A target of three slots serves a request every 8 ms, and a new caller comes every 14 ms.
		serviceMs, arrivalMs = 8, 14
		objective            = 200
	)
	var q admission.Queue[string]
	for port := range backlog {
		q.Enqueue(start, pendingFlow(uint16(port), 1, 2))
	}
	arrivals := map[uint16]int{}
	newCallers, timely := 0, 0
	for now := 0; now < 1000; now++ {
		if now%arrivalMs == 0 {
			port := uint16(1000 + now)
			arrivals[port] = now
			q.Enqueue(after(now), pendingFlow(port, 1, 0))
			newCallers++
		}
		if now%serviceMs != 0 {
			continue
		}
		next, ok := q.Pop(after(now))
		if arrival, isNew := arrivals[next.ID.Caller.Port]; ok && isNew && now-arrival < objective {
			timely++
		}
	}
	g.Expect(timely).To(BeNumerically(">=", newCallers-1))
}
