package resident

import "time"

// The flow table is complete when it holds every flow that the target may hold. The agent then declines packets of all other
// flows by itself: they do not reach a target that does not hold their flow, and the candidate search continues without a
// round trip to it.
//
// Flows may be missing that the target accepted while another process was its agent, and flows that this process has removed
// although the target may continue to serve them. They expire flowLifetime later at the latest. No flow is missing when
//   - the store held no entry for this VM before this process wrote one: balancers send flows only to VMs that have an entry,
//     so no other process has carried any;
//   - a new incarnation of the target follows one that has lived while this process was running: all flows of the new one have
//     come through this agent;
//   - a target sends its first heartbeat after two heartbeat intervals in which this process received none.

const (
	// MaxFirstSequence is the highest sequence number of an incarnation's first heartbeat. A higher number shows that earlier
	// heartbeats were lost, and that the target may have started before this process.
	MaxFirstSequence = 1
	// minQuietTicks is the number of ticks without a sign of life before the first heartbeat of a target that has started
	// while the agent was running.
	minQuietTicks = 2 * TicksPerHeartbeat
)

// IsFlowTableComplete reports whether the table holds every flow that the target holds.
func (r *Machine) IsFlowTableComplete(now time.Time) bool { return !now.Before(r.incompleteUntil) }

// markFlowTableIncomplete records that the target may hold flows, accepted before now, that the table does not hold.
func (r *Machine) markFlowTableIncomplete(now time.Time) { r.incompleteUntil = now.Add(r.flowLifetime) }

// SetEntryCreated records that the store held no entry for this VM before the first one of this process.
func (r *Machine) SetEntryCreated() { r.incompleteUntil = time.Time{} }

// startedDuringProcess reports whether the first heartbeat of an incarnation that arrived, with the given sequence, shows that it has
// started while this agent process was running. isNew is set if it follows a known incarnation. It is called before the heartbeat is
// recorded.
func (t *target) startedDuringProcess(isNew bool, firstSequence int64) bool {
	return isNew && t.isConfirmed || !t.isKnown && firstSequence <= MaxFirstSequence && t.silentTicks >= minQuietTicks
}

// recordHeard records a heartbeat of the known incarnation, or of one that becomes the known one.
func (t *target) recordHeard(isOther bool, sequence int64) {
	if isOther {
		t.heardTicks, t.isConfirmed = 0, sequence <= MaxFirstSequence
		return
	}
	t.isConfirmed = t.isConfirmed || t.heardTicks >= minSuccessorTicks
}
