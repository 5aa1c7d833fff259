package resident

import (
	"time"

	"gentianswitch/internal/opaque/flow"
)

// Bounds and timeouts of the flow table.
const (
	// maxFlows bounds the flows of a target, including half-open ones.
	maxFlows = 4096
	// maxCallerSilence is the time without packets after which a flow no longer counts as waiting: its caller has left.
	// Callers repeat unanswered packets at least every 1.6 s.
	maxCallerSilence = 2 * time.Second
	// maxHandshake bounds the round trip to a caller that is still there. A flow that is not open after this time no longer
	// counts as waiting: its caller has left, or will repeat its opening packet 200 ms after the first.
	maxHandshake = 100 * time.Millisecond
	// closedFlowLifetime is the time for which a finished flow is kept: the longest retransmission interval of its two ends.
	closedFlowLifetime = 2 * time.Second
)

// flowEntry is the state of a flow whose opening packet was delivered to the target.
type flowEntry struct {
	lastPacketAt time.Time
	// createdAt is when the opening packet was first delivered, acceptedAt when the target last accepted the flow, requestedAt
	// when the caller last sent new data.
	createdAt, acceptedAt, requestedAt time.Time
	// notifiedAt is when a balancer was last notified that the flow is at this agent, and answeredAt when the target last sent data, both as
	// the time since the start of the agent: a time.Time has three times the size. answeredAt is valid when hasAnswered is set.
	notifiedAt, answeredAt time.Duration
	// acknowledged is the sequence number that the caller last acknowledged.
	acknowledged uint32
	// sentUpTo is the sequence number up to which the caller has sent data. It is valid when hasSentData is set.
	sentUpTo uint32
	// answeredUpTo is the sequence number that follows the data that the target sent last, and answeredMark the mark of the packet that was
	// last delivered before. They are valid when hasAnswered is set.
	answeredUpTo, answeredMark uint32
	hasSentData                bool
	// hasAnswered is set once the target has sent data.
	hasAnswered bool
	// isAccepted is set once the target has accepted the flow, isOpen once the caller has completed the handshake.
	isAccepted, isOpen bool
	// isServed is set once the target has sent a packet on the open flow.
	isServed bool
	// isCallerWaiting is set while the caller waits for the target: from the delivery of the opening packet until the first
	// data of the target, and later from each request until its answer. hasRequest is set while the target has a request to
	// answer. hadFreeSlot is set when a slot was free as that request arrived.
	isCallerWaiting, hasRequest, hadFreeSlot bool
	// finishedEnds has one bit for each end that has sent its last data.
	finishedEnds uint8
	// served counts the requests that the target has begun to answer, up to math.MaxUint8.
	served uint8
	// runsOnce is set if the requests of the flow must not run twice.
	runsOnce bool
	// opening is that of the flow. It is unknown if this process has not delivered the opening packet.
	opening flow.Opening
	// next is the opening of a later flow with the same ends, from its delivery until the target accepts or bounces it. The target may
	// still hold this flow.
	next nextOpening
}

// nextOpening is an opening that was delivered to the target while the table held an earlier flow with the same ends.
type nextOpening struct {
	opening flow.Opening
	// deliveredAt is the time since the start of the agent.
	deliveredAt time.Duration
	runsOnce    bool
}

const (
	// Bits of flowEntry.finishedEnds.
	callerFinished uint8 = 1 << iota
	targetFinished
)

// recordCallerPacket updates a flow for a packet of its caller. It reports whether the flow is open at this target.
func (r *Machine) recordCallerPacket(now time.Time, id flow.ID, f *flowEntry, p *flow.Packet) bool {
	f.lastPacketAt = now
	switch {
	case p.Resets:
		r.deleteFlow(id, f)
		return false
	case p.Opens:
		return false
	}
	if !f.isOpen && f.isAccepted {
		r.times.recordHandshake(now.Sub(f.createdAt))
	}
	f.isOpen, f.acknowledged = f.isAccepted, p.Acknowledged
	if p.Payload > 0 && f.recordSentData(p.End()) {
		r.setCallerWaiting(f, f.finishedEnds&targetFinished == 0)
		r.recordRequest(now, f)
	}
	if p.Finishes {
		f.finishedEnds |= callerFinished
	}
	return f.isOpen
}

// recordSentData records that the caller has sent data up to a sequence number. It reports false for a retransmission.
func (f *flowEntry) recordSentData(end uint32) bool {
	if f.hasSentData && int32(end-f.sentUpTo) <= 0 {
		return false
	}
	f.sentUpTo, f.hasSentData = end, true
	return true
}

// setCallerWaiting sets whether the caller of a flow waits for the target, and updates the counts of such flows.
func (r *Machine) setCallerWaiting(f *flowEntry, isWaiting bool) {
	if f.isCallerWaiting == isWaiting {
		return
	}
	f.isCallerWaiting = isWaiting
	if isWaiting {
		r.waitingFlows++
		return
	}
	r.waitingFlows--
	if f.hasRequest {
		f.hasRequest = false
		r.outstandingRequests--
	}
}

// recordRequest records that the caller of a waiting flow has sent new data. When a request spans several packets, the last
// one counts, because the target cannot begin before.
func (r *Machine) recordRequest(now time.Time, f *flowEntry) {
	if !f.isCallerWaiting {
		return
	}
	if !f.hasRequest {
		f.hasRequest = true
		r.outstandingRequests++
	}
	f.requestedAt, f.hadFreeSlot = now, r.outstandingRequests <= r.target.lastHeartbeat.Slots
}

func (r *Machine) deleteFlow(id flow.ID, f *flowEntry) {
	r.setCallerWaiting(f, false)
	delete(r.flows, id)
}

// allowNotification reports whether a balancer may be notified about the flow now, and records the notification.
func (r *Machine) allowNotification(now time.Time, f *flowEntry) bool {
	sinceStart := now.Sub(r.startedAt)
	if sinceStart-f.notifiedAt < minNotificationInterval {
		return false
	}
	f.notifiedAt = sinceStart
	return true
}

// recordTargetPacket updates a flow for a packet of the target.
func (r *Machine) recordTargetPacket(now time.Time, f *flowEntry, p *flow.Packet) {
	f.lastPacketAt, f.isServed = now, f.isOpen
	if f.isCallerWaiting && (p.Payload > 0 || p.Finishes) {
		hadSlot := f.hasRequest && f.hadFreeSlot
		f.countServed()
		r.setCallerWaiting(f, false)
		slots := r.target.lastHeartbeat.Slots
		r.times.recordAnswer(now, now.Sub(f.requestedAt), hadSlot, r.target.isKnown && r.outstandingRequests >= slots, slots)
	}
	if p.Payload > 0 {
		r.recordAnswer(now, f, p)
	}
	if p.Finishes {
		f.finishedEnds |= targetFinished
	}
}

// ensureFlow returns the entry of a flow whose opening packet was delivered to the target. It creates the entry if there is
// none. When the table is full, the new entry is not kept.
func (r *Machine) ensureFlow(now time.Time, id flow.ID) *flowEntry {
	f := r.flows[id]
	if f == nil {
		f = &flowEntry{lastPacketAt: now, createdAt: now, notifiedAt: now.Sub(r.startedAt) - minNotificationInterval}
		if len(r.flows) >= maxFlows {
			r.markFlowTableIncomplete(now)
			return f
		}
		r.flows[id] = f
		r.setCallerWaiting(f, true)
	}
	return f
}

// isCopyOfOpening reports whether an opening packet is a copy of one that was delivered to the target for this flow, or for the one that
// is about to replace it. Otherwise it opens another flow from a port that is used again.
func (r *Machine) isCopyOfOpening(now time.Time, f *flowEntry, p *flow.Packet) bool {
	if f.next.opening == p.Opening() {
		return now.Sub(r.startedAt)-f.next.deliveredAt <= openingRetryPeriod
	}
	return (!f.opening.IsKnown || f.opening == p.Opening()) && now.Sub(f.createdAt) <= openingRetryPeriod
}

// isInUse reports whether a flow is open and its ends have sent packets a short time ago, so that its port is not used again yet.
func (f *flowEntry) isInUse(now time.Time) bool {
	return f.isOpen && f.finishedEnds == 0 && now.Sub(f.lastPacketAt) <= maxCallerSilence
}

// recordOpening records the delivery of an opening packet. A flow with the same ends that the target has accepted stays until the target
// accepts the new one: the packet may be late.
func (r *Machine) recordOpening(now time.Time, p *flow.Packet, runsOnce bool) {
	id := p.IDFromCaller()
	if f := r.flows[id]; f != nil && f.isAccepted {
		f.next = nextOpening{opening: p.Opening(), deliveredAt: now.Sub(r.startedAt), runsOnce: runsOnce}
		r.setCallerWaiting(f, true)
		return
	} else if f != nil {
		r.deleteFlow(id, f)
	}
	f := r.ensureFlow(now, id)
	f.opening, f.runsOnce = p.Opening(), runsOnce
}

// recordAcceptance records that the target has accepted a flow. If another opening packet was delivered since the table holds a flow with
// these ends, that flow has ended.
func (r *Machine) recordAcceptance(now time.Time, id flow.ID) {
	f := r.ensureFlow(now, id)
	if next := f.next; next.opening.IsKnown {
		r.deleteFlow(id, f)
		f = r.ensureFlow(now, id)
		f.opening, f.runsOnce, f.createdAt = next.opening, next.runsOnce, r.startedAt.Add(next.deliveredAt)
	}
	f.isAccepted, f.acceptedAt = true, now
	r.target.acceptedAt = now
}

// recordBouncedOpening records that the target has not accepted a flow. One with the same ends that it had accepted before stays.
func (r *Machine) recordBouncedOpening(f *flowEntry, opening flow.Opening) {
	if f.next.opening == opening {
		f.next = nextOpening{}
		r.setCallerWaiting(f, false)
	}
}

// EndedFlow is an open flow that was lost with its target.
type EndedFlow struct {
	ID flow.ID
	// Acknowledged is the sequence number that the caller last acknowledged. The caller accepts a reset that carries it.
	Acknowledged uint32
	// AcceptedAt is when the target accepted the flow, or the zero time if that is not known.
	AcceptedAt time.Time
}

// EndCause is the evidence from which an agent has concluded that flows were lost with their target.
type EndCause uint8

// The causes.
const (
	// Succession means that another incarnation of the target has sent its first heartbeats.
	Succession EndCause = iota + 1
	// Silence means that the target has given no sign of life for too long.
	Silence
	// BouncedPacket means that the target has bounced data of a flow that it had just served.
	BouncedPacket
	// RefusedConnection means that no process listens at the address of a target whose heartbeat is overdue.
	RefusedConnection
	// Recorded means that the flows are those of a record in the store, and that the target has started again since.
	Recorded
)

// String returns the name that logs use.
func (c EndCause) String() string {
	return [...]string{"none", "succession", "silence", "bounced_packet", "refused_connection", "recorded"}[c]
}

// Sweep removes flows that have finished and flows that may be discarded because no packet has come for flowLifetime. Flows
// whose callers have left no longer count as waiting.
func (r *Machine) Sweep(now time.Time) {
	r.lastSweepAt = now
	for id, f := range r.flows {
		idle := now.Sub(f.lastPacketAt)
		switch {
		case idle > r.flowLifetime || f.finishedEnds == callerFinished|targetFinished && idle > closedFlowLifetime:
			r.deleteFlow(id, f)
		case idle > maxCallerSilence || !f.isOpen && idle > maxHandshake:
			r.setCallerWaiting(f, false)
		}
	}
}

// FlowCount returns the number of flows in the table.
func (r *Machine) FlowCount() int { return len(r.flows) }

// endFlowsAcceptedBy removes the flows that the target had accepted by the given time, at which it was still running. It
// returns the open ones. Flows accepted later may belong to its next incarnation.
func (r *Machine) endFlowsAcceptedBy(by time.Time) []EndedFlow {
	return r.endFlows(func(f *flowEntry) bool { return !f.acceptedAt.After(by) })
}

// endFlows removes the flows that the target no longer holds, as isLost reports, and returns the open ones.
func (r *Machine) endFlows(isLost func(*flowEntry) bool) []EndedFlow {
	var ended []EndedFlow
	for id, f := range r.flows {
		if !isLost(f) {
			continue
		}
		if f.isOpen && f.finishedEnds&targetFinished == 0 {
			ended = append(ended, EndedFlow{ID: id, Acknowledged: f.acknowledged, AcceptedAt: f.acceptedAt})
		}
		r.deleteFlow(id, f)
	}
	return ended
}
