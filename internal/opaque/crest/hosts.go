package crest

import (
	"encoding/binary"
	"strconv"
	"time"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/gate"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/store"
)

const (
	heartbeat = 1200 * time.Millisecond
	// firstHeartbeat is the time from the start of a target to its first heartbeat.
	firstHeartbeat = 10 * time.Millisecond
	// watchDelay is the time in which balancers learn of a changed entry.
	watchDelay = 20 * time.Millisecond
	// overdueInterval and sweepInterval are those of the agent.
	overdueInterval = 50 * time.Millisecond
	sweepInterval   = time.Second
	// answerRetry is the time after which a target sends an answer again that nobody has taken.
	answerRetry = 200 * time.Millisecond
)

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

// run is a request at a target.
type run struct {
	attempt  *attempt
	id       flow.ID
	work     time.Duration
	instance int64
}

func hostIndex(ip hop.IP) int { return int(binary.BigEndian.Uint16(ip[2:])) }

func (w *world) newHost(i int) *host {
	h := &host{world: w, ip: hop.IP{10, 1}, zone: i % w.profile.Zones, slowness: 1}
	binary.BigEndian.PutUint16(h.ip[2:], uint16(i))
	h.writer.Written(registry.Entry{}, 0)
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
	h.gate = gate.New[*flow.Packet](resident.New(w.clock(), h.ip, serviceName, time.Minute))
	run := h.agentStart
	isCurrent := func() bool {
		return h.isAgentUp && h.agentStart == run && w.now < w.profile.Length+maxDeadline(w.profile)
	}
	w.every(overdueInterval, func() bool {
		if isCurrent() {
			h.release(h.gate.Overdue)
			h.release(h.gate.Next)
		}
		return isCurrent()
	})
	w.every(sweepInterval, func() bool {
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

func (h *host) startTarget() {
	w := h.world
	w.starts++
	h.instance, h.sequence, h.isTargetUp, h.isDraining = w.starts, 0, true, false
	h.flows, h.running, h.backlog = make(map[flow.ID]bool), 0, nil
	h.coldUntil = w.now + w.profile.ColdFor
	instance := h.instance
	w.after(firstHeartbeat, func() { h.beatAgain(instance) })
}

func (h *host) beatAgain(instance int64) {
	if !h.isTargetUp || h.instance != instance || h.world.now > h.world.profile.Length+maxDeadline(h.world.profile) {
		return
	}
	h.beat()
	h.world.after(heartbeat, func() { h.beatAgain(instance) })
}

// beat lets the target announce itself.
func (h *host) beat() {
	if !h.isAgentUp {
		return
	}
	h.sequence++
	h.tell(h.gate.Heartbeat(h.world.clock(), resident.Heartbeat{
		Instance: "i-" + strconv.FormatInt(h.instance, 10), Started: h.instance, Sequence: h.sequence, Service: serviceName,
		Zone: zoneName(h.zone), Slots: h.world.profile.Slots, IsDraining: h.isDraining,
	}))
}

// tell resets flows that have ended, and brings the entry to the balancers.
func (h *host) tell(outcome resident.Outcome) {
	w := h.world
	for _, e := range outcome.Ended {
		w.after(w.profile.CallerDelay, func() { w.reset(e.ID) })
	}
	h.writer.Want(h.gate.Entry())
	if h.writer.IsSettled() {
		return
	}
	h.revision = max(h.revision+1, int64(w.pushed))
	h.gate.SetJoining(w.clock(), h.writer.Joins())
	h.entry, _ = h.writer.Entry()
	h.writer.Written(h.entry, store.Version(h.revision))
	h.gate.SetJoining(w.clock(), false)
	for _, n := range w.nodes {
		w.after(watchDelay, func() { n.learn(h) })
	}
}

// crash ends the target and what it holds.
func (h *host) crash() {
	h.isTargetUp = false
	h.flows, h.running, h.backlog = make(map[flow.ID]bool), 0, nil
}

// replace ends the target by plan; another one follows on the same VM.
func (h *host) replace(drain time.Duration) {
	h.isDraining = true
	h.beat()
	h.world.after(drain, func() {
		h.gate.Leave("i-" + strconv.FormatInt(h.instance, 10))
		h.crash()
		h.startTarget()
	})
}

func (h *host) fromNode(p *flow.Packet, header *hop.Header) {
	if !h.isAgentUp {
		return
	}
	d, displaced, isDisplaced := h.gate.FromNode(h.world.clock(), p, header, func() *flow.Packet { return p })
	if isDisplaced {
		h.carryOut(displaced.Item, displaced.Decision)
	}
	if d.TellOrigin {
		origin, id := h.world.nodeAt(header.Origin), p.FromCaller()
		h.world.after(h.world.delay(h.zone, origin.zone), func() {
			if origin.isUp {
				origin.steer.Locate(h.world.clock(), id, h.ip, desired.KeyOf(serviceName))
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
	case resident.PassOn:
		w.toAgent(d.Next, h.zone, p, &d.Header)
	case resident.GiveBack:
		n, header := w.nodeAt(d.Header.Origin), d.Header
		w.after(w.delay(h.zone, n.zone), func() { n.fromAgent(p, &header) })
	case resident.Answer, resident.Drop, resident.Wait:
	}
}

// deliver gives a packet to the target.
func (h *host) deliver(p *flow.Packet, mark uint32) {
	id := p.FromCaller()
	switch {
	case !h.isTargetUp || !p.Opens && !h.flows[id]:
		bounced := *p
		bounced.IsBounced, bounced.Mark = true, mark
		h.carryOut(p, h.gate.FromTarget(h.world.clock(), &bounced))
	case p.Opens:
		h.flows[id] = true
		h.send(id, flow.Packet{Accepts: true}, (*attempt).accepted)
	default:
		h.take(id)
	}
}

// take starts a request or lets it wait. A packet that the caller has repeated asks nothing new.
func (h *host) take(id flow.ID) {
	a := h.world.callers[id]
	if a == nil || a.hasArrived {
		return
	}
	a.hasArrived = true
	r := &run{attempt: a, id: id, work: a.request.work, instance: h.instance}
	switch {
	case h.isGrey:
		h.answer(r, false, true)
	case h.running < h.world.profile.Slots:
		h.start(r)
	case len(h.backlog) < h.world.profile.Backlog:
		h.backlog = append(h.backlog, r)
	default:
		h.answer(r, false, false)
	}
}

func (h *host) start(r *run) {
	h.running++
	factor := h.slowness
	if h.world.now < h.coldUntil {
		factor *= h.world.profile.ColdFactor
	}
	h.world.after(time.Duration(float64(r.work)*factor), func() { h.finish(r) })
}

func (h *host) finish(r *run) {
	if !h.isTargetUp || h.instance != r.instance {
		return
	}
	h.running--
	if len(h.backlog) > 0 {
		next := h.backlog[0]
		h.backlog = h.backlog[1:]
		h.start(next)
	}
	h.answer(r, true, true)
}

// answer sends the answer to a request, and again while no agent takes it.
func (h *host) answer(r *run, isSuccess, hasRun bool) {
	if !h.isAgentUp {
		h.world.after(answerRetry, func() {
			if h.isTargetUp && h.instance == r.instance {
				h.answer(r, isSuccess, hasRun)
			}
		})
		return
	}
	try := r.attempt.tries
	h.send(r.id, flow.Packet{Payload: requestBytes}, func(a *attempt) {
		if a.tries == try {
			a.answered(isSuccess, hasRun)
		}
	})
}

// send sends a packet of the target to the caller, who takes it.
func (h *host) send(id flow.ID, p flow.Packet, take func(a *attempt)) {
	w := h.world
	if !h.isAgentUp {
		return
	}
	p.Source, p.Destination = id.Address, id.Caller
	h.gate.FromTarget(w.clock(), &p)
	w.after(w.profile.CallerDelay, func() {
		if a := w.callers[id]; a != nil && a.id == id {
			take(a)
		}
	})
	h.release(h.gate.Next)
}
