package agent

import (
	"context"
	"sync"
	"time"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/events"
)

const (
	// admissionTickInterval is the time between two ticks of the admission machine.
	admissionTickInterval = 10 * time.Millisecond
	// actionBuffer exceeds the number of actions that the machine can return for one request, so that sending one never blocks.
	actionBuffer = 8
)

// admission runs the admission machine of package admit, which decides when a request gets a slot and whether it waits, is
// relayed or is refused. It sends these actions to the goroutines of the requests.
type admission struct {
	mu      sync.Mutex
	machine *admit.Machine
	// actionChannels holds the channel for the actions of each submitted request.
	actionChannels map[admit.ID]chan admit.Action
	lastID         admit.ID
	log            *events.Logger
}

// ticket identifies a submitted request and delivers the machine's actions for it.
type ticket struct {
	id      admit.ID
	actions <-chan admit.Action
}

func newAdmission(settings admit.Settings, log *events.Logger) (*admission, error) {
	machine, err := admit.New(settings)
	if err != nil {
		return nil, err
	}
	return &admission{machine: machine, actionChannels: make(map[admit.ID]chan admit.Action), log: log}, nil
}

// submitRequest submits a request to the machine. The channel of the returned ticket already holds the first action.
func (a *admission) submitRequest(r admit.Request) ticket {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	r.ID = a.lastID
	actions := make(chan admit.Action, actionBuffer)
	a.actionChannels[r.ID] = actions
	a.applyEvent(admit.RequestArrived{Request: r})
	return ticket{id: r.ID, actions: actions}
}

// closeRequest removes a request from the machine, whether it waits, runs or is relayed. hasRun reports whether it may have
// reached a target.
func (a *admission) closeRequest(t ticket, hasRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.actionChannels, t.id)
	a.applyEvent(admit.RequestCanceled{ID: t.id})
	a.applyEvent(admit.RequestFinished{ID: t.id, HasRun: hasRun})
}

// handleEvent passes an event to the machine and handles the resulting actions.
func (a *admission) handleEvent(event admit.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyEvent(event)
}

// applyEvent is handleEvent for callers that hold mu.
func (a *admission) applyEvent(event admit.Event) {
	for _, action := range a.machine.Step(time.Now(), event) {
		a.handleAction(action)
	}
}

// handleAction sends an action to the goroutine of its request, or logs it. The caller holds mu.
func (a *admission) handleAction(action admit.Action) {
	switch typed := action.(type) {
	case admit.Dispatch:
		a.sendAction(typed.ID, action)
	case admit.Queue:
		a.sendAction(typed.ID, action)
	case admit.Relay:
		a.sendAction(typed.ID, action)
	case admit.Refuse:
		a.sendAction(typed.ID, action)
	case admit.Reclassify:
		a.log.Emit(events.RouteReclassified, events.F("route", typed.Route), events.F("class", typed.Class.String()),
			events.F("typical_ms", typed.Typical.Milliseconds()))
	}
}

// sendAction sends an action to a request, unless the request is closed. The caller holds mu.
func (a *admission) sendAction(id admit.ID, action admit.Action) {
	if actions := a.actionChannels[id]; actions != nil {
		actions <- action
	}
}

// freeSlots returns the number of slots that relayed requests could occupy now.
func (a *admission) freeSlots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.FreeSlots()
}

// freeSlotsAfterFinish returns the number of slots that relayed requests could occupy once one of the running requests has
// finished. It returns 0 while requests are queued.
func (a *admission) freeSlotsAfterFinish() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machine.Waiting() > 0 {
		return 0
	}
	return a.machine.FreeSlots() + 1
}

// load returns the number of slots in use and the number of queued requests.
func (a *admission) load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Running(), a.machine.Waiting()
}

// sendTicks ticks the machine until ctx is done, so that it refuses queued requests in time although no other event occurs.
func (a *admission) sendTicks(ctx context.Context) error {
	ticker := time.NewTicker(admissionTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.handleEvent(admit.Tick{})
		}
	}
}
