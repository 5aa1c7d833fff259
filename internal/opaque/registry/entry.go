// Package registry keeps the entries of targets in the platform's store: what an agent tells the balancers about its
// target.
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

// Prefix starts the key of every entry; the agent's address follows.
const Prefix = "gentian/targets/"

// ChangesKey is the key that is written with each entry. Its version is that of the last change of any entry.
const ChangesKey = "gentian/changes"

// Entry is what the store holds of one target. It has no lease: it outlives outages of the store and losses of power,
// and balancers judge by themselves whether its agent is reachable.
type Entry struct {
	Service string `msgpack:"service"`
	Zone    string `msgpack:"zone"`
	// Slots is the number of requests that the target runs at once.
	Slots int `msgpack:"slots"`
	// IsDraining is set while the target leaves; it takes no new flows.
	IsDraining bool `msgpack:"draining"`
	// HasLeft is set when the target has ended by plan and holds no flow any more.
	HasLeft bool `msgpack:"left"`
	// Joined is the revision of the store since which the target has been there, or zero when it is that of this entry.
	Joined uint64 `msgpack:"joined,omitempty"`
}

// JoinedAt returns the revision since which the target of the entry, which has a revision, has been there.
func (e Entry) JoinedAt(revision store.Version) store.Version {
	if e.Joined > 0 {
		return store.Version(e.Joined)
	}
	return revision
}

// isAsWanted reports whether the entry says what is wanted. The wanted one does not tell since when.
func (e Entry) isAsWanted(wanted Entry) bool {
	e.Joined = wanted.Joined
	return e == wanted
}

// Key returns the key of the entry of the agent at ip.
func Key(ip hop.IP) string { return Prefix + netip.AddrFrom4(ip).String() }

// AgentOf returns the address of the agent whose entry has the key.
func AgentOf(key string) (hop.IP, error) {
	ip, err := netip.ParseAddr(strings.TrimPrefix(key, Prefix))
	if err != nil || !ip.Is4() {
		return hop.IP{}, eris.Errorf("entry %q names no IPv4 address", key)
	}
	return ip.As4(), nil
}

// Encode returns the entry as the store holds it.
func (e Entry) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(&e)
	return raw, eris.Wrap(err, "encode target entry")
}

// Decode reads an entry. An entry without a service or with impossible slots is an error.
func Decode(raw []byte) (Entry, error) {
	var e Entry
	if err := frame.Decode(raw, &e); err != nil {
		return Entry{}, eris.Wrap(err, "decode target entry")
	}
	if e.Service == "" || e.Slots < 0 || e.Slots > maxSlots {
		return Entry{}, eris.Errorf("target entry with service %q and %d slots", e.Service, e.Slots)
	}
	return e, nil
}

// JoinDelay is the time for which a target takes no flow after the store has its entry. A view of the targets that was read from
// the store at most this long ago holds the target of every flow that is open. It bounds the readings of a group of balancers to
// four a second, and what a target that joins serves later.
const JoinDelay = 250 * time.Millisecond

// maxSlots bounds the slots that an entry may claim: far above any target's, so that a corrupt one takes no share.
const maxSlots = 1 << 16
