package agent

import (
	"context"
	"sync"
	"time"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/events"
)

const (
	admissionTickInterval = 10 * time.Millisecond
	// actionBuffer is more than the number of actions that one request can get.
	actionBuffer = 8
)

// admission drives the admission machine and passes its actions to the requests.
type admission struct {
	mu      sync.Mutex
	machine *admit.Machine
	tickets map[admit.ID]chan admit.Action
	lastID  admit.ID
	log     *events.Logger
}

// ticket is a request's place in the admission.
type ticket struct {
	id      admit.ID
	actions <-chan admit.Action
}

func newAdmission(settings admit.Settings, log *events.Logger) (*admission, error) {
	machine, err := admit.New(settings)
	if err != nil {
		return nil, err
	}
	return &admission{machine: machine, tickets: make(map[admit.ID]chan admit.Action), log: log}, nil
}

// submitRequest admits a request. The first action stands in the ticket when submit returns.
func (a *admission) submitRequest(r admit.Request) ticket {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	r.ID = a.lastID
	actions := make(chan admit.Action, actionBuffer)
	a.tickets[r.ID] = actions
	a.applyEvent(admit.Arrive{Request: r})
	return ticket{id: r.ID, actions: actions}
}

// closeRequest ends a request, whatever its state.
func (a *admission) closeRequest(t ticket, hasRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.tickets, t.id)
	a.applyEvent(admit.Cancel{ID: t.id})
	a.applyEvent(admit.Finish{ID: t.id, HasRun: hasRun})
}

// handleEvent passes an event to the machine.
func (a *admission) handleEvent(event admit.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyEvent(event)
}

func (a *admission) applyEvent(event admit.Event) {
	for _, action := range a.machine.Step(time.Now(), event) {
		a.executeAction(action)
	}
}

func (a *admission) executeAction(action admit.Action) {
	switch t := action.(type) {
	case admit.Dispatch:
		a.sendAction(t.ID, action)
	case admit.Queue:
		a.sendAction(t.ID, action)
	case admit.Relay:
		a.sendAction(t.ID, action)
	case admit.Refuse:
		a.sendAction(t.ID, action)
	case admit.Reclassify:
		a.log.Emit(events.RouteReclassified, events.F("route", t.Route), events.F("class", t.Class.String()),
			events.F("typical_ms", t.Typical.Milliseconds()))
	}
}

func (a *admission) sendAction(id admit.ID, action admit.Action) {
	if actions := a.tickets[id]; actions != nil {
		actions <- action
	}
}

// freeSlots returns the number of slots that a relayed request could take at once.
func (a *admission) freeSlots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Room()
}

// freeSlotsAfterFinish returns the room once one of the running requests has ended.
func (a *admission) freeSlotsAfterFinish() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machine.Waiting() > 0 {
		return 0
	}
	return a.machine.Room() + 1
}

// load returns the number of slots in use and of requests that wait.
func (a *admission) load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Running(), a.machine.Waiting()
}

// sendTicks lets the machine give up requests while nothing else happens.
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
