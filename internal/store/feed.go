package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrCompacted means that the changes after the given revision are no longer kept; the keys have to be listed anew.
var ErrCompacted = eris.New("the history of the store no longer reaches back so far")

// ErrRefused means that the service declined a call and did nothing.
var ErrRefused = eris.New("the store refused the call")

// Item is a key with its value.
type Item struct {
	Key     string
	Value   []byte
	Version Version
}

// Change is an item as it was written, or the end of a key.
type Change struct {
	Item
	IsDeleted bool
}

// Feed is a key-value service whose changes can be followed by the prefix of their keys. Versions of all keys come from
// one counter.
type Feed interface {
	// Read returns an item, or ErrNotFound.
	Read(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with prefix, and a version from which Follow misses no change of them.
	List(ctx context.Context, prefix string) ([]Item, Version, error)
	// Watch waits for at most wait for changes after a version. It returns them in order, and the version to go on
	// from, or ErrCompacted.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Change, Version, error)
	// Replace writes a value if the key has the given version, zero for a key that does not exist, and writes the key mark
	// with it, whose version tells when a key was last replaced. With ErrConflict it returns the item as it is.
	Replace(ctx context.Context, key string, version Version, value []byte, mark string) (Item, error)
}
