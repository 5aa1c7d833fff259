package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

var zeroTime time.Time

// observation is a compact Observation, stored with its subject.
type observation struct {
	observer    id
	incarnation uint64
	version     uint64
	sight       Sight
}

func (m *Machine) received(now time.Time, e Received) {
	from := idOf(e.From)
	m.merge(e.Gossip.Changes, from)
	m.hearPeer(now, from)
	m.evaluate(now)
	m.exchange(from, e.Gossip)
}

// hearPeer records a heartbeat of a connected balancer.
func (m *Machine) hearPeer(now time.Time, peer id) {
	e := m.balancers[peer]
	if e == nil || m.outboxes[peer] == nil {
		return
	}
	m.hear(now, watch{id: peer, zone: e.record.Zone, incarnation: e.record.Incarnation})
}

// merge takes the records of a peer. What is new here is passed on to the other peers.
func (m *Machine) merge(c Changes, from id) {
	for _, b := range c.Balancers {
		if idOf(b.Data) == m.selfID {
			m.refute(b)
			continue
		}
		m.mergeBalancer(b, from)
	}
	for _, t := range c.Targets {
		m.mergeTarget(t, from)
	}
	for _, o := range c.Observations {
		m.mergeObservation(o, from)
	}
	for _, z := range c.Zones {
		m.mergeZone(z, from)
	}
}

// refute answers a record of an older run of this balancer with a higher incarnation.
func (m *Machine) refute(b Balancer) {
	if !b.IsNewerThan(m.self) {
		return
	}
	m.self.Incarnation = b.Incarnation + 1
	m.version = max(m.version, m.self.Incarnation)
	m.mergeBalancer(m.self, 0)
	for _, w := range m.watches {
		if w.stated != 0 {
			m.state(w, w.stated)
		}
	}
}

func (m *Machine) mergeTarget(t Target, from id) {
	subject := idOf(t.Agent)
	if subject == 0 || t.State < Starting || t.State > Gone {
		return
	}
	e := m.targets[subject]
	isKnown := e != nil && e.record.State != 0
	if !isKnown && t.State == Gone {
		return
	}
	if e == nil {
		e = &targetEntry{}
		m.targets[subject] = e
	}
	if isKnown && !e.record.isSupersededBy(t) {
		m.acknowledge(recordID{kind: kindTarget, subject: subject}, from, e.record == pack(t))
		return
	}
	t.Zone = m.name(t.Zone)
	if isKnown {
		m.toggleTarget(subject, e.record)
		m.noteRestart(e, t)
	}
	if e.view != 0 && !e.isRenewed {
		m.replaced[subject] = e.inView(subject)
	}
	e.record = pack(t)
	e.isRenewed = true
	m.toggleTarget(subject, e.record)
	m.dropStale(subject, &e.observers, t.Incarnation, t.State == Gone)
	m.changed[subject] = struct{}{}
	m.spread(recordID{kind: kindTarget, subject: subject}, from)
}

func (m *Machine) mergeBalancer(b Balancer, from id) {
	subject := idOf(b.Data)
	if subject == 0 || (b.State != Ready && b.State != Gone) {
		return
	}
	e := m.balancers[subject]
	isKnown := e != nil
	if !isKnown && b.State == Gone {
		return
	}
	if !isKnown {
		e = m.addBalancer(subject)
	}
	if isKnown && !b.IsNewerThan(e.record) {
		m.acknowledge(recordID{kind: kindBalancer, subject: subject}, from, e.record == b)
		return
	}
	if isKnown {
		m.toggleBalancer(subject, e.record)
		m.hasVoid = true
	}
	b.Zone = m.name(b.Zone)
	e.record = b
	m.toggleBalancer(subject, b)
	m.dropStale(subject, &e.observers, b.Incarnation, b.State == Gone)
	m.isLivenessStale = true
	m.overlay.isStale = true
	m.spread(recordID{kind: kindBalancer, subject: subject}, from)
}

// addBalancer makes the entry of a balancer. Observations that came before its record were taken for a target's.
func (m *Machine) addBalancer(subject id) *balancerEntry {
	e := &balancerEntry{}
	m.balancers[subject] = e
	if early := m.targets[subject]; early != nil && early.record.State == 0 {
		e.observers = early.observers
		delete(m.targets, subject)
	}
	return e
}

func (m *Machine) toggleTarget(subject id, t packedTarget) {
	if t.State != Gone {
		m.digest.toggle(subject, targetHash(subject, t))
	}
}

func (m *Machine) toggleBalancer(subject id, b Balancer) {
	if b.State != Gone {
		m.digest.toggle(subject, balancerHash(b))
	}
}

// dropStale removes observations of earlier incarnations of a subject, and all when it has gone.
func (m *Machine) dropStale(subject id, observers *[]observation, incarnation uint64, isGone bool) {
	*observers = slices.DeleteFunc(*observers, func(o observation) bool {
		isStale := o.incarnation < incarnation || isGone && o.incarnation == incarnation
		if isStale {
			m.digest.toggle(subject, observationHash(subject, o))
		}
		return isStale
	})
}

func (m *Machine) mergeObservation(o Observation, from id) {
	subject := idOf(o.Subject)
	added := observation{idOf(o.Observer), o.Incarnation, o.Version, o.Sight}
	if subject == 0 || added.observer == 0 || o.Sight < Seen || o.Sight > Released {
		return
	}
	if m.isVoid(added.observer, added.version) || m.isStale(subject, o.Incarnation) {
		return
	}
	observers, isBalancer := m.observersOf(subject)
	record := recordID{kind: kindObservation, subject: subject, observer: added.observer}
	i := slices.IndexFunc(*observers, func(k observation) bool { return k.observer == added.observer })
	switch {
	case i < 0:
		*observers = appendObservation(*observers, added)
	case (*observers)[i].version >= added.version:
		m.acknowledge(record, from, (*observers)[i].version == added.version)
		return
	default:
		m.digest.toggle(subject, observationHash(subject, (*observers)[i]))
		(*observers)[i] = added
	}
	m.digest.toggle(subject, observationHash(subject, added))
	if isBalancer {
		// A balancer that is live stays so with one more that sees it, and the other way round.
		isLive := m.balancers[subject].isLive
		m.isLivenessStale = m.isLivenessStale || isLive != (o.Sight == Seen)
	} else {
		m.changed[subject] = struct{}{}
	}
	m.spread(record, from)
	if isBalancer && subject == m.selfID && o.Sight == Released {
		m.release(added.observer)
	}
}

// appendObservation grows the list by no more than it needs, since there is one for each target.
func appendObservation(observers []observation, added observation) []observation {
	if len(observers) == cap(observers) {
		grown := make([]observation, len(observers), max(homeCount, len(observers)+1))
		copy(grown, observers)
		observers = grown
	}
	return append(observers, added)
}

// observersOf returns the observations of a subject. A subject that is not known yet is taken for a target.
func (m *Machine) observersOf(subject id) (observers *[]observation, isBalancer bool) {
	if b := m.balancers[subject]; b != nil {
		return &b.observers, true
	}
	e := m.targets[subject]
	if e == nil {
		e = &targetEntry{}
		m.targets[subject] = e
	}
	return &e.observers, false
}

// isStale reports whether a subject has passed the given incarnation.
func (m *Machine) isStale(subject id, incarnation uint64) bool {
	var known uint64
	var state State
	if b := m.balancers[subject]; b != nil {
		known, state = b.record.Incarnation, b.record.State
	} else if e := m.targets[subject]; e != nil {
		known, state = e.record.Incarnation, e.record.State
	}
	return incarnation < known || incarnation == known && state == Gone
}

// isVoid reports whether a statement has no weight: its observer is not known, has gone or has restarted since, and
// no longer hears the subject.
func (m *Machine) isVoid(observer id, version uint64) bool {
	e := m.balancers[observer]
	return e == nil || e.record.State == Gone || version < e.record.Incarnation
}

func (m *Machine) mergeZone(z ZoneReport, from id) {
	key := zoneKey{idOf(z.Observer), m.name(z.Zone)}
	if key.observer == 0 || (z.Sight != Seen && z.Sight != Lost) {
		return
	}
	if m.isVoid(key.observer, z.Version) {
		return
	}
	record := recordID{kind: kindZone, observer: key.observer, zone: key.zone}
	known, ok := m.zones[key]
	if ok && known.version >= z.Version {
		m.acknowledge(record, from, known.version == z.Version)
		return
	}
	if ok {
		m.digest.toggle(key.observer, zoneHash(key, known))
	}
	m.zones[key] = zoneReport{z.Sight, z.Version}
	m.staleZones[key.zone] = struct{}{}
	m.digest.toggle(key.observer, zoneHash(key, m.zones[key]))
	m.isLivenessStale = true
	m.spread(record, from)
}

func targetHash(subject id, t packedTarget) uint64 {
	return hash(uint64(kindTarget), uint64(subject), t.Incarnation, t.Sequence)
}

func balancerHash(b Balancer) uint64 {
	return hash(uint64(kindBalancer), uint64(idOf(b.Data)), b.Incarnation, uint64(b.State))
}

func observationHash(subject id, o observation) uint64 {
	return hash(uint64(kindObservation), uint64(subject), uint64(o.observer), o.version)
}

func zoneHash(key zoneKey, r zoneReport) uint64 {
	return hash(uint64(kindZone), uint64(key.observer), xxhash.Sum64String(key.zone), r.version)
}
