package crest

import (
	"strconv"
	"time"

	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/resident"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// firstHeartbeatDelay is the time from the start of a target to its first heartbeat.
	firstHeartbeatDelay = 10 * time.Millisecond
	// answerRetryInterval is the time after which a target resends an answer while its agent is down.
	answerRetryInterval = 200 * time.Millisecond
)

// run is a request at one instance of a target.
type run struct {
	caller      *caller
	id          flow.ID
	serviceTime time.Duration
	instance    int64
}

func (h *host) startTarget() {
	s := h.sim
	s.lastInstance++
	h.instance, h.sequence, h.isTargetUp, h.isDraining = s.lastInstance, 0, true, false
	h.flows, h.activeRuns, h.backlog = make(map[flow.ID]bool), 0, nil
	h.coldUntil = s.now + s.profile.ColdDuration
	instance := h.instance
	s.scheduleAfter(firstHeartbeatDelay, func() { h.runHeartbeats(instance) })
}

// runHeartbeats sends heartbeats of an instance until it ends.
func (h *host) runHeartbeats(instance int64) {
	if !h.isTargetUp || h.instance != instance || h.sim.now > h.sim.endTime {
		return
	}
	h.sendHeartbeat()
	h.sim.scheduleAfter(heartbeatInterval, func() { h.runHeartbeats(instance) })
}

// sendHeartbeat sends a heartbeat of the target to its agent.
func (h *host) sendHeartbeat() {
	if !h.isAgentUp {
		return
	}
	h.sequence++
	h.applyOutcome(h.gate.HandleHeartbeat(h.sim.wallTime(), resident.Heartbeat{
		Instance: "i-" + strconv.FormatInt(h.instance, 10), Started: h.instance, Sequence: h.sequence, Service: serviceName,
		Zone: zoneName(h.zone), Slots: h.sim.profile.Slots, IsDraining: h.isDraining,
	}))
}

// crashTarget stops the target without warning; its flows and requests are lost.
func (h *host) crashTarget() {
	h.isTargetUp = false
	h.flows, h.activeRuns, h.backlog = make(map[flow.ID]bool), 0, nil
}

// replaceTarget drains the target for the given time, shuts it down and starts another one on the same VM.
func (h *host) replaceTarget(drain time.Duration) {
	h.isDraining = true
	h.sendHeartbeat()
	h.sim.scheduleAfter(drain, func() {
		h.gate.HandleLeave("i-" + strconv.FormatInt(h.instance, 10))
		h.crashTarget()
		h.startTarget()
	})
}

// handleRequest runs or queues the request of a flow, or answers with a failure. It ignores retransmissions.
func (h *host) handleRequest(id flow.ID) {
	c := h.sim.callers[id]
	if c == nil || c.hasArrived {
		return
	}
	c.hasArrived = true
	r := &run{caller: c, id: id, serviceTime: c.request.serviceTime, instance: h.instance}
	switch {
	case h.failsAtOnce:
		h.sendAnswer(r, false, true)
	case h.activeRuns < h.sim.profile.Slots:
		h.startRun(r)
	case len(h.backlog) < h.sim.profile.Backlog:
		h.backlog = append(h.backlog, r)
	default:
		h.sendAnswer(r, false, false)
	}
}

func (h *host) startRun(r *run) {
	h.activeRuns++
	factor := h.slowdown
	if h.sim.now < h.coldUntil {
		factor *= h.sim.profile.ColdFactor
	}
	h.sim.scheduleAfter(time.Duration(float64(r.serviceTime)*factor), func() { h.finishRun(r) })
}

func (h *host) finishRun(r *run) {
	if !h.isTargetUp || h.instance != r.instance {
		return
	}
	h.activeRuns--
	if len(h.backlog) > 0 {
		next := h.backlog[0]
		h.backlog = h.backlog[1:]
		h.startRun(next)
	}
	h.sendAnswer(r, true, true)
}

// sendAnswer sends the answer to a request. While the agent is down, it retries.
func (h *host) sendAnswer(r *run, isSuccess, hasRun bool) {
	if !h.isAgentUp {
		h.sim.scheduleAfter(answerRetryInterval, func() {
			if h.isTargetUp && h.instance == r.instance {
				h.sendAnswer(r, isSuccess, hasRun)
			}
		})
		return
	}
	attempt := r.caller.attempts
	h.sendToCaller(r.id, flow.Packet{Payload: requestBytes}, func(c *caller) {
		if c.attempts == attempt {
			c.handleAnswer(isSuccess, hasRun)
		}
	})
}

// sendToCaller sends a packet of the target through the agent to the caller, which handles it.
func (h *host) sendToCaller(id flow.ID, p flow.Packet, handle func(c *caller)) {
	s := h.sim
	if !h.isAgentUp {
		return
	}
	p.Source, p.Destination = id.Address, id.Caller
	h.gate.HandleTargetPacket(s.wallTime(), &p)
	s.scheduleAfter(s.profile.CallerDelay, func() {
		if c := s.callers[id]; c != nil && c.id == id {
			handle(c)
		}
	})
	h.executeReleased(h.gate.Next)
}
