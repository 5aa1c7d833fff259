package crest

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"gentianswitch/internal/opaque/flow"
)

// Policy says what decides on openings.
type Policy uint8

// The policies.
const (
	// Shipped is what balancers and agents do.
	Shipped Policy = iota
	// Arrival gives each opening to its first candidate, in the order of arrival.
	Arrival
)

// String returns the name of the policy.
func (p Policy) String() string { return [...]string{"shipped", "arrival"}[p] }

// epoch is the time of day at which a play begins.
var epoch = time.Unix(1_700_000_000, 0)

// event is something that happens at a time after the start.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is a deployment that is played.
type world struct {
	profile Profile
	policy  Policy
	// random draws what the policy decides on, so that it may be drawn in another order under another policy.
	random *rand.Rand
	now    time.Duration
	// end is when the last caller has given up.
	end     time.Duration
	queue   events
	pushed  int
	hosts   []*host
	nodes   []*node
	callers map[flow.ID]*attempt
	ports   map[[4]byte]uint16
	starts  int64
}

// play plays the requests under a policy. The answers are noted in them.
func play(p Profile, policy Policy, seed uint64, requests []*request) {
	w := &world{
		profile: p, policy: policy, random: rand.New(rand.NewPCG(seed, 2)), callers: make(map[flow.ID]*attempt),
		ports: make(map[[4]byte]uint16), end: p.end(),
	}
	for i := range p.Targets {
		w.hosts = append(w.hosts, w.newHost(i))
	}
	for i := range p.Balancers {
		w.nodes = append(w.nodes, &node{world: w, ip: [4]byte{10, 9, 0, byte(i + 1)}, zone: i % p.Zones})
	}
	for _, n := range w.nodes {
		n.start()
	}
	for i := range p.Faults {
		w.schedule(&p.Faults[i])
	}
	users := newUsers(w, p.Classes)
	for _, r := range requests {
		w.at(r.born, func() { users.ask(r) })
	}
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		if w.now > w.end {
			return
		}
		next.run()
	}
}

func (w *world) at(at time.Duration, run func()) {
	w.pushed++
	heap.Push(&w.queue, event{at: max(at, w.now), order: w.pushed, run: run})
}

func (w *world) after(wait time.Duration, run func()) { w.at(w.now+wait, run) }

// every runs a step each interval for as long as it returns true.
func (w *world) every(interval time.Duration, step func() bool) {
	w.after(interval, func() {
		if step() {
			w.every(interval, step)
		}
	})
}

// clock returns the time of day.
func (w *world) clock() time.Time { return epoch.Add(w.now) }

// spread is the time over which processes of a common start come back.
const spread = 300 * time.Millisecond

// schedule makes a fault happen.
func (w *world) schedule(f *Fault) {
	some := w.hosts[:int(f.Share*float64(len(w.hosts)))]
	switch f.Kind {
	case PowerLoss, Restart:
		w.at(f.At, func() { w.stopAll(f) })
	case Slow:
		w.at(f.At, func() { each(some, func(h *host) { h.slowness = f.Factor }) })
		w.at(f.At+f.For, func() { each(some, func(h *host) { h.slowness = 1 }) })
	case Grey:
		w.at(f.At, func() { each(some, func(h *host) { h.isGrey = true }) })
		w.at(f.At+f.For, func() { each(some, func(h *host) { h.isGrey = false }) })
	case Flap:
		w.at(f.At, func() { w.flap(f, some) })
	case Release:
		for i, h := range some {
			w.at(f.At+time.Duration(i)*f.For, func() { h.replace(f.For) })
		}
	}
}

func each(hosts []*host, change func(h *host)) {
	for _, h := range hosts {
		change(h)
	}
}

func (w *world) stopAll(f *Fault) {
	for _, n := range w.nodes {
		n.isUp = false
		w.after(f.For+w.draw(spread), n.start)
	}
	for _, h := range w.hosts {
		h.isAgentUp = false
		if f.Kind == PowerLoss {
			h.crash()
		}
		w.after(f.For+w.draw(spread)/2, func() {
			h.startAgent()
			if f.Kind == PowerLoss {
				h.startTarget()
			}
		})
	}
}

func (w *world) flap(f *Fault, some []*host) {
	if w.now > w.profile.Length {
		return
	}
	for _, h := range some {
		h.crash()
		w.after(f.For, h.startTarget)
	}
	w.after(2*f.For, func() { w.flap(f, some) })
}

// draw returns a time below limit.
func (w *world) draw(limit time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(limit))
}
