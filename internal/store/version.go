package store

import "github.com/rotisserie/eris"

// Version is the version of a key. In a Store it counts the writes of the key, and zero means that the key does not exist.
//
// In a WatchableStore, all keys share one counter, the revision of the store, and a Version consists of the era and the revision
// of a write. When such a store is restored from a copy, its revision goes back to that of the copy, and its era rises. Versions
// are numbers in which the era takes the upper bits. So they can be compared: one of a restored store is above all earlier ones,
// although its revision may be lower. Revision zero means that the key does not exist.
type Version uint64

const (
	// revisionBits is the number of lower bits of a Version that hold the revision. A store that changes a million times a second
	// exhausts them after nine years.
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// ErrVersionRange means that an era or a revision is too large for a Version.
var ErrVersionRange = eris.New("era or revision out of range")

// NewVersion returns the version of a write in a WatchableStore.
func NewVersion(era, revision uint64) (Version, error) {
	if era > maxEra || revision > maxRevision {
		return 0, eris.Wrapf(ErrVersionRange, "era %d, revision %d", era, revision)
	}
	return Version(era<<revisionBits | revision), nil
}

// Era returns the number of restorations of the store before the write. It starts at zero or one.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the revision of the store at the write.
func (v Version) Revision() uint64 { return uint64(v) & maxRevision }

// InEra returns the version of the same revision in another era, which must be the era of a Version.
func (v Version) InEra(era uint64) Version { return Version(era<<revisionBits | v.Revision()) }
