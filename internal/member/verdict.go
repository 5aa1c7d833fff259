package member

import (
	"cmp"
	"slices"
	"time"
)

// verdict is what the observations of a subject amount to.
type verdict uint8

const (
	// orphaned means that no live balancer speaks about the subject.
	orphaned verdict = iota
	reachable
	unreachable
)

// judge weighs the observations of a target by live balancers.
func (m *Machine) judge(e *targetEntry) verdict {
	seen, lost := 0, 0
	for _, o := range e.observers {
		observer := m.balancers[o.observer]
		if o.incarnation != e.record.Incarnation || observer == nil || !observer.isLive {
			continue
		}
		switch m.sightOf(o, e.record.Zone) {
		case Seen:
			seen++
		case Lost:
			lost++
		case Released:
		}
	}
	isDenied := m.detection == Aggressive && lost > 0
	switch {
	case seen > 0 && !isDenied:
		return reachable
	case lost > 0:
		return unreachable
	default:
		return orphaned
	}
}

// evaluate brings the view of the changed targets up to date.
func (m *Machine) evaluate(now time.Time) {
	if len(m.changed) == 0 {
		return
	}
	start := len(m.actions)
	for subject := range m.changed {
		if e := m.targets[subject]; e != nil {
			m.evaluateTarget(now, subject, e)
			m.noteReturn(subject, e)
		}
	}
	clear(m.changed)
	slices.SortStableFunc(m.actions[start:], compareChanges)
}

// compareChanges orders changes by the target, so that the same events give the same actions.
func compareChanges(a, b Action) int {
	first, isFirst := a.(TargetChanged)
	second, isSecond := b.(TargetChanged)
	if !isFirst || !isSecond {
		return 0
	}
	return cmp.Compare(idOf(first.Target.Agent), idOf(second.Target.Agent))
}

func (m *Machine) evaluateTarget(now time.Time, subject id, e *targetEntry) {
	delete(m.timed, subject)
	switch e.record.State {
	case 0:
	case Gone:
		m.setView(now, subject, e, Gone, ReasonAnnounced)
	default:
		m.evaluateLive(now, subject, e)
	}
}

func (m *Machine) evaluateLive(now time.Time, subject id, e *targetEntry) {
	found := m.judge(e)
	if found != orphaned {
		e.orphanedAt = 0
	}
	switch found {
	case reachable:
		m.showReachable(now, subject, e)
	case unreachable:
		m.setView(now, subject, e, Failed, ReasonLost)
	case orphaned:
		m.showOrphaned(now, subject, e)
	}
}

// showOrphaned keeps a target in the view for a while, in which its agent turns to other homes.
func (m *Machine) showOrphaned(now time.Time, subject id, e *targetEntry) {
	if e.view == 0 || e.view == Failed || e.view == Gone {
		return
	}
	if e.orphanedAt == 0 {
		e.orphanedAt = instantOf(now)
	}
	if e.orphanedAt.elapsed(now) >= orphanTimeout {
		m.setView(now, subject, e, Failed, ReasonOrphaned)
		return
	}
	m.showReachable(now, subject, e)
	m.timed[subject] = struct{}{}
}

func (m *Machine) showReachable(now time.Time, subject id, e *targetEntry) {
	if e.view == Failed && e.damping != nil {
		e.damping.recover(now)
	}
	if e.record.State == Ready && e.damping.isActive(now) {
		m.timed[subject] = struct{}{}
		m.setView(now, subject, e, Damped, ReasonDamped)
		return
	}
	reason := ReasonAnnounced
	switch e.view {
	case Failed:
		reason = ReasonHeardAgain
	case Damped:
		reason = ReasonDampingEnded
	default:
	}
	m.setView(now, subject, e, e.record.State, reason)
}

func (m *Machine) setView(now time.Time, subject id, e *targetEntry, state State, reason Reason) {
	if e.view == state && !e.isRenewed {
		return
	}
	if state == Failed && e.view != 0 && e.view != Failed {
		e.fail(now)
	}
	before, isReplaced := m.replaced[subject]
	if !isReplaced && e.view != 0 {
		before = e.inView(subject)
	}
	delete(m.replaced, subject)
	e.endedAt = 0
	if state == Failed || state == Gone {
		e.endedAt = instantOf(now)
	}
	e.view = state
	e.isRenewed = false
	m.act(TargetChanged{Target: e.inView(subject), Before: before, Reason: reason})
}

// expireTimers evaluates the targets whose view depends on the time.
func (m *Machine) expireTimers() {
	m.refreshLiveness()
	for subject := range m.timed {
		m.changed[subject] = struct{}{}
	}
}
