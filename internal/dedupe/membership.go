package dedupe

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	// replicasPerKey is the number of agents at which a key is claimed.
	replicasPerKey = 3
	// grantQuorum is the number of grants that a claim needs, a majority of replicasPerKey. In a pool of one agent, the grant of
	// that agent suffices.
	grantQuorum = 2
)

// Membership holds the agents of a pool, as one agent knows them. An agent that left stays a member for the retention, so that
// the replicas of a key do not change with each failure.
type Membership struct {
	self string
	// leftAt maps each member to the time at which it left, or to the zero time while it is present.
	leftAt map[string]time.Time
}

// NewMembership returns a membership whose only member is self.
func NewMembership(self string) *Membership {
	return &Membership{self: self, leftAt: map[string]time.Time{self: {}}}
}

// SetOthers replaces the present members other than self.
func (m *Membership) SetOthers(now time.Time, others []string) {
	for member, at := range m.leftAt {
		if member != m.self && at.IsZero() && !contains(others, member) {
			m.leftAt[member] = now
		}
	}
	for _, member := range others {
		m.leftAt[member] = time.Time{}
	}
}

// Replicas returns the replicas of a key in descending order of their rendezvous hash. It removes the members that left
// longer ago than the retention.
func (m *Membership) Replicas(now time.Time, key string) []string {
	members := make([]string, 0, len(m.leftAt))
	for member, at := range m.leftAt {
		if !at.IsZero() && now.Sub(at) >= Retention {
			delete(m.leftAt, member)
			continue
		}
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(b+key), xxhash.Sum64String(a+key)), cmp.Compare(a, b))
	})
	return members[:min(len(members), replicasPerKey)]
}

// keyCreationTime returns the creation time in a key that is a UUIDv7 (RFC 9562, section 5.7), or false for other keys.
func keyCreationTime(key string) (time.Time, bool) {
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
