package member

import (
	"slices"
	"time"
)

// watch is the state of a subject that this balancer observes itself: an agent that announces to it or a connected balancer.
type watch struct {
	id            id
	zone          string
	incarnation   uint64
	lastHeartbeat time.Time
	// reported is the last report of this balancer about the subject, or zero before the first one.
	reported Liveness
	isTarget bool
	// resumedAt is when heartbeats resumed after the whole zone was reported as lost, or zero.
	resumedAt time.Time
	// assignmentHash is the hash of the observers and backups that the last reply to the agent held.
	assignmentHash uint64
	// generation is the generation of the ring from which assignmentHash was computed.
	generation uint64
}

// isSilent reports whether no heartbeat has arrived within heartbeatTimeout.
func (w *watch) isSilent(now time.Time) bool {
	return now.Sub(w.lastHeartbeat) >= heartbeatTimeout
}

// handleAnnouncement merges the announced record and records the heartbeat. An agent whose incarnation is lower than one
// already known for its address only gets a reply, so that it raises its own.
func (m *Machine) handleAnnouncement(now time.Time, e AgentAnnounced) {
	t := e.Target
	subject := idOf(t.Agent)
	if subject == 0 || m.balancers[subject] != nil {
		return
	}
	if m.newestIncarnation(subject) > t.Incarnation {
		m.replyToAgent(t, true)
		return
	}
	m.mergeTarget(t, 0)
	switch {
	case e.IsLeaving:
		m.release(subject)
	case t.State == Gone:
		delete(m.watches, subject)
	default:
		m.recordHeartbeat(now, watch{id: subject, zone: t.Zone, incarnation: t.Incarnation, isTarget: true})
		m.replyToAgent(t, e.IsFirst)
	}
}

// recordHeartbeat records a heartbeat of a subject. A subject that is new, has restarted or was lost is reported as alive,
// unless its whole zone was lost: then reportRecoveries reports it.
func (m *Machine) recordHeartbeat(now time.Time, subject watch) {
	w := m.watches[subject.id]
	if w == nil || w.incarnation < subject.incarnation {
		subject.zone = m.internZone(subject.zone)
		w = &subject
		m.watches[w.id] = w
	}
	w.lastHeartbeat = now
	if w.reported == Alive {
		return
	}
	if w.reported == Lost && m.ownZoneLiveness(w.zone) == Lost {
		if w.resumedAt.IsZero() {
			w.resumedAt = now
		}
		return
	}
	m.reportSubject(w, Alive)
}

// reportSubject disseminates an observation of one subject.
func (m *Machine) reportSubject(w *watch, liveness Liveness) {
	m.version++
	w.reported = liveness
	w.resumedAt = time.Time{}
	m.mergeObservation(Observation{
		Observer: m.self.Data, Subject: w.id.address(), Incarnation: w.incarnation, Liveness: liveness, Version: m.version,
	}, 0)
}

// release stops watching a subject and reports that to the other balancers.
func (m *Machine) release(subject id) {
	w := m.watches[subject]
	if w == nil {
		return
	}
	m.reportSubject(w, Released)
	delete(m.watches, subject)
}

// checkWatches reports the watched subjects that have become silent or are heard again, zone by zone.
func (m *Machine) checkWatches(now time.Time) {
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
		m.reportLosses(now, zone, watches)
		m.reportRecoveries(now, zone, watches)
		m.dropWatches(now, watches)
	}
}

// reportLosses reports the subjects of a zone that have become silent: in one zone report when all of them have. A subject
// is reported on its own when it is the only one in its zone, or when another one sent a heartbeat more than maxSilenceSkew
// after its last one. It is also reported on its own when the others haven't become silent within zoneAggregationDelay.
func (m *Machine) reportLosses(now time.Time, zone string, watches []*watch) {
	var silent []*watch
	var newest time.Time
	heardCount := 0
	for _, w := range watches {
		if w.reported != Alive {
			continue
		}
		newest = later(newest, w.lastHeartbeat)
		if w.isSilent(now) {
			silent = append(silent, w)
		} else {
			heardCount++
		}
	}
	if len(silent) > 1 && heardCount == 0 {
		m.reportZone(zone, Lost, silent)
		return
	}
	for _, w := range silent {
		isAlone := newest.Sub(w.lastHeartbeat) > maxSilenceSkew || len(watches) == 1
		if isAlone || now.Sub(w.lastHeartbeat) >= heartbeatTimeout+zoneAggregationDelay {
			m.reportSubject(w, Lost)
		}
	}
}

// reportRecoveries reports the subjects of a lost zone that are heard again: in one zone report when all of them are, or one
// by one when some are still silent after zoneAggregationDelay.
func (m *Machine) reportRecoveries(now time.Time, zone string, watches []*watch) {
	var recovered []*watch
	silentCount := 0
	firstResumed := now
	for _, w := range watches {
		switch {
		case w.reported != Lost:
		case w.resumedAt.IsZero() || w.isSilent(now):
			silentCount++
		default:
			recovered = append(recovered, w)
			firstResumed = earlier(firstResumed, w.resumedAt)
		}
	}
	switch {
	case len(recovered) > 1 && silentCount == 0:
		m.reportZone(zone, Alive, recovered)
	case now.Sub(firstResumed) >= zoneAggregationDelay:
		for _, w := range recovered {
			m.reportSubject(w, Alive)
		}
	}
}

// dropWatches stops watching silent subjects that are known to have restarted or gone. It also releases those that this
// balancer lost releaseTimeout ago and that are alive according to other observers.
func (m *Machine) dropWatches(now time.Time, watches []*watch) {
	for _, w := range watches {
		if !w.isSilent(now) {
			continue
		}
		incarnation, isEnded, isLive := m.subjectStatus(w)
		isRestarted := incarnation > w.incarnation
		switch {
		case isRestarted || isEnded:
			delete(m.watches, w.id)
		case w.reported == Lost && isLive && now.Sub(w.lastHeartbeat) >= releaseTimeout:
			m.release(w.id)
		}
	}
}

// subjectStatus returns the newest incarnation known of a subject, whether it has gone, and whether it is live in the view.
func (m *Machine) subjectStatus(w *watch) (incarnation uint64, isEnded, isLive bool) {
	if w.isTarget {
		e := m.targets[w.id]
		if e == nil {
			return 0, true, false
		}
		return e.record.incarnation, e.record.state == Gone, e.view != Failed
	}
	e := m.balancers[w.id]
	if e == nil {
		return 0, true, false
	}
	return e.record.Incarnation, e.record.State == Gone, e.isLive
}
