package member

import "net/netip"

// Balancer is what a balancer tells its peers of itself.
type Balancer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec through reflection

	// Data is the address of the datagram socket towards agents; it names the balancer.
	Data netip.AddrPort `msgpack:"data" json:"data"`
	// Control is the address of the control listener.
	Control netip.AddrPort `msgpack:"control" json:"control"`
	// Zone is the availability zone of the VM.
	Zone string `msgpack:"zone" json:"zone"`
	// Incarnation rises with each start.
	Incarnation uint64 `msgpack:"incarnation" json:"incarnation"`
	// State is Ready, or Gone after a planned stop.
	State State `msgpack:"state" json:"state"`
}

// IsNewerThan reports whether b supersedes other, a record of the same balancer. Gone ends an incarnation.
func (b Balancer) IsNewerThan(other Balancer) bool {
	if b.Incarnation != other.Incarnation {
		return b.Incarnation > other.Incarnation
	}
	return b.State == Gone && other.State != Gone
}

// Sight is whether an observer hears a subject.
type Sight uint8

// The values of Sight.
const (
	// Seen means that heartbeats arrive.
	Seen Sight = 1
	// Lost means that no heartbeat arrived within the timeout.
	Lost Sight = 2
	// Released means that the subject has moved to another home and the observer no longer speaks about it.
	Released Sight = 3
)

// Observation is what one balancer says of a target, for which it is a home, or of a neighbour balancer.
type Observation struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec through reflection

	Observer netip.AddrPort `msgpack:"observer"`
	Subject  netip.AddrPort `msgpack:"subject"`
	// Incarnation is that of the subject.
	Incarnation uint64 `msgpack:"incarnation"`
	Sight       Sight  `msgpack:"sight"`
	// Version rises with each statement of the observer.
	Version uint64 `msgpack:"version"`
}

// ZoneReport is an observer's statement about every subject that it observes in one availability zone. It replaces
// the observer's older observations in that zone.
type ZoneReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec through reflection

	Observer netip.AddrPort `msgpack:"observer"`
	Zone     string         `msgpack:"zone"`
	Sight    Sight          `msgpack:"sight"`
	Version  uint64         `msgpack:"version"`
}

// Changes is a set of records that balancers pass on.
type Changes struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec through reflection

	Targets      []Target      `msgpack:"targets"`
	Balancers    []Balancer    `msgpack:"balancers"`
	Observations []Observation `msgpack:"observations"`
	Zones        []ZoneReport  `msgpack:"zones"`
}

// Len returns the number of records.
func (c *Changes) Len() int {
	return len(c.Targets) + len(c.Balancers) + len(c.Observations) + len(c.Zones)
}

// Gossip is one message between two balancers. An empty one is a heartbeat.
type Gossip struct {
	Changes Changes `msgpack:"changes"`
	// Digest holds the hash of each group of buckets. It starts an anti-entropy exchange.
	Digest []uint64 `msgpack:"digest,omitempty"`
	// Groups holds the bucket hashes of groups that differ, the answer to Digest.
	Groups []GroupDigest `msgpack:"groups,omitempty"`
	// Wanted lists the buckets whose records the receiver shall send, the answer to Groups.
	Wanted []uint16 `msgpack:"wanted,omitempty"`
}

// GroupDigest holds the hashes of the buckets of one group.
type GroupDigest struct {
	Group   uint16   `msgpack:"group"`
	Buckets []uint64 `msgpack:"buckets"`
}
