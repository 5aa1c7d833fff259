package resident

import (
	"math"
	"time"

	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
)

// Bounds of the load of a target.
const (
	// fullLoad is the relative load of a target whose slots are all in use. The scale is fine enough to compare targets, and
	// loads up to eight times as high fit into a byte.
	fullLoad = 32
	// maxBusyTargets is the number of busy targets after which an opening packet goes to the least loaded of them. Each target
	// tried costs a hop.
	maxBusyTargets = 4
)

// handleOpening returns the decision for an opening packet of a flow that the target does not hold.
func (r *Machine) handleOpening(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	reason := r.target.declineReason(now)
	// At the last candidate the packet waits until all balancers know the joining target.
	if isLast := h.CandidateCount == 0 && h.BusyCount == 0 && !h.IsDuplicate; isLast && reason == Joining {
		return Decision{Verdict: Wait, Reason: Joining, Header: *h, NotifyOrigin: h.Hops > 0, Opening: p.Opening()}
	}
	if reason != Accepting {
		return decline(h, reason)
	}
	isAtLimit := r.IsAtOpeningLimit(now)
	if !h.MustAccept && (isAtLimit || r.isBusy(now)) {
		if d, isElsewhere := r.skipBusyTarget(h, isAtLimit); isElsewhere {
			return d
		}
	}
	// While the rate is limited, new flows wait behind those that wait already.
	if isAtLimit || r.pendingFlows > 0 && r.openingRate(now) > 0 {
		return Decision{Verdict: Wait, Reason: Cold, Header: *h, NotifyOrigin: h.Hops > 0, Opening: p.Opening()}
	}
	if r.mustWait(now, h) {
		return Decision{Verdict: Wait, Reason: Busy, Header: *h, NotifyOrigin: h.Hops > 0, Opening: p.Opening()}
	}
	return r.deliverOpening(now, p, h)
}

// mustWait reports whether an opening packet waits at the agent instead of at the target. Flows of the most urgent routes wait
// at the target as long as it can answer them within their objective, because requests on open flows would overtake them here.
// Flows of other routes also wait behind those that already wait here.
func (r *Machine) mustWait(now time.Time, h *hop.Header) bool {
	if h.PriorityOffset == 0 {
		return !r.HasRoom(now) &&
			r.waitingFlows >= r.times.flowsAnsweredWithin(time.Duration(h.Objective)*time.Millisecond, r.target.lastHeartbeat.Slots)
	}
	return r.pendingFlows > 0 || !r.HasRoom(now)
}

// isBusy reports whether no slot of the target is free. A new flow uses a slot for only part of the time until its answer. When
// no slot seems free, a sweep first ends the waiting of abandoned flows, at most once in maxHandshake/2.
func (r *Machine) isBusy(now time.Time) bool {
	usesAll := func() bool {
		used := float64(r.outstandingRequests+r.pendingFlows) + float64(r.waitingFlows-r.outstandingRequests)*r.times.slotShare()
		return r.target.isKnown && used >= float64(max(r.target.lastHeartbeat.Slots, 1))
	}
	if usesAll() && now.Sub(r.lastSweepAt) >= maxHandshake/2 {
		r.Sweep(now)
	}
	return usesAll()
}

// skipBusyTarget redirects an opening packet from a busy target to the next candidate. After maxBusyTargets busy targets, or
// when no candidate is left, the packet goes to the least loaded of them. It reports false when that is this target.
//
// A target at the limit of its opening packets is skipped in the same way, but counts as busy only if it is the first one: warm targets
// among the remaining candidates may have room.
func (r *Machine) skipBusyTarget(h *hop.Header, isAtLimit bool) (Decision, bool) {
	reason, load := Busy, r.relativeLoad()
	if isAtLimit {
		// Its free slots are of no use to the packet, so none counts as free, nor those of a target whose slots are not known.
		reason, load = Cold, max(load, r.loadOf(r.pendingFlows+max(r.target.lastHeartbeat.Slots, 1)))
	}
	if h.BusyCount == 0 || load < h.LowestLoad {
		h.LeastLoaded, h.LowestLoad = r.self, load
	}
	if !isAtLimit || h.BusyCount == 0 {
		h.BusyCount++
	}
	if (isAtLimit || h.BusyCount < maxBusyTargets) && h.CandidateCount > 0 {
		return decline(h, reason), true
	}
	if h.LeastLoaded == r.self {
		return Decision{}, false
	}
	return sendToLeastLoaded(h, reason), true
}

// sendToLeastLoaded returns the decision that sends an opening packet to the least loaded of the busy targets, which must
// accept it.
func sendToLeastLoaded(h *hop.Header, reason Reason) Decision {
	d := Decision{Verdict: ForwardNext, Reason: reason, Header: *h, Next: h.LeastLoaded}
	d.Header.MustAccept = true
	d.Header.Hops++
	return d
}

// relativeLoad returns the load of the target in units where fullLoad means that all slots are in use. It counts the flows
// whose callers wait for the target and those that wait at the agent. The load of an unknown target is 0.
func (r *Machine) relativeLoad() uint8 {
	if !r.target.isKnown {
		return 0
	}
	return r.loadOf(r.waitingFlows + r.pendingFlows)
}

// loadOf returns the relative load of the target with a number of flows.
func (r *Machine) loadOf(flows int) uint8 {
	return uint8(min(flows*fullLoad/max(r.target.lastHeartbeat.Slots, 1), math.MaxUint8))
}

// SetPendingCount sets the number of opening packets that wait at the agent for room at the target.
func (r *Machine) SetPendingCount(count int) { r.pendingFlows = count }

// AdmitPending returns the decision for an opening packet that has waited for room and may be delivered now. At the limit of opening
// packets it is declined; the caller checks IsAtOpeningLimit before, so that the packet keeps waiting instead.
func (r *Machine) AdmitPending(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	if reason := r.target.declineReason(now); reason != Accepting {
		return decline(h, reason)
	}
	if r.IsAtOpeningLimit(now) {
		return decline(h, Cold)
	}
	return r.deliverOpening(now, p, h)
}

// deliverOpening delivers an opening packet to the target. Its flow counts as waiting from now on, so that a burst of new
// flows does not find more room than there is.
func (r *Machine) deliverOpening(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	r.target.recordOpening(now)
	r.recordOpeningDelivery(now)
	r.recordOpening(now, p, h.RunsOnce)
	return Decision{Verdict: Deliver, Mark: r.recordDelivery(h), NotifyOrigin: h.Hops > 0, Opening: p.Opening()}
}

// RefusePending returns the decision for an opening packet that found no room within its wait limit, or that was removed from a
// full queue. The balancer resets the flow at once, unless a copy of the packet may have been accepted elsewhere.
func (r *Machine) RefusePending(h *hop.Header, mayBeElsewhere bool) Decision {
	d := Decision{Verdict: ReturnToBalancer, Reason: Busy, Header: *h}
	d.Header.Kind, d.Header.CandidateCount = hop.Refused, 0
	d.Header.MayBeOpen = h.MayBeOpen || mayBeElsewhere
	return d
}

// Redirect returns the decision for an opening packet that waits at an agent that accepts no new flows any more.
func Redirect(h *hop.Header, reason Reason) Decision { return decline(h, reason) }

// CanAnswerWithin reports whether the target is expected to answer one more flow within a time. It reports false while the
// service times are not known.
func (r *Machine) CanAnswerWithin(left time.Duration) bool {
	return r.times.isMeasured() && r.waitingFlows < r.times.flowsAnsweredWithin(left, r.target.lastHeartbeat.Slots)
}

// Capacity returns the number of requests that the target answers within a time while all of its slots are in use, or 0 when
// that is not known.
func (r *Machine) Capacity(in time.Duration) int {
	if r.times.run == 0 {
		return 0
	}
	return max(int(in*time.Duration(r.target.lastHeartbeat.Slots)/r.times.run), 1)
}

// SlotInterval returns the mean time after which the next slot becomes free while all slots of the target are in use, or 0 when that is
// not known.
func (r *Machine) SlotInterval() time.Duration {
	return r.times.run / time.Duration(max(r.target.lastHeartbeat.Slots, 1))
}

// HasRoom reports whether a new request would run at once or wait only briefly at the target. A target that joins has none
// yet. One whose slots are not known always has room.
func (r *Machine) HasRoom(now time.Time) bool {
	if r.target.isJoining(now) {
		return false
	}
	slots := max(r.target.lastHeartbeat.Slots, 1)
	return !r.target.isKnown || r.waitingFlows < slots+r.times.headroom(slots)
}

// Load returns the number of flows whose callers wait for the target, and the number of its slots.
func (r *Machine) Load() (waiting, slots int) { return r.waitingFlows, r.target.lastHeartbeat.Slots }
