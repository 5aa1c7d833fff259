// Package health implements passive health checks with ejection: it judges the health of a target by the outcome of its
// requests. The target's health endpoint counts only while no requests are answered, because health endpoints lag or mislead.
//
// Monitor is a state machine without sockets, goroutines or clocks.
package health

import "time"

// State is the health of a target.
type State uint8

const (
	// Healthy is the state of a target that receives new flows and requests.
	Healthy State = iota + 1
	// Ejected is the state of a target that receives no new flows while another target of the pool can accept them.
	Ejected
	// Probing is the state of a target that receives new work again after an ejection. The outcome of the next requests
	// decides whether it becomes Healthy or Ejected.
	Probing
)

// String returns the name that logs use, or "invalid".
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
	// failuresToEject is the number of consecutive failures after which a healthy target is ejected.
	failuresToEject = 5
	// successesToRecover is the number of consecutive answers after which an ejected or probed target is healthy again.
	successesToRecover = 3
	// initialEjection is the duration of the first ejection. Each ejection that follows without a recovery lasts twice as
	// long as the one before, up to maxEjection.
	initialEjection = 2 * time.Second
	maxEjection     = 30 * time.Second
	// minStall and stallRatio define the stall limit: the larger of minStall and stallRatio times the mean duration of
	// requests. A target is stalled when a short request has run, and no request was answered, for longer than the limit.
	minStall   = 2 * time.Second
	stallRatio = 10
	// meanWeight is the weight of a new duration in the moving mean.
	meanWeight = 0.1
	// hintsToEject is the number of consecutive bad hints after which a healthy target without answers is ejected.
	hintsToEject = 3
	// minHintSilence is the time without an answer of the target after which bad hints count.
	minHintSilence = 2 * time.Second
)

// Event is an input of the monitor.
type Event interface{ isEvent() }

// RequestSucceeded is the event of a complete answer that is not a server error.
type RequestSucceeded struct{ Duration time.Duration }

// RequestFailed is the event of a request that the target did not answer, answered with a server error, or answered
// incompletely.
type RequestFailed struct{}

// Tick is a periodic event with the age of the oldest running short request, or zero for none.
type Tick struct{ OldestShortAge time.Duration }

// Hint is the event of an answer of the target's health endpoint, or of its absence. A hint that is not healthy is a bad
// hint.
type Hint struct{ IsHealthy bool }

func (RequestSucceeded) isEvent() {}
func (RequestFailed) isEvent()    {}
func (Tick) isEvent()             {}
func (Hint) isEvent()             {}

// Change is a change of the state.
type Change struct {
	State  State
	Reason string
}

// Monitor tracks the health of one target. It is not safe for concurrent use.
type Monitor struct {
	state        State
	failures     int
	successes    int
	badHints     int
	meanDuration time.Duration
	lastAnswer   time.Time
	ejectedUntil time.Time
	nextEjection time.Duration
}

// New returns a monitor of a healthy target that started at now.
func New(now time.Time) *Monitor {
	return &Monitor{state: Healthy, lastAnswer: now, nextEjection: initialEjection}
}

// State returns the current state.
func (m *Monitor) State() State { return m.state }

// Step handles an event. It returns the change of the state, or nil when the state stays the same.
func (m *Monitor) Step(now time.Time, event Event) *Change {
	switch e := event.(type) {
	case RequestSucceeded:
		return m.handleAnswer(now, e.Duration)
	case RequestFailed:
		return m.handleFailure(now)
	case Tick:
		return m.handleTick(now, e.OldestShortAge)
	case Hint:
		return m.handleHint(now, e.IsHealthy)
	default:
		return nil
	}
}

func (m *Monitor) handleAnswer(now time.Time, d time.Duration) *Change {
	m.lastAnswer = now
	m.failures = 0
	m.badHints = 0
	m.successes++
	if m.meanDuration == 0 {
		m.meanDuration = d
	}
	m.meanDuration += time.Duration(meanWeight * float64(d-m.meanDuration))
	if m.state == Healthy || m.successes < successesToRecover {
		return nil
	}
	m.nextEjection = initialEjection
	return m.enterState(Healthy, "the target answers requests again")
}

func (m *Monitor) handleFailure(now time.Time) *Change {
	m.successes = 0
	m.failures++
	switch {
	case m.state == Probing:
		return m.eject(now, "a request failed while the target was probed")
	case m.state == Healthy && m.failures >= failuresToEject:
		return m.eject(now, "several consecutive requests failed")
	default:
		return nil
	}
}

func (m *Monitor) handleTick(now time.Time, oldest time.Duration) *Change {
	stall := max(minStall, stallRatio*m.meanDuration)
	isStalled := oldest > stall && now.Sub(m.lastAnswer) > stall
	switch {
	case m.state == Ejected && !now.Before(m.ejectedUntil):
		return m.enterState(Probing, "the ejection has expired")
	case m.state == Healthy && isStalled:
		return m.eject(now, "requests are running and none is answered")
	default:
		return nil
	}
}

// handleHint counts a bad hint only while the target answers no requests.
func (m *Monitor) handleHint(now time.Time, isHealthy bool) *Change {
	if isHealthy || now.Sub(m.lastAnswer) < minHintSilence {
		m.badHints = 0
		return nil
	}
	m.badHints++
	if m.state == Healthy && m.badHints >= hintsToEject {
		return m.eject(now, "the health endpoint reports a failure and no request is answered")
	}
	return nil
}

func (m *Monitor) eject(now time.Time, reason string) *Change {
	m.ejectedUntil = now.Add(m.nextEjection)
	m.nextEjection = min(2*m.nextEjection, maxEjection)
	return m.enterState(Ejected, reason)
}

func (m *Monitor) enterState(state State, reason string) *Change {
	m.state = state
	m.failures, m.successes, m.badHints = 0, 0, 0
	return &Change{State: state, Reason: reason}
}
