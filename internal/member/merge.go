package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

var zeroTime time.Time

// observation is an Observation in compact form. It is stored in the entry of its subject.
type observation struct {
	observer    id
	incarnation uint64
	version     uint64
	liveness    Liveness
}

// handleGossip merges the records of a message, records the heartbeat and continues the anti-entropy exchange, if any.
func (m *Machine) handleGossip(now time.Time, e GossipReceived) {
	from := idOf(e.From)
	m.merge(e.Gossip.Changes, from)
	m.recordPeerHeartbeat(now, from)
	m.updateViews(now)
	m.handleAntiEntropy(from, e.Gossip)
}

// recordPeerHeartbeat records a heartbeat of a balancer. Messages of balancers that aren't connected don't count.
func (m *Machine) recordPeerHeartbeat(now time.Time, peer id) {
	e := m.balancers[peer]
	if e == nil || m.outboxes[peer] == nil {
		return
	}
	m.recordHeartbeat(now, watch{id: peer, zone: e.record.Zone, incarnation: e.record.Incarnation})
}

// merge merges the records that a peer has sent. Records that are new here are disseminated to the other peers.
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
	for _, z := range c.ZoneReports {
		m.mergeZone(z, from)
	}
}

// refute handles a record of this balancer that is newer than its own, such as one from before a restart with a clock that
// was ahead, or one that declares it gone. It raises the incarnation above that of the record and reports all observations
// again, since those of the lower incarnation are obsolete.
func (m *Machine) refute(b Balancer) {
	if !b.IsNewerThan(m.self) {
		return
	}
	m.self.Incarnation = b.Incarnation + 1
	m.version = max(m.version, m.self.Incarnation)
	m.mergeBalancer(m.self, 0)
	for _, w := range m.watches {
		if w.reported != 0 {
			m.reportSubject(w, w.reported)
		}
	}
}

// mergeTarget stores a target's record when it is newer than the known one. The parameter from is the peer that sent it, or
// zero for a record that this balancer received from the agent or made itself. The same holds for the other merge methods.
func (m *Machine) mergeTarget(t Target, from id) {
	subject := idOf(t.Agent)
	if subject == 0 || t.State < Starting || t.State > Gone {
		return
	}
	e := m.targets[subject]
	isKnown := e != nil && e.record.state != 0
	if !isKnown && t.State == Gone {
		return
	}
	if e == nil {
		e = &targetEntry{}
		m.targets[subject] = e
	}
	if isKnown && !e.record.isSupersededBy(t) {
		m.handleKnownRecord(recordID{kind: kindTarget, subject: subject}, from, e.record == pack(t))
		return
	}
	t.Zone = m.internZone(t.Zone)
	if isKnown {
		m.toggleTarget(subject, e.record)
		m.countRestart(e, t)
	}
	if e.view != 0 && !e.hasNewRecord {
		m.previousViews[subject] = e.inView(subject)
	}
	e.record = pack(t)
	e.hasNewRecord = true
	m.toggleTarget(subject, e.record)
	m.removeStaleObservations(subject, &e.observations, t.Incarnation, t.State == Gone)
	m.changedTargets[subject] = struct{}{}
	m.disseminate(recordID{kind: kindTarget, subject: subject}, from)
}

// mergeBalancer stores a balancer's record when it is newer than the known one.
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
		m.handleKnownRecord(recordID{kind: kindBalancer, subject: subject}, from, e.record == b)
		return
	}
	if isKnown {
		m.toggleBalancer(subject, e.record)
		m.hasObsoleteReports = true
	}
	b.Zone = m.internZone(b.Zone)
	e.record = b
	m.toggleBalancer(subject, b)
	m.removeStaleObservations(subject, &e.observations, b.Incarnation, b.State == Gone)
	m.isLivenessStale = true
	m.overlay.isStale = true
	m.disseminate(recordID{kind: kindBalancer, subject: subject}, from)
}

// addBalancer creates the entry of a balancer. Observations that arrived before its record were stored as those of a target
// and are moved to the new entry.
func (m *Machine) addBalancer(subject id) *balancerEntry {
	e := &balancerEntry{}
	m.balancers[subject] = e
	if placeholder := m.targets[subject]; placeholder != nil && placeholder.record.state == 0 {
		e.observations = placeholder.observations
		delete(m.targets, subject)
	}
	return e
}

// toggleTarget adds a target's record to the digest or removes it, unless the record is Gone.
func (m *Machine) toggleTarget(subject id, t packedTarget) {
	if t.state != Gone {
		m.digest.toggle(subject, targetHash(subject, t))
	}
}

// toggleBalancer adds a balancer's record to the digest or removes it, unless the record is Gone.
func (m *Machine) toggleBalancer(subject id, b Balancer) {
	if b.State != Gone {
		m.digest.toggle(subject, balancerHash(b))
	}
}

// removeStaleObservations removes the observations of earlier incarnations of a subject, and also those of the given
// incarnation when the subject has gone.
func (m *Machine) removeStaleObservations(subject id, observations *[]observation, incarnation uint64, isGone bool) {
	*observations = slices.DeleteFunc(*observations, func(o observation) bool {
		isStale := o.incarnation < incarnation || isGone && o.incarnation == incarnation
		if isStale {
			m.digest.toggle(subject, observationHash(subject, o))
		}
		return isStale
	})
}

// mergeObservation stores an observation when it is newer than the one known from the same observer.
func (m *Machine) mergeObservation(o Observation, from id) {
	subject := idOf(o.Subject)
	added := observation{idOf(o.Observer), o.Incarnation, o.Version, o.Liveness}
	if subject == 0 || added.observer == 0 || o.Liveness < Alive || o.Liveness > Released {
		return
	}
	if m.isObsolete(added.observer, added.version) || m.isStaleIncarnation(subject, o.Incarnation) {
		return
	}
	observations, isBalancer := m.observationsOf(subject)
	record := recordID{kind: kindObservation, subject: subject, observer: added.observer}
	i := slices.IndexFunc(*observations, func(k observation) bool { return k.observer == added.observer })
	switch {
	case i < 0:
		*observations = appendObservation(*observations, added)
	case (*observations)[i].version >= added.version:
		m.handleKnownRecord(record, from, (*observations)[i].version == added.version)
		return
	default:
		m.digest.toggle(subject, observationHash(subject, (*observations)[i]))
		(*observations)[i] = added
	}
	m.digest.toggle(subject, observationHash(subject, added))
	if isBalancer {
		// One more alive observation doesn't change a live balancer, one more lost observation doesn't change a failed one.
		isLive := m.balancers[subject].isLive
		m.isLivenessStale = m.isLivenessStale || isLive != (o.Liveness == Alive)
	} else {
		m.changedTargets[subject] = struct{}{}
	}
	m.disseminate(record, from)
	if isBalancer && subject == m.selfID && o.Liveness == Released {
		// The observer is no longer a neighbour. This balancer stops watching it too, because its silence isn't a loss.
		m.release(added.observer)
	}
}

// appendObservation appends an observation. It allocates room for only a few, since there is such a list for each target.
func appendObservation(observations []observation, added observation) []observation {
	if len(observations) == cap(observations) {
		grown := make([]observation, len(observations), max(observersPerAgent, len(observations)+1))
		copy(grown, observations)
		observations = grown
	}
	return append(observations, added)
}

// observationsOf returns the list of a subject's observations for modification. It creates an entry for an unknown subject
// and treats it as a target.
func (m *Machine) observationsOf(subject id) (observations *[]observation, isBalancer bool) {
	if b := m.balancers[subject]; b != nil {
		return &b.observations, true
	}
	e := m.targets[subject]
	if e == nil {
		e = &targetEntry{}
		m.targets[subject] = e
	}
	return &e.observations, false
}

// isStaleIncarnation reports whether an incarnation of a subject is over: a newer one is known or it has gone.
func (m *Machine) isStaleIncarnation(subject id, incarnation uint64) bool {
	var known uint64
	var state State
	if b := m.balancers[subject]; b != nil {
		known, state = b.record.Incarnation, b.record.State
	} else if e := m.targets[subject]; e != nil {
		known, state = e.record.incarnation, e.record.state
	}
	return incarnation < known || incarnation == known && state == Gone
}

// isObsolete reports whether a report of the given version must be ignored: its observer isn't known, has gone or has
// restarted since. After a restart the observer may no longer observe the subject. An observer's versions start at its
// incarnation, so that a version below it is from before the restart.
func (m *Machine) isObsolete(observer id, version uint64) bool {
	e := m.balancers[observer]
	return e == nil || e.record.State == Gone || version < e.record.Incarnation
}

// mergeZone stores a zone report when it is newer than the one known from the same observer.
func (m *Machine) mergeZone(z ZoneReport, from id) {
	key := zoneKey{idOf(z.Observer), m.internZone(z.Zone)}
	if key.observer == 0 || (z.Liveness != Alive && z.Liveness != Lost) {
		return
	}
	if m.isObsolete(key.observer, z.Version) {
		return
	}
	record := recordID{kind: kindZone, observer: key.observer, zone: key.zone}
	known, ok := m.zoneReports[key]
	if ok && known.version >= z.Version {
		m.handleKnownRecord(record, from, known.version == z.Version)
		return
	}
	if ok {
		m.digest.toggle(key.observer, zoneHash(key, known))
	}
	m.zoneReports[key] = zoneReport{z.Liveness, z.Version}
	m.changedZones[key.zone] = struct{}{}
	m.digest.toggle(key.observer, zoneHash(key, m.zoneReports[key]))
	m.isLivenessStale = true
	m.disseminate(record, from)
}

func targetHash(subject id, t packedTarget) uint64 {
	return hash(uint64(kindTarget), uint64(subject), t.incarnation, t.sequence)
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
