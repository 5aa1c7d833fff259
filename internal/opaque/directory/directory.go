// Package directory holds a balancer's view of the targets: what their entries say and whether their agents answer.
// It is a pure state machine.
package directory

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// Target is a target as the balancer knows it.
type Target struct {
	Agent    hop.IP
	Entry    registry.Entry
	Revision store.Version
	State    Reachability
	// EnteredAt is when the balancer took the entry. AnsweredAt is when the agent last answered a ping, or zero.
	EnteredAt, AnsweredAt time.Time

	service desired.ServiceKey
	seed    uint64
	reach   reach
}

// Change is a new belief about a target, for the log.
type Change struct {
	Target Target
	Reason string
}

// Directory is the view of all targets.
type Directory struct {
	targets map[hop.IP]*Target
	// removed holds the revisions at which targets were removed: another balancer may still hand their entries over. Like
	// the store, it keeps one for each address.
	removed map[hop.IP]store.Version
	view    *View
	// seed distinguishes the balancer, and zone is its availability zone.
	seed  uint64
	zone  string
	group uint32
	// startedAt is the first moment that the directory knew of. Ping sequences count from it.
	startedAt time.Time
	// horizon is the moment at which the latest ping was sent that any agent has answered.
	horizon time.Time
	// answerRate is the share of the recent pings of agents that answer which has been answered in time. isPathGood is
	// whether silence may mean that an agent is gone.
	answerRate float64
	isPathGood bool
	// isCommonStart is set while most agents that answer have just started.
	isCommonStart bool
}

// New returns an empty directory of the balancer at the address self, in an availability zone.
func New(self hop.IP, zone string) *Directory {
	return &Directory{
		seed: xxhash.Sum64(self[:]), zone: zone, targets: make(map[hop.IP]*Target),
		removed: make(map[hop.IP]store.Version), view: &View{}, answerRate: 1,
	}
}

// View returns the current view. It is immutable.
func (d *Directory) View() *View { return d.view }

// Targets returns every target, in an order without meaning.
func (d *Directory) Targets() []Target {
	all := make([]Target, 0, len(d.targets))
	for _, t := range d.targets {
		all = append(all, *t)
	}
	return all
}

// EachRemoved calls visit for each address whose target was removed after a revision.
func (d *Directory) EachRemoved(after store.Version, visit func(agent hop.IP, revision store.Version)) {
	for agent, revision := range d.removed {
		if revision > after {
			visit(agent, revision)
		}
	}
}

// Lookup returns what the balancer knows of the target beside an agent.
func (d *Directory) Lookup(agent hop.IP) (Target, bool) {
	if t := d.targets[agent]; t != nil {
		return *t, true
	}
	return Target{}, false
}

// HandleEntry takes an entry of the store. Older revisions than the known one change nothing.
func (d *Directory) HandleEntry(now time.Time, agent hop.IP, e registry.Entry, revision store.Version) (Change, bool) {
	known := d.targets[agent]
	if known != nil && revision <= known.Revision || revision <= d.removed[agent] {
		return Change{}, false
	}
	if e.HasLeft {
		return d.HandleRemoval(agent, revision)
	}
	if known == nil {
		known = &Target{Agent: agent, seed: xxhash.Sum64(agent[:]), reach: reach{nextPing: now}}
		d.targets[agent] = known
	}
	known.Entry, known.Revision, known.service = e, revision, desired.ServiceKeyOf(e.Service)
	known.EnteredAt = now
	d.compile()
	return Change{Target: *known, Reason: "entry"}, true
}

// HandleRemoval takes the end of an entry at a revision.
func (d *Directory) HandleRemoval(agent hop.IP, revision store.Version) (Change, bool) {
	d.removed[agent] = max(d.removed[agent], revision)
	known := d.targets[agent]
	if known == nil || revision <= known.Revision {
		return Change{}, false
	}
	delete(d.targets, agent)
	d.compile()
	return Change{Target: *known, Reason: "left"}, true
}

// Retain removes every target whose agent is not listed, after a complete read of the store at a revision.
func (d *Directory) Retain(listed map[hop.IP]struct{}, revision store.Version) []Change {
	var changes []Change
	for agent := range d.targets {
		if _, ok := listed[agent]; ok {
			continue
		}
		if change, ok := d.HandleRemoval(agent, revision); ok {
			changes = append(changes, change)
		}
	}
	return changes
}
