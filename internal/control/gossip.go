package control

import (
	"net/netip"

	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
)

// Hello is the first message in each direction of a connection between balancers.
type Hello struct {
	// Balancer is the record of the sender.
	Balancer member.Balancer `msgpack:"balancer"`
}

// Gossip carries membership records between balancers. It is also the heartbeat between them: a balancer sends one at least
// every 500 ms.
type Gossip struct {
	// Revision is the configuration revision in force on the sender.
	Revision revision.ID   `msgpack:"revision"`
	Members  member.Gossip `msgpack:"members"`
}

// AnnounceReply is a balancer's message to an agent that announces to it. It answers an Announce when its content has changed,
// and it is sent once a second so that the agent sees that the balancer is alive; a periodic one carries only Peers and Policy.
type AnnounceReply struct {
	// Observers are the balancers that the agent must announce to. They detect the failure of the agent.
	Observers []member.Balancer `msgpack:"homes"`
	// Backups are the balancers that the agent announces to in place of observers that it cannot reach.
	Backups []member.Balancer `msgpack:"spares"`
	// Incarnation is the highest incarnation known for the agent's address. An agent whose own incarnation is lower raises it
	// above this one: its clock is behind that of the previous agent on the VM.
	Incarnation uint64 `msgpack:"incarnation"`
	// Peers are agents of the same service, to which the agent can relay requests. Nil leaves the agent's list unchanged.
	Peers *PeerList `msgpack:"peers,omitempty"`
	// Policy is the policy that the tables declare for the agent's pool. It is nil when they declare no such pool, or when the
	// policy of the same revision was already sent on the connection.
	Policy *PoolPolicy `msgpack:"policy,omitempty"`
}

// PeerList holds the control addresses of agents whose targets are ready.
type PeerList struct {
	Controls []netip.AddrPort `msgpack:"controls"`
}
