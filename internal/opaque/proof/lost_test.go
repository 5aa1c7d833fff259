package proof

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianswitch/internal/opaque/flow"
)

// heartbeatInterval is the interval of the heartbeats that agents expect.
const heartbeatInterval = 1200 * time.Millisecond

// lateBounce is a packet that a target bounced and that has not arrived at the agent.
type lateBounce struct {
	host   *host
	packet flow.Packet
}

// lossHistory is a history in which targets end and start again, while bounces are late or doubled.
type lossHistory struct {
	*simulation
	late []lateBounce
}

// actions returns the events of the history.
func (h *lossHistory) actions() map[string]func(*rapid.T) {
	actions := h.simulation.actions()
	actions["a short time passes"] = func(*rapid.T) { h.advanceTime(7 * time.Millisecond) }
	actions["a caller sends much data"] = func(*rapid.T) { h.sendMuchData() }
	actions["a target is lost between requests"] = func(*rapid.T) { h.loseTarget() }
	actions["a bounce is delayed"] = func(*rapid.T) { h.delayBounce() }
	actions["the delayed bounces arrive"] = func(*rapid.T) { h.deliverBounces() }
	actions["a target closes a flow"] = func(*rapid.T) { h.closeFlow() }
	actions["targets discard old flows"] = func(*rapid.T) { h.discardOldFlows() }
	actions["a heartbeat is overdue"] = func(*rapid.T) { h.probe(h.drawHost()) }
	actions["a stopped target is probed"] = func(*rapid.T) { h.probeStopped() }
	return actions
}

// sendMuchData lets callers of several flows send data.
func (h *lossHistory) sendMuchData() {
	for _, id := range h.openFlows[max(0, len(h.openFlows)-5):] {
		h.sendDataOf(id)
	}
}

// loseTarget lets a target start again between the requests of several callers.
func (h *lossHistory) loseTarget() {
	for range 4 {
		h.openFlow()
	}
	h.sendMuchData()
	if at := h.drawHost(); !at.hasLeft {
		h.startTarget(at)
	}
	h.openFlow()
	h.sendMuchData()
}

// delayBounce delivers a packet of a flow to a target, which may bounce it later. An agent knows the flow if its target has served it.
func (h *lossHistory) delayBounce() {
	at := h.drawHost()
	if len(h.openFlows) == 0 || at.isCut {
		return
	}
	id := rapid.SampledFrom(h.openFlows).Draw(h.t, "flow")
	p := flow.Packet{Source: id.Caller, Destination: id.Address, Payload: 10, Acknowledged: h.targetSequence(id)}
	header := h.balancers[0].steer.Decide(h.now, &p).Header
	header.IsDuplicate = true
	d := at.agent.HandleCallerPacket(h.now, &p, &header)
	if p.Mark = d.Mark; d.Mark == 0 || h.receiveAtTarget(at, p) {
		return
	}
	p.IsBounced = true
	h.late = append(h.late, lateBounce{at, p})
}

// deliverBounces delivers the delayed bounces, some of them twice, also those of a target that has started again since.
func (h *lossHistory) deliverBounces() {
	for _, b := range h.late {
		for range rapid.IntRange(1, 2).Draw(h.t, "copies") {
			h.now = h.now.Add(minEventInterval)
			b.host.agent.HandleTargetPacket(h.now, &b.packet)
			h.checkEnded(b.host.agent.TakeEndedFlows(), "an agent reset a flow after a late bounce")
		}
	}
	h.late = nil
}

// closeFlow lets a target close a flow and forget it.
func (h *lossHistory) closeFlow() {
	at := h.drawHost()
	for _, id := range h.openFlows {
		if at.flows[id] && !at.hasLeft {
			delete(at.flows, id)
			at.agent.HandleTargetPacket(h.now, &flow.Packet{Source: id.Address, Destination: id.Caller, Finishes: true})
			return
		}
	}
}

// discardOldFlows lets all targets discard the flows that have reached their lifetime, between two requests of their callers.
func (h *lossHistory) discardOldFlows() {
	h.advanceTime(flowLifetime / 2)
	recent := slices.Clone(h.openFlows[max(0, len(h.openFlows)-5):])
	h.openFlow()
	for _, id := range recent {
		h.sendDataOf(id)
	}
	for _, at := range h.hosts {
		maps.DeleteFunc(at.flows, func(id flow.ID, _ bool) bool { return h.now.Sub(h.openedAt[id]) >= flowLifetime })
	}
	for _, id := range recent {
		h.sendDataOf(id)
	}
}

// probe lets a heartbeat of a target be overdue. Its agent tries to connect, while the target may start again and accept flows.
func (h *lossHistory) probe(at *host) {
	h.advanceTime(heartbeatInterval + heartbeatInterval/4)
	if !at.agent.StartProbe(h.now, heartbeatInterval) {
		return
	}
	isRefused := at.hasLeft
	if rapid.Bool().Draw(h.t, "the target starts again before its agent gets the result") {
		h.startTarget(at)
		h.openFlow()
	}
	h.checkEnded(at.agent.HandleProbeResult(isRefused), "an agent reset a flow after a refused connection")
}

// probeStopped stops a target without a report and lets its agent try to connect.
func (h *lossHistory) probeStopped() {
	at := h.drawHost()
	at.hasLeft, at.flows = true, map[flow.ID]bool{}
	h.probe(at)
}

// TestProofsOfALostTargetEndNoHeldFlow checks the properties of TestOpenFlowsReachTheirTargets while bounces are late or doubled, targets
// close flows, discard old ones and refuse connections. It guards against an agent that takes one of these for the end of a running
// incarnation and resets its flows. At least one flow in two histories must have ended in this way, so that the property is not met by
// never ending any.
func TestProofsOfALostTargetEndNoHeldFlow(t *testing.T) {
	histories, ended := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := &lossHistory{simulation: newSimulation(t, 1, 4)}
		histories++
		defer func() { ended += h.endedFlows }()
		runActions(t, h.simulation, h.actions())
	})
	if 2*ended < histories {
		t.Errorf("%d flows ended in %d histories", ended, histories)
	}
}
