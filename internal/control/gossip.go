package control

import (
	"net/netip"

	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
)

// Hello is the first message in each direction of a connection between balancers.
type Hello struct {
	Balancer member.Balancer `msgpack:"balancer"`
}

// Gossip passes membership on between balancers. Every 500 ms at the latest one is sent as a heartbeat. Revision is the
// configuration revision that the sender has in force.
type Gossip struct {
	Revision revision.ID   `msgpack:"revision"`
	Members  member.Gossip `msgpack:"members"`
}

// AnnounceReply is a home balancer's answer to an Announce whenever its content has changed.
type AnnounceReply struct {
	// Homes are the balancers that the agent shall announce to.
	Homes []member.Balancer `msgpack:"homes"`
	// Spares are balancers to turn to when the homes cannot be reached.
	Spares []member.Balancer `msgpack:"spares"`
	// Incarnation is the newest incarnation known for the agent's address. An agent whose own is lower announces a
	// higher one, since its clock lags behind that of the VM's former agent.
	Incarnation uint64 `msgpack:"incarnation"`
	// Peers are agents of the same service, or nil when they are those told last.
	Peers *PeerList `msgpack:"peers,omitempty"`
	// Policy is what the tables declare for the agent's pool, or nil when they declare no such pool.
	Policy *PoolPolicy `msgpack:"policy,omitempty"`
}

// PeerList holds the control addresses of agents whose targets are ready.
type PeerList struct {
	Controls []netip.AddrPort `msgpack:"controls"`
}
