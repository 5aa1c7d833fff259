// Package readers decides which balancers follow the store, so that the calls to it rise with the groups of balancers and
// not with their number. The balancers of a group meet at a few agents, which pass on what each reports. Nothing is agreed
// on: a wrong view costs calls, never correctness. The package holds pure state machines.
package readers

import (
	"cmp"
	"slices"
	"time"

	"gentianswitch/internal/opaque/hop"
)

const (
	// memberTimeout is the time without a report after which a balancer is no longer told of news.
	memberTimeout = 3 * time.Second
	// maxMembers bounds the balancers that an agent remembers, of all groups that meet there.
	maxMembers = 256
)

// Hub is what an agent knows of the balancers that meet there.
type Hub struct {
	members map[hop.IP]member
}

type member struct {
	group     uint32
	isReading bool
	revision  uint64
	heardAt   time.Time
}

// NewHub returns an empty board.
func NewHub() *Hub { return &Hub{members: make(map[hop.IP]member)} }

// Update is what a report tells the others of a group.
type Update uint8

// The news.
const (
	NoUpdate Update = iota
	// Advanced means that a reader has a revision above that of all other readers.
	Advanced
	// Stopped means that a reader no longer follows the store.
	Stopped
)

// HandleStatus notes the report of a balancer and returns its news.
func (b *Hub) HandleStatus(now time.Time, from hop.IP, r hop.BalancerStatus) Update {
	if r.Group == 0 {
		return NoUpdate
	}
	isAdvanced := r.IsWatching
	for ip, m := range b.members {
		switch {
		case now.Sub(m.heardAt) > memberTimeout:
			delete(b.members, ip)
		case m.group == r.Group && m.isReading && m.revision >= r.Revision:
			isAdvanced = false
		}
	}
	known, isKnown := b.members[from]
	if !isKnown && len(b.members) >= maxMembers {
		return NoUpdate
	}
	b.members[from] = member{group: r.Group, isReading: r.IsWatching, revision: r.Revision, heardAt: now}
	switch {
	case isAdvanced:
		return Advanced
	case known.isReading && !r.IsWatching:
		return Stopped
	default:
		return NoUpdate
	}
}

// Readers returns the readers of a group, the highest revisions first.
func (b *Hub) Readers(now time.Time, group uint32) []hop.Reader {
	var all []hop.Reader
	for ip, m := range b.members {
		if m.group == group && m.isReading && now.Sub(m.heardAt) <= memberTimeout {
			all = append(all, hop.Reader{Balancer: ip, Age: now.Sub(m.heardAt), Revision: m.revision})
		}
	}
	slices.SortFunc(all, func(a, b hop.Reader) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Age, b.Age), slices.Compare(a.Balancer[:], b.Balancer[:]))
	})
	return all[:min(len(all), hop.MaxReaders)]
}

// Recipients returns the balancers that news of a report concern.
func (b *Hub) Recipients(now time.Time, news Update, r hop.BalancerStatus) []hop.IP {
	var all []hop.IP
	for ip, m := range b.members {
		if m.group == r.Group && (news == Stopped || m.revision < r.Revision) && now.Sub(m.heardAt) <= memberTimeout {
			all = append(all, ip)
		}
	}
	return all
}
