package member

import (
	"cmp"
	"slices"
	"time"
)

// tombstoneBit is set in the Sequence of a tombstone: the Gone record by which balancers replace the record of a target that
// has been failed for tombstoneLifetime. It makes the tombstone newer than every record that the agent itself announced.
const tombstoneBit = 1 << 62

// refreshLiveness determines the live balancers: those to which a chain of alive observations leads from this balancer. A
// failed balancer stops being live as soon as none of its neighbours reports it as alive.
func (m *Machine) refreshLiveness() {
	if !m.isLivenessStale {
		return
	}
	m.isLivenessStale = false
	m.purgeObsoleteReports()
	m.markReachable()
	changed := m.applyLiveness()
	for _, c := range changed {
		m.emit(c)
	}
	m.overlay.isStale = m.overlay.isStale || len(changed) > 0
	m.markAffected(changed)
}

// markReachable marks the balancers to which a chain of alive observations leads from this one, by depth-first search.
func (m *Machine) markReachable() {
	for _, e := range m.balancers {
		e.isReachable = false
		e.aliveSubjects = e.aliveSubjects[:0]
	}
	for _, e := range m.balancers {
		if e.record.State != Ready {
			continue
		}
		for _, o := range e.observations {
			isAlive := o.incarnation == e.record.Incarnation && m.livenessOf(o, e.record.Zone) == Alive
			if observer := m.balancers[o.observer]; isAlive && observer != nil {
				observer.aliveSubjects = append(observer.aliveSubjects, e)
			}
		}
	}
	self := m.balancers[m.selfID]
	self.isReachable = true
	for frontier := []*balancerEntry{self}; len(frontier) > 0; {
		next := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		for _, e := range next.aliveSubjects {
			if !e.isReachable {
				e.isReachable = true
				frontier = append(frontier, e)
			}
		}
	}
}

// applyLiveness copies the result of markReachable to isLive and returns the balancers that changed, ordered by id.
func (m *Machine) applyLiveness() []BalancerChanged {
	var changed []BalancerChanged
	for _, e := range m.balancers {
		if e.isLive == e.isReachable {
			if !e.isLive && e.endedAt.IsZero() {
				e.endedAt = m.now
			}
			continue
		}
		e.isLive = e.isReachable
		e.endedAt = zeroTime
		if !e.isLive {
			e.endedAt = m.now
		}
		changed = append(changed, BalancerChanged{Balancer: e.record, IsLive: e.isLive})
	}
	slices.SortFunc(changed, func(a, b BalancerChanged) int {
		return cmp.Compare(idOf(a.Balancer.Data), idOf(b.Balancer.Data))
	})
	return changed
}

// markAffected marks the targets whose view a changed balancer or a changed zone report can affect.
func (m *Machine) markAffected(changed []BalancerChanged) {
	if len(changed) == 0 && len(m.changedZones) == 0 {
		return
	}
	balancers := make(map[id]struct{}, len(changed))
	for _, c := range changed {
		balancers[idOf(c.Balancer.Data)] = struct{}{}
	}
	for subject, e := range m.targets {
		if m.isAffected(e, balancers) {
			m.changedTargets[subject] = struct{}{}
		}
	}
	clear(m.changedZones)
}

// isAffected reports whether a target is in a zone with a changed report or observed by one of the given balancers.
func (m *Machine) isAffected(e *targetEntry, balancers map[id]struct{}) bool {
	if _, ok := m.changedZones[e.record.zone]; ok {
		return true
	}
	if len(balancers) == 0 {
		return false
	}
	for _, o := range e.observations {
		if _, ok := balancers[o.observer]; ok {
			return true
		}
	}
	return false
}

// purgeObsoleteReports removes the observations and zone reports of balancers that have gone or restarted since.
func (m *Machine) purgeObsoleteReports() {
	if !m.hasObsoleteReports {
		return
	}
	m.hasObsoleteReports = false
	for subject, e := range m.balancers {
		m.purgeObsoleteObservations(subject, &e.observations)
	}
	for subject, e := range m.targets {
		if m.purgeObsoleteObservations(subject, &e.observations) {
			m.changedTargets[subject] = struct{}{}
		}
	}
	for key, r := range m.zoneReports {
		if m.isObsolete(key.observer, r.version) {
			m.digest.toggle(key.observer, zoneHash(key, r))
			delete(m.zoneReports, key)
			m.changedZones[key.zone] = struct{}{}
		}
	}
}

// purgeObsoleteObservations removes the obsolete observations of a subject and reports whether there were any.
func (m *Machine) purgeObsoleteObservations(subject id, observations *[]observation) bool {
	before := len(*observations)
	*observations = slices.DeleteFunc(*observations, func(o observation) bool {
		isObsolete := m.isObsolete(o.observer, o.version)
		if isObsolete {
			m.digest.toggle(subject, observationHash(subject, o))
		}
		return isObsolete
	})
	return len(*observations) < before
}

// sweepTombstones replaces the records of targets and balancers that failed tombstoneLifetime ago by tombstones. It deletes the
// records that have been Gone for that long.
func (m *Machine) sweepTombstones(now time.Time) {
	m.lastSweep = now
	for subject, e := range m.targets {
		m.sweepTarget(now, subject, e)
	}
	for subject, e := range m.balancers {
		m.sweepBalancer(now, subject, e)
	}
}

func (m *Machine) sweepTarget(now time.Time, subject id, e *targetEntry) {
	if e.endedAt == 0 {
		if e.view == 0 {
			e.endedAt = instantOf(now)
		}
		return
	}
	if e.endedAt.elapsed(now) < tombstoneLifetime {
		return
	}
	if e.record.state == Gone || e.record.state == 0 {
		m.removeObservations(subject, &e.observations)
		delete(m.targets, subject)
		delete(m.previousViews, subject)
		return
	}
	tombstone := e.record.unpack(subject)
	tombstone.State = Gone
	tombstone.Sequence |= tombstoneBit
	m.mergeTarget(tombstone, 0)
}

func (m *Machine) sweepBalancer(now time.Time, subject id, e *balancerEntry) {
	if e.isLive || e.endedAt.IsZero() || now.Sub(e.endedAt) < tombstoneLifetime {
		return
	}
	if e.record.State == Gone {
		m.removeObservations(subject, &e.observations)
		delete(m.balancers, subject)
		m.hasObsoleteReports, m.isLivenessStale = true, true
		return
	}
	tombstone := e.record
	tombstone.State = Gone
	m.mergeBalancer(tombstone, 0)
	e.endedAt = now
}

// removeObservations removes all observations of a subject.
func (m *Machine) removeObservations(subject id, observations *[]observation) {
	for _, o := range *observations {
		m.digest.toggle(subject, observationHash(subject, o))
	}
	*observations = nil
}
