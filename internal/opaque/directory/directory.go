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

// Times of the reachability check.
const (
	// pingInterval is the time between two pings of an agent that answers.
	pingInterval = time.Second
	// usedFor is the time since a packet was sent to an agent for which it is pinged. So pings follow the flows that a
	// balancer carries, whatever the number of agents; docs/CAPACITY.md has the cost.
	usedFor = 2 * pingInterval
	// alwaysPinged is the number of agents that are pinged without a packet as well: a balancer without flows hears of new
	// configurations by their answers, also when two of them are out of reach.
	alwaysPinged = 3
	// rarestPing bounds the time between two pings of an agent that has been dead for long.
	rarestPing = 5 * time.Second
	// pongTimeout is far above the round trip within a region, which is 1 to 3 ms, and below the 200 ms after which
	// callers repeat an opening packet.
	pongTimeout = 150 * time.Millisecond
	// suspectAfter is the number of unanswered pings in a row that make an agent suspect.
	suspectAfter = 2
	// deadAfter is the time without an answer after which an agent's flows count as lost. It is above the longest
	// pauses of a process under load, and below the deadlines of callers.
	deadAfter = 2 * time.Second
	// deadMisses is the number of unanswered pings in a row that an agent needs besides to be dead: a balancer that has
	// been frozen finds one ping of each agent unanswered for as long as it stood still.
	deadMisses = 6
)

// Reachability is what a balancer believes of an agent.
type Reachability uint8

// The states of an agent.
const (
	// Reachable agents answer, or have not been asked long enough.
	Reachable Reachability = iota
	// Suspect agents have left pings unanswered. They are tried last.
	Suspect
	// Dead agents have not answered for so long that their flows count as lost.
	Dead
)

// String returns the name that logs use.
func (r Reachability) String() string {
	return [...]string{"reachable", "suspect", "dead"}[r]
}

// Target is a target as the balancer knows it.
type Target struct {
	Agent    hop.IP
	Entry    registry.Entry
	Revision store.Version
	State    Reachability
	// EnteredAt is when the balancer took the entry. AnsweredAt is when the agent last answered a ping, or zero.
	EnteredAt, AnsweredAt time.Time

	service   desired.ServiceKey
	seed      uint64
	nextPing  time.Time
	askedAt   time.Time
	isAsked   bool
	missed    int
	sequence  uint16
	firstMiss time.Time
	usedAt    time.Time
	// isAlwaysPinged is set in alwaysPinged of the agents that answer.
	isAlwaysPinged bool
}

// isPinged reports whether the balancer wants to know whether the agent answers.
func (t *Target) isPinged(now time.Time) bool {
	return t.isAlwaysPinged || t.missed > 0 || t.State != Reachable || now.Sub(t.usedAt) < usedFor
}

// Change is a new belief about a target, for the log.
type Change struct {
	Target Target
	Reason string
}

// Ping is a ping that has to be sent.
type Ping struct {
	Agent    hop.IP
	Sequence uint16
}

// Directory is the view of all targets.
type Directory struct {
	targets map[hop.IP]*Target
	// removed holds the revisions at which targets were removed: another balancer may still hand their entries over. Like
	// the store, it keeps one for each address.
	removed map[hop.IP]store.Version
	view    *View
	// seed distinguishes the balancer, and zone is its availability zone.
	seed uint64
	zone string
	// now is the moment of the last event, and answeredAt that of the last answer of any agent.
	now, answeredAt time.Time
}

// New returns an empty directory of the balancer at the address self, in an availability zone.
func New(self hop.IP, zone string) *Directory {
	return &Directory{
		seed: xxhash.Sum64(self[:]), zone: zone, targets: make(map[hop.IP]*Target),
		removed: make(map[hop.IP]store.Version), view: &View{},
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

// Known returns what the balancer knows of the target beside an agent.
func (d *Directory) Known(agent hop.IP) (Target, bool) {
	if t := d.targets[agent]; t != nil {
		return *t, true
	}
	return Target{}, false
}

// Put takes an entry of the store. Older revisions than the known one change nothing.
func (d *Directory) Put(now time.Time, agent hop.IP, e registry.Entry, revision store.Version) (Change, bool) {
	d.now = now
	known := d.targets[agent]
	if known != nil && revision <= known.Revision || revision <= d.removed[agent] {
		return Change{}, false
	}
	if e.HasLeft {
		return d.Remove(agent, revision)
	}
	if known == nil {
		known = &Target{Agent: agent, seed: xxhash.Sum64(agent[:]), nextPing: now}
		d.targets[agent] = known
	}
	known.Entry, known.Revision, known.service = e, revision, desired.KeyOf(e.Service)
	known.EnteredAt = now
	d.compile()
	return Change{Target: *known, Reason: "entry"}, true
}

// Remove takes the end of an entry at a revision.
func (d *Directory) Remove(agent hop.IP, revision store.Version) (Change, bool) {
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
		if change, ok := d.Remove(agent, revision); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// Used notes that a packet is sent to an agent, which passes it on to the next candidates when it has to. One of these that
// does not answer would swallow the packet, so they are asked as well.
func (d *Directory) Used(now time.Time, agent hop.IP, next ...hop.IP) {
	d.use(now, agent)
	for _, candidate := range next {
		d.use(now, candidate)
	}
}

func (d *Directory) use(now time.Time, agent hop.IP) {
	if t := d.targets[agent]; t != nil {
		t.usedAt = now
	}
}

// Suspect asks an agent at once, since a packet sent to it seems to have been lost.
func (d *Directory) Suspect(now time.Time, agent hop.IP) {
	if t := d.targets[agent]; t != nil && !t.isAsked {
		t.nextPing, t.usedAt = now, now
	}
}

// Pong takes the answer of an agent.
func (d *Directory) Pong(now time.Time, agent hop.IP, sequence uint16) (Change, bool) {
	t := d.targets[agent]
	if t == nil {
		return Change{}, false
	}
	wasIsolated := d.isIsolated()
	t.AnsweredAt, d.answeredAt, d.now = now, now, now
	if wasIsolated {
		d.compile()
	}
	if !t.isAsked && t.State == Reachable || t.sequence-sequence > suspectAfter {
		return Change{}, false
	}
	t.isAsked, t.missed, t.nextPing = false, 0, now.Add(pingInterval)
	if t.State == Reachable {
		return Change{}, false
	}
	t.State = Reachable
	d.compile()
	return Change{Target: *t, Reason: "pong"}, true
}

// Tick counts pings that were not answered in time and returns the pings to send.
func (d *Directory) Tick(now time.Time) (pings []Ping, changes []Change) {
	d.now = now
	for _, t := range d.targets {
		if t.isAsked && now.Sub(t.askedAt) >= pongTimeout {
			if change, ok := d.miss(now, t); ok {
				changes = append(changes, change)
			}
		}
		if t.isAsked || now.Before(t.nextPing) || !t.isPinged(now) {
			continue
		}
		t.sequence++
		t.isAsked, t.askedAt = true, now
		pings = append(pings, Ping{Agent: t.Agent, Sequence: t.sequence})
	}
	return pings, changes
}

func (d *Directory) miss(now time.Time, t *Target) (Change, bool) {
	t.isAsked, t.nextPing = false, now
	if t.missed == 0 {
		t.firstMiss = t.askedAt
	}
	t.missed++
	state := t.State
	switch {
	case now.Sub(t.firstMiss) >= deadAfter && t.missed >= deadMisses:
		state = Dead
		t.nextPing = now.Add(min(max(now.Sub(t.firstMiss)/4, pingInterval), rarestPing))
	case t.missed >= suspectAfter:
		state = Suspect
	}
	if state == t.State {
		return Change{}, false
	}
	t.State = state
	d.compile()
	return Change{Target: *t, Reason: "no pong"}, true
}
