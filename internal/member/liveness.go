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
	live := m.reach()
	changed := m.applyLiveness(live)
	for _, c := range changed {
		m.act(c)
	}
	m.overlay.isStale = m.overlay.isStale || len(changed) > 0
	for subject := range m.targets {
		m.changed[subject] = struct{}{}
	}
}

// reach returns the balancers that can be reached over observations from this one.
func (m *Machine) reach() map[id]bool {
	hears := make(map[id][]id, len(m.balancers))
	for subject, e := range m.balancers {
		if e.record.State != Ready {
			continue
		}
		for _, o := range e.observers {
			if o.incarnation == e.record.Incarnation && m.sightOf(o, e.record.Zone) == Seen {
				hears[o.observer] = append(hears[o.observer], subject)
			}
		}
	}
	live := map[id]bool{m.selfID: true}
	for frontier := []id{m.selfID}; len(frontier) > 0; {
		next := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		for _, subject := range hears[next] {
			if !live[subject] {
				live[subject] = true
				frontier = append(frontier, subject)
			}
		}
	}
	return live
}

func (m *Machine) applyLiveness(live map[id]bool) []BalancerChanged {
	var changed []BalancerChanged
	for subject, e := range m.balancers {
		if e.isLive == live[subject] {
			if !e.isLive && e.endedAt.IsZero() {
				e.endedAt = m.now
			}
			continue
		}
		e.isLive = live[subject]
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
		m.purgeObservers(subject, &e.observers)
	}
	for key, r := range m.zones {
		if m.isVoid(key.observer, r.version) {
			m.digest.toggle(key.observer, zoneHash(key, r))
			delete(m.zones, key)
		}
	}
}

func (m *Machine) purgeObservers(subject id, observers *[]observation) {
	*observers = slices.DeleteFunc(*observers, func(o observation) bool {
		isVoid := m.isVoid(o.observer, o.version)
		if isVoid {
			m.digest.toggle(subject, observationHash(subject, o))
		}
		return isVoid
	})
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
	if e.endedAt.IsZero() {
		if e.view == 0 {
			e.endedAt = now
		}
		return
	}
	if now.Sub(e.endedAt) < tombstoneLifetime {
		return
	}
	if e.record.State == Gone || e.record.State == 0 {
		m.purgeAll(subject, &e.observers)
		delete(m.targets, subject)
		return
	}
	buried := e.record
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
