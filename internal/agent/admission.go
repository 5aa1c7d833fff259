package agent

import (
	"context"
	"sync"
	"time"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/events"
)

const (
	admissionTick = 10 * time.Millisecond
	// ticketActions is more than the number of actions that one request can get.
	ticketActions = 8
)

// admission drives the admission machine and passes its actions to the requests.
type admission struct {
	mu      sync.Mutex
	machine *admit.Machine
	tickets map[admit.ID]chan admit.Action
	last    admit.ID
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

// submit admits a request. The first action stands in the ticket when submit returns.
func (a *admission) submit(r admit.Request) ticket {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	r.ID = a.last
	actions := make(chan admit.Action, ticketActions)
	a.tickets[r.ID] = actions
	a.apply(admit.Arrive{Request: r})
	return ticket{id: r.ID, actions: actions}
}

// close ends a request, whatever its state.
func (a *admission) close(t ticket, hasRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.tickets, t.id)
	a.apply(admit.Cancel{ID: t.id})
	a.apply(admit.Finish{ID: t.id, HasRun: hasRun})
}

// tell passes an event to the machine.
func (a *admission) tell(event admit.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(event)
}

func (a *admission) apply(event admit.Event) {
	for _, action := range a.machine.Step(time.Now(), event) {
		a.deliver(action)
	}
}

func (a *admission) deliver(action admit.Action) {
	switch t := action.(type) {
	case admit.Dispatch:
		a.post(t.ID, action)
	case admit.Queue:
		a.post(t.ID, action)
	case admit.Relay:
		a.post(t.ID, action)
	case admit.Refuse:
		a.post(t.ID, action)
	case admit.Reclassify:
		a.log.Emit(events.RouteReclassified, events.F("route", t.Route), events.F("class", t.Class.String()),
			events.F("typical_ms", t.Typical.Milliseconds()))
	}
}

func (a *admission) post(id admit.ID, action admit.Action) {
	if actions := a.tickets[id]; actions != nil {
		actions <- action
	}
}

// room returns the number of slots that a relayed request could take at once.
func (a *admission) room() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Room()
}

// roomAfterOne returns the room once one of the running requests has ended.
func (a *admission) roomAfterOne() int {
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

// tickAll lets the machine give up requests while nothing else happens.
func (a *admission) tickAll(ctx context.Context) error {
	ticker := time.NewTicker(admissionTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.tell(admit.Tick{})
		}
	}
}
