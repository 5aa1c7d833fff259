package resident

import (
	"time"

	"gentianswitch/internal/opaque/flow"
)

// Bounds of the flow table.
const (
	// maxFlows bounds the flows of a target, half-open ones among them.
	maxFlows = 4096
	// waitLimit is the time after which a flow without packets no longer counts as waiting: its caller has left. Callers
	// repeat unanswered packets at least every 1.6 s.
	waitLimit = 2 * time.Second
	// openLimit bounds the round trip to a caller that is there. A flow that has not opened by then no longer counts as waiting:
	// its caller has left, or repeats its opening 200 ms after the first.
	openLimit = 100 * time.Millisecond
	// closedLimit is the time for which a finished flow is remembered: the longest retransmission interval of its ends.
	closedLimit = 2 * time.Second
)

// held is a flow that the target has accepted.
type held struct {
	seen time.Time
	// offeredAt is when the target was offered the flow, acceptedAt when it last accepted it, askedAt when its caller last
	// sent data.
	offeredAt, acceptedAt, askedAt time.Time
	hinted                         time.Time
	acknowledged                   uint32
	// sent is the sequence number up to which the caller has sent data, valid when hasSent is set.
	sent    uint32
	hasSent bool
	// isAccepted is set once the target has accepted the flow, isOpen once the caller has said so.
	isAccepted, isOpen bool
	// isServed is set once the target has sent something on the open flow.
	isServed bool
	// isWaiting is set while the caller waits for the target: for its first answer after the handshake, or for the answer
	// to the data that it has sent. hasAsked is set in the latter case, hadSlot when a slot was free then.
	isWaiting, hasAsked, hadSlot bool
	// finished holds one bit for each end that has sent its last data.
	finished uint8
}

const (
	callerFinished uint8 = 1 << iota
	targetFinished
)

// touch takes a packet of a caller for a flow that the target holds. It reports whether the flow is open here.
func (r *Machine) touch(now time.Time, id flow.ID, f *held, p *flow.Packet) bool {
	f.seen = now
	switch {
	case p.Resets:
		r.forget(id, f)
		return false
	case p.Opens:
		return false
	}
	if !f.isOpen && f.isAccepted {
		r.pace.opened(now.Sub(f.offeredAt))
	}
	f.isOpen, f.acknowledged = f.isAccepted, p.Acknowledged
	if p.Payload > 0 && f.isNew(p.End()) {
		r.setWaiting(f, f.finished&targetFinished == 0)
		r.ask(now, f)
	}
	if p.Finishes {
		f.finished |= callerFinished
	}
	return f.isOpen
}

// isNew notes that the caller has sent data up to a sequence number. It reports false for data that was sent before.
func (f *held) isNew(end uint32) bool {
	if f.hasSent && int32(end-f.sent) <= 0 {
		return false
	}
	f.sent, f.hasSent = end, true
	return true
}

func (r *Machine) setWaiting(f *held, isWaiting bool) {
	if f.isWaiting == isWaiting {
		return
	}
	f.isWaiting = isWaiting
	if isWaiting {
		r.waiting++
		return
	}
	r.waiting--
	if f.hasAsked {
		f.hasAsked = false
		r.asked--
	}
}

// ask notes that the caller of a flow that waits has sent data. Of data in several packets the last counts: the target cannot
// begin before.
func (r *Machine) ask(now time.Time, f *held) {
	if !f.isWaiting {
		return
	}
	if !f.hasAsked {
		f.hasAsked = true
		r.asked++
	}
	f.askedAt, f.hadSlot = now, r.asked <= r.target.last.Slots
}

// forget removes a flow.
func (r *Machine) forget(id flow.ID, f *held) {
	r.setWaiting(f, false)
	delete(r.flows, id)
}

func (r *Machine) mayHint(now time.Time, f *held) bool {
	if now.Sub(f.hinted) < hintInterval {
		return false
	}
	f.hinted = now
	return true
}

func (r *Machine) answered(now time.Time, f *held, p *flow.Packet) {
	f.seen, f.isServed = now, f.isOpen
	if f.isWaiting && (p.Payload > 0 || p.Finishes) {
		hadSlot := f.hasAsked && f.hadSlot
		r.setWaiting(f, false)
		slots := r.target.last.Slots
		r.pace.answered(now, now.Sub(f.askedAt), hadSlot, r.target.isKnown && r.asked >= slots, slots)
	}
	if p.Finishes {
		f.finished |= targetFinished
	}
}

// hold notes a flow that was offered to the target.
func (r *Machine) hold(now time.Time, id flow.ID) *held {
	f := r.flows[id]
	if f == nil {
		f = &held{seen: now, offeredAt: now}
		if len(r.flows) >= maxFlows {
			r.miss(now)
			return f
		}
		r.flows[id] = f
		r.setWaiting(f, true)
	}
	return f
}

// EndedFlow is a flow that ended with its target.
type EndedFlow struct {
	ID flow.ID
	// Acknowledged is a sequence number that the caller accepts in a reset.
	Acknowledged uint32
}

// Sweep forgets flows that have ended, and those without packets for so long that they may be discarded.
func (r *Machine) Sweep(now time.Time) {
	r.sweptAt = now
	for id, f := range r.flows {
		idle := now.Sub(f.seen)
		switch {
		case idle > r.flowLifetime || f.finished == callerFinished|targetFinished && idle > closedLimit:
			r.forget(id, f)
		case idle > waitLimit || !f.isOpen && idle > openLimit:
			r.setWaiting(f, false)
		}
	}
}

// FlowCount returns the number of flows that the target holds.
func (r *Machine) FlowCount() int { return len(r.flows) }

// lost forgets the flows that the target had accepted by a moment at which it still ran, and returns the open ones of them. Later
// flows may be those of its next incarnation.
func (r *Machine) lost(by time.Time) []EndedFlow {
	var ended []EndedFlow
	for id, f := range r.flows {
		if f.acceptedAt.After(by) {
			continue
		}
		if f.isOpen && f.finished&targetFinished == 0 {
			ended = append(ended, EndedFlow{ID: id, Acknowledged: f.acknowledged})
		}
		r.forget(id, f)
	}
	return ended
}
