package admit

import (
	"net/netip"
	"time"

	"gentianswitch/internal/class"
)

// ID identifies a request within one machine.
type ID uint64

// Request is what the machine knows of a request.
type Request struct {
	ID ID
	// Class is the class that the route declares.
	Class class.Class
	// Route identifies the route for the measurement of its durations.
	Route string
	// Deadline is when the caller no longer needs the answer. A feed has none.
	Deadline time.Time
	// CanRelay reports whether a peer agent may run the request.
	CanRelay bool
	// IsRelayed reports whether a peer agent has passed the request on. It runs at once or is refused.
	IsRelayed bool
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// Arrive is the arrival of a request.
type Arrive struct{ Request Request }

// Finish is the end of a dispatched request.
type Finish struct {
	ID ID
	// HasRun is false when the target was never reached; the duration is then not measured.
	HasRun bool
}

// Cancel is the departure of a caller whose request waits.
type Cancel struct{ ID ID }

// Tick lets the machine give up requests whose predicted wait has come to pass their deadline.
type Tick struct{}

// PeerRoom is the number of free slots at a peer agent. A negative room removes the peer.
type PeerRoom struct {
	Peer netip.AddrPort
	Room int
}

// RelayRefused returns a request that a peer did not take. It may be offered to another peer, maxOffers times in all.
type RelayRefused struct {
	ID   ID
	Peer netip.AddrPort
}

// Unreached returns a dispatched request of which no byte has reached the target.
type Unreached struct{ ID ID }

func (Arrive) isEvent()       {}
func (Finish) isEvent()       {}
func (Cancel) isEvent()       {}
func (Tick) isEvent()         {}
func (PeerRoom) isEvent()     {}
func (RelayRefused) isEvent() {}
func (Unreached) isEvent()    {}

// Action is an output of the machine.
type Action interface{ isAction() }

// Dispatch gives a request to the target.
type Dispatch struct {
	ID     ID
	Waited time.Duration
	Reason string
}

// Queue lets a request wait for a slot.
type Queue struct {
	ID ID
	// Length is the number of requests that wait, this one included.
	Length int
	// Predicted is the wait that the machine expects.
	Predicted time.Duration
}

// Relay passes a request to a peer agent.
type Relay struct {
	ID     ID
	Peer   netip.AddrPort
	Reason string
}

// Refuse answers a request that has not run and will not run here.
type Refuse struct {
	ID         ID
	RetryAfter time.Duration
	Reason     string
}

// Reclassify reports that the durations of a route contradict its declared class, or no longer do.
type Reclassify struct {
	Route string
	Class class.Class
	// Typical is the typical duration of the route's requests.
	Typical time.Duration
}

func (Dispatch) isAction()   {}
func (Queue) isAction()      {}
func (Relay) isAction()      {}
func (Refuse) isAction()     {}
func (Reclassify) isAction() {}
