package member

import (
	"slices"
	"time"
)

// watch is a subject that this balancer hears directly: an agent for which it is a home, or a connected balancer.
type watch struct {
	id          id
	zone        string
	incarnation uint64
	heard       time.Time
	// stated is what this balancer has last said of the subject, or zero.
	stated   Sight
	isTarget bool
	// returnedAt is when the subject was heard again after its zone was lost, or zero.
	returnedAt time.Time
	// homes is the hash of the homes last told to the agent.
	homes uint64
	// generation is that of the ring for which homes was computed.
	generation uint64
}

func (w *watch) isSilent(now time.Time) bool {
	return now.Sub(w.heard) >= heartbeatTimeout
}

func (m *Machine) announced(now time.Time, e Announced) {
	t := e.Target
	subject := idOf(t.Agent)
	if subject == 0 || m.balancers[subject] != nil {
		return
	}
	if m.newestIncarnation(subject) > t.Incarnation {
		m.reply(t, true)
		return
	}
	m.mergeTarget(t, 0)
	switch {
	case e.IsLeaving:
		m.release(subject)
	case t.State == Gone:
		delete(m.watches, subject)
	default:
		m.hear(now, watch{id: subject, zone: t.Zone, incarnation: t.Incarnation, isTarget: true})
		m.reply(t, e.IsFirst)
	}
}

// hear records a heartbeat of a subject. A subject that is new, restarted or lost is stated as seen.
func (m *Machine) hear(now time.Time, heard watch) {
	w := m.watches[heard.id]
	if w == nil || w.incarnation < heard.incarnation {
		heard.zone = m.name(heard.zone)
		w = &heard
		m.watches[w.id] = w
	}
	w.heard = now
	if w.stated == Seen {
		return
	}
	if w.stated == Lost && m.ownZoneReport(w.zone) == Lost {
		if w.returnedAt.IsZero() {
			w.returnedAt = now
		}
		return
	}
	m.state(w, Seen)
}

// state makes and passes on an observation.
func (m *Machine) state(w *watch, sight Sight) {
	m.version++
	w.stated = sight
	w.returnedAt = time.Time{}
	m.mergeObservation(Observation{
		Observer: m.self.Data, Subject: w.id.address(), Incarnation: w.incarnation, Sight: sight, Version: m.version,
	}, 0)
}

func (m *Machine) release(subject id) {
	w := m.watches[subject]
	if w == nil {
		return
	}
	m.state(w, Released)
	delete(m.watches, subject)
}

// observeSilence states what is lost and what has returned, zone by zone.
func (m *Machine) observeSilence(now time.Time) {
	byZone := make(map[string][]*watch)
	for _, w := range m.watches {
		byZone[w.zone] = append(byZone[w.zone], w)
	}
	zones := make([]string, 0, len(byZone))
	for zone := range byZone {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	for _, zone := range zones {
		watches := byZone[zone]
		slices.SortFunc(watches, func(a, b *watch) int { return int(int64(a.id) - int64(b.id)) })
		m.observeLosses(now, zone, watches)
		m.observeReturns(now, zone, watches)
		m.forget(now, watches)
	}
}

// observeLosses states the subjects of a zone that have become silent: in one report when all of them have. A subject is
// stated alone when others of its zone were heard after it, or when the rest has not become silent in time.
func (m *Machine) observeLosses(now time.Time, zone string, watches []*watch) {
	var silent []*watch
	var newest time.Time
	heard := 0
	for _, w := range watches {
		if w.stated != Seen {
			continue
		}
		newest = later(newest, w.heard)
		if w.isSilent(now) {
			silent = append(silent, w)
		} else {
			heard++
		}
	}
	if len(silent) > 1 && heard == 0 {
		m.reportZone(zone, Lost, silent)
		return
	}
	for _, w := range silent {
		isAlone := newest.Sub(w.heard) > sameMoment || len(watches) == 1
		if isAlone || now.Sub(w.heard) >= heartbeatTimeout+aggregateDelay {
			m.state(w, Lost)
		}
	}
}

// observeReturns states the subjects of a lost zone that are heard again: in one report when all of them are.
func (m *Machine) observeReturns(now time.Time, zone string, watches []*watch) {
	var returned []*watch
	missing := 0
	oldest := now
	for _, w := range watches {
		switch {
		case w.stated != Lost:
		case w.returnedAt.IsZero() || w.isSilent(now):
			missing++
		default:
			returned = append(returned, w)
			oldest = earlier(oldest, w.returnedAt)
		}
	}
	switch {
	case len(returned) > 1 && missing == 0:
		m.reportZone(zone, Seen, returned)
	case now.Sub(oldest) >= aggregateDelay:
		for _, w := range returned {
			m.state(w, Seen)
		}
	}
}

// forget drops the watches of subjects that have restarted elsewhere, have gone, or are in the care of others.
func (m *Machine) forget(now time.Time, watches []*watch) {
	for _, w := range watches {
		if !w.isSilent(now) {
			continue
		}
		incarnation, isEnded, isLive := m.standing(w)
		isRestarted := incarnation > w.incarnation
		switch {
		case isRestarted || isEnded:
			delete(m.watches, w.id)
		case w.stated == Lost && isLive && now.Sub(w.heard) >= releaseTimeout:
			m.release(w.id)
		}
	}
}

// standing returns the newest incarnation known of a subject, whether it has gone, and whether the view has it live.
func (m *Machine) standing(w *watch) (incarnation uint64, isEnded, isLive bool) {
	if w.isTarget {
		e := m.targets[w.id]
		if e == nil {
			return 0, true, false
		}
		return e.record.Incarnation, e.record.State == Gone, e.view != Failed
	}
	e := m.balancers[w.id]
	if e == nil {
		return 0, true, false
	}
	return e.record.Incarnation, e.record.State == Gone, e.isLive
}
