// Package member implements the membership of balancers and targets: which are known, in which state they are and which
// have failed. It follows the SWIM family of protocols. Each agent sends heartbeats to a few balancers, its observers. Each
// balancer also observes the balancers that it is connected to, its neighbours. The agents and balancers that a balancer
// observes are its subjects. An observation is its report on whether the heartbeats of a subject arrive. Records and
// observations spread by gossip over the overlay of neighbours, and periodic anti-entropy repairs what gossip has missed.
// Each balancer computes its own view from the observations; targets that fail repeatedly are damped.
//
// Machine is the state machine of a balancer, ObserverSelector that of an agent. The wire format calls the observers of an
// agent its homes, and the backups spares.
package member

import "net/netip"

// State is the lifecycle state of a target or balancer.
type State uint8

// The lifecycle states of a target in order, and the states that exist only in the view of a balancer.
const (
	// Starting means that the agent has not finished starting. The target gets no flows yet.
	Starting State = 1
	// Ready means that the target accepts new flows. It is also the state of a running balancer.
	Ready State = 2
	// Draining means that the target accepts no new work and finishes the work in progress.
	Draining State = 3
	// Gone means that the agent or balancer has shut down, or that a tombstone has replaced its record.
	Gone State = 4
	// Failed means that the observers have lost the target, or that no live balancer observes it any more. Like Damped, it
	// exists only in the view of a balancer.
	Failed State = 5
	// Damped means that the target has failed repeatedly and gets no new flows until it has been up for a while.
	Damped State = 6
)

// String returns the name of the state in logs and in the operator's output.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	case Failed:
		return "failed"
	case Damped:
		return "damped"
	default:
		return "invalid"
	}
}

// Target is the record of a target: what its agent announces about itself and the target.
type Target struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec through reflection
	// Agent is the address of the agent's datagram socket. It identifies the target.
	Agent netip.AddrPort `msgpack:"agent"`
	// Control is the address at which the agent accepts control connections.
	Control netip.AddrPort `msgpack:"control"`
	// Service is the number of the service that the target runs.
	Service uint16 `msgpack:"service"`
	// Zone is the availability zone of the VM.
	Zone string `msgpack:"zone"`
	// Slots is the number of requests that the target runs at once.
	Slots int `msgpack:"slots"`
	// Incarnation increases with each start of the agent.
	Incarnation uint64 `msgpack:"incarnation"`
	// Sequence increases with each change that the agent announces within an incarnation.
	Sequence uint64 `msgpack:"sequence"`
	State    State  `msgpack:"state"`
}

// IsNewerThan reports whether t supersedes other, another record of the same agent.
func (t Target) IsNewerThan(other Target) bool {
	if t.Incarnation != other.Incarnation {
		return t.Incarnation > other.Incarnation
	}
	return t.Sequence > other.Sequence
}
