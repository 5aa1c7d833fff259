package resident

import (
	"time"

	"gentianswitch/internal/opaque/registry"
)

// Timeouts and delays of the target's state.
const (
	// acceptTimeout is the time within which a target answers an opening packet. Callers repeat the packet after 200 ms, and
	// the copy has to reach another target.
	acceptTimeout = 80 * time.Millisecond
	// silentRetryInterval is the time after which a target that did not answer an opening packet is sent another one.
	silentRetryInterval = 300 * time.Millisecond
	// TicksPerHeartbeat is the number of ticks per interval of the target's heartbeats.
	TicksPerHeartbeat = 2
	// leavePropagationTime is the time within which all balancers learn that a target has left: those that watch the store
	// within a second, the others from them.
	leavePropagationTime = 1300 * time.Millisecond
	// maxSilentTicks is the number of ticks without a sign of life after which the target counts as gone: two failed
	// heartbeats, and half an interval for the spread of their times. Ticks are counted instead of time because an agent whose
	// VM was suspended received no heartbeats in that time.
	maxSilentTicks = 5 * TicksPerHeartbeat / 2
)

// Heartbeat is the status that a target reports to its agent.
type Heartbeat struct {
	// Instance identifies the target. Started is when it started, in Unix milliseconds, or 0 when that is not known. It
	// distinguishes incarnations of the same instance.
	Instance string
	Started  int64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence int64
	Service  string
	Zone     string
	// Slots is the number of requests that the target runs at once.
	Slots      int
	IsDraining bool
	// WarmupLeft is how long the target stays cold, or 0 if it is not cold.
	WarmupLeft time.Duration
}

// target is what the agent knows about its target.
type target struct {
	lastHeartbeat Heartbeat
	// isKnown is set once a heartbeat has been received, hasLeft once the target has reported that it shuts down.
	isKnown, hasLeft bool
	// openingSentAt is when the opening packet was delivered whose reply is awaited while awaitsReply is set.
	openingSentAt time.Time
	// awaitsReply is set from the delivery of an opening packet until the next packet or heartbeat of the target.
	awaitsReply bool
	// heartbeatAt is when the last heartbeat was received.
	heartbeatAt time.Time
	// signOfLifeAt is when the target last gave a sign of life.
	signOfLifeAt time.Time
	// previousInstance is the instance of the target until instanceChangedAt.
	previousInstance  string
	instanceChangedAt time.Time
	// silentTicks counts the ticks since the last sign of life, up to maxSilentTicks.
	silentTicks int
	// isJoinPending is set while it is not known whether the store already holds the entry that adds the target. joinedAt is
	// when the store was known to hold it.
	isJoinPending bool
	joinedAt      time.Time
	// leaveStoredAt is when the store accepted the entry that says that the target has left.
	leaveStoredAt time.Time
	// hasTimedOut is set when the target has given no sign of life for maxSilentTicks, until its next heartbeat.
	hasTimedOut bool
	// heardTicks counts the ticks since a heartbeat of the incarnation first arrived. isConfirmed is set if the incarnation is known to
	// have lived while this process was running: that was its first heartbeat, or another one has followed an interval later.
	heardTicks  int
	isConfirmed bool
	// evacuation is the store version of the last known change of the evacuation of the target's availability zone.
	evacuation  uint64
	isEvacuated bool
	// acceptedAt is when the target last accepted a new flow.
	acceptedAt time.Time
	// coldUntil is when the target will be warm, as far as its heartbeats say.
	coldUntil time.Time
	// unheardTicks counts the ticks since the last heartbeat of the known incarnation.
	unheardTicks int
	// lost is an incarnation whose flows end soon.
	lost lostIncarnation
	// successors are other incarnations that may have replaced the known one, and replaced are those that others have replaced.
	successors []successor
	replaced   []Incarnation
}

// isAbsent reports whether there is no target: it has reported that it shuts down, or it has timed out.
func (t *target) isAbsent() bool { return t.hasLeft || t.hasTimedOut }

// declineReason returns why the target accepts no new flow, or Accepting. An agent that has just started delivers new flows
// before the first heartbeat, because its target may have been running already.
func (t *target) declineReason(now time.Time) Reason {
	switch {
	case t.isAbsent():
		return Absent
	case t.isKnown && t.lastHeartbeat.IsDraining:
		return Draining
	case t.isEvacuated:
		return Evacuated
	case t.isJoining(now):
		return Joining
	case t.awaitsReply && now.Sub(t.openingSentAt) > acceptTimeout && now.Sub(t.openingSentAt) < silentRetryInterval:
		return Silent
	default:
		return Accepting
	}
}

// isJoining reports whether some balancers may not know the target yet. They would reset its flows.
func (t *target) isJoining(now time.Time) bool {
	return t.isJoinPending || now.Sub(t.joinedAt) < registry.JoinDelay
}

// recordOpening records the delivery of an opening packet.
func (t *target) recordOpening(now time.Time) {
	if t.awaitsReply && now.Sub(t.openingSentAt) <= acceptTimeout {
		return
	}
	t.awaitsReply, t.openingSentAt = true, now
}

// recordSignOfLife records a packet or heartbeat that only a running target sends.
func (t *target) recordSignOfLife(now time.Time) {
	t.awaitsReply, t.silentTicks, t.signOfLifeAt = false, 0, now
}

// recordStackReply records a packet that needs no running target: a VM whose target has shut down still bounces packets and
// resets flows.
func (t *target) recordStackReply() { t.awaitsReply = false }

// Outcome is the result of a heartbeat or a tick.
type Outcome struct {
	// IsStale is set when the heartbeat is older than the last one of the same incarnation. IsUnconfirmed is set when it is of
	// another incarnation, which may be an earlier one. Both are ignored.
	IsStale, IsUnconfirmed bool
	// HasChanged is set when the target's entry has to be written again.
	HasChanged bool
	// EndedFlows are the open flows that were lost with an earlier incarnation of the target. PreviousInstance is the target's
	// instance before the heartbeat or tick.
	EndedFlows       []EndedFlow
	PreviousInstance string
	// Cause is why flows have ended. It has no meaning without EndedFlows.
	Cause EndCause
}

// HandleHeartbeat records a heartbeat of the target. The first heartbeat of a new incarnation ends the flows that the earlier
// one had accepted by its last heartbeat.
func (r *Machine) HandleHeartbeat(now time.Time, h Heartbeat) Outcome {
	t := &r.target
	isNew := t.isKnown && t.isNewIncarnation(h)
	next := successor{firstSequence: h.Sequence}
	switch {
	case isNew:
		var hasReplaced bool
		if next, hasReplaced = t.findSuccessor(now, h); !hasReplaced {
			t.extendColdness(now, h)
			return Outcome{IsUnconfirmed: true}
		}
	case t.isKnown && !isNew && h.Sequence <= t.lastHeartbeat.Sequence:
		return Outcome{IsStale: true}
	}
	var ended []EndedFlow
	if t.startedDuringProcess(isNew, next.firstSequence) {
		r.incompleteUntil = time.Time{}
	}
	if isNew {
		// Otherwise the new incarnation may have accepted flows before a late heartbeat of the earlier one.
		mayEndFlows := t.isConfirmed && next.firstSequence <= MaxFirstSequence
		switch {
		case mayEndFlows && (next.isProven || t.isAbsent()):
			ended = r.endFlowsAcceptedBy(next.predecessorHeardAt)
		case mayEndFlows:
			t.lost = lostIncarnation{
				t.lastHeartbeat.Incarnation(), t.lastHeartbeat.Sequence, next.predecessorHeardAt, t.unheardTicks,
			}
		}
		t.previousInstance, t.instanceChangedAt = t.lastHeartbeat.Instance, now
		t.recordReplaced()
	}
	t.recordHeard(isNew || !t.isKnown, h.Sequence)
	before, previousInstance := r.Entry(), t.lastHeartbeat.Instance
	t.lastHeartbeat, t.heartbeatAt, t.isKnown, t.hasLeft, t.hasTimedOut = h, now, true, false, false
	t.coldUntil = now.Add(h.WarmupLeft)
	t.resetSuccessorTicks()
	t.unheardTicks = 0
	t.recordSignOfLife(now)
	return Outcome{HasChanged: before != r.Entry(), EndedFlows: ended, PreviousInstance: previousInstance, Cause: Succession}
}

// extendColdness records a heartbeat that is otherwise ignored, because it may be of an earlier incarnation. It may also be of a cold
// successor, whose VM's clock was set back. Treating a warm target as cold for a few seconds does little harm.
func (t *target) extendColdness(now time.Time, h Heartbeat) {
	if until := now.Add(h.WarmupLeft); h.WarmupLeft > 0 && until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// instanceAt returns the instance of the target at a time, as far as the agent knew it then.
func (t *target) instanceAt(at time.Time) string {
	if at.Before(t.instanceChangedAt) {
		return t.previousInstance
	}
	return t.lastHeartbeat.Instance
}

// isNewIncarnation reports whether a heartbeat is of another incarnation than the last one.
func (t *target) isNewIncarnation(h Heartbeat) bool {
	return h.Incarnation() != t.lastHeartbeat.Incarnation()
}

// Tick records that one tick has passed. When the target has given no sign of life for maxSilentTicks, its flows are lost.
// This also applies to a target that the agent never received a heartbeat from: its VM had a power failure, or it has left.
func (r *Machine) Tick(now time.Time) Outcome {
	t := &r.target
	t.addSuccessorTicks()
	t.heardTicks++
	t.unheardTicks++
	t.silentTicks = min(t.silentTicks+1, maxSilentTicks)
	if t.lost.tick() {
		ended := r.endFlowsAcceptedBy(t.lost.heardAt)
		previous := t.lost.incarnation.Instance
		t.lost = lostIncarnation{}
		return Outcome{EndedFlows: ended, PreviousInstance: previous, Cause: Succession}
	}
	if t.silentTicks < maxSilentTicks || t.hasTimedOut {
		return Outcome{}
	}
	before := r.Entry()
	t.hasTimedOut = true
	r.markFlowTableIncomplete(now)
	return Outcome{
		HasChanged: before != r.Entry(), EndedFlows: r.endFlowsAcceptedBy(now), PreviousInstance: t.lastHeartbeat.Instance,
		Cause: Silence,
	}
}

// SetJoining sets whether a write of the entry that adds the target is in progress.
func (r *Machine) SetJoining(now time.Time, isJoining bool) {
	if r.target.isJoinPending && !isJoining {
		r.target.joinedAt = now
	}
	r.target.isJoinPending = isJoining
}

// SetEvacuation records whether the availability zone of the target is evacuated, as a balancer has reported it with the store version of
// the change. An older report than the last one is ignored: the balancer is behind. It reports whether the agent starts or stops
// declining new flows.
func (r *Machine) SetEvacuation(version uint64, isEvacuated bool) bool {
	t := &r.target
	if version <= t.evacuation {
		return false
	}
	hasChanged := t.isEvacuated != isEvacuated
	t.evacuation, t.isEvacuated = version, isEvacuated
	return hasChanged
}

// IsEvacuated reports whether the availability zone of the target is evacuated.
func (r *Machine) IsEvacuated() bool { return r.target.isEvacuated }

// LastAcceptedAt returns when the target last accepted a new flow, or the zero time.
func (r *Machine) LastAcceptedAt() time.Time { return r.target.acceptedAt }

// SetLeft records that the store holds an entry that says that the target has left.
func (r *Machine) SetLeft(now time.Time) { r.target.leaveStoredAt = now }

// CanStop reports whether the agent may shut down. It has to wait
//   - while the target drains and still has flows to finish,
//   - while it is not known whether there is a target: after a power failure a target that was leaving does not come back, and
//     only its agent can report that,
//   - while balancers learn that the target has joined or left: they would search for flows at an agent that is gone.
//
// isWritten reports whether the store holds the target's current entry.
func (r *Machine) CanStop(now time.Time, isWritten bool) bool {
	t := &r.target
	isUnknown := !t.isKnown && !t.isAbsent()
	isLeaving := t.isKnown && t.lastHeartbeat.IsDraining && !t.isAbsent()
	isLeaveUnknown := t.isAbsent() && (!isWritten || now.Sub(t.leaveStoredAt) < leavePropagationTime)
	return !isUnknown && !isLeaving && !isLeaveUnknown && !t.isJoining(now)
}

// HandleLeave records that an instance has reported its shutdown. It reports whether that instance is the target. While the
// agent has received no heartbeat, any instance counts as the target.
func (r *Machine) HandleLeave(instance string) bool {
	t := &r.target
	if t.isKnown && t.lastHeartbeat.Instance != instance {
		return false
	}
	t.hasLeft = true
	return true
}

// Entry returns the entry that the store has to hold for the target, or the zero Entry while nothing is known about it.
func (r *Machine) Entry() registry.Entry {
	t := &r.target
	switch {
	case t.isKnown:
		return registry.Entry{
			Service: t.lastHeartbeat.Service, Zone: t.lastHeartbeat.Zone, Slots: t.lastHeartbeat.Slots,
			IsDraining: t.lastHeartbeat.IsDraining, HasLeft: t.isAbsent(),
		}
	case t.isAbsent():
		return registry.Entry{Service: r.serviceName, HasLeft: true}
	default:
		return registry.Entry{}
	}
}
