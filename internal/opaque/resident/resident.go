// Package resident decides at an agent what becomes of the packets of opaque flows of the target beside it. It is a pure
// state machine: it holds no socket and no clock.
package resident

import (
	"math"
	"time"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
)

// Verdict is what becomes of a packet.
type Verdict uint8

// The verdicts.
const (
	// Deliver gives the packet to the target with the mark.
	Deliver Verdict = iota + 1
	// PassOn sends the packet to the agent that is the next candidate.
	PassOn
	// GiveBack returns the packet to the balancer, since no candidate is left.
	GiveBack
	// Answer sends the target's packet to the caller.
	Answer
	// Drop discards the packet.
	Drop
	// Wait keeps the packet, which opens a flow, until the target has room: until HasRoom reports so.
	Wait
)

// String returns the name that metrics and logs use.
func (v Verdict) String() string {
	return [...]string{"invalid", "deliver", "pass_on", "give_back", "answer", "drop", "wait"}[v]
}

// Reason tells what a verdict rests on.
type Reason uint8

// The reasons.
const (
	Accepting Reason = iota
	Held
	OtherService
	Draining
	Absent
	Silent
	Bounced
	Stale
	Busy
	Forgotten
)

// String returns the name that metrics and logs use.
func (r Reason) String() string {
	return [...]string{
		"accepting", "held", "other_service", "draining", "absent", "silent", "bounced", "stale_mark", "busy", "forgotten",
	}[r]
}

// Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Mark goes with a delivered packet.
	Mark uint32
	// Next is the agent to pass the packet on to.
	Next hop.IP
	// Header goes with a packet that is passed on or given back.
	Header hop.Header
	// TellOrigin is set when the balancer that sent the packet has to learn that the flow is here.
	TellOrigin bool
}

// Bounds of the flow table and of the marks.
const (
	// maxFlows is twice the connections that a target holds (2000), so that half-open flows have room as well.
	maxFlows = 4096
	// markSlots is the number of packets that can be at the target at once: far above 16 packets in flight on the few
	// hundred flows that are active in the milliseconds until a target bounces a packet. A power of two.
	markSlots = 4096
	// idleLimit is above the 15 s after which idle flows may be discarded.
	idleLimit = 20 * time.Second
	// roomFactor is the number of waiting flows for each slot up to which new flows are given to the target: as many
	// requests wait there as run.
	roomFactor = 2
	// fullLoad is the load of a target all of whose slots are in use: fine enough to tell targets apart, and loads up to
	// eight times as high fit a byte.
	fullLoad = 32
	// maxBusy is the number of busy targets after which an opening goes to the least loaded of them. The gain of further
	// ones is small (docs/MEASUREMENTS.md), and each costs a hop.
	maxBusy = 4
	// waitLimit is the time after which a flow without packets no longer counts as waiting: its caller has left. Callers
	// repeat unanswered packets at least every 1.6 s.
	waitLimit = 2 * time.Second
	// openingLifetime is the time for which callers repeat an opening (1.4 s), and a margin for its way. An agent that
	// started later than that ago may have known the flow in its former run.
	openingLifetime = 2 * time.Second
	// paceSamples is the weight of the past in the running mean: as many answers as a slow start of two seconds has.
	paceSamples = 32
	// openLimit is the time in which a caller that is there completes the handshake: far above a round trip to callers,
	// which is 2 to 6 ms. Later the flow no longer counts as waiting.
	openLimit = 100 * time.Millisecond
	// closedLimit is the time for which a finished flow is remembered: the longest retransmission interval of its ends.
	closedLimit = 2 * time.Second
	// hintInterval is the least time between two hints to balancers on one flow. A hint can be lost, and after a change
	// of rotation another balancer needs it.
	hintInterval = 100 * time.Millisecond
)

// held is a flow that the target has accepted.
type held struct {
	seen         time.Time
	hinted       time.Time
	acknowledged uint32
	// sent is the sequence number up to which the caller has sent data, valid when hasSent is set.
	sent    uint32
	hasSent bool
	// isAccepted is set once the target has accepted the flow, isOpen once the caller has said so.
	isAccepted, isOpen bool
	// isServed is set once the target has sent something on the open flow.
	isServed bool
	// isWaiting is set while the caller waits for the target: for its first answer after the handshake, or for the answer
	// to the data that it has sent.
	isWaiting bool
	// finished holds one bit for each end that has sent its last data.
	finished uint8
}

const (
	callerFinished uint8 = 1 << iota
	targetFinished
)

// mark is a packet that was delivered and may bounce.
type mark struct {
	sequence uint32
	header   hop.Header
}

// Resident is the state of the decisions on one target.
type Resident struct {
	self      hop.IP
	startedAt time.Time
	// serviceName is the name of the service.
	serviceName string
	service     desired.ServiceKey
	target      target
	flows       map[flow.ID]*held
	marks       [markSlots]mark
	// sequence numbers the delivered packets, from 1.
	sequence uint32
	// waiting is the number of flows whose isWaiting is set, queued the number of openings that wait for room.
	waiting, queued int
	sweptAt         time.Time
	// pace is the running mean of the time between two answers of a target all of whose slots are in use. answeredAt is
	// the moment of the last answer that left all slots in use.
	pace       time.Duration
	answeredAt time.Time
}

// New returns the state of an agent at the address self, beside a target that runs a service, that starts now.
func New(now time.Time, self hop.IP, service string) *Resident {
	return &Resident{
		self: self, startedAt: now, serviceName: service, service: desired.KeyOf(service),
		flows: make(map[flow.ID]*held),
	}
}

// FromNode returns the decision for a caller's packet that a balancer or another agent sent.
func (r *Resident) FromNode(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	if h.Service != uint64(r.service) {
		return decline(h, OtherService)
	}
	id := p.FromCaller()
	f := r.flows[id]
	if f == nil && p.Opens {
		h.MayBeOpen = h.MayBeOpen || p.Copies > 0 && now.Sub(r.startedAt) < openingLifetime
		return r.opens(now, id, h)
	}
	if r.target.isMissed || r.target.hasLeft && f == nil {
		return decline(h, Absent)
	}
	d := Decision{Verdict: Deliver, Mark: r.remember(h)}
	if f != nil {
		d.Reason = Held
		d.TellOrigin = r.touch(now, id, f, p) && h.Hops > 0 && r.mayHint(now, f)
	}
	return d
}

// opens returns the decision for a packet that opens a flow which the target does not hold.
func (r *Resident) opens(now time.Time, id flow.ID, h *hop.Header) Decision {
	if reason := r.target.refusal(now); reason != Accepting {
		return decline(h, reason)
	}
	if !h.IsSettled && r.isBusy(now) {
		if d, isElsewhere := r.passOver(h); isElsewhere {
			return d
		}
	}
	// The most urgent flows do not wait: the requests on flows that are open already would overtake them. Others do not
	// overtake those that wait.
	if h.Deferral > 0 && (r.queued > 0 || !r.HasRoom()) {
		return Decision{Verdict: Wait, Reason: Busy, Header: *h, TellOrigin: h.Hops > 0}
	}
	return r.offer(now, id, h)
}

// isBusy reports whether no slot of the target is free.
func (r *Resident) isBusy(now time.Time) bool {
	if r.load() >= fullLoad && now.Sub(r.sweptAt) >= openLimit/2 {
		r.Sweep(now)
	}
	return r.load() >= fullLoad
}

// passOver looks for a target with a free slot among the next candidates. When maxBusy of them have none, the least loaded
// one takes the flow. It reports false when that is the target here.
func (r *Resident) passOver(h *hop.Header) (Decision, bool) {
	if load := r.load(); h.Busy == 0 || load < h.Load {
		h.LeastLoaded, h.Load = r.self, load
	}
	h.Busy++
	if h.Busy < maxBusy && h.Count > 0 {
		return decline(h, Busy), true
	}
	if h.LeastLoaded == r.self {
		return Decision{}, false
	}
	return settle(h, Busy), true
}

// settle sends an opening to the least loaded target that it was offered to.
func settle(h *hop.Header, reason Reason) Decision {
	d := Decision{Verdict: PassOn, Reason: reason, Header: *h, Next: h.LeastLoaded}
	d.Header.IsSettled = true
	d.Header.Hops++
	return d
}

// load returns the requests that run or wait at the target and the openings in front of it; fullLoad stands for all of its
// slots. An unknown target is idle.
func (r *Resident) load() uint8 {
	if !r.target.isKnown {
		return 0
	}
	return uint8(min((r.waiting+r.queued)*fullLoad/max(r.target.last.Slots, 1), math.MaxUint8))
}

// SetQueued tells how many openings wait for room.
func (r *Resident) SetQueued(count int) { r.queued = count }

// Offer returns the decision for a packet that opens a flow and has waited for room.
func (r *Resident) Offer(now time.Time, id flow.ID, h *hop.Header) Decision {
	if reason := r.target.refusal(now); reason != Accepting {
		return decline(h, reason)
	}
	return r.offer(now, id, h)
}

// offer gives a flow to the target. It counts as waiting from now on, so that a burst of openings finds no more room than
// there is.
func (r *Resident) offer(now time.Time, id flow.ID, h *hop.Header) Decision {
	r.target.offered(now)
	r.hold(now, id)
	return Decision{Verdict: Deliver, Mark: r.remember(h), TellOrigin: h.Hops > 0}
}

// GiveUp returns the decision for a packet that opens a flow and has waited in vain. The balancer tells the caller at once,
// unless a copy of the packet may have been accepted elsewhere.
func (r *Resident) GiveUp(h *hop.Header, mayBeElsewhere bool) Decision {
	d := Decision{Verdict: GiveBack, Reason: Busy, Header: *h}
	d.Header.Kind, d.Header.Count = hop.Refused, 0
	d.Header.MayBeOpen = h.MayBeOpen || mayBeElsewhere
	return d
}

// Capacity returns the number of requests that the target answers in a time while all of its slots are in use, or 0 when
// that is not known.
func (r *Resident) Capacity(in time.Duration) int {
	if r.pace == 0 {
		return 0
	}
	return max(int(in/r.pace), 1)
}

// measurePace takes the moment of an answer. Two answers in a row count when all slots were in use between them.
func (r *Resident) measurePace(now time.Time) {
	isFull := r.target.isKnown && r.waiting >= r.target.last.Slots
	if isFull && !r.answeredAt.IsZero() {
		took := now.Sub(r.answeredAt)
		if r.pace == 0 {
			r.pace = took
		}
		r.pace += (took - r.pace) / paceSamples
	}
	r.answeredAt = time.Time{}
	if isFull {
		r.answeredAt = now
	}
}

// HasRoom reports whether a new request would run at once or wait only briefly at the target. Before the target has
// told its slots there is always room.
func (r *Resident) HasRoom() bool {
	return !r.target.isKnown || r.waiting < roomFactor*max(r.target.last.Slots, 1)
}

// Instance returns the instance of the target that was heard of last, or an empty text.
func (r *Resident) Instance() string { return r.target.last.Instance }

// Load returns the number of flows that wait for the target, and its slots.
func (r *Resident) Load() (waiting, slots int) { return r.waiting, r.target.last.Slots }

// remember keeps the header of a delivered packet until the target may have bounced it.
func (r *Resident) remember(h *hop.Header) uint32 {
	r.sequence++
	r.marks[r.sequence%markSlots] = mark{sequence: r.sequence, header: *h}
	return r.sequence
}

// touch takes a packet of a caller for a flow that the target holds. It reports whether the flow is open here.
func (r *Resident) touch(now time.Time, id flow.ID, f *held, p *flow.Packet) bool {
	f.seen = now
	switch {
	case p.Resets:
		r.forget(id, f)
		return false
	case p.Opens:
		return false
	}
	f.isOpen, f.acknowledged = f.isAccepted, p.Acknowledged
	if p.Payload > 0 && f.isNew(p.End()) {
		r.setWaiting(f, f.finished&targetFinished == 0)
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

func (r *Resident) setWaiting(f *held, isWaiting bool) {
	if f.isWaiting == isWaiting {
		return
	}
	f.isWaiting = isWaiting
	if isWaiting {
		r.waiting++
	} else {
		r.waiting--
	}
}

// forget removes a flow.
func (r *Resident) forget(id flow.ID, f *held) {
	r.setWaiting(f, false)
	delete(r.flows, id)
}

func (r *Resident) mayHint(now time.Time, f *held) bool {
	if now.Sub(f.hinted) < hintInterval {
		return false
	}
	f.hinted = now
	return true
}

// FromTarget returns the decision for a packet that the target sent.
func (r *Resident) FromTarget(now time.Time, p *flow.Packet) Decision {
	if p.IsBounced {
		r.target.reacted()
		return r.bounced(p)
	}
	if p.Accepts || p.Payload > 0 {
		r.target.heard()
	} else {
		r.target.reacted()
	}
	id := p.FromTarget()
	f := r.flows[id]
	switch {
	case p.Accepts:
		r.hold(now, id).isAccepted = true
	case f == nil:
	case p.Resets:
		r.forget(id, f)
	default:
		r.answered(now, f, p)
	}
	return Decision{Verdict: Answer}
}

func (r *Resident) answered(now time.Time, f *held, p *flow.Packet) {
	f.seen, f.isServed = now, f.isOpen
	if f.isWaiting && (p.Payload > 0 || p.Finishes) {
		r.setWaiting(f, false)
		r.measurePace(now)
	}
	if p.Finishes {
		f.finished |= targetFinished
	}
}

// hold notes a flow that was offered to the target.
func (r *Resident) hold(now time.Time, id flow.ID) *held {
	f := r.flows[id]
	if f == nil {
		f = &held{seen: now}
		if len(r.flows) >= maxFlows {
			return f
		}
		r.flows[id] = f
		r.setWaiting(f, true)
	}
	return f
}

func (r *Resident) bounced(p *flow.Packet) Decision {
	reason := Bounced
	if f := r.flows[p.FromCaller()]; f != nil && (!p.Opens || !f.isAccepted) {
		if f.isServed {
			reason = Forgotten
		}
		r.forget(p.FromCaller(), f)
	}
	m := &r.marks[p.Mark%markSlots]
	if p.Mark == 0 || m.sequence != p.Mark {
		return Decision{Verdict: Drop, Reason: Stale}
	}
	m.sequence = 0
	return decline(&m.header, reason)
}

func decline(h *hop.Header, reason Reason) Decision {
	d := Decision{Verdict: PassOn, Reason: reason, Header: *h}
	next, ok := d.Header.Next()
	if !ok && h.Busy > 0 && !h.IsSettled {
		return settle(h, reason)
	}
	if !ok {
		d.Verdict, d.Header.Kind = GiveBack, hop.Returned
		return d
	}
	d.Next = next
	return d
}

// Ended is a flow that ended with its target.
type Ended struct {
	ID flow.ID
	// Acknowledged is a sequence number that the caller accepts in a reset.
	Acknowledged uint32
}

// Sweep forgets flows that have ended or gone idle.
func (r *Resident) Sweep(now time.Time) {
	r.sweptAt = now
	for id, f := range r.flows {
		idle := now.Sub(f.seen)
		switch {
		case idle > idleLimit || f.finished == callerFinished|targetFinished && idle > closedLimit:
			r.forget(id, f)
		case idle > waitLimit || !f.isOpen && idle > openLimit:
			r.setWaiting(f, false)
		}
	}
}

// Flows returns the number of flows that the target holds.
func (r *Resident) Flows() int { return len(r.flows) }

// lost returns the open flows that ended with the former incarnation of the target, and forgets all.
func (r *Resident) lost() []Ended {
	var ended []Ended
	for id, f := range r.flows {
		if f.isOpen && f.finished&targetFinished == 0 {
			ended = append(ended, Ended{ID: id, Acknowledged: f.acknowledged})
		}
	}
	clear(r.flows)
	r.waiting = 0
	return ended
}
