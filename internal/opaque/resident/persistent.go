package resident

import (
	"math"
	"time"

	"gentianswitch/internal/opaque/flow"
)

// minServedRequests is the number of answered requests from which a flow counts as persistent: its caller sends further requests on
// it, and loses one if the flow ends unnoticed.
const minServedRequests = 2

// PersistentFlow is an open flow on which the target has answered several requests that must not run twice. Callers repeat other requests
// after any failure, so their flows need no record.
type PersistentFlow struct {
	ID flow.ID
	// AcceptedAt is when the target accepted the flow, and UsedAt when its last packet was handled.
	AcceptedAt, UsedAt time.Time
	// Acknowledged is the sequence number that the caller last acknowledged.
	Acknowledged uint32
}

// countServed counts the outstanding request of a flow, if there is one, as served.
func (f *flowEntry) countServed() {
	if f.hasRequest && f.served < math.MaxUint8 {
		f.served++
	}
}

// isPersistent reports whether the target has answered several requests of a flow that must not run twice, and neither end has finished.
func (f *flowEntry) isPersistent() bool {
	return f.isOpen && f.runsOnce && f.served >= minServedRequests && f.finishedEnds == 0
}

// AppendPersistentFlows appends the persistent flows that neither end has finished, in no order.
func (r *Machine) AppendPersistentFlows(flows []PersistentFlow) []PersistentFlow {
	for id, f := range r.flows {
		if f.isPersistent() {
			flows = append(flows, PersistentFlow{
				ID: id, AcceptedAt: f.acceptedAt, UsedAt: f.lastPacketAt, Acknowledged: f.acknowledged,
			})
		}
	}
	return flows
}

// HasFlow reports whether an opening packet of the flow has been delivered to the target and the flow is still in the table.
func (r *Machine) HasFlow(id flow.ID) bool { return r.flows[id] != nil }

// Instance returns the instance of the last heartbeat, or an empty string before the first.
func (r *Machine) Instance() string { return r.target.lastHeartbeat.Instance }
