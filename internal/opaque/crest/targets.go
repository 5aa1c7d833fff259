package crest

import (
	"strconv"
	"time"

	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/resident"
)

const (
	heartbeat = 1200 * time.Millisecond
	// firstHeartbeat is the time from the start of a target to its first heartbeat.
	firstHeartbeat = 10 * time.Millisecond
	// answerRetry is the time after which a target sends an answer again that nobody has taken.
	answerRetry = 200 * time.Millisecond
)

// run is a request at a target.
type run struct {
	attempt  *attempt
	id       flow.ID
	work     time.Duration
	instance int64
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
	if !h.isTargetUp || h.instance != instance || h.world.now > h.world.end {
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
	h.tell(h.gate.HandleHeartbeat(h.world.clock(), resident.Heartbeat{
		Instance: "i-" + strconv.FormatInt(h.instance, 10), Started: h.instance, Sequence: h.sequence, Service: serviceName,
		Zone: zoneName(h.zone), Slots: h.world.profile.Slots, IsDraining: h.isDraining,
	}))
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
		h.gate.HandleLeave("i-" + strconv.FormatInt(h.instance, 10))
		h.crash()
		h.startTarget()
	})
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
	h.gate.HandleTargetPacket(w.clock(), &p)
	w.after(w.profile.CallerDelay, func() {
		if a := w.callers[id]; a != nil && a.id == id {
			take(a)
		}
	})
	h.release(h.gate.Next)
}
