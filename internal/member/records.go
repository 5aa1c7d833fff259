package member

import "net/netip"

// Balancer is the record of a balancer: what it announces about itself to its peers.
type Balancer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec through reflection

	// Data is the address of the datagram socket towards agents. It identifies the balancer.
	Data netip.AddrPort `msgpack:"data" json:"data"`
	// Control is the address of the control listener.
	Control netip.AddrPort `msgpack:"control" json:"control"`
	// Zone is the availability zone of the VM.
	Zone string `msgpack:"zone" json:"zone"`
	// Incarnation increases with each start.
	Incarnation uint64 `msgpack:"incarnation" json:"incarnation"`
	// State is Ready, or Gone after a planned shutdown and in a tombstone.
	State State `msgpack:"state" json:"state"`
}

// IsNewerThan reports whether b supersedes other, a record of the same balancer. Gone is the last state of an incarnation.
func (b Balancer) IsNewerThan(other Balancer) bool {
	if b.Incarnation != other.Incarnation {
		return b.Incarnation > other.Incarnation
	}
	return b.State == Gone && other.State != Gone
}

// Liveness is what an observer reports about a subject.
type Liveness uint8

// The values of Liveness.
const (
	// Alive means that heartbeats of the subject arrive.
	Alive Liveness = 1
	// Lost means that no heartbeat has arrived within the timeout. It corresponds to a suspicion in SWIM.
	Lost Liveness = 2
	// Released means that the observer no longer observes the subject, so that its silence says nothing about a failure.
	Released Liveness = 3
)

// Observation is what an observer reports about one subject: a target assigned to it or a neighbour balancer.
type Observation struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec through reflection

	Observer netip.AddrPort `msgpack:"observer"`
	Subject  netip.AddrPort `msgpack:"subject"`
	// Incarnation is the subject's incarnation that was observed.
	Incarnation uint64   `msgpack:"incarnation"`
	Liveness    Liveness `msgpack:"sight"`
	// Version increases with each report of the observer. It is never below the observer's incarnation.
	Version uint64 `msgpack:"version"`
}

// ZoneReport is one report of an observer about all subjects that it observes in an availability zone. It overrides the
// observer's older observations in that zone. With it, the failure of a zone doesn't cost one record per subject.
type ZoneReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec through reflection

	Observer netip.AddrPort `msgpack:"observer"`
	Zone     string         `msgpack:"zone"`
	// Liveness is Alive or Lost.
	Liveness Liveness `msgpack:"sight"`
	// Version belongs to the same sequence as the versions of the observer's observations.
	Version uint64 `msgpack:"version"`
}

// Changes is the set of records that a gossip message carries.
type Changes struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec through reflection

	Targets      []Target      `msgpack:"targets"`
	Balancers    []Balancer    `msgpack:"balancers"`
	Observations []Observation `msgpack:"observations"`
	ZoneReports  []ZoneReport  `msgpack:"zones"`
}

// Len returns the number of records.
func (c *Changes) Len() int {
	return len(c.Targets) + len(c.Balancers) + len(c.Observations) + len(c.ZoneReports)
}

// Gossip is a message between two connected balancers. Each message is a heartbeat too; an empty one serves no other purpose.
type Gossip struct {
	Changes Changes `msgpack:"changes"`
	// Digest holds the hash of each group of buckets. It starts an anti-entropy exchange.
	Digest []uint64 `msgpack:"digest,omitempty"`
	// Groups answers Digest: the bucket hashes of the groups that differ.
	Groups []GroupDigest `msgpack:"groups,omitempty"`
	// WantedBuckets answers Groups: the buckets that differ, whose records the receiver must send.
	WantedBuckets []uint16 `msgpack:"wanted,omitempty"`
}

// GroupDigest holds the hashes of the buckets of one group.
type GroupDigest struct {
	Group   uint16   `msgpack:"group"`
	Buckets []uint64 `msgpack:"buckets"`
}
