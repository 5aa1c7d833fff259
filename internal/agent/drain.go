package agent

import (
	"context"
	"sync"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/events"
	"gentianswitch/internal/member"
)

const (
	drainPoll = 20 * time.Millisecond
	// drainMinimum gives the flows that were opened just before the drain the time to send their request.
	drainMinimum = lateFlowGrace + 500*time.Millisecond
	// lingerDuration is how long the last answers may take to arrive, when a caller does not close its flow itself.
	lingerDuration = 3 * time.Second
	// flushLimit bounds the time in which the last datagrams leave the ring.
	flushLimit = 200 * time.Millisecond
)

// stopper holds what ends the agent, or calls a drain off.
type stopper struct {
	mu       sync.Mutex
	isForced bool
	isUndone bool
	isAsked  bool
	// bySignal is true once the process was told to end; such a drain can't be called off.
	bySignal bool
	changed  chan struct{}
}

func newStopper() *stopper {
	return &stopper{changed: make(chan struct{})}
}

// drainOrder is what a stopper holds at one moment.
type drainOrder struct {
	isAsked  bool
	isUndone bool
	isForced bool
	changed  <-chan struct{}
}

func (s *stopper) get() drainOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return drainOrder{isAsked: s.isAsked, isUndone: s.isUndone, isForced: s.isForced, changed: s.changed}
}

func (s *stopper) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

// onSignal records that the process was told to end.
func (s *stopper) onSignal() {
	s.change(func() { s.isAsked, s.isUndone, s.bySignal = true, false, true })
}

// force ends the work in progress.
func (s *stopper) force() {
	s.change(func() { s.isAsked, s.isForced = true, true })
}

// order carries out what an operator asks.
func (s *stopper) order(action control.DrainAction) {
	switch action {
	case control.DrainStart:
		s.change(func() { s.isAsked, s.isUndone = true, false })
	case control.DrainUndo:
		s.change(func() {
			if !s.bySignal {
				s.isAsked, s.isUndone = false, true
			}
		})
	case control.DrainForce:
		s.force()
	}
}

// watchSignals passes the signals of the process to the stopper.
func (a *Agent) watchSignals(graceful, force context.Context) {
	context.AfterFunc(graceful, a.stopper.onSignal)
	context.AfterFunc(force, a.stopper.force)
}

// awaitDrained returns when a drain has ended, or a duty has failed.
func (a *Agent) awaitDrained() {
	for {
		order := a.stopper.get()
		if order.isAsked && a.drain() {
			return
		}
		select {
		case <-order.changed:
		case <-a.group.Context().Done():
			return
		}
	}
}

// drain takes no new flows, tells callers with GOAWAY, and waits until the last request has ended. It reports false
// when the drain was called off.
func (a *Agent) drain() bool {
	flows, feeds, requests := a.progress.counts()
	a.log.Emit(events.DrainStarted, events.F("flows", flows), events.F("feeds", feeds), events.F("requests", requests))
	a.lifecycle.set(member.Draining)
	for _, f := range a.frontends {
		f.drain()
	}
	switch a.awaitIdle() {
	case drainUndone:
		a.undrain()
		return false
	case drainForced:
		a.countCut()
	default:
		a.log.Emit(events.DrainFinished)
	}
	a.lifecycle.set(member.Gone)
	a.endFlows()
	return true
}

func (a *Agent) undrain() {
	for _, f := range a.frontends {
		f.undrain()
	}
	a.lifecycle.set(member.Ready)
	a.log.Emit(events.DrainUndone)
}

// countCut records the work that a forced end cuts.
func (a *Agent) countCut() {
	_, feeds, requests := a.progress.counts()
	a.requests.cutFeeds.Inc(int64(feeds))
	a.requests.cutRequests.Inc(int64(requests))
	a.log.Emit(events.DrainForced, events.F("cut_feeds", feeds), events.F("cut_requests", requests))
}

type drainEnd uint8

const (
	drainDone drainEnd = iota + 1
	drainUndone
	drainForced
)

// awaitIdle waits until no request is in progress and the answers have had the time to arrive.
func (a *Agent) awaitIdle() drainEnd {
	started := time.Now()
	var idleSince time.Time
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		order := a.stopper.get()
		now := time.Now()
		flows, feeds, requests := a.progress.counts()
		isIdle := feeds+requests == 0
		switch {
		case order.isForced:
			return drainForced
		case order.isUndone:
			return drainUndone
		case !isIdle:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		}
		if isIdle && now.Sub(started) >= drainMinimum && (flows == 0 || now.Sub(idleSince) >= lingerDuration) {
			return drainDone
		}
		select {
		case <-ticker.C:
		case <-order.changed:
		case <-a.group.Context().Done():
			return drainDone
		}
	}
}

// endFlows closes the flows that are still open and waits for their last datagrams to leave.
func (a *Agent) endFlows() {
	for _, f := range a.frontends {
		f.close()
	}
	for end := time.Now().Add(flushLimit); a.outbound.Len() > 0 && time.Now().Before(end); {
		time.Sleep(drainPoll)
	}
	// The announcement of the end and the datagrams taken from the ring last are on their way.
	time.Sleep(drainPoll)
}

// drainStatus tells an operator how much work is left.
func (a *Agent) drainStatus() *control.DrainStatus {
	state, _ := a.lifecycle.get()
	flows, feeds, requests := a.progress.counts()
	return &control.DrainStatus{State: state, Flows: max(flows, feeds), Requests: requests}
}
