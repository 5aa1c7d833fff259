package admit

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
)

// Names of the policies.
const (
	// PolicyFull reserves slots for short requests, orders the queue by deadline, refuses requests by predicted wait and
	// relays requests to peers.
	PolicyFull = "full"
	// PolicyFIFO is the baseline for comparison: first in, first out, without classes, prediction or relaying.
	PolicyFIFO = "fifo"
)

type decisionKind uint8

const (
	decisionDispatch decisionKind = iota + 1
	decisionRelay
	decisionQueue
	decisionRefuse
)

// decision is the result of strategy.decide. peer is set for decisionRelay, and predictedWait for decisionQueue.
type decision struct {
	kind          decisionKind
	peer          netip.AddrPort
	predictedWait time.Duration
	reason        string
}

// strategy is the part of the Machine that depends on the policy.
type strategy interface {
	// usesClasses reports whether the strategy distinguishes classes, reclassifies routes and relays requests.
	usesClasses() bool
	// decide decides on a request that is neither queued nor running.
	decide(now time.Time, m *Machine, pending pendingRequest) decision
	// nextIndex returns the index in the queue of the request to dispatch, or -1 for none. The caller checks that a slot is
	// free.
	nextIndex(m *Machine) int
	// willMissDeadline reports whether a queued request is expected to miss its deadline.
	willMissDeadline(now time.Time, m *Machine, pending pendingRequest) bool
}

func newStrategy(policy string) (strategy, error) {
	switch policy {
	case PolicyFull, "":
		return fullStrategy{}, nil
	case PolicyFIFO:
		return fifoStrategy{}, nil
	default:
		return nil, eris.Errorf("policy %q, expected %s or %s", policy, PolicyFull, PolicyFIFO)
	}
}

// Reasons of decisions. They appear in logs. The reasons of refusals are also sent to callers, so their texts must not change.
const (
	reasonSlotFree      = "a slot is free"
	reasonQueueFull     = "the queue is full"
	reasonRelayedNoSlot = "a relayed request does not wait"
	reasonTooLate       = "the predicted wait passes the deadline"
	reasonPeerSlotFree  = "a peer has room"
)

// fifoStrategy implements PolicyFIFO.
type fifoStrategy struct{}

func (fifoStrategy) usesClasses() bool { return false }

func (fifoStrategy) decide(_ time.Time, m *Machine, pending pendingRequest) decision {
	switch {
	case len(m.running) < m.settings.Slots && len(m.queue) == 0:
		return decision{kind: decisionDispatch, reason: reasonSlotFree}
	case pending.request.IsRelayed:
		return decision{kind: decisionRefuse, reason: reasonRelayedNoSlot}
	case len(m.queue) >= m.settings.QueueLimit:
		return decision{kind: decisionRefuse, reason: reasonQueueFull}
	default:
		return decision{kind: decisionQueue}
	}
}

func (fifoStrategy) nextIndex(m *Machine) int {
	if len(m.queue) == 0 {
		return -1
	}
	return 0
}

func (fifoStrategy) willMissDeadline(now time.Time, _ *Machine, pending pendingRequest) bool {
	return !now.Before(pending.request.Deadline)
}

// fullStrategy implements PolicyFull.
type fullStrategy struct{}

func (fullStrategy) usesClasses() bool { return true }

func (fullStrategy) decide(now time.Time, m *Machine, pending pendingRequest) decision {
	if m.hasSlotFor(pending.class) {
		return decision{kind: decisionDispatch, reason: reasonSlotFree}
	}
	if pending.request.IsRelayed {
		return decision{kind: decisionRefuse, reason: reasonRelayedNoSlot}
	}
	if pending.canOffer(now) {
		if peer, ok := m.peers.reserveSlot(now); ok {
			return decision{kind: decisionRelay, peer: peer, reason: reasonPeerSlotFree}
		}
	}
	if len(m.queue) >= m.settings.QueueLimit {
		return decision{kind: decisionRefuse, reason: reasonQueueFull}
	}
	predicted := m.predictWait(now, pending)
	if now.Add(predicted + m.durations.mean(pending.class)).After(pending.request.Deadline) {
		return decision{kind: decisionRefuse, reason: reasonTooLate}
	}
	return decision{kind: decisionQueue, predictedWait: predicted}
}

// nextIndex selects short requests before long ones, each by earliest deadline. A long request comes first while no long
// request is running, so that peak load of short requests does not starve the long ones.
func (fullStrategy) nextIndex(m *Machine) int {
	short, long := m.earliestDeadlineIndex(class.Short), m.earliestDeadlineIndex(class.Long)
	runningLong := m.countRunning(class.Long)
	isLongAllowed := long >= 0 && runningLong < m.longSlotLimit()
	switch {
	case isLongAllowed && (short < 0 || runningLong == 0):
		return long
	default:
		return short
	}
}

func (fullStrategy) willMissDeadline(now time.Time, m *Machine, pending pendingRequest) bool {
	return now.Add(m.predictWait(now, pending)).After(pending.request.Deadline)
}

// hasSlotFor reports whether a new request of class c may be dispatched at once, without waiting in the queue.
func (m *Machine) hasSlotFor(c class.Class) bool {
	free := m.settings.Slots - len(m.running)
	if free <= 0 {
		return false
	}
	if c == class.Long {
		return m.countRunning(class.Long) < m.longSlotLimit() && len(m.queue) == 0
	}
	return m.countQueued(class.Short) == 0
}

// earliestDeadlineIndex returns the index of the queued request of class c with the earliest deadline, or -1 for none.
func (m *Machine) earliestDeadlineIndex(c class.Class) int {
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

const (
	// maxOffers is the maximum number of times that one request is offered to a peer. TargetUnreached restarts the count.
	maxOffers = 4
	// minOfferInterval is the minimum time between two offers of one request.
	minOfferInterval = 10 * time.Millisecond
)

// canOffer reports whether the request may be offered to a peer now. Only short requests are offered.
func (p *pendingRequest) canOffer(now time.Time) bool {
	isAllowed := p.request.CanRelay && p.class == class.Short && p.offerCount < maxOffers
	return isAllowed && (p.offerCount == 0 || now.Sub(p.lastOfferAt) >= minOfferInterval)
}

// isBefore reports whether the request comes before another request of its class: by deadline, then by arrival.
func (p *pendingRequest) isBefore(other *pendingRequest) bool {
	if !p.request.Deadline.Equal(other.request.Deadline) {
		return p.request.Deadline.Before(other.request.Deadline)
	}
	return p.waitingSince.Before(other.waitingSince)
}
