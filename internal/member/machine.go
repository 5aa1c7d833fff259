package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// Intervals and bounds of membership.
const (
	// TickInterval is the time between two Tick events. Records are disseminated in one batch per tick.
	TickInterval = 100 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats from an agent to an observer and between connected balancers.
	HeartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which an observer reports a subject as lost. It is three heartbeat
	// intervals, so that a single missing heartbeat causes no loss.
	heartbeatTimeout = 1500 * time.Millisecond
	// zoneAggregationDelay is how long an observer waits for a whole zone to be lost, or to be heard again, before it reports
	// single subjects.
	zoneAggregationDelay = HeartbeatInterval
	// maxSilenceSkew is the largest difference between the last heartbeats of subjects that stopped at the same time: subjects
	// send their heartbeats at different times within HeartbeatInterval.
	maxSilenceSkew = HeartbeatInterval + 2*TickInterval
	// unobservedTimeout is how long a target that no live balancer observes stays in the view.
	unobservedTimeout = 3 * time.Second
	// maxTickGap is the longest time between two ticks for which this process counts as running. After a longer gap it was
	// suspended.
	maxTickGap = 500 * time.Millisecond
	// digestInterval is the time between two anti-entropy exchanges.
	digestInterval = 2 * time.Second
	// releaseTimeout is how long an observer keeps watching a subject that it has lost but other observers report as alive.
	releaseTimeout = 30 * time.Second
	// tombstoneLifetime is how long the record of a failed target or balancer is kept before a tombstone replaces it. A record
	// in the state Gone, which may be a tombstone, is deleted after the same time.
	tombstoneLifetime = 2 * time.Hour
	// sweepInterval is the time between two searches for expired records.
	sweepInterval = 30 * time.Second
)

// Detection is the strategy that decides from the observations of a target whether it has failed. It doesn't apply to
// balancers.
type Detection uint8

const (
	// Conservative declares a target failed when all of its live observers have lost it.
	Conservative Detection = iota
	// Aggressive declares a target failed when one of its live observers has lost it.
	Aggressive
)

// String returns the name of the strategy in the settings.
func (d Detection) String() string {
	if d == Aggressive {
		return "aggressive"
	}
	return "conservative"
}

// DetectionByName returns the strategy with the given name, or an error that lists the valid names.
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
	// Self is the record of the balancer that the machine runs in.
	Self      Balancer
	Detection Detection
	// Seed seeds the random choice of the peers for anti-entropy.
	Seed uint64
}

// targetEntry is the state that a machine keeps of a target.
type targetEntry struct {
	// record has state 0 when only observations are known: they can arrive before the target's record.
	record       packedTarget
	observations []observation
	// view is the state of the target in the view of this balancer, or 0 while the view doesn't have it.
	view State
	// hasNewRecord is true when the record has changed since the last TargetChanged.
	hasNewRecord bool
	// damping is nil until the target fails for the first time.
	damping *damping
	// unobservedSince is since when no live balancer has observed the target, or zero.
	unobservedSince instant
	// endedAt is when the view became gone or failed, or zero. For a target that the view never had, it
	// is when a sweep first found the entry.
	endedAt instant
}

// balancerEntry is the state that a machine keeps of a balancer.
type balancerEntry struct {
	record       Balancer
	observations []observation
	// isLive is true when the balancer was reachable in the last search for live balancers.
	isLive bool
	// endedAt is when the balancer was found to be no longer live, or zero.
	endedAt time.Time
	// aliveSubjects and isReachable belong to the search in markReachable: the balancers that this one reports as alive,
	// and whether a chain of such reports leads from the balancer of the machine to this one.
	aliveSubjects []*balancerEntry
	isReachable   bool
}

// Machine is the membership from the point of view of one balancer. It is a pure state machine: it reads no clock and does
// no input or output. It is not safe for concurrent use.
type Machine struct {
	self      Balancer
	selfID    id
	detection Detection
	random    *rand.Rand
	// version is the version of the last observation or zone report of this balancer.
	version     uint64
	targets     map[id]*targetEntry
	balancers   map[id]*balancerEntry
	zoneReports map[zoneKey]zoneReport
	watches     map[id]*watch
	// outboxes holds an outbox for each connected balancer.
	outboxes map[id]*outbox
	digest   digest
	overlay  overlay
	// changedTargets holds the targets whose view must be updated. changedZones holds the zones with a changed zone report.
	changedTargets map[id]struct{}
	changedZones   map[string]struct{}
	recipients     recipientSet
	// timeDependent holds the targets whose view can change without an event, because a wait ends.
	timeDependent map[id]struct{}
	// previousViews holds the targets as last shown in a TargetChanged, for those whose record has changed since.
	previousViews map[id]Target
	// isLivenessStale is true when the live balancers must be determined again.
	isLivenessStale bool
	// hasObsoleteReports is true when reports of balancers that have gone or restarted must be removed.
	hasObsoleteReports bool
	// zoneNames holds the one copy of each zone's name that all records share.
	zoneNames map[string]string
	// now is the time of the event that is being handled.
	now        time.Time
	lastTick   time.Time
	lastDigest time.Time
	lastSweep  time.Time
	actions    []Action
}

// New returns a machine that knows only its own balancer.
func New(settings Settings) *Machine {
	m := &Machine{
		self:           settings.Self,
		selfID:         idOf(settings.Self.Data),
		detection:      settings.Detection,
		random:         rand.New(rand.NewPCG(settings.Seed, settings.Self.Incarnation)),
		version:        settings.Self.Incarnation,
		targets:        make(map[id]*targetEntry),
		balancers:      make(map[id]*balancerEntry),
		zoneReports:    make(map[zoneKey]zoneReport),
		watches:        make(map[id]*watch),
		outboxes:       make(map[id]*outbox),
		changedTargets: make(map[id]struct{}),
		changedZones:   make(map[string]struct{}),
		recipients:     recipientSet{agents: make(map[id]struct{})},
		timeDependent:  make(map[id]struct{}),
		previousViews:  make(map[id]Target),
		zoneNames:      make(map[string]string),
	}
	m.mergeBalancer(m.self, 0)
	m.balancers[m.selfID].isLive = true
	return m
}

// Step processes an event and returns the resulting actions in the order in which they must be executed.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	m.now = now
	switch e := event.(type) {
	case AgentAnnounced:
		m.handleAnnouncement(now, e)
	case PeerConnected:
		m.handlePeerConnected(now, e.Peer)
	case PeerDisconnected:
		delete(m.outboxes, idOf(e.Peer))
	case PeerDropped:
		m.handlePeerDropped(now, e.Peer)
	case GossipReceived:
		m.handleGossip(now, e)
	case Tick:
		m.handleTick(now)
	case Stopping:
		m.handleStopping(now)
	}
	m.updateViews(now)
	return m.actions
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) handleTick(now time.Time) {
	m.compensateStall(now)
	m.checkWatches(now)
	m.markTimeDependent()
	m.updateViews(now)
	m.refreshRecipients()
	if now.Sub(m.lastDigest) >= digestInterval {
		m.sendDigest(now)
	}
	if now.Sub(m.lastSweep) >= sweepInterval {
		m.sweepTombstones(now)
	}
	m.flush(now)
}

// compensateStall shifts the times of the last heartbeats by the time for which this process was suspended. It could receive
// no heartbeats in that time, so the silence says nothing about the subjects.
func (m *Machine) compensateStall(now time.Time) {
	gap := now.Sub(m.lastTick)
	if !m.lastTick.IsZero() && gap > maxTickGap {
		for _, w := range m.watches {
			w.lastHeartbeat = earlier(w.lastHeartbeat.Add(gap), now)
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

// handleStopping sends the connected balancers a record that marks this balancer as gone.
func (m *Machine) handleStopping(now time.Time) {
	m.self.State = Gone
	m.mergeBalancer(m.self, 0)
	m.flush(now)
}

// internZone returns the shared copy of a zone's name, which saves memory with many records.
func (m *Machine) internZone(zone string) string {
	known, ok := m.zoneNames[zone]
	if !ok {
		m.zoneNames[zone] = zone
		return zone
	}
	return known
}

// Targets returns the targets in the view in no particular order. Their State is the one in the view.
func (m *Machine) Targets() []Target {
	list := make([]Target, 0, len(m.targets))
	for subject, e := range m.targets {
		if e.view != 0 {
			list = append(list, e.inView(subject))
		}
	}
	return list
}

// ReadyTargets returns the targets of a service that are ready in the view.
func (m *Machine) ReadyTargets(service uint16) []Target {
	var list []Target
	for subject, e := range m.targets {
		if e.view == Ready && e.record.service == service {
			list = append(list, e.inView(subject))
		}
	}
	return list
}

// Target returns the target in the view whose agent has the given address, and false when there is none.
func (m *Machine) Target(agent netip.AddrPort) (Target, bool) {
	subject := idOf(agent)
	e := m.targets[subject]
	if e == nil || e.view == 0 {
		return Target{}, false
	}
	return e.inView(subject), true
}

// inView returns the target with its state in the view.
func (e *targetEntry) inView(subject id) Target {
	t := e.record.unpack(subject)
	t.State = e.view
	return t
}

// LiveBalancers returns the live balancers, this one included, ordered by their position on the hash ring.
func (m *Machine) LiveBalancers() []Balancer {
	m.refreshRing()
	list := make([]Balancer, 0, len(m.overlay.ring))
	for _, p := range m.overlay.ring {
		list = append(list, m.balancers[p.id].record)
	}
	return list
}

// HasControlAddress reports whether any known balancer, live or not, has the given control address.
func (m *Machine) HasControlAddress(control netip.AddrPort) bool {
	for _, e := range m.balancers {
		if e.record.Control == control {
			return true
		}
	}
	return false
}
