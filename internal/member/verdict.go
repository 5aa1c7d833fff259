package member

import (
	"cmp"
	"slices"
	"time"
)

// verdict is the combined result of the observations of a target.
type verdict uint8

const (
	// unobserved means that no live balancer reports on the target.
	unobserved verdict = iota
	reachable
	unreachable
)

// combineObservations derives the verdict on a target from the observations of live balancers. The strategy decides when
// they disagree.
func (m *Machine) combineObservations(e *targetEntry) verdict {
	alive, lost := 0, 0
	for _, o := range e.observations {
		observer := m.balancers[o.observer]
		if o.incarnation != e.record.incarnation || observer == nil || !observer.isLive {
			continue
		}
		switch m.livenessOf(o, e.record.zone) {
		case Alive:
			alive++
		case Lost:
			lost++
		case Released:
		}
	}
	isSuspected := m.detection == Aggressive && lost > 0
	switch {
	case alive > 0 && !isSuspected:
		return reachable
	case lost > 0:
		return unreachable
	default:
		return unobserved
	}
}

// updateViews updates the view of the changed targets and emits a TargetChanged for each difference.
func (m *Machine) updateViews(now time.Time) {
	if len(m.changedTargets) == 0 {
		return
	}
	start := len(m.actions)
	for subject := range m.changedTargets {
		if e := m.targets[subject]; e != nil {
			m.updateView(now, subject, e)
			m.updateRecipient(subject, e)
		}
	}
	clear(m.changedTargets)
	slices.SortStableFunc(m.actions[start:], compareChanges)
}

// compareChanges orders the changes of targets by target, so that equal events always give equal actions.
func compareChanges(a, b Action) int {
	first, isFirst := a.(TargetChanged)
	second, isSecond := b.(TargetChanged)
	if !isFirst || !isSecond {
		return 0
	}
	return cmp.Compare(idOf(first.Target.Agent), idOf(second.Target.Agent))
}

// updateView updates the view of one target. A target without a record has none.
func (m *Machine) updateView(now time.Time, subject id, e *targetEntry) {
	delete(m.timeDependent, subject)
	switch e.record.state {
	case 0:
	case Gone:
		m.setView(now, subject, e, Gone, ReasonAnnounced)
	default:
		m.updateLiveView(now, subject, e)
	}
}

// updateLiveView updates the view of a target that hasn't gone.
func (m *Machine) updateLiveView(now time.Time, subject id, e *targetEntry) {
	result := m.combineObservations(e)
	if result != unobserved {
		e.unobservedSince = 0
	}
	switch result {
	case reachable:
		m.showReachable(now, subject, e)
	case unreachable:
		m.setView(now, subject, e, Failed, ReasonLost)
	case unobserved:
		m.showUnobserved(now, subject, e)
	}
}

// showUnobserved keeps a target that no live balancer observes in the view for unobservedTimeout. In that time its agent
// announces itself to other observers.
func (m *Machine) showUnobserved(now time.Time, subject id, e *targetEntry) {
	if e.view == 0 || e.view == Failed || e.view == Gone {
		return
	}
	if e.unobservedSince == 0 {
		e.unobservedSince = instantOf(now)
	}
	if e.unobservedSince.elapsed(now) >= unobservedTimeout {
		m.setView(now, subject, e, Failed, ReasonUnobserved)
		return
	}
	m.showReachable(now, subject, e)
	m.timeDependent[subject] = struct{}{}
}

// showReachable sets the view to the state that the agent announced, or to Damped while the target is damped.
func (m *Machine) showReachable(now time.Time, subject id, e *targetEntry) {
	if e.view == Failed && e.damping != nil {
		e.damping.startWait(now)
	}
	if e.record.state == Ready && e.damping.isActive(now) {
		m.timeDependent[subject] = struct{}{}
		m.setView(now, subject, e, Damped, ReasonDamped)
		return
	}
	reason := ReasonAnnounced
	switch e.view {
	case Failed:
		reason = ReasonRecovered
	case Damped:
		reason = ReasonDampingEnded
	default:
	}
	m.setView(now, subject, e, e.record.state, reason)
}

// setView sets the state of a target in the view. It emits a TargetChanged when the state or the record differs from the
// previous one.
func (m *Machine) setView(now time.Time, subject id, e *targetEntry, state State, reason Reason) {
	if e.view == state && !e.hasNewRecord {
		return
	}
	if state == Failed && e.view != 0 && e.view != Failed {
		e.recordFailure(now)
	}
	previous, isReplaced := m.previousViews[subject]
	if !isReplaced && e.view != 0 {
		previous = e.inView(subject)
	}
	delete(m.previousViews, subject)
	e.endedAt = 0
	if state == Failed || state == Gone {
		e.endedAt = instantOf(now)
	}
	e.view = state
	e.hasNewRecord = false
	m.emit(TargetChanged{Target: e.inView(subject), Previous: previous, Reason: reason})
}

// markTimeDependent marks the targets whose view can change because time has passed.
func (m *Machine) markTimeDependent() {
	m.refreshLiveness()
	for subject := range m.timeDependent {
		m.changedTargets[subject] = struct{}{}
	}
}
