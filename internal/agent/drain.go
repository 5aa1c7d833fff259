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
	drainPollInterval = 20 * time.Millisecond
	// minDrainDuration gives the flows that were opened just before the drain the time to send their request.
	minDrainDuration = lateFlowGrace + 500*time.Millisecond
	// maxLinger is how long the last answers may take to arrive, when a caller does not close its flow itself.
	maxLinger = 3 * time.Second
	// flushTimeout bounds the time in which the last datagrams leave the ring.
	flushTimeout = 200 * time.Millisecond
)

// drainControl holds what ends the agent, or calls a drain off.
type drainControl struct {
	mu               sync.Mutex
	isForceRequested bool
	isUndoRequested  bool
	isDrainRequested bool
	// isShuttingDown is true once the process was told to end; such a drain can't be called off.
	isShuttingDown bool
	changed        chan struct{}
}

func newDrainControl() *drainControl {
	return &drainControl{changed: make(chan struct{})}
}

// drainRequests is what a stopper holds at one moment.
type drainRequests struct {
	isDrainRequested bool
	isUndoRequested  bool
	isForceRequested bool
	changed          <-chan struct{}
}

func (s *drainControl) current() drainRequests {
	s.mu.Lock()
	defer s.mu.Unlock()
	return drainRequests{isDrainRequested: s.isDrainRequested, isUndoRequested: s.isUndoRequested, isForceRequested: s.isForceRequested, changed: s.changed}
}

func (s *drainControl) update(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

// handleShutdown records that the process was told to end.
func (s *drainControl) handleShutdown() {
	s.update(func() { s.isDrainRequested, s.isUndoRequested, s.isShuttingDown = true, false, true })
}

// handleForce ends the work in progress.
func (s *drainControl) handleForce() {
	s.update(func() { s.isDrainRequested, s.isForceRequested = true, true })
}

// handleOperatorAction carries out what an operator asks.
func (s *drainControl) handleOperatorAction(action control.DrainAction) {
	switch action {
	case control.DrainStart:
		s.update(func() { s.isDrainRequested, s.isUndoRequested = true, false })
	case control.DrainUndo:
		s.update(func() {
			if !s.isShuttingDown {
				s.isDrainRequested, s.isUndoRequested = false, true
			}
		})
	case control.DrainForce:
		s.handleForce()
	}
}

// watchSignals passes the signals of the process to the stopper.
func (a *Agent) watchSignals(graceful, force context.Context) {
	context.AfterFunc(graceful, a.drainControl.handleShutdown)
	context.AfterFunc(force, a.drainControl.handleForce)
}

// awaitDrained returns when a drain has ended, or a duty has failed.
func (a *Agent) awaitDrained() {
	for {
		requests := a.drainControl.current()
		if requests.isDrainRequested && a.drain() {
			return
		}
		select {
		case <-requests.changed:
		case <-a.group.Context().Done():
			return
		}
	}
}

// drain takes no new flows, tells callers with GOAWAY, and waits until the last request has ended. It reports false
// when the drain was called off.
func (a *Agent) drain() bool {
	flows, feeds, requests := a.activeWork.counts()
	a.log.Emit(events.DrainStarted, events.F("flows", flows), events.F("feeds", feeds), events.F("requests", requests))
	a.lifecycle.setState(member.Draining)
	for _, f := range a.frontends {
		f.drain()
	}
	switch a.awaitIdle() {
	case drainUndone:
		a.undrain()
		return false
	case drainForced:
		a.recordAbortedWork()
	default:
		a.log.Emit(events.DrainFinished)
	}
	a.lifecycle.setState(member.Gone)
	a.closeFlows()
	return true
}

func (a *Agent) undrain() {
	for _, f := range a.frontends {
		f.undrain()
	}
	a.lifecycle.setState(member.Ready)
	a.log.Emit(events.DrainUndone)
}

// recordAbortedWork records the work that a forced end cuts.
func (a *Agent) recordAbortedWork() {
	_, feeds, requests := a.activeWork.counts()
	a.requestCounters.cutFeeds.Inc(int64(feeds))
	a.requestCounters.cutRequests.Inc(int64(requests))
	a.log.Emit(events.DrainForced, events.F("cut_feeds", feeds), events.F("cut_requests", requests))
}

type drainOutcome uint8

const (
	drainFinished drainOutcome = iota + 1
	drainUndone
	drainForced
)

// awaitIdle waits until no request is in progress and the answers have had the time to arrive.
func (a *Agent) awaitIdle() drainOutcome {
	started := time.Now()
	var idleSince time.Time
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		drain := a.drainControl.current()
		now := time.Now()
		flows, feeds, requests := a.activeWork.counts()
		isIdle := feeds+requests == 0
		switch {
		case drain.isForceRequested:
			return drainForced
		case drain.isUndoRequested:
			return drainUndone
		case !isIdle:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		}
		if isIdle && now.Sub(started) >= minDrainDuration && (flows == 0 || now.Sub(idleSince) >= maxLinger) {
			return drainFinished
		}
		select {
		case <-ticker.C:
		case <-drain.changed:
		case <-a.group.Context().Done():
			return drainFinished
		}
	}
}

// closeFlows closes the flows that are still open and waits for their last datagrams to leave.
func (a *Agent) closeFlows() {
	for _, f := range a.frontends {
		f.close()
	}
	for deadline := time.Now().Add(flushTimeout); a.outbound.Len() > 0 && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
	// The announcement of the end and the datagrams taken from the ring last are on their way.
	time.Sleep(drainPollInterval)
}

// drainStatus tells an operator how much work is left.
func (a *Agent) drainStatus() *control.DrainStatus {
	state, _ := a.lifecycle.current()
	flows, feeds, requests := a.activeWork.counts()
	return &control.DrainStatus{State: state, Flows: max(flows, feeds), Requests: requests}
}
