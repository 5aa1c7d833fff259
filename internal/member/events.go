package member

import "net/netip"

// Event is an input of a Machine.
type Event interface{ isEvent() }

// AgentAnnounced reports that an agent has announced itself to this balancer, one of its observers. Each announcement is a
// heartbeat too.
type AgentAnnounced struct {
	Target Target
	// IsFirst is true for the first announcement on a connection, which is always answered with a Reply.
	IsFirst bool
	// IsLeaving is true when the agent is about to close the connection and announce to another observer instead.
	IsLeaving bool
}

// PeerConnected reports that a connection to a balancer has been established.
type PeerConnected struct{ Peer Balancer }

// PeerDisconnected reports that the last connection to a balancer has ended.
type PeerDisconnected struct{ Peer netip.AddrPort }

// PeerDropped reports that the connection to a balancer is about to be closed because it is no longer a neighbour.
type PeerDropped struct{ Peer netip.AddrPort }

// GossipReceived reports a message from a connected balancer. Each message is a heartbeat too.
type GossipReceived struct {
	From   netip.AddrPort
	Gossip Gossip
}

// Tick reports that TickInterval has passed.
type Tick struct{}

// Stopping reports that this balancer is shutting down.
type Stopping struct{}

func (AgentAnnounced) isEvent()   {}
func (PeerConnected) isEvent()    {}
func (PeerDisconnected) isEvent() {}
func (PeerDropped) isEvent()      {}
func (GossipReceived) isEvent()   {}
func (Tick) isEvent()             {}
func (Stopping) isEvent()         {}

// Action is an output of a Machine.
type Action interface{ isAction() }

// Send requests that a message is sent to a connected balancer.
type Send struct {
	To     netip.AddrPort
	Gossip Gossip
}

// Reply requests that an agent's announcement is answered.
type Reply struct {
	Agent netip.AddrPort
	// Observers are the balancers that the agent must announce to, Backups those that replace unreachable ones.
	Observers []Balancer
	Backups   []Balancer
	// Incarnation is the newest incarnation known for the agent's address. An agent with a lower one must raise its own.
	Incarnation uint64
}

// TargetChanged reports that the view of a target has changed. The State of Target is the one in the view.
type TargetChanged struct {
	Target Target
	// Previous is the target as the view had it before. Its state is 0 when the view didn't have it.
	Previous Target
	Reason   Reason
}

// BalancerChanged reports that a balancer has become live or is no longer live.
type BalancerChanged struct {
	Balancer Balancer
	IsLive   bool
}

// ZoneChanged reports that this balancer has lost, or hears again, all subjects that it watches in an availability zone.
type ZoneChanged struct {
	Zone   string
	IsLost bool
	// SubjectCount is the number of targets and balancers that the zone report covers.
	SubjectCount int
}

// HeartbeatRecipientsChanged lists the agents to which this balancer must send heartbeats over the data path from now on.
type HeartbeatRecipientsChanged struct{ Agents []netip.AddrPort }

func (HeartbeatRecipientsChanged) isAction() {}
func (Send) isAction()                       {}
func (Reply) isAction()                      {}
func (TargetChanged) isAction()              {}
func (BalancerChanged) isAction()            {}
func (ZoneChanged) isAction()                {}

// Reason is the cause of a change in the view of a target.
type Reason uint8

// The causes of a change.
const (
	// ReasonAnnounced means that the agent announced itself for the first time or with a new state.
	ReasonAnnounced Reason = iota + 1
	// ReasonLost means that the live observers have lost the target.
	ReasonLost
	// ReasonRecovered means that an observer hears the failed target again.
	ReasonRecovered
	// ReasonUnobserved means that no live observer has reported on the target for unobservedTimeout.
	ReasonUnobserved
	// ReasonDamped means that the target is alive, but gets no new flows because it has failed repeatedly.
	ReasonDamped
	// ReasonDampingEnded means that a damped target has stayed up long enough.
	ReasonDampingEnded
)

// String returns the text of the reason in logs.
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
