package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// Intervals and bounds of membership.
const (
	// TickInterval is the time between two Tick events. Changes are passed on in batches of one tick.
	TickInterval = 100 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of an agent to its homes and between connected balancers.
	HeartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is the silence after which an observer suspects a subject.
	heartbeatTimeout = 1500 * time.Millisecond
	// aggregateDelay is how long an observer waits for the rest of a zone before it speaks of single subjects.
	aggregateDelay = HeartbeatInterval
	// sameMoment is the most by which the last heartbeats of subjects differ that went silent together.
	sameMoment = HeartbeatInterval + 2*TickInterval
	// orphanTimeout is how long a target without a live home stays in the view.
	orphanTimeout = 3 * time.Second
	// stallLimit is the time between two ticks above which the balancer itself was paused.
	stallLimit = 500 * time.Millisecond
	// digestInterval is the time between two anti-entropy exchanges.
	digestInterval = 2 * time.Second
	// releaseTimeout is how long an observer holds on to a subject that it has lost and others see.
	releaseTimeout = 30 * time.Second
	// tombstoneLifetime is how long a target or balancer that has gone or failed is remembered.
	tombstoneLifetime = 2 * time.Hour
	sweepInterval     = 30 * time.Second
)

// Detection is the strategy that decides when a subject has failed.
type Detection uint8

const (
	// Conservative declares a subject failed when none of its observers hears it any more.
	Conservative Detection = iota
	// Aggressive declares a subject failed when one of its observers does not hear it any more.
	Aggressive
)

// String returns the name that settings use.
func (d Detection) String() string {
	if d == Aggressive {
		return "aggressive"
	}
	return "conservative"
}

// DetectionByName returns the strategy with the given name.
func DetectionByName(name string) (Detection, error) {
	for _, d := range []Detection{Conservative, Aggressive} {
		if d.String() == name {
			return d, nil
		}
	}
	return Conservative, eris.Errorf("setting detection: %q, expected conservative or aggressive", name)
}

// Settings are the settings of a Machine.
type Settings struct {
	Self      Balancer
	Detection Detection
	Seed      uint64
}

// targetEntry is what is known of a target.
type targetEntry struct {
	// record has state 0 until the target's announcement arrives; only observations are known then.
	record    packedTarget
	observers []observation
	view      State
	// isRenewed is true when the record has changed since it was shown.
	isRenewed bool
	damping   *damping
	// orphanedAt is when the last live home was lost, or zero.
	orphanedAt instant
	// endedAt is when the view became gone or failed, or zero.
	endedAt instant
}

// balancerEntry is what is known of a balancer.
type balancerEntry struct {
	record    Balancer
	observers []observation
	isLive    bool
	endedAt   time.Time
	// hears and isReached belong to the search of the live balancers.
	hears     []*balancerEntry
	isReached bool
}

// Machine is the membership as one balancer knows it. It is a pure state machine: it reads no clock and does no input or
// output. It is not safe for concurrent use.
type Machine struct {
	self      Balancer
	selfID    id
	detection Detection
	random    *rand.Rand
	version   uint64
	targets   map[id]*targetEntry
	balancers map[id]*balancerEntry
	zones     map[zoneKey]zoneReport
	watches   map[id]*watch
	outboxes  map[id]*outbox
	digest    digest
	overlay   overlay
	// changed holds the targets whose view must be evaluated, staleZones the zones of which a report has changed.
	changed    map[id]struct{}
	staleZones map[string]struct{}
	returns    returnSet
	// isLivenessStale asks for a search of the live balancers.
	timed map[id]struct{}
	// replaced holds what the view shows of targets whose record has changed since.
	replaced        map[id]Target
	isLivenessStale bool
	// hasVoid asks for the removal of what balancers have said that have since gone or restarted.
	hasVoid    bool
	names      map[string]string
	now        time.Time
	lastTick   time.Time
	lastDigest time.Time
	lastSweep  time.Time
	actions    []Action
}

// New returns a machine that knows only itself.
func New(settings Settings) *Machine {
	m := &Machine{
		self:       settings.Self,
		selfID:     idOf(settings.Self.Data),
		detection:  settings.Detection,
		random:     rand.New(rand.NewPCG(settings.Seed, settings.Self.Incarnation)),
		version:    settings.Self.Incarnation,
		targets:    make(map[id]*targetEntry),
		balancers:  make(map[id]*balancerEntry),
		zones:      make(map[zoneKey]zoneReport),
		watches:    make(map[id]*watch),
		outboxes:   make(map[id]*outbox),
		changed:    make(map[id]struct{}),
		staleZones: make(map[string]struct{}),
		returns:    returnSet{agents: make(map[id]struct{})},
		timed:      make(map[id]struct{}),
		replaced:   make(map[id]Target),
		names:      make(map[string]string),
	}
	m.mergeBalancer(m.self, 0)
	m.balancers[m.selfID].isLive = true
	return m
}

// Handle takes one event and returns what must be done, in order.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	m.actions = nil
	m.now = now
	switch e := event.(type) {
	case Announced:
		m.announced(now, e)
	case PeerJoined:
		m.peerJoined(now, e.Peer)
	case PeerLeft:
		delete(m.outboxes, idOf(e.Peer))
	case PeerDropped:
		m.peerDropped(now, e.Peer)
	case Received:
		m.received(now, e)
	case Tick:
		m.tick(now)
	case Stopping:
		m.stop(now)
	}
	m.evaluate(now)
	return m.actions
}

func (m *Machine) act(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) tick(now time.Time) {
	m.forgiveStall(now)
	m.observeSilence(now)
	m.expireTimers()
	m.evaluate(now)
	m.refreshReturns()
	if now.Sub(m.lastDigest) >= digestInterval {
		m.sendDigest(now)
	}
	if now.Sub(m.lastSweep) >= sweepInterval {
		m.sweep(now)
	}
	m.flush(now)
}

// forgiveStall moves the last heartbeats by the time for which this process did not run, since it could hear none.
func (m *Machine) forgiveStall(now time.Time) {
	gap := now.Sub(m.lastTick)
	if !m.lastTick.IsZero() && gap > stallLimit {
		for _, w := range m.watches {
			w.heard = earlier(w.heard.Add(gap), now)
		}
	}
	m.lastTick = now
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *Machine) stop(now time.Time) {
	m.self.State = Gone
	m.mergeBalancer(m.self, 0)
	m.flush(now)
}

// name returns one copy of a zone's name for all records.
func (m *Machine) name(zone string) string {
	known, ok := m.names[zone]
	if !ok {
		m.names[zone] = zone
		return zone
	}
	return known
}

// Targets returns the targets in the view, each with its state there.
func (m *Machine) Targets() []Target {
	list := make([]Target, 0, len(m.targets))
	for subject, e := range m.targets {
		if e.view != 0 {
			list = append(list, e.inView(subject))
		}
	}
	return list
}

// ReadyTargets returns the ready targets of a service.
func (m *Machine) ReadyTargets(service uint16) []Target {
	var list []Target
	for subject, e := range m.targets {
		if e.view == Ready && e.record.service == service {
			list = append(list, e.inView(subject))
		}
	}
	return list
}

// Target returns a target of the view, and false when the view has none of the given address.
func (m *Machine) Target(agent netip.AddrPort) (Target, bool) {
	subject := idOf(agent)
	e := m.targets[subject]
	if e == nil || e.view == 0 {
		return Target{}, false
	}
	return e.inView(subject), true
}

func (e *targetEntry) inView(subject id) Target {
	t := e.record.unpack(subject)
	t.State = e.view
	return t
}

// Balancers returns the live balancers, this one included, ordered by their place on the ring.
func (m *Machine) Balancers() []Balancer {
	m.refreshRing()
	list := make([]Balancer, 0, len(m.overlay.ring))
	for _, p := range m.overlay.ring {
		list = append(list, m.balancers[p.id].record)
	}
	return list
}

// HasControl reports whether a balancer with the given control address is known, live or not.
func (m *Machine) HasControl(control netip.AddrPort) bool {
	for _, e := range m.balancers {
		if e.record.Control == control {
			return true
		}
	}
	return false
}
