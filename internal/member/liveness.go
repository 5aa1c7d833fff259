package member

import (
	"cmp"
	"slices"
	"time"
)

// buriedBit is set in the sequence of a record that balancers end in place of its target.
const buriedBit = 1 << 62

// refreshLiveness finds the live balancers: those that a chain of balancers, each of which hears the next, joins to
// this one. A balancer that has failed is left out as soon as none of its neighbours hears it any more.
func (m *Machine) refreshLiveness() {
	if !m.isLivenessStale {
		return
	}
	m.isLivenessStale = false
	m.purgeVoid()
	m.reach()
	changed := m.applyLiveness()
	for _, c := range changed {
		m.act(c)
	}
	m.overlay.isStale = m.overlay.isStale || len(changed) > 0
	m.markAffected(changed)
}

// reach marks the balancers that can be reached over observations from this one.
func (m *Machine) reach() {
	for _, e := range m.balancers {
		e.isReached = false
		e.hears = e.hears[:0]
	}
	for _, e := range m.balancers {
		if e.record.State != Ready {
			continue
		}
		for _, o := range e.observers {
			isSeen := o.incarnation == e.record.Incarnation && m.sightOf(o, e.record.Zone) == Seen
			if observer := m.balancers[o.observer]; isSeen && observer != nil {
				observer.hears = append(observer.hears, e)
			}
		}
	}
	self := m.balancers[m.selfID]
	self.isReached = true
	for frontier := []*balancerEntry{self}; len(frontier) > 0; {
		next := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		for _, e := range next.hears {
			if !e.isReached {
				e.isReached = true
				frontier = append(frontier, e)
			}
		}
	}
}

func (m *Machine) applyLiveness() []BalancerChanged {
	var changed []BalancerChanged
	for _, e := range m.balancers {
		if e.isLive == e.isReached {
			if !e.isLive && e.endedAt.IsZero() {
				e.endedAt = m.now
			}
			continue
		}
		e.isLive = e.isReached
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

// markAffected asks for the view of the targets that a changed balancer observes or that a zone report speaks of.
func (m *Machine) markAffected(changed []BalancerChanged) {
	if len(changed) == 0 && len(m.staleZones) == 0 {
		return
	}
	balancers := make(map[id]struct{}, len(changed))
	for _, c := range changed {
		balancers[idOf(c.Balancer.Data)] = struct{}{}
	}
	for subject, e := range m.targets {
		if m.isAffected(e, balancers) {
			m.changed[subject] = struct{}{}
		}
	}
	clear(m.staleZones)
}

func (m *Machine) isAffected(e *targetEntry, balancers map[id]struct{}) bool {
	if _, ok := m.staleZones[e.record.Zone]; ok {
		return true
	}
	if len(balancers) == 0 {
		return false
	}
	for _, o := range e.observers {
		if _, ok := balancers[o.observer]; ok {
			return true
		}
	}
	return false
}

// purgeVoid removes what balancers have said that have since gone or restarted.
func (m *Machine) purgeVoid() {
	if !m.hasVoid {
		return
	}
	m.hasVoid = false
	for subject, e := range m.balancers {
		m.purgeObservers(subject, &e.observers)
	}
	for subject, e := range m.targets {
		if m.purgeObservers(subject, &e.observers) {
			m.changed[subject] = struct{}{}
		}
	}
	for key, r := range m.zones {
		if m.isVoid(key.observer, r.version) {
			m.digest.toggle(key.observer, zoneHash(key, r))
			delete(m.zones, key)
			m.staleZones[key.zone] = struct{}{}
		}
	}
}

// purgeObservers removes the void observations of a subject and reports whether there were any.
func (m *Machine) purgeObservers(subject id, observers *[]observation) bool {
	before := len(*observers)
	*observers = slices.DeleteFunc(*observers, func(o observation) bool {
		isVoid := m.isVoid(o.observer, o.version)
		if isVoid {
			m.digest.toggle(subject, observationHash(subject, o))
		}
		return isVoid
	})
	return len(*observers) < before
}

// sweep buries what has failed for long and forgets what has gone for long.
func (m *Machine) sweep(now time.Time) {
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
	if e.record.State == Gone || e.record.State == 0 {
		m.purgeAll(subject, &e.observers)
		delete(m.targets, subject)
		delete(m.replaced, subject)
		return
	}
	buried := e.record.unpack(subject)
	buried.State = Gone
	buried.Sequence |= buriedBit
	m.mergeTarget(buried, 0)
}

func (m *Machine) sweepBalancer(now time.Time, subject id, e *balancerEntry) {
	if e.isLive || e.endedAt.IsZero() || now.Sub(e.endedAt) < tombstoneLifetime {
		return
	}
	if e.record.State == Gone {
		m.purgeAll(subject, &e.observers)
		delete(m.balancers, subject)
		m.hasVoid, m.isLivenessStale = true, true
		return
	}
	buried := e.record
	buried.State = Gone
	m.mergeBalancer(buried, 0)
	e.endedAt = now
}

func (m *Machine) purgeAll(subject id, observers *[]observation) {
	for _, o := range *observers {
		m.digest.toggle(subject, observationHash(subject, o))
	}
	*observers = nil
}
