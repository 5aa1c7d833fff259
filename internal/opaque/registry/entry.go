// Package registry defines the entries of targets in the platform's store, through which agents make their targets known to the
// balancers, and the state machine that writes them.
package registry

import (
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/internal/frame"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/store"
)

// Prefix is the prefix of the key of every entry. The agent's address follows it.
const Prefix = "gentian/targets/"

// ChangesKey is a key that is written together with each entry. Its version is the revision of the last change of any entry.
const ChangesKey = "gentian/changes"

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
}

// JoinRevision returns the store revision at which the target joined. The argument is the revision of the entry itself.
func (e Entry) JoinRevision(revision store.Version) store.Version {
	if e.Joined > 0 {
		return store.Version(e.Joined)
	}
	return revision
}

// matches reports whether the entry equals the desired one. Joined is ignored, since the desired entry does not have it.
func (e Entry) matches(desired Entry) bool {
	e.Joined = desired.Joined
	return e == desired
}

// Key returns the key of the entry of the agent at ip.
func Key(ip hop.IP) string { return Prefix + netip.AddrFrom4(ip).String() }

// AgentOf returns the address of the agent that an entry's key names.
func AgentOf(key string) (hop.IP, error) {
	ip, err := netip.ParseAddr(strings.TrimPrefix(key, Prefix))
	if err != nil || !ip.Is4() {
		return hop.IP{}, eris.Errorf("target entry key %q contains no IPv4 address", key)
	}
	return ip.As4(), nil
}

// Encode returns the value that is written to the store.
func (e Entry) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(&e)
	return raw, eris.Wrap(err, "encode target entry")
}

// Decode parses an entry. An entry without a service, or with a number of slots out of range, is an error.
func Decode(raw []byte) (Entry, error) {
	var e Entry
	if err := frame.Decode(raw, &e); err != nil {
		return Entry{}, eris.Wrap(err, "decode target entry")
	}
	if e.Service == "" || e.Slots < 0 || e.Slots > maxSlots {
		return Entry{}, eris.Errorf("invalid target entry: service %q, %d slots", e.Service, e.Slots)
	}
	return e, nil
}

// JoinDelay is the time for which a target accepts no flow after the store has its entry. A view of the targets that was read
// from the store at most this long ago therefore includes the target of every open flow. So a group of balancers that share
// their reads reads the store at most four times a second. The cost is that a joining target starts to serve that much later.
const JoinDelay = 250 * time.Millisecond

// maxSlots bounds the slots in an entry. It is far above those of any target, and keeps a corrupt entry from attracting the
// traffic of the others.
const maxSlots = 1 << 16
