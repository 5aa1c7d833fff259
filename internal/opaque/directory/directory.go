// Package directory holds a balancer's view of the targets: their entries in the store, and whether the agents beside them
// answer pings. From these it derives the order in which the candidates of a flow are tried. It is a pure state machine.
package directory

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// Target is what the balancer knows of a target.
type Target struct {
	Agent    hop.IP
	Entry    registry.Entry
	Revision store.Version
	State    Reachability
	// IsLost is set while the restored store lacks the target's entry, which is of an earlier era, or holds an older one.
	IsLost bool
	// EntryReceivedAt is when the balancer received the entry. AnsweredAt is when the agent last answered a ping, or zero.
	EntryReceivedAt, AnsweredAt time.Time

	service   desired.ServiceKey
	seed      uint64
	pingState pingState
}

// Change is a change of a target's entry or reachability, for the log. Reason is its cause, as the log shows it.
type Change struct {
	// Target is the target after the change, or before its removal.
	Target Target
	Reason string
}

// Directory holds the state of all targets that the balancer knows.
type Directory struct {
	targets map[hop.IP]*Target
	// removalRevisions holds the revision at which the target of an agent was last removed. Another balancer may still send
	// older entries of that target, which are ignored. The map is never pruned: like the store, it keeps one revision for each
	// address.
	removalRevisions map[hop.IP]store.Version
	// unreadable holds the entries that cannot be decoded.
	unreadable map[hop.IP]unreadableEntry
	view       *View
	// evacuated are the availability zones whose targets receive no new flows.
	evacuated map[string]struct{}
	// seed is a hash of the balancer's address, and zone is its availability zone.
	seed  uint64
	zone  string
	group uint32
	// sequenceStart is when the first ping was sent. Ping sequences count the time since then.
	sequenceStart time.Time
	// lastAnsweredPingAt is when the latest of the pings that any agent has answered was sent.
	lastAnsweredPingAt time.Time
	// answerRate is the share of the recent pings of reachable agents that were answered in time. isPathHealthy is set while
	// the network path from the agents to this balancer is healthy. Only then may missing answers mean that an agent is gone.
	answerRate    float64
	isPathHealthy bool
	// isMassRestart is set while most of the agents that answer have started recently, as after a power failure.
	isMassRestart bool
}

// New returns the empty directory of the balancer at the address self in an availability zone.
func New(self hop.IP, zone string) *Directory {
	return &Directory{
		seed: xxhash.Sum64(self[:]), zone: zone, targets: make(map[hop.IP]*Target),
		removalRevisions: make(map[hop.IP]store.Version), unreadable: make(map[hop.IP]unreadableEntry), view: &View{}, answerRate: 1,
	}
}

// View returns the current view. It is immutable.
func (d *Directory) View() *View { return d.view }

// Targets returns every target, in no particular order.
func (d *Directory) Targets() []Target {
	all := make([]Target, 0, len(d.targets))
	for _, t := range d.targets {
		all = append(all, *t)
	}
	return all
}

// MarkLost records that, as another balancer has found, the restored store has lost the entry of a target at a revision.
func (d *Directory) MarkLost(agent hop.IP, revision store.Version) {
	if t := d.targets[agent]; t != nil && t.Revision == revision {
		t.IsLost = true
	}
}

// HasReachableLost reports whether the restored store has lost the entry of a target whose agent answers pings.
func (d *Directory) HasReachableLost() bool {
	for _, t := range d.targets {
		if t.IsLost && t.State == Reachable {
			return true
		}
	}
	return false
}

// EachRemoved calls visit for each agent whose target was removed at a revision above after.
func (d *Directory) EachRemoved(after store.Version, visit func(agent hop.IP, revision store.Version)) {
	for agent, revision := range d.removalRevisions {
		if revision > after {
			visit(agent, revision)
		}
	}
}

// SetEvacuatedZones replaces the availability zones whose targets receive no new flows. The agents in zones that change are pinged at
// once, since pings tell them.
func (d *Directory) SetEvacuatedZones(now time.Time, zones map[string]struct{}) {
	for _, t := range d.targets {
		if _, isEvacuated := zones[t.Entry.Zone]; isEvacuated != d.isEvacuated(t) {
			t.pingState.nextPingAt = now
		}
	}
	d.evacuated = zones
	d.rebuildView()
}

func (d *Directory) isEvacuated(t *Target) bool {
	_, isEvacuated := d.evacuated[t.Entry.Zone]
	return isEvacuated
}

// Lookup returns what the balancer knows of the target beside an agent.
func (d *Directory) Lookup(agent hop.IP) (Target, bool) {
	if t := d.targets[agent]; t != nil {
		return *t, true
	}
	return Target{}, false
}

// HandleEntry records an entry, which the store or another balancer returned with a version. It ignores the entry and reports
// false when it is not newer than the known entry or the target's removal. An entry of a restored store that was written before
// a lost one is not newer.
func (d *Directory) HandleEntry(now time.Time, agent hop.IP, e registry.Entry, returned store.Version) (Change, bool) {
	revision := e.Version(returned)
	d.forgetUnreadable(agent, returned)
	known := d.targets[agent]
	if known != nil && revision <= known.Revision || revision <= d.removalRevisions[agent] {
		if known != nil && revision < known.Revision && known.Revision.Era() < returned.Era() {
			known.IsLost = true
		}
		return Change{}, false
	}
	if e.HasLeft {
		return d.HandleRemoval(agent, revision)
	}
	if known == nil {
		known = &Target{Agent: agent, seed: xxhash.Sum64(agent[:]), pingState: pingState{nextPingAt: now}}
		d.targets[agent] = known
	}
	known.Entry, known.Revision, known.service = e, revision, desired.ServiceKeyOf(e.Service)
	known.EntryReceivedAt, known.IsLost = now, false
	d.rebuildView()
	return Change{Target: *known, Reason: "entry"}, true
}

// HandleRemoval removes the target beside an agent, because its entry was deleted, or marked as left, at the given revision.
// It reports false when there is no target or when its entry is newer.
func (d *Directory) HandleRemoval(agent hop.IP, revision store.Version) (Change, bool) {
	d.removalRevisions[agent] = max(d.removalRevisions[agent], revision)
	d.forgetUnreadable(agent, revision)
	known := d.targets[agent]
	if known == nil || revision <= known.Revision {
		return Change{}, false
	}
	delete(d.targets, agent)
	d.rebuildView()
	return Change{Target: *known, Reason: "left"}, true
}

// Retain removes every target whose agent is not listed. It is called after a complete read of the store at a revision. Targets
// with a newer entry stay. Targets with an entry of an earlier era stay too: the restored store may have lost the entry, and the
// target's agent writes it again.
func (d *Directory) Retain(listed map[hop.IP]struct{}, revision store.Version) []Change {
	for agent := range d.unreadable {
		if _, ok := listed[agent]; !ok {
			d.forgetUnreadable(agent, revision)
		}
	}
	var changes []Change
	for agent, t := range d.targets {
		if _, ok := listed[agent]; ok {
			continue
		}
		if t.Revision.Era() < revision.Era() {
			t.IsLost = true
			continue
		}
		if change, ok := d.HandleRemoval(agent, revision); ok {
			changes = append(changes, change)
		}
	}
	return changes
}
