// Package admit implements admission control for one target. It decides which requests are dispatched to the target, wait
// in the queue, are relayed to a peer agent, or are refused with a Retry-After.
//
// A target runs a fixed number of requests at once, its slots. Machine is a state machine without sockets, goroutines or
// clocks: Step handles an event at a given time and returns the actions to carry out. The time must not decrease from one
// call to the next.
package admit

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
)

// Settings is the configuration of a Machine.
type Settings struct {
	// Slots is the number of requests that the target runs at once, at least 1.
	Slots int
	// ShortReserve is the minimum number of slots that long requests may not occupy, or DefaultReserve. Long requests may
	// always occupy at least one slot.
	ShortReserve int
	// QueueLimit is the maximum number of requests in the queue.
	QueueLimit int
	// Policy is the name of the strategy: PolicyFull or PolicyFIFO. Empty means PolicyFull.
	Policy string
	// Seed is the seed for the jitter of Retry-After and the choice of peers.
	Seed uint64
}

// Check returns an error for the first setting that is out of range.
func (s Settings) Check() error {
	switch {
	case s.Slots < 1:
		return eris.Errorf("slots %d, expected at least 1", s.Slots)
	case s.ShortReserve < DefaultReserve:
		return eris.Errorf("short-reserve %d, expected at least %d", s.ShortReserve, DefaultReserve)
	case s.QueueLimit < 0:
		return eris.Errorf("queue-limit %d, expected at least 0", s.QueueLimit)
	}
	_, err := newStrategy(s.Policy)
	return err
}

// pendingRequest is a request that waits in the queue or that was offered to a peer.
type pendingRequest struct {
	request      Request
	class        class.Class
	waitingSince time.Time
	// offerCount is the number of times that the request was offered to a peer. lastOfferAt is the time of the last offer.
	offerCount  int
	lastOfferAt time.Time
}

// runningRequest is a request that was dispatched to the target and occupies a slot.
type runningRequest struct {
	request   Request
	class     class.Class
	startedAt time.Time
}

// Machine decides on the admission of the requests to one target. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	strategy strategy
	queue    []pendingRequest
	running  map[ID]runningRequest
	// relayed holds each request that was offered to a peer, until the peer refuses it or the request ends.
	relayed       map[ID]pendingRequest
	durations     *durationStats
	shortUsage    slotUsage
	peers         peerSet
	retrySchedule retrySchedule
}

// New returns a machine without requests, or the error of settings.Check.
func New(settings Settings) (*Machine, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	chosen, err := newStrategy(settings.Policy)
	if err != nil {
		return nil, err
	}
	settings.ShortReserve = reserveFromSetting(settings.ShortReserve, settings.Slots)
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	return &Machine{
		settings:      settings,
		strategy:      chosen,
		running:       make(map[ID]runningRequest),
		relayed:       make(map[ID]pendingRequest),
		durations:     newDurationStats(),
		peers:         newPeerSet(random),
		retrySchedule: retrySchedule{random: random},
	}, nil
}

// Step handles an event and returns the resulting actions.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.updateShortUsage(now)
	switch e := event.(type) {
	case RequestArrived:
		return m.handleArrival(now, e.Request)
	case RequestFinished:
		return m.handleFinish(now, e)
	case RequestCanceled:
		m.handleCancel(e.ID)
		return m.dispatchQueued(now)
	case Tick:
		actions := append(m.refuseLateRequests(now), m.dispatchQueued(now)...)
		return append(actions, m.offerQueued(now)...)
	case PeerCapacity:
		m.peers.setFreeSlots(now, e.Peer, e.FreeSlots)
		return nil
	case RelayRefused:
		return m.handleRelayRefusal(now, e)
	case TargetUnreached:
		return m.handleUnreachedTarget(now, e.ID)
	case LimitsChanged:
		m.setLimits(e)
		return m.dispatchQueued(now)
	default:
		return nil
	}
}

// Running returns the number of occupied slots.
func (m *Machine) Running() int { return len(m.running) }

// Waiting returns the number of requests in the queue.
func (m *Machine) Waiting() int { return len(m.queue) }

// FreeSlots returns the number of free slots that no queued request is waiting for.
func (m *Machine) FreeSlots() int {
	return max(0, m.settings.Slots-len(m.running)-len(m.queue))
}

func (m *Machine) handleArrival(now time.Time, r Request) []Action {
	pending := pendingRequest{request: r, class: m.effectiveClass(r), waitingSince: now}
	if pending.class == class.Feed {
		return []Action{Dispatch{ID: r.ID, Reason: "a feed takes no slot"}}
	}
	return m.admitRequest(now, pending)
}

// admitRequest decides on a request that is neither queued nor running.
func (m *Machine) admitRequest(now time.Time, pending pendingRequest) []Action {
	id := pending.request.ID
	decided := m.strategy.decide(now, m, pending)
	switch decided.kind {
	case decisionDispatch:
		return []Action{m.dispatch(now, pending, decided.reason)}
	case decisionRelay:
		return []Action{m.offerToPeer(now, pending, decided.peer, decided.reason)}
	case decisionQueue:
		m.queue = append(m.queue, pending)
		return []Action{Queue{ID: id, Length: len(m.queue), PredictedWait: decided.predictedWait}}
	default:
		return []Action{m.refuseRequest(now, id, decided.reason)}
	}
}

// dispatch starts a request on the target. The caller checks that a slot is free.
func (m *Machine) dispatch(now time.Time, pending pendingRequest, reason string) Action {
	m.running[pending.request.ID] = runningRequest{request: pending.request, class: pending.class, startedAt: now}
	return Dispatch{ID: pending.request.ID, Waited: now.Sub(pending.waitingSince), Reason: reason}
}

// offerToPeer offers a request to a peer, which may refuse it.
func (m *Machine) offerToPeer(now time.Time, pending pendingRequest, peer netip.AddrPort, reason string) Action {
	pending.offerCount++
	pending.lastOfferAt = now
	m.relayed[pending.request.ID] = pending
	return Relay{ID: pending.request.ID, Peer: peer, Reason: reason}
}

// offerQueued offers queued requests to peers that have a free slot now.
func (m *Machine) offerQueued(now time.Time) []Action {
	var actions []Action
	for i := 0; i < len(m.queue); {
		if !m.strategy.usesClasses() || !m.queue[i].canOffer(now) {
			i++
			continue
		}
		peer, ok := m.peers.reserveSlot(now)
		if !ok {
			return actions
		}
		actions = append(actions, m.offerToPeer(now, m.removeQueued(i), peer, "a peer has got room"))
	}
	return actions
}

func (m *Machine) refuseRequest(now time.Time, id ID, reason string) Action {
	return Refuse{ID: id, RetryAfter: m.retrySchedule.nextDelay(now, m.backlogTime(now), m.meanFinishInterval()), Reason: reason}
}

func (m *Machine) handleFinish(now time.Time, e RequestFinished) []Action {
	delete(m.relayed, e.ID)
	r, ok := m.running[e.ID]
	if !ok {
		return nil
	}
	delete(m.running, e.ID)
	var actions []Action
	if e.HasRun {
		actions = m.durations.recordDuration(r, now.Sub(r.startedAt))
	}
	return append(actions, m.dispatchQueued(now)...)
}

func (m *Machine) handleCancel(id ID) {
	delete(m.relayed, id)
	for i := range m.queue {
		if m.queue[i].request.ID == id {
			m.removeQueued(i)
			return
		}
	}
}

// removeQueued removes the request at index i from the queue and returns it.
func (m *Machine) removeQueued(i int) pendingRequest {
	pending := m.queue[i]
	m.queue = append(m.queue[:i], m.queue[i+1:]...)
	return pending
}

func (m *Machine) handleRelayRefusal(now time.Time, e RelayRefused) []Action {
	pending, ok := m.relayed[e.ID]
	if !ok {
		return nil
	}
	delete(m.relayed, e.ID)
	return m.admitRequest(now, pending)
}

// handleUnreachedTarget offers a request that did not reach the target to a peer. Without a peer it refuses the request.
func (m *Machine) handleUnreachedTarget(now time.Time, id ID) []Action {
	r, ok := m.running[id]
	if !ok {
		return nil
	}
	delete(m.running, id)
	actions := m.dispatchQueued(now)
	if r.request.CanRelay && m.strategy.usesClasses() {
		if peer, ok := m.peers.reserveSlot(now); ok {
			pending := pendingRequest{request: r.request, class: r.class, waitingSince: r.startedAt}
			return append(actions, m.offerToPeer(now, pending, peer, "the target takes no connection"))
		}
	}
	return append(actions, m.refuseRequest(now, id, "the target takes no connection"))
}

// dispatchQueued dispatches queued requests while slots are free.
func (m *Machine) dispatchQueued(now time.Time) []Action {
	var actions []Action
	for len(m.running) < m.settings.Slots {
		i := m.strategy.nextIndex(m)
		if i < 0 {
			return actions
		}
		actions = append(actions, m.dispatch(now, m.removeQueued(i), "a slot became free"))
	}
	return actions
}

// refuseLateRequests refuses the queued requests that the strategy no longer expects to start before their deadline.
func (m *Machine) refuseLateRequests(now time.Time) []Action {
	var actions []Action
	for i := 0; i < len(m.queue); {
		if !m.strategy.willMissDeadline(now, m, m.queue[i]) {
			i++
			continue
		}
		pending := m.removeQueued(i)
		actions = append(actions, m.refuseRequest(now, pending.request.ID, "the predicted wait has come to pass the deadline"))
	}
	return actions
}

// effectiveClass returns the class by which a request is admitted. It differs from the declared class when the strategy
// uses classes and the route was reclassified.
func (m *Machine) effectiveClass(r Request) class.Class {
	if m.strategy.usesClasses() {
		return m.durations.classOf(r)
	}
	return r.Class
}

func (m *Machine) countRunning(c class.Class) int {
	n := 0
	for _, r := range m.running {
		if r.class == c {
			n++
		}
	}
	return n
}

func (m *Machine) countQueued(c class.Class) int {
	n := 0
	for i := range m.queue {
		if m.queue[i].class == c {
			n++
		}
	}
	return n
}

// longSlotLimit returns the number of slots that long requests may occupy at once.
func (m *Machine) longSlotLimit() int {
	return max(1, m.settings.Slots-m.currentReserve())
}
