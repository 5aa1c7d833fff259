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
	// minDrainDuration gives flows that were opened just before the drain the time to send their requests.
	minDrainDuration = lateFlowGrace + 500*time.Millisecond
	// maxLinger is the time for the last responses to arrive at callers that don't close their flows.
	maxLinger = 3 * time.Second
	// flushTimeout bounds the time for sending the datagrams left in the ring.
	flushTimeout = 200 * time.Millisecond
)

// drainControl holds the requests of signals and operators to drain, undrain or shut down the agent.
type drainControl struct {
	mu               sync.Mutex
	isForceRequested bool
	isUndoRequested  bool
	isDrainRequested bool
	// isShuttingDown is true once the process has received a signal to shut down. Such a drain can't be undone.
	isShuttingDown bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newDrainControl() *drainControl {
	return &drainControl{changed: make(chan struct{})}
}

// drainRequests is a snapshot of a drainControl. changed is closed at the next change.
type drainRequests struct {
	isDrainRequested bool
	isUndoRequested  bool
	isForceRequested bool
	changed          <-chan struct{}
}

// current returns the requests that are in force.
func (d *drainControl) current() drainRequests {
	d.mu.Lock()
	defer d.mu.Unlock()
	return drainRequests{
		isDrainRequested: d.isDrainRequested, isUndoRequested: d.isUndoRequested,
		isForceRequested: d.isForceRequested, changed: d.changed,
	}
}

// update applies a change and wakes whoever waits for one.
func (d *drainControl) update(apply func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply()
	close(d.changed)
	d.changed = make(chan struct{})
}

// handleShutdown records that the process has received a signal to shut down.
func (d *drainControl) handleShutdown() {
	d.update(func() { d.isDrainRequested, d.isUndoRequested, d.isShuttingDown = true, false, true })
}

// handleForce requests a shutdown that aborts the work in progress.
func (d *drainControl) handleForce() {
	d.update(func() { d.isDrainRequested, d.isForceRequested = true, true })
}

// handleOperatorAction applies a drain action that an operator has requested.
func (d *drainControl) handleOperatorAction(action control.DrainAction) {
	switch action {
	case control.DrainStart:
		d.update(func() { d.isDrainRequested, d.isUndoRequested = true, false })
	case control.DrainUndo:
		d.update(func() {
			if !d.isShuttingDown {
				d.isDrainRequested, d.isUndoRequested = false, true
			}
		})
	case control.DrainForce:
		d.handleForce()
	}
}

// watchSignals forwards the shutdown signals of the process to the drain control. The contexts are done when a graceful or a
// forced shutdown is requested.
func (a *Agent) watchSignals(graceful, force context.Context) {
	context.AfterFunc(graceful, a.drainControl.handleShutdown)
	context.AfterFunc(force, a.drainControl.handleForce)
}

// awaitDrained waits until a drain has completed or a duty has failed.
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

// drain stops accepting flows, sends GOAWAY to callers and waits until the last request has finished. It returns false if the
// drain was undone.
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

// undrain accepts new flows again after a drain was undone.
func (a *Agent) undrain() {
	for _, f := range a.frontends {
		f.undrain()
	}
	a.lifecycle.setState(member.Ready)
	a.log.Emit(events.DrainUndone)
}

// recordAbortedWork records the feeds and requests that a forced shutdown aborts.
func (a *Agent) recordAbortedWork() {
	_, feeds, requests := a.activeWork.counts()
	a.requestCounters.cutFeeds.Inc(int64(feeds))
	a.requestCounters.cutRequests.Inc(int64(requests))
	a.log.Emit(events.DrainForced, events.F("cut_feeds", feeds), events.F("cut_requests", requests))
}

// drainOutcome is the way in which a drain ended.
type drainOutcome uint8

const (
	drainFinished drainOutcome = iota + 1
	drainUndone
	drainForced
)

// awaitIdle waits until no request is in progress and the last responses have had time to arrive, or until the drain is undone
// or forced.
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

// closeFlows closes the flows that are still open and waits until their last datagrams have been sent.
func (a *Agent) closeFlows() {
	for _, f := range a.frontends {
		f.close()
	}
	for deadline := time.Now().Add(flushTimeout); a.outbound.Len() > 0 && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
	// Leave time for sending the announcement of the shutdown and the last datagrams from the ring.
	time.Sleep(drainPollInterval)
}

// drainStatus returns the lifecycle state and the work in progress, for operators.
func (a *Agent) drainStatus() *control.DrainStatus {
	state, _ := a.lifecycle.current()
	flows, feeds, requests := a.activeWork.counts()
	return &control.DrainStatus{State: state, Flows: max(flows, feeds), Requests: requests}
}
