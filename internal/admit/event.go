package admit

import (
	"net/netip"
	"time"

	"gentianswitch/internal/class"
)

// ID identifies a request within one Machine.
type ID uint64

// Request describes a request to admit.
type Request struct {
	ID ID
	// Class is the declared class of the route.
	Class class.Class
	// Route identifies the route for duration statistics.
	Route string
	// Deadline is the time after which the caller no longer needs the answer. A feed has none.
	Deadline time.Time
	// CanRelay reports whether a peer agent may run the request.
	CanRelay bool
	// IsRelayed reports whether a peer agent relayed the request. Such a request is dispatched at once or refused, but never
	// queued or relayed again.
	IsRelayed bool
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// RequestArrived is the event of a new request.
type RequestArrived struct{ Request Request }

// RequestFinished is the event of a dispatched or relayed request that ended.
type RequestFinished struct {
	ID ID
	// HasRun is false when the request did not reach the target. Its duration is not measured then.
	HasRun bool
}

// RequestCanceled is the event of a caller that abandons a queued or relayed request.
type RequestCanceled struct{ ID ID }

// Tick is a periodic event. It refuses queued requests whose predicted wait exceeds their deadline, dispatches queued
// requests to free slots and offers the others to peers.
type Tick struct{}

// PeerCapacity is the event of a new number of free slots at a peer agent. A negative number removes the peer.
type PeerCapacity struct {
	Peer      netip.AddrPort
	FreeSlots int
}

// RelayRefused is the event of a relayed request that the peer refused. The request may be offered to peers again, up to
// maxOffers times in total.
type RelayRefused struct {
	ID   ID
	Peer netip.AddrPort
}

// TargetUnreached is the event of a dispatched request of which no byte was sent to the target.
type TargetUnreached struct{ ID ID }

func (RequestArrived) isEvent()  {}
func (RequestFinished) isEvent() {}
func (RequestCanceled) isEvent() {}
func (Tick) isEvent()            {}
func (PeerCapacity) isEvent()    {}
func (RelayRefused) isEvent()    {}
func (TargetUnreached) isEvent() {}

// Action is an output of the machine.
type Action interface{ isAction() }

// Dispatch sends a request to the target.
type Dispatch struct {
	ID ID
	// Waited is the time that the request spent in the queue and in offers to peers.
	Waited time.Duration
	Reason string
}

// Queue puts a request into the queue for a slot.
type Queue struct {
	ID ID
	// Length is the number of queued requests, including this one.
	Length int
	// PredictedWait is the expected wait.
	PredictedWait time.Duration
}

// Relay offers a request to a peer agent.
type Relay struct {
	ID     ID
	Peer   netip.AddrPort
	Reason string
}

// Refuse ends a request that has not run with an error response. Its caller may retry after RetryAfter. The agent sends Reason
// to the caller in the response, so the text of a reason must not change.
type Refuse struct {
	ID         ID
	RetryAfter time.Duration
	Reason     string
}

// Reclassify reports that a route now has another class than before, because of the durations of its requests.
type Reclassify struct {
	Route string
	Class class.Class
	// Typical is the typical duration of the requests of the route.
	Typical time.Duration
}

func (Dispatch) isAction()   {}
func (Queue) isAction()      {}
func (Relay) isAction()      {}
func (Refuse) isAction()     {}
func (Reclassify) isAction() {}
