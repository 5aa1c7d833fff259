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

// watchDelay is the time after a store write at which balancers that watch the store receive the changed entry.
const watchDelay = 20 * time.Millisecond

// host is a simulated VM with an agent, which decides with the production code, and a target. The first block of fields
// describes the VM, the second one the agent and the third one the target.
type host struct {
	sim  *simulation
	ip   hop.IP
	zone int

	isAgentUp   bool
	agentStarts int
	gate        *gate.Gate[*flow.Packet]
	writer      registry.Writer
	entry       registry.Entry
	// revision is the store's revision of the entry, or 0 while there is none.
	revision int64

	isTargetUp  bool
	instance    int64
	sequence    int64
	isDraining  bool
	failsAtOnce bool
	slowdown    float64
	coldUntil   time.Duration
	flows       map[flow.ID]bool
	activeRuns  int
	backlog     []*run
}

func hostIndex(ip hop.IP) int { return int(binary.BigEndian.Uint16(ip[2:])) }

func (s *simulation) newHost(i int) *host {
	h := &host{sim: s, ip: hop.IP{10, 1}, zone: i % s.profile.Zones, slowdown: 1}
	binary.BigEndian.PutUint16(h.ip[2:], uint16(i))
	h.writer.HandleWritten(registry.Entry{}, 0)
	h.startAgent()
	h.startTarget()
	h.coldUntil = 0
	h.sendHeartbeat()
	// The simulation starts with a deployment that has run for a while, so the join delay is over.
	h.gate.SetJoining(startTime.Add(-time.Hour), true)
	h.gate.SetJoining(startTime.Add(-time.Hour), false)
	return h
}

func (h *host) startAgent() {
	s := h.sim
	h.isAgentUp = true
	h.agentStarts++
	h.gate = gate.New[*flow.Packet](resident.New(s.wallTime(), h.ip, serviceName, flow.Lifetime))
	start := h.agentStarts
	isCurrent := func() bool {
		return h.isAgentUp && h.agentStarts == start && s.now < s.endTime
	}
	s.scheduleEvery(gate.ExpiryInterval, func() bool {
		if isCurrent() {
			h.executeReleased(h.gate.NextExpired)
			h.executeReleased(h.gate.Next)
		}
		return isCurrent()
	})
	s.scheduleEvery(gate.SweepInterval, func() bool {
		if isCurrent() {
			h.gate.Sweep(s.wallTime())
		}
		return isCurrent()
	})
	s.scheduleEvery(heartbeatInterval/resident.TicksPerHeartbeat, func() bool {
		if isCurrent() {
			h.applyOutcome(h.gate.Tick(s.wallTime()))
		}
		return isCurrent()
	})
}

// executeReleased executes the decisions on opening packets that no longer wait.
func (h *host) executeReleased(next func(now time.Time) (gate.Released[*flow.Packet], bool)) {
	for o, ok := next(h.sim.wallTime()); ok; o, ok = next(h.sim.wallTime()) {
		h.execute(o.Item, o.Decision)
	}
}

// applyOutcome resets ended flows at their callers. It also writes a changed entry to the store, from which balancers receive
// it.
func (h *host) applyOutcome(outcome resident.Outcome) {
	s := h.sim
	for _, e := range outcome.EndedFlows {
		s.scheduleAfter(s.profile.CallerDelay, func() { s.resetFlow(e.ID) })
	}
	h.writer.SetDesired(h.gate.Entry())
	if h.writer.IsUpToDate() {
		return
	}
	h.revision = max(h.revision+1, int64(s.eventCount))
	h.gate.SetJoining(s.wallTime(), h.writer.NextWriteJoins())
	h.entry, _ = h.writer.NextWrite()
	h.writer.HandleWritten(h.entry, store.Version(h.revision))
	h.gate.SetJoining(s.wallTime(), false)
	for _, b := range s.balancers {
		s.scheduleAfter(watchDelay, func() { b.handleEntry(h) })
	}
}

func (h *host) handleBalancerPacket(p *flow.Packet, header *hop.Header) {
	if !h.isAgentUp {
		return
	}
	d, displaced, isDisplaced := h.gate.HandleCallerPacket(h.sim.wallTime(), p, header, func() *flow.Packet { return p })
	if isDisplaced {
		h.execute(displaced.Item, displaced.Decision)
	}
	if d.NotifyOrigin {
		origin, id := h.sim.balancerByIP(header.Origin), p.IDFromCaller()
		h.sim.scheduleAfter(h.sim.delayBetween(h.zone, origin.zone), func() {
			if origin.isUp {
				origin.steer.SetLocation(h.sim.wallTime(), id, d.Opening, h.ip, desired.ServiceKeyOf(serviceName))
			}
		})
	}
	h.execute(p, d)
	if d.Verdict == resident.Wait {
		h.executeReleased(h.gate.Next)
	}
}

func (h *host) execute(p *flow.Packet, d resident.Decision) {
	s := h.sim
	switch d.Verdict {
	case resident.Deliver:
		h.deliverToTarget(p, d.Mark)
	case resident.ForwardNext:
		s.sendToAgent(d.Next, h.zone, p, &d.Header)
	case resident.ReturnToBalancer:
		b, header := s.balancerByIP(d.Header.Origin), d.Header
		s.scheduleAfter(s.delayBetween(h.zone, b.zone), func() { b.handleAgentPacket(p, &header) })
	case resident.SendToCaller, resident.Drop, resident.Wait:
	}
}

// deliverToTarget delivers a packet to the target. The packet bounces to the agent when the target is down or does not hold the
// flow.
func (h *host) deliverToTarget(p *flow.Packet, mark uint32) {
	id := p.IDFromCaller()
	switch {
	case !h.isTargetUp || !p.Opens && !h.flows[id]:
		bounced := *p
		bounced.IsBounced, bounced.Mark = true, mark
		d := h.gate.HandleTargetPacket(h.sim.wallTime(), &bounced)
		for _, e := range h.gate.TakeEndedFlows().EndedFlows {
			h.sim.scheduleAfter(h.sim.profile.CallerDelay, func() { h.sim.resetFlow(e.ID) })
		}
		h.execute(p, d)
	case p.Opens:
		h.flows[id] = true
		h.sendToCaller(id, flow.Packet{Accepts: true}, (*caller).handleAccepted)
	default:
		h.handleRequest(id)
	}
}
