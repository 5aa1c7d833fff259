package member

import "time"

// Constants of flap damping, which keeps targets that fail repeatedly from getting new flows after each recovery.
const (
	// dampingBase is the shortest wait after a recovery. Each further failure doubles the wait, up to dampingMax.
	dampingBase = time.Second
	dampingMax  = time.Minute
	// dampingDecay is the time without a failure after which the count of failures decreases by one.
	dampingDecay = 30 * time.Second
	// dampingFreeFailures is the number of failures that cause no wait.
	dampingFreeFailures = 1
)

// damping is the state of flap damping for one target: after repeated failures the target must stay up for a growing time
// before it gets new flows.
type damping struct {
	failures    int
	lastFailure time.Time
	// until is the end of the wait after the last recovery.
	until time.Time
}

// recordFailure reduces the count of failures by those that have decayed, and then counts a new one.
func (d *damping) recordFailure(now time.Time) {
	decayed := int(now.Sub(d.lastFailure) / dampingDecay)
	d.failures = max(d.failures-decayed, 0) + 1
	d.lastFailure = now
}

// startWait starts the wait when the target has recovered.
func (d *damping) startWait(now time.Time) {
	dampedFailures := d.failures - dampingFreeFailures
	if dampedFailures <= 0 {
		return
	}
	// A larger shift could overflow. The wait reaches dampingMax long before.
	wait := dampingMax
	if shift := dampedFailures - 1; shift < 16 {
		wait = min(dampingBase<<shift, dampingMax)
	}
	d.until = now.Add(wait)
}

// isActive reports whether the target must still wait for new flows.
func (d *damping) isActive(now time.Time) bool {
	return d != nil && now.Before(d.until)
}

// recordFailure counts a failure of the target for flap damping.
func (e *targetEntry) recordFailure(now time.Time) {
	if e.damping == nil {
		e.damping = &damping{}
	}
	e.damping.recordFailure(now)
}

// countRestart counts a restart of a target as a failure and a recovery, unless the target was draining, gone or failed
// before it: then the restart was planned, or the failure has been counted already. The record t is the target's new one.
func (m *Machine) countRestart(e *targetEntry, t Target) {
	isLive := e.view == Starting || e.view == Ready || e.view == Damped
	if t.Incarnation == e.record.incarnation || !isLive {
		return
	}
	e.recordFailure(m.now)
	e.damping.startWait(m.now)
}
