package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrCompacted means that the store no longer keeps the changes after the given version. The keys have to be listed again.
var ErrCompacted = eris.New("the store no longer keeps the changes after this version")

// ErrRestored means that the store was restored from a copy during a call that consists of several requests.
var ErrRestored = eris.New("the store was restored during the call")

// ErrRefused means that the service refused a call. The call has had no effect.
var ErrRefused = eris.New("the store refused the call")

// ErrAnswerTooLarge means that an answer exceeds what a client reads of it. The same call would fail again.
var ErrAnswerTooLarge = eris.New("the answer of the store is too large")

// Item is a key with its value and version.
type Item struct {
	Key     string
	Value   []byte
	Version Version
}

// Change is a write or the deletion of a key.
type Change struct {
	Item
	IsDeleted bool
}

// WatchableStore is a key-value service with compare-and-swap whose keys can be listed and watched by prefix. Unlike in a
// Store, the versions of all keys come from one counter: a later write of any key has a higher version, also after the store was
// restored from a copy and has lost its latest writes.
type WatchableStore interface {
	// Read returns the item of a key. If the key does not exist, it returns ErrNotFound, and an item whose version has the current
	// era and revision zero.
	Read(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with prefix, and the version to pass to Watch so that no later change of them is
	// missed.
	List(ctx context.Context, prefix string) ([]Item, Version, error)
	// Watch waits at most the time wait for changes after a version of keys that start with prefix. It returns the changes in
	// order, with the version to pass to the next call, or ErrCompacted. It returns ErrCompacted as well when the store has been
	// restored from a copy since that version.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Change, Version, error)
	// CompareAndSwap writes a value if the key has the given version, which is zero for a key that does not exist. It writes
	// the key mark, unless that is empty, in the same transaction. The version of mark therefore shows whether any key that is written with this mark
	// has changed. With ErrConflict it returns the current item.
	CompareAndSwap(ctx context.Context, key string, version Version, value []byte, mark string) (Item, error)
}
