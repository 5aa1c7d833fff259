package resident

import "time"

// The flow table is complete when it holds every flow that the target may hold. The agent then declines the packets of all
// other flows by itself: they reach no target that does not hold them, and their walk goes on without a round trip.
//
// What may be missing are flows that the target accepted while another process stood here, and those that this process has
// given up although the target may go on with them. They end flowLifetime later at the latest. None is missing when
//   - the store held no entry of this VM before the one that this process wrote: balancers send flows only to VMs that have
//     one, so that no other process has carried any;
//   - a target follows another one that this process has heard of: all flows of the later one have come through here;
//   - a target makes its first call after two intervals of heartbeats in which this process has heard nothing of any.

const (
	// firstSequence bounds the sequence of the first heartbeat of an incarnation.
	firstSequence = 1
	// quietTicks is the time, in ticks, before the first heartbeat of a target that has started beside a running agent.
	quietTicks = 2 * TicksPerHeartbeat
)

// IsFlowTableComplete reports whether the target holds no flow that the table does not hold.
func (r *Machine) IsFlowTableComplete(now time.Time) bool { return !now.Before(r.incompleteUntil) }

// miss notes that the target may hold flows from before now that the table does not hold.
func (r *Machine) miss(now time.Time) { r.incompleteUntil = now.Add(r.flowLifetime) }

// SetEntryCreated takes that the store held no entry of this VM before the first one of this process.
func (r *Machine) SetEntryCreated() { r.incompleteUntil = time.Time{} }

// startsHere reports whether a heartbeat shows that its target has started while this process ran.
func (t *target) startsHere(h Heartbeat) bool {
	if t.isKnown {
		return t.isNewIncarnation(h)
	}
	return h.Sequence <= firstSequence && t.silentTicks >= quietTicks
}
