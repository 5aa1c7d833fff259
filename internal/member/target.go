// Package member implements the view that a balancer has of the targets: which announce themselves, in what state
// they are, and which are failed.
package member

import "net/netip"

// State is the lifecycle of a target.
type State uint8

// The states of a target, in the order of its life.
const (
	Starting State = 1
	Ready    State = 2
	Draining State = 3
	Gone     State = 4
	Failed   State = 5
	// Damped is a target that failed repeatedly and gets no new flows until it has been up for a while. It exists
	// only in the view of a balancer.
	Damped State = 6
)

// String returns the name that logs and the operator's output use.
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

// Target is what an agent announces of itself and its target.
type Target struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec through reflection
	// Agent is the address of the agent's datagram socket; it names the target.
	Agent netip.AddrPort `msgpack:"agent"`
	// Control is the address at which the agent accepts control connections.
	Control netip.AddrPort `msgpack:"control"`
	// Service is the number of the service that the target runs.
	Service uint16 `msgpack:"service"`
	// Zone is the availability zone of the VM.
	Zone string `msgpack:"zone"`
	// Slots is the number of requests that the target runs at once.
	Slots int `msgpack:"slots"`
	// Incarnation rises with each start of the agent.
	Incarnation uint64 `msgpack:"incarnation"`
	// Sequence rises with each change that the agent announces within an incarnation.
	Sequence uint64 `msgpack:"sequence"`
	State    State  `msgpack:"state"`
}

// IsNewerThan reports whether t supersedes other, a record of the same agent.
func (t Target) IsNewerThan(other Target) bool {
	if t.Incarnation != other.Incarnation {
		return t.Incarnation > other.Incarnation
	}
	return t.Sequence > other.Sequence
}
