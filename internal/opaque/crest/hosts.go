package crest

import (
	"encoding/binary"
	"time"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/gate"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/store"
)

// watchDelay is the time in which balancers learn of a changed entry.
const watchDelay = 20 * time.Millisecond

// host is a VM with an agent and a target.
type host struct {
	world *world
	ip    hop.IP
	zone  int

	isAgentUp  bool
	agentStart int
	gate       *gate.Gate[*flow.Packet]
	writer     registry.Writer
	entry      registry.Entry
	revision   int64

	isTargetUp bool
	instance   int64
	sequence   int64
	isDraining bool
	isGrey     bool
	slowness   float64
	coldUntil  time.Duration
	flows      map[flow.ID]bool
	running    int
	backlog    []*run
}

func hostIndex(ip hop.IP) int { return int(binary.BigEndian.Uint16(ip[2:])) }

func (w *world) newHost(i int) *host {
	h := &host{world: w, ip: hop.IP{10, 1}, zone: i % w.profile.Zones, slowness: 1}
	binary.BigEndian.PutUint16(h.ip[2:], uint16(i))
	h.writer.HandleWritten(registry.Entry{}, 0)
	h.startAgent()
	h.startTarget()
	h.coldUntil = 0
	h.beat()
	// The deployment has run for a while.
	h.gate.SetJoining(epoch.Add(-time.Hour), true)
	h.gate.SetJoining(epoch.Add(-time.Hour), false)
	return h
}

func (h *host) startAgent() {
	w := h.world
	h.isAgentUp = true
	h.agentStart++
	h.gate = gate.New[*flow.Packet](resident.New(w.clock(), h.ip, serviceName, flow.Lifetime))
	run := h.agentStart
	isCurrent := func() bool {
		return h.isAgentUp && h.agentStart == run && w.now < w.end
	}
	w.every(gate.ExpiryInterval, func() bool {
		if isCurrent() {
			h.release(h.gate.NextExpired)
			h.release(h.gate.Next)
		}
		return isCurrent()
	})
	w.every(gate.SweepInterval, func() bool {
		if isCurrent() {
			h.gate.Sweep(w.clock())
		}
		return isCurrent()
	})
	w.every(heartbeat/resident.TicksPerHeartbeat, func() bool {
		if isCurrent() {
			h.tell(h.gate.Tick(w.clock()))
		}
		return isCurrent()
	})
}

// release carries out what becomes of openings that wait no longer.
func (h *host) release(next func(now time.Time) (gate.Released[*flow.Packet], bool)) {
	for o, ok := next(h.world.clock()); ok; o, ok = next(h.world.clock()) {
		h.carryOut(o.Item, o.Decision)
	}
}

// tell resets flows that have ended, and brings the entry to the balancers.
func (h *host) tell(outcome resident.Outcome) {
	w := h.world
	for _, e := range outcome.EndedFlows {
		w.after(w.profile.CallerDelay, func() { w.reset(e.ID) })
	}
	h.writer.SetDesired(h.gate.Entry())
	if h.writer.IsUpToDate() {
		return
	}
	h.revision = max(h.revision+1, int64(w.pushed))
	h.gate.SetJoining(w.clock(), h.writer.NextWriteJoins())
	h.entry, _ = h.writer.NextWrite()
	h.writer.HandleWritten(h.entry, store.Version(h.revision))
	h.gate.SetJoining(w.clock(), false)
	for _, n := range w.nodes {
		w.after(watchDelay, func() { n.learn(h) })
	}
}

func (h *host) fromNode(p *flow.Packet, header *hop.Header) {
	if !h.isAgentUp {
		return
	}
	d, displaced, isDisplaced := h.gate.HandleCallerPacket(h.world.clock(), p, header, func() *flow.Packet { return p })
	if isDisplaced {
		h.carryOut(displaced.Item, displaced.Decision)
	}
	if d.NotifyOrigin {
		origin, id := h.world.nodeAt(header.Origin), p.IDFromCaller()
		h.world.after(h.world.delay(h.zone, origin.zone), func() {
			if origin.isUp {
				origin.steer.SetLocation(h.world.clock(), id, h.ip, desired.ServiceKeyOf(serviceName))
			}
		})
	}
	h.carryOut(p, d)
	if d.Verdict == resident.Wait {
		h.release(h.gate.Next)
	}
}

func (h *host) carryOut(p *flow.Packet, d resident.Decision) {
	w := h.world
	switch d.Verdict {
	case resident.Deliver:
		h.deliver(p, d.Mark)
	case resident.ForwardNext:
		w.toAgent(d.Next, h.zone, p, &d.Header)
	case resident.ReturnToBalancer:
		n, header := w.nodeAt(d.Header.Origin), d.Header
		w.after(w.delay(h.zone, n.zone), func() { n.fromAgent(p, &header) })
	case resident.SendToCaller, resident.Drop, resident.Wait:
	}
}

// deliver gives a packet to the target.
func (h *host) deliver(p *flow.Packet, mark uint32) {
	id := p.IDFromCaller()
	switch {
	case !h.isTargetUp || !p.Opens && !h.flows[id]:
		bounced := *p
		bounced.IsBounced, bounced.Mark = true, mark
		h.carryOut(p, h.gate.HandleTargetPacket(h.world.clock(), &bounced))
	case p.Opens:
		h.flows[id] = true
		h.send(id, flow.Packet{Accepts: true}, (*attempt).accepted)
	default:
		h.take(id)
	}
}
