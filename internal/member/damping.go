package member

import "time"

// Hysteresis against targets that fail repeatedly.
const (
	dampingBase = time.Second
	dampingMax  = time.Minute
	// dampingForget is the time without a failure after which one failure is forgotten.
	dampingForget = 30 * time.Second
	// dampingFree is the number of failures that cost no waiting.
	dampingFree = 1
)

// damping makes a target that has failed repeatedly stay up for a growing time before it gets new flows.
type damping struct {
	failures int
	failedAt time.Time
	until    time.Time
}

// fail counts a failure.
func (d *damping) fail(now time.Time) {
	forgotten := int(now.Sub(d.failedAt) / dampingForget)
	d.failures = max(d.failures-forgotten, 0) + 1
	d.failedAt = now
}

// recover starts the time for which the target must stay up.
func (d *damping) recover(now time.Time) {
	counted := d.failures - dampingFree
	if counted <= 0 {
		return
	}
	wait := dampingMax
	if shift := counted - 1; shift < 16 {
		wait = min(dampingBase<<shift, dampingMax)
	}
	d.until = now.Add(wait)
}

func (d *damping) isActive(now time.Time) bool {
	return d != nil && now.Before(d.until)
}

func (e *targetEntry) fail(now time.Time) {
	if e.damping == nil {
		e.damping = &damping{}
	}
	e.damping.fail(now)
}

// noteRestart counts a restart without notice as a failure.
func (m *Machine) noteRestart(e *targetEntry, t Target) {
	isLive := e.view == Starting || e.view == Ready || e.view == Damped
	if t.Incarnation == e.record.Incarnation || !isLive {
		return
	}
	e.fail(m.now)
	e.damping.recover(m.now)
}
