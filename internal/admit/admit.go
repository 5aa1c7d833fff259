// Package admit implements the admission of requests to one target: which request takes a slot, waits, goes to a peer
// agent, or is refused.
//
// The decision is a state machine without sockets, goroutines or clocks. Step takes a time and an event and returns
// the actions to carry out. Times must not fall from one call to the next.
package admit

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
)

// Settings are the limits of one target.
type Settings struct {
	// Slots is the number of requests that the target runs at once, at least 1.
	Slots int
	// ShortReserve is the number of slots that long work may not take, or DefaultReserve. Long work keeps at least one
	// slot.
	ShortReserve int
	// QueueLimit is the number of requests that may wait.
	QueueLimit int
	// Policy names the strategy: PolicyFull or PolicyFIFO.
	Policy string
	// Seed makes the spread of Retry-After reproducible.
	Seed uint64
}

// Check reports the first setting that is out of range.
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

// waiting is a request in the queue.
type waiting struct {
	request Request
	class   class.Class
	since   time.Time
	// offers is the number of times that the request was offered to a peer, the last time at offeredAt.
	offers    int
	offeredAt time.Time
}

// running is a request that the target runs.
type running struct {
	request Request
	class   class.Class
	started time.Time
}

// Machine admits the requests of one target. It is not safe for concurrent use.
type Machine struct {
	settings  Settings
	strategy  strategy
	queue     []waiting
	running   map[ID]running
	relayed   map[ID]waiting
	durations *durations
	use       shortUse
	peers     peers
	returns   returnSchedule
}

// New returns a machine with nothing running.
func New(settings Settings) (*Machine, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	chosen, err := newStrategy(settings.Policy)
	if err != nil {
		return nil, err
	}
	settings.ShortReserve = declaredReserve(settings.ShortReserve, settings.Slots)
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	return &Machine{
		settings:  settings,
		strategy:  chosen,
		running:   make(map[ID]running),
		relayed:   make(map[ID]waiting),
		durations: newDurations(),
		peers:     newPeers(random),
		returns:   returnSchedule{random: random},
	}, nil
}

// Step applies an event and returns the actions that follow from it.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.advanceUse(now)
	switch e := event.(type) {
	case Arrive:
		return m.arrive(now, e.Request)
	case Finish:
		return m.finish(now, e)
	case Cancel:
		m.cancel(e.ID)
		return m.dispatchWaiting(now)
	case Tick:
		actions := append(m.giveUp(now), m.dispatchWaiting(now)...)
		return append(actions, m.offerWaiting(now)...)
	case PeerRoom:
		m.peers.set(now, e.Peer, e.Room)
		return nil
	case RelayRefused:
		return m.relayRefused(now, e)
	case Unreached:
		return m.unreached(now, e.ID)
	case Limits:
		m.setLimits(e)
		return m.dispatchWaiting(now)
	default:
		return nil
	}
}

// Running returns the number of slots in use.
func (m *Machine) Running() int { return len(m.running) }

// Waiting returns the number of requests in the queue.
func (m *Machine) Waiting() int { return len(m.queue) }

// Room returns the number of slots that a relayed request could take at once.
func (m *Machine) Room() int {
	return max(0, m.settings.Slots-len(m.running)-len(m.queue))
}

func (m *Machine) arrive(now time.Time, r Request) []Action {
	w := waiting{request: r, class: m.effectiveClass(r), since: now}
	if w.class == class.Feed {
		return []Action{Dispatch{ID: r.ID, Reason: "a feed takes no slot"}}
	}
	return m.place(now, w)
}

// place decides on a request that neither waits nor runs.
func (m *Machine) place(now time.Time, w waiting) []Action {
	id := w.request.ID
	v := m.strategy.accept(now, m, w)
	switch v.kind {
	case takeSlot:
		return []Action{m.start(now, w, v.reason)}
	case relayToPeer:
		return []Action{m.offer(now, w, v.peer, v.reason)}
	case wait:
		m.queue = append(m.queue, w)
		return []Action{Queue{ID: id, Length: len(m.queue), Predicted: v.predicted}}
	default:
		return []Action{m.refuse(now, id, v.reason)}
	}
}

func (m *Machine) start(now time.Time, w waiting, reason string) Action {
	m.running[w.request.ID] = running{request: w.request, class: w.class, started: now}
	return Dispatch{ID: w.request.ID, Waited: now.Sub(w.since), Reason: reason}
}

// offer passes a request to a peer.
func (m *Machine) offer(now time.Time, w waiting, peer netip.AddrPort, reason string) Action {
	w.offers++
	w.offeredAt = now
	m.relayed[w.request.ID] = w
	return Relay{ID: w.request.ID, Peer: peer, Reason: reason}
}

// offerWaiting offers waiting requests to peers that have got room since.
func (m *Machine) offerWaiting(now time.Time) []Action {
	var actions []Action
	for i := 0; i < len(m.queue); {
		if !m.strategy.usesClasses() || !m.queue[i].canOffer(now) {
			i++
			continue
		}
		peer, ok := m.peers.take(now)
		if !ok {
			return actions
		}
		actions = append(actions, m.offer(now, m.remove(i), peer, "a peer has got room"))
	}
	return actions
}

func (m *Machine) refuse(now time.Time, id ID, reason string) Action {
	return Refuse{ID: id, RetryAfter: m.returns.next(now, m.backlog(now), m.spacing()), Reason: reason}
}

func (m *Machine) finish(now time.Time, e Finish) []Action {
	delete(m.relayed, e.ID)
	r, ok := m.running[e.ID]
	if !ok {
		return nil
	}
	delete(m.running, e.ID)
	var actions []Action
	if e.HasRun {
		actions = m.durations.observe(r, now.Sub(r.started))
	}
	return append(actions, m.dispatchWaiting(now)...)
}

func (m *Machine) cancel(id ID) {
	delete(m.relayed, id)
	for i := range m.queue {
		if m.queue[i].request.ID == id {
			m.remove(i)
			return
		}
	}
}

func (m *Machine) remove(i int) waiting {
	w := m.queue[i]
	m.queue = append(m.queue[:i], m.queue[i+1:]...)
	return w
}

func (m *Machine) relayRefused(now time.Time, e RelayRefused) []Action {
	w, ok := m.relayed[e.ID]
	if !ok {
		return nil
	}
	delete(m.relayed, e.ID)
	return m.place(now, w)
}

// unreached passes a request that the target did not take to a peer, or refuses it.
func (m *Machine) unreached(now time.Time, id ID) []Action {
	r, ok := m.running[id]
	if !ok {
		return nil
	}
	delete(m.running, id)
	next := m.dispatchWaiting(now)
	if r.request.CanRelay && m.strategy.usesClasses() {
		if peer, ok := m.peers.take(now); ok {
			w := waiting{request: r.request, class: r.class, since: r.started}
			return append(next, m.offer(now, w, peer, "the target takes no connection"))
		}
	}
	return append(next, m.refuse(now, id, "the target takes no connection"))
}

// dispatchWaiting fills the free slots from the queue.
func (m *Machine) dispatchWaiting(now time.Time) []Action {
	var actions []Action
	for len(m.running) < m.settings.Slots {
		i := m.strategy.next(m)
		if i < 0 {
			return actions
		}
		actions = append(actions, m.start(now, m.remove(i), "a slot became free"))
	}
	return actions
}

// giveUp refuses the waiting requests that the strategy no longer expects to start in time.
func (m *Machine) giveUp(now time.Time) []Action {
	var actions []Action
	for i := 0; i < len(m.queue); {
		if !m.strategy.isHopeless(now, m, m.queue[i]) {
			i++
			continue
		}
		w := m.remove(i)
		actions = append(actions, m.refuse(now, w.request.ID, "the predicted wait has come to pass the deadline"))
	}
	return actions
}

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

func (m *Machine) countWaiting(c class.Class) int {
	n := 0
	for i := range m.queue {
		if m.queue[i].class == c {
			n++
		}
	}
	return n
}

// longLimit is the number of slots that long work may take at once.
func (m *Machine) longLimit() int {
	return max(1, m.settings.Slots-m.reserve())
}
