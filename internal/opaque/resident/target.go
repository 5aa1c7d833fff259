package resident

import (
	"time"

	"gentianswitch/internal/opaque/registry"
)

// Times that tell whether the target lives.
const (
	// acceptLimit is the time in which a target answers an opening packet. Callers repeat the packet after 200 ms, and that
	// copy has to find another target.
	acceptLimit = 80 * time.Millisecond
	// retryInterval is the time after which a target that has been silent is offered a flow again.
	retryInterval = 300 * time.Millisecond
	// TicksPerHeartbeat is the number of ticks in the interval of the target's heartbeats.
	TicksPerHeartbeat = 2
	// leaveDelay is the time in which balancers learn that a target has left: those that follow the store within a second, the
	// others from them.
	leaveDelay = 1300 * time.Millisecond
	// absentTicks is the number of ticks without a sign of the target after which it counts as gone: two heartbeats that
	// failed, and half an interval for the spread of their times. Ticks are counted, not time, since an agent that has
	// stood still has heard nothing.
	absentTicks = 5 * TicksPerHeartbeat / 2
)

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	// Instance identifies the target; Started tells its incarnations under one instance apart.
	Instance string
	Started  int64
	// Sequence rises with each heartbeat of an incarnation.
	Sequence   int64
	Service    string
	Zone       string
	Slots      int
	IsDraining bool
}

// target is what the agent believes of the target beside it.
type target struct {
	last Heartbeat
	// isKnown is set once a heartbeat has been taken; hasLeft once the target has said that it ends.
	isKnown, hasLeft bool
	offeredAt        time.Time
	// isWaiting is set while no packet of the target has followed an opening packet.
	isWaiting bool
	// heartbeatAt is when the last heartbeat was taken.
	heartbeatAt time.Time
	// former is the instance before the last, until followedAt.
	former     string
	followedAt time.Time
	// silentTicks counts the ticks since the last sign of life, up to absentTicks.
	silentTicks int
	// isJoining is set while the store may or may not hold the entry that makes the target known, joinedAt when it did.
	isJoining bool
	joinedAt  time.Time
	// leftAt is when the store was told that the target has left.
	leftAt time.Time
	// isMissed is set from the tick that has found the target silent until its next heartbeat.
	isMissed bool
}

// isAbsent reports whether there is no target: it has said that it ends, or it gave no sign of life for too long.
func (t *target) isAbsent() bool { return t.hasLeft || t.isMissed }

// refusal returns why the target is offered no new flow, or Accepting. An agent that has just started offers flows
// before the first heartbeat: its target may have run all the time.
func (t *target) refusal(now time.Time) Reason {
	switch {
	case t.isAbsent():
		return Absent
	case t.isKnown && t.last.IsDraining:
		return Draining
	case t.joins(now):
		return Joining
	case t.isWaiting && now.Sub(t.offeredAt) > acceptLimit && now.Sub(t.offeredAt) < retryInterval:
		return Silent
	default:
		return Accepting
	}
}

// joins reports whether balancers may not know the target that reset flows.
func (t *target) joins(now time.Time) bool {
	return t.isJoining || now.Sub(t.joinedAt) < registry.JoinDelay
}

func (t *target) offered(now time.Time) {
	if t.isWaiting && now.Sub(t.offeredAt) <= acceptLimit {
		return
	}
	t.isWaiting, t.offeredAt = true, now
}

// heard takes a sign of life.
func (t *target) heard() { t.isWaiting, t.silentTicks = false, 0 }

// reacted takes a packet that no running target is needed for: a VM whose target has ended still bounces packets and
// resets flows.
func (t *target) reacted() { t.isWaiting = false }

// Outcome is what a heartbeat has changed.
type Outcome struct {
	// IsStale is set for a heartbeat of an earlier incarnation, or one that a later one has overtaken.
	IsStale bool
	// HasChanged is set when the entry of the target has to be written anew.
	HasChanged bool
	// Ended are flows that ended with an earlier incarnation of the target, whose instance is Former.
	Ended            []EndedFlow
	PreviousInstance string
}

// HandleHeartbeat takes a heartbeat of the target.
func (r *Machine) HandleHeartbeat(now time.Time, h Heartbeat) Outcome {
	t := &r.target
	if t.isKnown && t.isStale(h) {
		return Outcome{IsStale: true}
	}
	var ended []EndedFlow
	if t.isKnown && t.isNewIncarnation(h) {
		ended = r.lost(t.heartbeatAt)
		t.former, t.followedAt = t.last.Instance, now
	}
	if t.startsHere(h) {
		r.incompleteUntil = time.Time{}
	}
	before, former := r.Entry(), t.last.Instance
	t.last, t.heartbeatAt, t.isKnown, t.hasLeft, t.isMissed = h, now, true, false, false
	t.heard()
	return Outcome{HasChanged: before != r.Entry(), Ended: ended, PreviousInstance: former}
}

// instanceAt returns the instance that the agent knew at a moment.
func (t *target) instanceAt(at time.Time) string {
	if at.Before(t.followedAt) {
		return t.former
	}
	return t.last.Instance
}

func (t *target) isNewIncarnation(h Heartbeat) bool {
	return h.Instance != t.last.Instance || h.Started != t.last.Started
}

func (t *target) isStale(h Heartbeat) bool {
	if t.isNewIncarnation(h) {
		return h.Started != 0 && h.Started < t.last.Started
	}
	return h.Sequence <= t.last.Sequence
}

// Tick takes the passing of a part of the heartbeats' interval. When the target has given no sign of life for too long, its
// flows have ended. A target that an agent has never heard of is gone as well: its VM has lost power, or it has left.
func (r *Machine) Tick(now time.Time) Outcome {
	t := &r.target
	t.silentTicks = min(t.silentTicks+1, absentTicks)
	if t.silentTicks < absentTicks || t.isMissed {
		return Outcome{}
	}
	before := r.Entry()
	t.isMissed = true
	r.miss(now)
	return Outcome{HasChanged: before != r.Entry(), Ended: r.lost(now), PreviousInstance: t.last.Instance}
}

// SetJoining tells whether the entry that makes the target known is being written.
func (r *Machine) SetJoining(now time.Time, isJoining bool) {
	if r.target.isJoining && !isJoining {
		r.target.joinedAt = now
	}
	r.target.isJoining = isJoining
}

// SetLeft tells that the store holds the end of the target.
func (r *Machine) SetLeft(now time.Time) { r.target.leftAt = now }

// CanStop reports whether the agent may end. It waits while the target ends its flows, while it is not known whether there is one
// (after a loss of power a target that was leaving does not come back, and nobody else can say so), and while balancers learn that
// it has joined or left: they would look for flows at an agent that is gone. isWritten tells whether the store holds what it has to.
func (r *Machine) CanStop(now time.Time, isWritten bool) bool {
	t := &r.target
	isUnknown := !t.isKnown && !t.isAbsent()
	isLeaving := t.isKnown && t.last.IsDraining && !t.isAbsent()
	isUntold := t.isAbsent() && (!isWritten || now.Sub(t.leftAt) < leaveDelay)
	return !isUnknown && !isLeaving && !isUntold && !t.joins(now)
}

// HandleLeave takes the end of an instance, and reports whether it is that of the target.
func (r *Machine) HandleLeave(instance string) bool {
	t := &r.target
	if t.isKnown && t.last.Instance != instance {
		return false
	}
	t.hasLeft = true
	return true
}

// Entry returns what the store has to hold of the target, or the zero Entry while nothing is known of it.
func (r *Machine) Entry() registry.Entry {
	t := &r.target
	switch {
	case t.isKnown:
		return registry.Entry{
			Service: t.last.Service, Zone: t.last.Zone, Slots: t.last.Slots,
			IsDraining: t.last.IsDraining, HasLeft: t.isAbsent(),
		}
	case t.isAbsent():
		return registry.Entry{Service: r.serviceName, HasLeft: true}
	default:
		return registry.Entry{}
	}
}
