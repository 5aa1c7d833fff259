// Package health judges a target by the answers that are seen of it. What the target says of itself is a hint only,
// since health endpoints lag or mislead.
//
// The monitor is a state machine without sockets, goroutines or clocks.
package health

import "time"

// State is the judgement on a target.
type State uint8

// The states.
const (
	// Healthy targets take new work.
	Healthy State = iota + 1
	// Ejected targets take no new flows while another target of the pool can.
	Ejected
	// Probing targets take new work after an ejection; the next answers decide.
	Probing
)

// String returns the name that logs use.
func (s State) String() string {
	switch s {
	case Healthy:
		return "healthy"
	case Ejected:
		return "ejected"
	case Probing:
		return "probing"
	default:
		return "invalid"
	}
}

const (
	// failuresToEject is the number of failures in a row that eject a target.
	failuresToEject = 5
	// successesToTrust is the number of answers in a row that end the probing.
	successesToTrust = 3
	firstEjection    = 2 * time.Second
	maxEjection      = 30 * time.Second
	// minStall and stallRatio bound how long a short request may go without any answer of the target: the larger of
	// minStall and stallRatio times the mean duration.
	minStall   = 2 * time.Second
	stallRatio = 10
	// meanWeight is the weight of a new duration in the mean.
	meanWeight = 0.1
	// hintsToEject is the number of bad hints in a row that eject a target of which no answer is seen.
	hintsToEject = 3
	// hintSilence is how long no answer must have been seen before a hint counts.
	hintSilence = 2 * time.Second
)

// Event is an input of the monitor.
type Event interface{ isEvent() }

// Answered is a whole answer that is not an error of the target.
type Answered struct{ Duration time.Duration }

// Failed is a request that the target has not answered, answered with an error or cut.
type Failed struct{}

// Tick reports the age of the oldest short request that runs, or zero for none.
type Tick struct{ OldestShort time.Duration }

// Hint is what the target's health endpoint says.
type Hint struct{ IsHealthy bool }

func (Answered) isEvent() {}
func (Failed) isEvent()   {}
func (Tick) isEvent()     {}
func (Hint) isEvent()     {}

// Change is a change of the state.
type Change struct {
	State  State
	Reason string
}

// Monitor holds the judgement on one target. It is not safe for concurrent use.
type Monitor struct {
	state      State
	failures   int
	successes  int
	badHints   int
	mean       time.Duration
	lastAnswer time.Time
	until      time.Time
	ejection   time.Duration
}

// New returns a monitor of a healthy target that started at now.
func New(now time.Time) *Monitor {
	return &Monitor{state: Healthy, lastAnswer: now, ejection: firstEjection}
}

// State returns the present judgement.
func (m *Monitor) State() State { return m.state }

// Step applies an event. It returns nil when the state stays.
func (m *Monitor) Step(now time.Time, event Event) *Change {
	switch e := event.(type) {
	case Answered:
		return m.answered(now, e.Duration)
	case Failed:
		return m.failed(now)
	case Tick:
		return m.tick(now, e.OldestShort)
	case Hint:
		return m.hint(now, e.IsHealthy)
	default:
		return nil
	}
}

func (m *Monitor) answered(now time.Time, d time.Duration) *Change {
	m.lastAnswer = now
	m.failures = 0
	m.badHints = 0
	m.successes++
	if m.mean == 0 {
		m.mean = d
	}
	m.mean += time.Duration(meanWeight * float64(d-m.mean))
	if m.state == Healthy || m.successes < successesToTrust {
		return nil
	}
	m.ejection = firstEjection
	return m.enter(Healthy, "the target answers again")
}

func (m *Monitor) failed(now time.Time) *Change {
	m.successes = 0
	m.failures++
	switch {
	case m.state == Probing:
		return m.eject(now, "the target failed while it was probed")
	case m.state == Healthy && m.failures >= failuresToEject:
		return m.eject(now, "several requests in a row failed")
	default:
		return nil
	}
}

func (m *Monitor) tick(now time.Time, oldest time.Duration) *Change {
	stall := max(minStall, stallRatio*m.mean)
	isStalled := oldest > stall && now.Sub(m.lastAnswer) > stall
	switch {
	case m.state == Ejected && !now.Before(m.until):
		return m.enter(Probing, "the time of the ejection has passed")
	case m.state == Healthy && isStalled:
		return m.eject(now, "requests run and no answer comes")
	default:
		return nil
	}
}

// hint counts a bad hint only while no answer contradicts it.
func (m *Monitor) hint(now time.Time, isHealthy bool) *Change {
	if isHealthy || now.Sub(m.lastAnswer) < hintSilence {
		m.badHints = 0
		return nil
	}
	m.badHints++
	if m.state == Healthy && m.badHints >= hintsToEject {
		return m.eject(now, "the health endpoint fails and no answer contradicts it")
	}
	return nil
}

func (m *Monitor) eject(now time.Time, reason string) *Change {
	m.until = now.Add(m.ejection)
	m.ejection = min(2*m.ejection, maxEjection)
	return m.enter(Ejected, reason)
}

func (m *Monitor) enter(state State, reason string) *Change {
	m.state = state
	m.failures, m.successes, m.badHints = 0, 0, 0
	return &Change{State: state, Reason: reason}
}
