package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/admission"
	"gentianswitch/internal/opaque/flow"
)

var start = time.Unix(1_700_000_000, 0)

func opening(port uint16, deferral uint8, copies uint32) admission.PendingFlow[string] {
	return admission.PendingFlow[string]{
		ID:      flow.ID{Caller: flow.Endpoint{Port: port}},
		Urgency: admission.Urgency{Deferral: deferral, Objective: 200 * time.Millisecond},
		Copies:  copies,
	}
}

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func order(q *admission.Queue[string], now time.Time) []uint16 {
	var ports []uint16
	for next, ok := q.Pop(now); ok; next, ok = q.Pop(now) {
		ports = append(ports, next.ID.Caller.Port)
	}
	return ports
}

func TestUrgentThenFirstCome(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, opening(1, 2, 0))
	q.Enqueue(start, opening(3, 1, 0))
	q.Enqueue(after(10), opening(4, 1, 0))
	g.Expect(order(&q, after(20))).To(Equal([]uint16{3, 4, 1}))
}

func TestUrgentThenTimelyThenNewestInAnOverload(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, opening(1, 2, 0))
	q.Enqueue(start, opening(2, 1, 1))
	q.Enqueue(start, opening(3, 1, 0))
	q.Enqueue(after(10), opening(4, 1, 0))
	g.Expect(order(&q, after(20))).To(Equal([]uint16{4, 3, 2, 1}), "flow 2 is late already")
}

// The pattern is a crash of three targets in ten at the crest: callers of less urgent routes come faster than targets can
// serve them, for as long as it lasts. In the order of arrival all of them were served at the end of their time, and half
// of them missed it.
func TestAnOverloadServesAsManyInTimeAsThereIsRoomFor(t *testing.T) {
	g := NewWithT(t)
	const (
		// A target of two slots serves a request each 18 ms, and a caller comes every 15 ms.
		serviceMs, arrivalMs = 18, 15
		// An answer follows the offer by the run of the request, which varies.
		shortestMs, spreadMs = 40, 120
		objectiveMs          = 200
		seconds              = 10
	)
	var q admission.Queue[string]
	came := map[uint16]int{}
	served, timely := 0, 0
	for now := 0; now < seconds*1000; now++ {
		if now%arrivalMs == 0 {
			port := uint16(now / arrivalMs)
			came[port] = now
			q.Enqueue(after(now), opening(port, 1, 0))
		}
		for _, isOverdue := q.PopExpired(after(now)); isOverdue; _, isOverdue = q.PopExpired(after(now)) {
		}
		if now%serviceMs != 0 {
			continue
		}
		if next, ok := q.Pop(after(now)); ok {
			served++
			answered := now + shortestMs + int(next.ID.Caller.Port)*37%spreadMs
			if answered-came[next.ID.Caller.Port] < objectiveMs {
				timely++
			}
		}
	}
	g.Expect(served).To(BeNumerically(">=", seconds*1000/serviceMs-1), "the target is never idle")
	g.Expect(float64(timely) / float64(served)).To(BeNumerically(">=", 0.9))
}

func TestAFlowThatMissesItsObjectiveGoesBehindTimelyOnes(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, opening(1, 1, 0))
	q.Enqueue(after(150), opening(2, 1, 0))
	g.Expect(order(&q, after(150))).To(Equal([]uint16{2, 1}))
}

func TestACopyTakesNoSecondPlaceAndTellsTheAge(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, opening(1, 1, 0))
	q.Enqueue(after(5), opening(1, 1, 2))
	g.Expect(q.Len()).To(Equal(1))
	_, isOverdue := q.PopExpired(after(500))
	g.Expect(isOverdue).To(BeFalse())
	_, isOverdue = q.PopExpired(after(610))
	g.Expect(isOverdue).To(BeTrue(), "the third packet of an opening leaves 600 ms after the first")
	g.Expect(q.Len()).To(Equal(0))
}

func TestAFlowIsGivenUpBeforeItsCallerGivesUp(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, opening(1, 1, 0))
	_, isOverdue := q.PopExpired(after(1199))
	g.Expect(isOverdue).To(BeFalse())
	_, isOverdue = q.PopExpired(after(1200))
	g.Expect(isOverdue).To(BeTrue())
}

func TestAFlowWhoseCopiesAllCameIsOnlyHere(t *testing.T) {
	for name, test := range map[string]struct {
		copies         []uint32
		atMS           int
		mayBeElsewhere bool
	}{
		"before the first copy leaves":  {[]uint32{0}, 199, false},
		"the first copy is missing":     {[]uint32{0}, 200, true},
		"the first copy came":           {[]uint32{0, 1}, 599, false},
		"the second copy is missing":    {[]uint32{0, 1}, 600, true},
		"all came":                      {[]uint32{0, 1, 2}, 1200, false},
		"the first packet is missing":   {[]uint32{1}, 1, true},
		"the first copy went elsewhere": {[]uint32{0, 2}, 1200, true},
	} {
		t.Run(name, func(t *testing.T) {
			var q admission.Queue[string]
			for _, copies := range test.copies {
				q.Enqueue(after([]int{0, 200, 600}[copies]), opening(1, 1, copies))
			}
			start := 0
			if test.copies[0] == 1 {
				start = 200
			}
			next, _ := q.Pop(after(start + test.atMS))
			NewWithT(t).Expect(next.MayBeAcceptedElsewhere).To(Equal(test.mayBeElsewhere))
		})
	}
}

func TestAFlowThatIsOfferedLeavesTheQueue(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, opening(1, 1, 0))
	q.Enqueue(start, opening(2, 1, 0))
	q.Remove(opening(1, 1, 0).ID)
	q.Remove(opening(7, 1, 0).ID)
	g.Expect(order(&q, start)).To(Equal([]uint16{2}))
}

func TestAFullQueueGivesUpTheLeastUrgentFlow(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Enqueue(start, opening(9999, 3, 0))
	displaced := 0
	for port := range 300 {
		last, isDisplaced := q.Enqueue(after(1), opening(uint16(port), 1, 0))
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

// The pattern is the crest at a small target: 256 waiting openings are more than a target of two slots can serve before
// their callers leave, so that most would wait in vain.
func TestAQueueHoldsNoMoreThanCanBeServed(t *testing.T) {
	g := NewWithT(t)
	q := admission.Queue[string]{Limit: 30}
	displaced := 0
	for port := range 100 {
		if _, isDisplaced := q.Enqueue(start, opening(uint16(port), 1, 0)); isDisplaced {
			displaced++
		}
	}
	g.Expect(q.Len()).To(Equal(30))
	g.Expect(displaced).To(Equal(70))
}

// The pattern is the common return: all callers of two seconds come back at once, and new ones go on arriving. A queue in
// the order of arrival is late for all of them until the backlog is served.
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
		q.Enqueue(start, opening(uint16(port), 1, 2))
	}
	arrived := map[uint16]int{}
	fresh, timely := 0, 0
	for now := 0; now < 1000; now++ {
		if now%arrivalMs == 0 {
			port := uint16(1000 + now)
			arrived[port] = now
			q.Enqueue(after(now), opening(port, 1, 0))
			fresh++
		}
		if now%serviceMs != 0 {
			continue
		}
		next, ok := q.Pop(after(now))
		if came, isFresh := arrived[next.ID.Caller.Port]; ok && isFresh && now-came < objective {
			timely++
		}
	}
	g.Expect(timely).To(BeNumerically(">=", fresh-1))
}
