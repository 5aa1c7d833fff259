package crest

import (
	"math"
	"strconv"
	"time"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/steer"
	"gentianswitch/internal/store"
)

const (
	serviceName = "service"
	// readingTime is the time of a confirmation that has to be read from the store.
	readingTime = 8 * time.Millisecond
)

// node is a balancer.
type node struct {
	world       *world
	ip          hop.IP
	zone        int
	isUp        bool
	starts      int
	steer       *steer.Machine
	directory   *directory.Directory
	confirmedAt time.Duration
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }

// start starts the balancer with what the store holds.
func (n *node) start() {
	w := n.world
	n.isUp = true
	n.starts++
	n.steer, n.directory = steer.New(n.ip), directory.New(n.ip, zoneName(n.zone))
	table := desired.NewTable(1)
	for i := range w.profile.Classes {
		c := &w.profile.Classes[i]
		table.AddRoute(addressOf(i), &desired.Route{
			Name: c.Name, Objective: c.Objective, Deadline: c.Deadline, Priority: c.Priority,
			Services: []desired.WeightedService{{Service: desired.ServiceKeyOf(serviceName), Name: serviceName, Weight: 1}},
		})
	}
	n.steer.SetTable(w.clock(), table)
	for _, h := range w.hosts {
		n.learn(h)
	}
	n.confirmedAt = w.now
	run := n.starts
	w.every(directory.TickInterval, func() bool { return n.check(run) })
}

// learn takes the entry of a target.
func (n *node) learn(h *host) {
	if n.isUp && h.revision > 0 {
		n.directory.HandleEntry(n.world.clock(), h.ip, h.entry, store.Version(h.revision))
		n.steer.SetView(n.directory.View())
	}
}

// check pings agents. It reports false when the balancer has been started anew.
func (n *node) check(run int) bool {
	w := n.world
	if !n.isUp || n.starts != run {
		return false
	}
	pings, _ := n.directory.Tick(w.clock())
	n.steer.SetView(n.directory.View())
	for _, p := range pings {
		h := w.hostAt(p.Agent)
		w.after(2*w.profile.NodeDelay, func() {
			if h.isAgentUp && n.isUp && n.starts == run {
				n.directory.HandlePong(w.clock(), p.Agent, p.Sequence)
				n.steer.SetView(n.directory.View())
			}
		})
	}
	return w.now < w.end
}

// route returns the balancer that a packet of a zone's caller is sent to.
func (w *world) route(zone int) *node {
	var own, up []*node
	for _, n := range w.nodes {
		if n.zone == zone {
			own = append(own, n)
			if n.isUp {
				up = append(up, n)
			}
		}
	}
	if len(up) > 0 {
		own = up
	}
	return own[w.random.IntN(len(own))]
}

func (n *node) fromCaller(p *flow.Packet) {
	if n.isUp {
		n.carryOut(p, n.steer.Decide(n.world.clock(), p))
	}
}

func (n *node) carryOut(p *flow.Packet, d steer.Decision) {
	w := n.world
	switch d.Verdict {
	case steer.Forward:
		n.directory.RecordUse(w.clock(), d.Agent, d.Header.Candidates[:d.Header.CandidateCount]...)
		if d.HasSkipped {
			h := d.SkippedHeader()
			w.toAgent(d.Skipped, n.zone, p, &h)
		}
		if w.policy == Arrival && p.Opens {
			d.Header.MustAccept, d.Header.PriorityOffset, d.Header.Objective = true, 0, math.MaxUint16
		}
		w.toAgent(d.Agent, n.zone, p, &d.Header)
	case steer.Reset:
		w.after(w.profile.CallerDelay, func() { w.reset(p.IDFromCaller()) })
	case steer.Revalidate:
		n.confirm(p, d.Header)
	case steer.Drop:
	}
}

func (n *node) confirm(p *flow.Packet, h hop.Header) {
	w := n.world
	if w.now-n.confirmedAt < registry.JoinDelay {
		n.carryOut(p, n.steer.HandleRevalidated(w.clock(), p, &h))
		return
	}
	began := w.now
	w.after(readingTime, func() {
		if n.isUp {
			n.confirmedAt = began
			n.carryOut(p, n.steer.HandleRevalidated(w.clock(), p, &h))
		}
	})
}

// fromAgent takes a packet that an agent gave back.
func (n *node) fromAgent(p *flow.Packet, h *hop.Header) {
	if !n.isUp {
		return
	}
	if h.Kind == hop.WaitExpired {
		n.carryOut(p, n.steer.HandleRefused(p, h))
		return
	}
	n.carryOut(p, n.steer.HandleReturned(n.world.clock(), p, h))
}

func (w *world) reset(id flow.ID) {
	if a := w.callers[id]; a != nil {
		a.reset()
	}
}

// toAgent carries a frame to an agent from a zone.
func (w *world) toAgent(agent hop.IP, zone int, p *flow.Packet, h *hop.Header) {
	to, header := w.hostAt(agent), *h
	w.after(w.delay(zone, to.zone), func() { to.fromNode(p, &header) })
}

// nearDelay is the delay within an availability zone.
const nearDelay = 200 * time.Microsecond

func (w *world) delay(from, to int) time.Duration {
	if from == to {
		return min(nearDelay, w.profile.NodeDelay)
	}
	return w.profile.NodeDelay
}

func (w *world) hostAt(ip hop.IP) *host { return w.hosts[hostIndex(ip)] }

func (w *world) nodeAt(ip hop.IP) *node { return w.nodes[int(ip[3])-1] }
