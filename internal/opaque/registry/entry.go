// Package registry defines the entries of targets in the platform's store, through which agents make their targets known to the
// balancers, and the state machine that writes them.
package registry

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/internal/frame"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/store"
)

// Prefix is the prefix of the key of every entry. The agent's address follows it.
const Prefix = KeyPrefix + "targets/"

// ChangesKey is a key that is written together with each entry. Its version is the revision of the last change of any entry.
const ChangesKey = KeyPrefix + "changes"

// FlowsPrefix is the prefix of the keys of the records of flows (package record). It lies outside KeyPrefix, so that balancers do not
// list the records. The agent's address follows it.
const FlowsPrefix = "flows/"

// Entry is what the store holds of one target. It has no lease: it survives outages of the store and power failures, and each
// balancer decides for itself whether the agent is reachable.
type Entry struct {
	Service string `msgpack:"service"`
	Zone    string `msgpack:"zone"`
	// Slots is the number of requests that the target runs at once.
	Slots int `msgpack:"slots"`
	// IsDraining is set while the target drains: it accepts no new flows.
	IsDraining bool `msgpack:"draining"`
	// HasLeft is set once the target has shut down as planned and holds no flow any more.
	HasLeft bool `msgpack:"left"`
	// Joined is the store revision at which the target joined, or zero if that is the revision of this entry. The target has
	// not left since.
	Joined uint64 `msgpack:"joined,omitempty"`
	// Era is the era of the store in which the entry was written, or zero if it is not known. A store that was restored from a
	// copy answers with its new era, but still holds entries of earlier ones.
	Era uint64 `msgpack:"era,omitempty"`
	// JoinedEra is the era of Joined, or zero if that is Era.
	JoinedEra uint64 `msgpack:"joined_era,omitempty"`
}

// Version returns the version of the entry. The argument is the version with which the store, or another balancer, returned it.
// Its era may be later than that in which the entry was written, but not earlier.
func (e Entry) Version(returned store.Version) store.Version {
	if e.Era == 0 || e.Era > returned.Era() {
		return returned
	}
	return returned.InEra(e.Era)
}

// JoinVersion returns the version at which the target joined. The argument is the version of the entry itself.
func (e Entry) JoinVersion(version store.Version) store.Version {
	if e.Joined == 0 {
		return version
	}
	joined := store.Version(e.Joined)
	if e.JoinedEra == 0 || e.JoinedEra > version.Era() {
		return joined.InEra(version.Era())
	}
	return joined.InEra(e.JoinedEra)
}

// withJoinVersion returns the entry with the version at which its target joined. Zero means the version of the entry itself.
func (e Entry) withJoinVersion(joined store.Version) Entry {
	e.Joined, e.JoinedEra = joined.Revision(), 0
	if joined.Era() != e.Era {
		e.JoinedEra = joined.Era()
	}
	return e
}

// matches reports whether the entry equals the desired one, apart from what the desired one does not have: when it was written
// and when its target joined.
func (e Entry) matches(desired Entry) bool {
	e.Joined, e.Era, e.JoinedEra = desired.Joined, desired.Era, desired.JoinedEra
	return e == desired
}

// Key returns the key of the entry of the agent at ip.
func Key(ip hop.IP) string { return Prefix + netip.AddrFrom4(ip).String() }

// AgentOf returns the address of the agent that an entry's key names. It must be one that a VM can have.
func AgentOf(key string) (hop.IP, error) {
	ip, err := netip.ParseAddr(strings.TrimPrefix(key, Prefix))
	if err != nil || !ip.Is4() {
		return hop.IP{}, eris.Errorf("target entry key %q contains no IPv4 address", key)
	}
	if ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		return hop.IP{}, eris.Errorf("target entry key %q: no VM has this address", key)
	}
	return ip.As4(), nil
}

// broadcast is the address of all VMs of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Encode returns the value that is written to the store.
func (e Entry) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(&e)
	return raw, eris.Wrap(err, "encode target entry")
}

// Decode parses an entry. An entry that is not valid is an error.
func Decode(raw []byte) (Entry, error) {
	var e Entry
	if err := frame.Decode(raw, &e); err != nil {
		return Entry{}, eris.Wrap(err, "decode target entry")
	}
	if err := e.Validate(); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// Validate returns an error if the entry has no service, or a field that is out of range. No balancer uses such an entry.
func (e Entry) Validate() error {
	switch {
	case e.Service == "":
		return eris.New("invalid target entry: no service")
	case len(e.Service) > maxTextBytes || len(e.Zone) > maxTextBytes:
		return eris.Errorf("invalid target entry: service of %d bytes, zone of %d bytes", len(e.Service), len(e.Zone))
	case e.Slots < 0 || e.Slots > maxSlots:
		return eris.Errorf("invalid target entry: service %q, %d slots", e.Service, e.Slots)
	default:
		return nil
	}
}

// JoinDelay is the time for which a target accepts no flow after the store has its entry. A view of the targets that was read
// from the store at most this long ago therefore includes the target of every open flow. So a group of balancers that share
// their reads reads the store at most four times a second. The cost is that a joining target starts to serve that much later.
const JoinDelay = 250 * time.Millisecond

// SpreadDelay returns a delay below limit that is derived from the address of a process, so that the calls of a fleet spread.
func SpreadDelay(self hop.IP, limit time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64(self[:]) % uint64(limit))
}

// maxTextBytes bounds the names of the service and the availability zone. Balancers send each other all entries in one frame, which a
// few entries of the store's maximum size would exceed.
const maxTextBytes = 1 << 10

// maxSlots bounds the slots in an entry. It is far above those of any target, and keeps a corrupt entry from attracting the
// traffic of the others.
const maxSlots = 1 << 16
