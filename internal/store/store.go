// Package store defines what gentianswitch needs of the platform's key-value service, and its HTTP adapter.
package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueSize is the largest value that the service holds, in bytes.
const MaxValueSize = 1 << 20

// Errors of a Store. Any other error means that the outcome of the call is not known.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = eris.New("key not found")
	// ErrConflict means that a compare-and-swap found another version and wrote nothing.
	ErrConflict = eris.New("version conflict")
	// ErrTooLarge means that the value exceeds MaxValueSize and was not sent.
	ErrTooLarge = eris.New("value is larger than 1 MiB")
	// ErrNotSent means that no connection could be made, so that the call has had no effect.
	ErrNotSent = eris.New("the store cannot be reached")
)

// Version counts the writes of a key. Zero means that the key does not exist.
type Version uint64

// LeaseID names a lease. Zero stands for no lease.
type LeaseID uint64

// Entry is the value of a key.
type Entry struct {
	Value   []byte
	Version Version
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key has the given version and returns the new version, or ErrConflict.
	// A key written under a lease is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, version Version, value []byte, lease LeaseID) (Version, error)
	// Watch waits until the key has a version other than after, for at most wait, and returns its entry.
	// When nothing changed it returns the entry as it is.
	Watch(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error)
	// Grant starts a lease that ends after ttl unless KeepAlive renews it.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrNotFound when it has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
}
