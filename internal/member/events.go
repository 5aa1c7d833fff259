package member

import "net/netip"

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Announced tells that an agent has announced itself to this balancer, which is one of its homes.
type Announced struct {
	Target Target
	// IsFirst is true for the first announcement on a connection. It is always answered.
	IsFirst bool
	// IsLeaving is true when the agent moves to another home.
	IsLeaving bool
}

// PeerJoined tells that a connection to a balancer is established.
type PeerJoined struct{ Peer Balancer }

// PeerLeft tells that the last connection to a balancer has ended.
type PeerLeft struct{ Peer netip.AddrPort }

// PeerDropped tells that the connection to a balancer is about to be closed, since it is a neighbour no longer.
type PeerDropped struct{ Peer netip.AddrPort }

// Received tells that a message of a balancer has arrived. Every message is a heartbeat too.
type Received struct {
	From   netip.AddrPort
	Gossip Gossip
}

// Tick tells that TickInterval has passed.
type Tick struct{}

// Stopping tells that this balancer ends by plan.
type Stopping struct{}

func (Announced) isEvent()   {}
func (PeerJoined) isEvent()  {}
func (PeerLeft) isEvent()    {}
func (PeerDropped) isEvent() {}
func (Received) isEvent()    {}
func (Tick) isEvent()        {}
func (Stopping) isEvent()    {}

// Action is an output of a Machine.
type Action interface{ isAction() }

// Send asks for a message to a connected balancer.
type Send struct {
	To     netip.AddrPort
	Gossip Gossip
}

// Reply asks for an answer to the agent that announced itself.
type Reply struct {
	Agent  netip.AddrPort
	Homes  []Balancer
	Spares []Balancer
	// Incarnation is the newest one known for the agent's address.
	Incarnation uint64
}

// TargetChanged tells that the view of a target has changed. The target carries the state in the view.
type TargetChanged struct {
	Target Target
	// Before is what the view held until now. Its state is 0 when it held nothing.
	Before Target
	Reason Reason
}

// BalancerChanged tells that the view of a balancer has changed.
type BalancerChanged struct {
	Balancer Balancer
	IsLive   bool
}

// ZoneChanged tells that this balancer has lost or regained everything that it observes in an availability zone.
type ZoneChanged struct {
	Zone   string
	IsLost bool
	// Subjects is the number of targets and balancers that the one report stands for.
	Subjects int
}

// ReturnsChanged tells which agents shall get heartbeats of this balancer over the data path.
type ReturnsChanged struct{ Agents []netip.AddrPort }

func (ReturnsChanged) isAction()  {}
func (Send) isAction()            {}
func (Reply) isAction()           {}
func (TargetChanged) isAction()   {}
func (BalancerChanged) isAction() {}
func (ZoneChanged) isAction()     {}

// Reason tells why the view of a target has changed.
type Reason uint8

// The reasons.
const (
	ReasonAnnounced Reason = iota + 1
	ReasonLost
	ReasonHeardAgain
	ReasonOrphaned
	ReasonDamped
	ReasonDampingEnded
)

// String returns the text that logs use.
func (r Reason) String() string {
	names := [...]string{
		"invalid", "announced", "lost by its home balancers", "heard again", "no live home balancer",
		"failed repeatedly", "stayed up",
	}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}
