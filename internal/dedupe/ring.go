package dedupe

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	// replicasOfKey is the number of agents at which a key is claimed.
	replicasOfKey = 3
	// grantsNeeded is a majority of replicasOfKey.
	grantsNeeded = 2
)

// Ring holds the agents of a pool. One that has left stays for the retention, so that the replicas of a key do not
// change with each failure.
type Ring struct {
	self string
	// left holds when a member was last told, or the zero time for a present one.
	left map[string]time.Time
}

// NewRing returns a ring with one member.
func NewRing(self string) *Ring {
	return &Ring{self: self, left: map[string]time.Time{self: {}}}
}

// Set replaces the other members.
func (r *Ring) Set(now time.Time, others []string) {
	for member, at := range r.left {
		if member != r.self && at.IsZero() && !contains(others, member) {
			r.left[member] = now
		}
	}
	for _, member := range others {
		r.left[member] = time.Time{}
	}
}

// Replicas returns the replicas of a key, the best first.
func (r *Ring) Replicas(now time.Time, key string) []string {
	members := make([]string, 0, len(r.left))
	for member, at := range r.left {
		if !at.IsZero() && now.Sub(at) >= Retention {
			delete(r.left, member)
			continue
		}
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(b+key), xxhash.Sum64String(a+key)), cmp.Compare(a, b))
	})
	return members[:min(len(members), replicasOfKey)]
}

// createdAt returns the time that a UUIDv7 carries (RFC 9562, section 5.7).
func createdAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	milliseconds := int64(0)
	for _, b := range id[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds), true
}

func equal(a, b []string) bool { return slices.Equal(a, b) }

func contains(list []string, s string) bool { return slices.Contains(list, s) }
