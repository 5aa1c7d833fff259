package directory

import (
	"time"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// An entry that cannot be decoded names no target, but its key names an agent whose target may serve flows: another writer may have
// replaced the entry. Until that agent has written its entry again, a view without this target is not complete.

const (
	// noticeInterval is the time between two notices to an agent that its target's entry cannot be decoded. A notice can be lost.
	noticeInterval = time.Second
	// maxNotices bounds the notices of one tick.
	maxNotices = 16
)

// unreadableEntry is an entry in the store that cannot be decoded.
type unreadableEntry struct {
	revision store.Version
	// since is when this balancer first learned of it.
	since, noticedAt time.Time
}

// HandleUnreadable records that the entry of an agent's target, which the store returned with a version, cannot be decoded. A known
// target stays as it is.
func (d *Directory) HandleUnreadable(now time.Time, agent hop.IP, returned store.Version) {
	known := d.targets[agent]
	if known != nil && returned <= known.Revision || returned <= d.removalRevisions[agent] {
		return
	}
	if e, ok := d.unreadable[agent]; !ok || returned > e.revision {
		d.unreadable[agent] = unreadableEntry{revision: returned, since: now}
	}
}

// forgetUnreadable forgets the unreadable entry of an agent if a version has replaced it.
func (d *Directory) forgetUnreadable(agent hop.IP, replacedBy store.Version) {
	if e, ok := d.unreadable[agent]; ok && replacedBy > e.revision {
		delete(d.unreadable, agent)
	}
}

// LacksTarget reports whether the view may lack a target that serves flows, because its entry cannot be decoded. An agent that is there
// writes its entry again within registry.SettleTime.
func (d *Directory) LacksTarget(now time.Time) bool {
	for agent, e := range d.unreadable {
		if d.targets[agent] == nil && now.Sub(e.since) < registry.SettleTime {
			return true
		}
	}
	return false
}

// DueNotices returns the agents that are to be told now that their target's entry cannot be decoded.
func (d *Directory) DueNotices(now time.Time) []hop.IP {
	var due []hop.IP
	for agent, e := range d.unreadable {
		if len(due) == maxNotices {
			break
		}
		if now.Sub(e.noticedAt) >= noticeInterval && now.Sub(e.since) < registry.SettleTime {
			e.noticedAt = now
			d.unreadable[agent] = e
			due = append(due, agent)
		}
	}
	return due
}

// EachUnreadable calls visit for each agent whose target's entry cannot be decoded, with the version of that entry.
func (d *Directory) EachUnreadable(visit func(agent hop.IP, revision store.Version)) {
	for agent, e := range d.unreadable {
		visit(agent, e.revision)
	}
}
