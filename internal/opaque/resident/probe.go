package resident

import "time"

// A probe is an attempt to connect to the health port of a target whose heartbeat is overdue. A refusal proves that no process listens
// at the target's address. A success or a timeout proves nothing. Each probe costs a connection, so probes begin only when a proof would
// end flows.

const (
	// minOverdueDivisor is the part of a heartbeat interval by which a heartbeat is overdue, and for which the target has sent nothing,
	// before the first probe.
	minOverdueDivisor = 4
	// probesPerHeartbeat bounds the probes per heartbeat interval.
	probesPerHeartbeat = 2
)

// probe is the state of the probes of a target.
type probe struct {
	// startedAt is when the last probe began. isRunning is set until its result is known.
	startedAt time.Time
	isRunning bool
	// isProven is set once a refusal has ended the flows, until the next sign of life of the target.
	isProven bool
}

// StartProbe reports whether a probe of the target is due, and records that it begins. interval is that of the target's heartbeats.
// A draining target may close its health port before its flows, so it is not probed.
func (r *Machine) StartProbe(now time.Time, interval time.Duration) bool {
	t, p := &r.target, &r.probe
	isOverdue := now.Sub(t.heartbeatAt) >= interval+interval/minOverdueDivisor && now.Sub(t.signOfLifeAt) >= interval/minOverdueDivisor
	if p.isProven && t.signOfLifeAt.After(p.startedAt) {
		p.isProven = false
	}
	canProbe := t.isKnown && !t.isAbsent() && !t.lastHeartbeat.IsDraining && !p.isRunning && !p.isProven
	if !canProbe || !isOverdue || now.Sub(p.startedAt) < interval/probesPerHeartbeat || !r.hasPersistentFlow() {
		return false
	}
	p.startedAt, p.isRunning = now, true
	return true
}

// HandleProbeResult records the result of the probe that StartProbe has started last. A refusal ends the flows that the target had
// accepted before, unless the target has given a sign of life since.
func (r *Machine) HandleProbeResult(isRefused bool) Outcome {
	t, p := &r.target, &r.probe
	p.isRunning = false
	if !isRefused || t.isAbsent() || !t.signOfLifeAt.Before(p.startedAt) {
		return Outcome{}
	}
	p.isProven = true
	return Outcome{
		PreviousInstance: t.lastHeartbeat.Instance, Cause: RefusedConnection,
		EndedFlows: r.endServedFlows(p.startedAt, func(*flowEntry) bool { return false }),
	}
}

// hasPersistentFlow reports whether there is a flow whose caller would lose its next request if the target has stopped.
func (r *Machine) hasPersistentFlow() bool {
	for _, f := range r.flows {
		if f.isPersistent() {
			return true
		}
	}
	return false
}
