package crest

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"gentianswitch/internal/opaque/flow"
)

// Policy selects how opening packets are scheduled.
type Policy uint8

// The policies.
const (
	// Shipped is the policy of the production code in balancers and agents.
	Shipped Policy = iota
	// Arrival is the baseline: each opening packet must be accepted by its first candidate, which serves flows in the order of
	// arrival.
	Arrival
)

// String returns the name of the policy.
func (p Policy) String() string { return [...]string{"shipped", "arrival"}[p] }

// startTime is the wall-clock time at which a simulation starts.
var startTime = time.Unix(1_700_000_000, 0)

// event is an action at a simulated time since the start. The sequence orders events of the same time.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is one run of a deployment under a policy.
type simulation struct {
	profile Profile
	policy  Policy
	// random draws what depends on the policy's decisions. The requests are drawn from another source, so that both policies
	// get the same ones.
	random *rand.Rand
	now    time.Duration
	// endTime is the last deadline of any request.
	endTime    time.Duration
	queue      eventQueue
	eventCount int
	hosts      []*host
	balancers  []*balancer
	// callers holds the callers by the flow of their current attempt.
	callers map[flow.ID]*caller
	// lastPorts holds the last used port of each caller IP, lastInstance is the instance number of the target started last.
	lastPorts    map[[4]byte]uint16
	lastInstance int64
}

// simulate runs the requests under a policy and records in each of them whether and when it was answered.
func simulate(p Profile, policy Policy, seed uint64, requests []*request) {
	s := &simulation{
		profile: p, policy: policy, random: rand.New(rand.NewPCG(seed, 2)), callers: make(map[flow.ID]*caller),
		lastPorts: make(map[[4]byte]uint16), endTime: p.lastDeadline(),
	}
	for i := range p.Targets {
		s.hosts = append(s.hosts, s.newHost(i))
	}
	for i := range p.Balancers {
		s.balancers = append(s.balancers, &balancer{sim: s, ip: [4]byte{10, 9, 0, byte(i + 1)}, zone: i % p.Zones})
	}
	for _, b := range s.balancers {
		b.start()
	}
	for i := range p.Faults {
		s.scheduleFault(&p.Faults[i])
	}
	pool := newCallerPool(s, p.Classes)
	for _, r := range requests {
		s.scheduleAt(r.arrivedAt, func() { pool.startRequest(r) })
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		if s.now > s.endTime {
			return
		}
		next.action()
	}
}

func (s *simulation) scheduleAt(at time.Duration, action func()) {
	s.eventCount++
	heap.Push(&s.queue, event{at: max(at, s.now), sequence: s.eventCount, action: action})
}

func (s *simulation) scheduleAfter(wait time.Duration, action func()) {
	s.scheduleAt(s.now+wait, action)
}

// scheduleEvery runs an action at each interval for as long as it returns true.
func (s *simulation) scheduleEvery(interval time.Duration, action func() bool) {
	s.scheduleAfter(interval, func() {
		if action() {
			s.scheduleEvery(interval, action)
		}
	})
}

// wallTime returns the simulated wall-clock time.
func (s *simulation) wallTime() time.Time { return startTime.Add(s.now) }

// restartSpread is the time over which the starts of processes that restart together are spread.
const restartSpread = 300 * time.Millisecond

// scheduleFault schedules the events of a fault. Burst and Shift have none: they change the generated arrivals.
func (s *simulation) scheduleFault(f *Fault) {
	affected := s.hosts[:int(f.Share*float64(len(s.hosts)))]
	switch f.Kind {
	case PowerLoss, Restart:
		s.scheduleAt(f.At, func() { s.stopAll(f) })
	case Slow:
		s.scheduleAt(f.At, func() { forEach(affected, func(h *host) { h.slowdown = f.Factor }) })
		s.scheduleAt(f.At+f.For, func() { forEach(affected, func(h *host) { h.slowdown = 1 }) })
	case Grey:
		s.scheduleAt(f.At, func() { forEach(affected, func(h *host) { h.failsAtOnce = true }) })
		s.scheduleAt(f.At+f.For, func() { forEach(affected, func(h *host) { h.failsAtOnce = false }) })
	case Flap:
		s.scheduleAt(f.At, func() { s.flapTargets(f, affected) })
	case Release:
		for i, h := range affected {
			s.scheduleAt(f.At+time.Duration(i)*f.For, func() { h.replaceTarget(f.For) })
		}
	}
}

func forEach(hosts []*host, change func(h *host)) {
	for _, h := range hosts {
		change(h)
	}
}

// stopAll stops all balancers and agents, and on a power loss all targets, and starts them again after the time of the fault.
// The starts of balancers are spread over restartSpread, those of agents and targets over the first half of it.
func (s *simulation) stopAll(f *Fault) {
	for _, b := range s.balancers {
		b.isUp = false
		s.scheduleAfter(f.For+s.randomDelay(restartSpread), b.start)
	}
	for _, h := range s.hosts {
		h.isAgentUp = false
		if f.Kind == PowerLoss {
			h.crashTarget()
		}
		s.scheduleAfter(f.For+s.randomDelay(restartSpread)/2, func() {
			h.startAgent()
			if f.Kind == PowerLoss {
				h.startTarget()
			}
		})
	}
}

// flapTargets crashes targets and starts them again, until the arrivals end.
func (s *simulation) flapTargets(f *Fault, affected []*host) {
	if s.now > s.profile.Length {
		return
	}
	for _, h := range affected {
		h.crashTarget()
		s.scheduleAfter(f.For, h.startTarget)
	}
	s.scheduleAfter(2*f.For, func() { s.flapTargets(f, affected) })
}

// randomDelay returns a uniformly distributed time below limit.
func (s *simulation) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}
