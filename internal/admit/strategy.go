package admit

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
)

// Names of the policies.
const (
	// PolicyFull keeps slots for short work, orders by deadline, refuses by predicted wait and relays to peers.
	PolicyFull = "full"
	// PolicyFIFO is the baseline: first in, first out, without classes, prediction or relaying.
	PolicyFIFO = "fifo"
)

type verdictKind uint8

const (
	takeSlot verdictKind = iota + 1
	relayToPeer
	wait
	refuse
)

// verdict is what a strategy decides on a request.
type verdict struct {
	kind      verdictKind
	peer      netip.AddrPort
	predicted time.Duration
	reason    string
}

// strategy is the part of the machine that policies differ in.
type strategy interface {
	usesClasses() bool
	// accept decides on a request that neither waits nor runs.
	accept(now time.Time, m *Machine, w waiting) verdict
	// next returns the index in the queue of the request to dispatch, or -1. At least one slot is free.
	next(m *Machine) int
	// isHopeless reports whether a waiting request can no longer be served in time.
	isHopeless(now time.Time, m *Machine, w waiting) bool
}

func newStrategy(policy string) (strategy, error) {
	switch policy {
	case PolicyFull, "":
		return full{}, nil
	case PolicyFIFO:
		return fifo{}, nil
	default:
		return nil, eris.Errorf("policy %q, expected %s or %s", policy, PolicyFull, PolicyFIFO)
	}
}

const (
	reasonSlotFree  = "a slot is free"
	reasonQueueFull = "the queue is full"
	reasonNoRoom    = "a relayed request does not wait"
	reasonTooLate   = "the predicted wait passes the deadline"
	reasonPeerRoom  = "a peer has room"
)

// fifo is the baseline strategy.
type fifo struct{}

func (fifo) usesClasses() bool { return false }

func (fifo) accept(_ time.Time, m *Machine, w waiting) verdict {
	switch {
	case len(m.running) < m.settings.Slots && len(m.queue) == 0:
		return verdict{kind: takeSlot, reason: reasonSlotFree}
	case w.request.IsRelayed:
		return verdict{kind: refuse, reason: reasonNoRoom}
	case len(m.queue) >= m.settings.QueueLimit:
		return verdict{kind: refuse, reason: reasonQueueFull}
	default:
		return verdict{kind: wait}
	}
}

func (fifo) next(m *Machine) int {
	if len(m.queue) == 0 {
		return -1
	}
	return 0
}

func (fifo) isHopeless(now time.Time, _ *Machine, w waiting) bool {
	return !now.Before(w.request.Deadline)
}

// full is the strategy for production.
type full struct{}

func (full) usesClasses() bool { return true }

func (full) accept(now time.Time, m *Machine, w waiting) verdict {
	if m.canStart(w.class) {
		return verdict{kind: takeSlot, reason: reasonSlotFree}
	}
	if w.request.IsRelayed {
		return verdict{kind: refuse, reason: reasonNoRoom}
	}
	if w.canOffer(now) {
		if peer, ok := m.peers.take(now); ok {
			return verdict{kind: relayToPeer, peer: peer, reason: reasonPeerRoom}
		}
	}
	if len(m.queue) >= m.settings.QueueLimit {
		return verdict{kind: refuse, reason: reasonQueueFull}
	}
	predicted := m.predictWait(now, w)
	if now.Add(predicted + m.durations.mean(w.class)).After(w.request.Deadline) {
		return verdict{kind: refuse, reason: reasonTooLate}
	}
	return verdict{kind: wait, predicted: predicted}
}

// next serves short requests by earliest deadline before long ones, but a waiting long request is owed one slot, so
// that a crest of short work does not starve it.
func (full) next(m *Machine) int {
	short, long := m.earliest(class.Short), m.earliest(class.Long)
	runningLong := m.countRunning(class.Long)
	isLongAllowed := long >= 0 && runningLong < m.longLimit()
	switch {
	case isLongAllowed && (short < 0 || runningLong == 0):
		return long
	default:
		return short
	}
}

func (full) isHopeless(now time.Time, m *Machine, w waiting) bool {
	return now.Add(m.predictWait(now, w)).After(w.request.Deadline)
}

// canStart reports whether a request of class c that arrives now may take a slot ahead of the queue.
func (m *Machine) canStart(c class.Class) bool {
	free := m.settings.Slots - len(m.running)
	if free <= 0 {
		return false
	}
	if c == class.Long {
		return m.countRunning(class.Long) < m.longLimit() && len(m.queue) == 0
	}
	return m.countWaiting(class.Short) == 0
}

// earliest returns the index of the waiting request of class c with the earliest deadline, or -1.
func (m *Machine) earliest(c class.Class) int {
	found := -1
	for i := range m.queue {
		if m.queue[i].class != c {
			continue
		}
		if found < 0 || m.queue[i].isBefore(&m.queue[found]) {
			found = i
		}
	}
	return found
}

// Limits of the offers of one request to peers.
const (
	maxOffers = 4
	// offerPause is the time between two offers of one request.
	offerPause = 10 * time.Millisecond
)

// canOffer reports whether the request may be offered to a peer now.
func (w *waiting) canOffer(now time.Time) bool {
	isAllowed := w.request.CanRelay && w.class == class.Short && w.offers < maxOffers
	return isAllowed && (w.offers == 0 || now.Sub(w.offeredAt) >= offerPause)
}

// isBefore orders requests of one class by deadline, then by arrival.
func (w *waiting) isBefore(other *waiting) bool {
	if !w.request.Deadline.Equal(other.request.Deadline) {
		return w.request.Deadline.Before(other.request.Deadline)
	}
	return w.since.Before(other.since)
}
