// Package readers decides which balancers of a group watch the store for all of them, so that the number of calls to the store
// grows with the number of groups and not with that of balancers. The balancers of a group exchange their status through a few
// agents, their hubs. There is no consensus: a wrong view costs additional calls, never correctness. The package holds pure
// state machines.
package readers

import (
	"cmp"
	"slices"
	"time"

	"gentianswitch/internal/opaque/hop"
)

const (
	// memberExpiry is the time since a balancer's last report after which a hub forgets it.
	memberExpiry = 3 * time.Second
	// maxMembers bounds the balancers that a hub remembers, over all groups.
	maxMembers = 256
)

// Hub is what an agent knows of the balancers that report their status to it in pings: its members.
type Hub struct {
	members map[hop.IP]member
}

// member is the last report of a balancer.
type member struct {
	group      uint32
	isWatching bool
	revision   uint64
	reportedAt time.Time
}

// NewHub returns a hub without members.
func NewHub() *Hub { return &Hub{members: make(map[hop.IP]member)} }

// Update is what a balancer's status changes for the others of its group.
type Update uint8

// Kinds of updates.
const (
	// NoUpdate means that no other balancer has to be notified.
	NoUpdate Update = iota
	// RevisionAdvanced means that a reader has reported a higher revision than the last statuses of all readers of its group,
	// including its own.
	RevisionAdvanced
	// ReaderStopped means that a reader no longer watches the store.
	ReaderStopped
)

// HandleStatus records the status of a balancer and returns what it changes for the group. A status with group zero is ignored:
// the agent is not a hub of its balancer's group.
func (h *Hub) HandleStatus(now time.Time, from hop.IP, r hop.BalancerStatus) Update {
	if r.Group == 0 {
		return NoUpdate
	}
	isAdvanced := r.IsWatching
	for ip, m := range h.members {
		switch {
		case now.Sub(m.reportedAt) > memberExpiry:
			delete(h.members, ip)
		case m.group == r.Group && m.isWatching && m.revision >= r.Revision:
			isAdvanced = false
		}
	}
	known, isKnown := h.members[from]
	if !isKnown && len(h.members) >= maxMembers {
		return NoUpdate
	}
	h.members[from] = member{group: r.Group, isWatching: r.IsWatching, revision: r.Revision, reportedAt: now}
	switch {
	case isAdvanced:
		return RevisionAdvanced
	case known.isWatching && !r.IsWatching:
		return ReaderStopped
	default:
		return NoUpdate
	}
}

// Readers returns at most hop.MaxReaders readers of a group, those with the highest revisions first.
func (h *Hub) Readers(now time.Time, group uint32) []hop.Reader {
	var all []hop.Reader
	for ip, m := range h.members {
		if m.group == group && m.isWatching && now.Sub(m.reportedAt) <= memberExpiry {
			all = append(all, hop.Reader{Balancer: ip, Age: now.Sub(m.reportedAt), Revision: m.revision})
		}
	}
	slices.SortFunc(all, func(a, b hop.Reader) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Age, b.Age),
			slices.Compare(a.Balancer[:], b.Balancer[:]))
	})
	return all[:min(len(all), hop.MaxReaders)]
}

// Recipients returns the balancers that have to be notified of an update that the status r has caused: the whole group when a
// reader has stopped, otherwise the members of the group with a lower revision.
func (h *Hub) Recipients(now time.Time, update Update, r hop.BalancerStatus) []hop.IP {
	var all []hop.IP
	for ip, m := range h.members {
		if m.group == r.Group && (update == ReaderStopped || m.revision < r.Revision) && now.Sub(m.reportedAt) <= memberExpiry {
			all = append(all, ip)
		}
	}
	return all
}
