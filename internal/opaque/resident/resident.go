// Package resident decides, at the agent of a target, what happens to each packet of an opaque flow. It is a pure state
// machine: it holds no socket, and the time is an argument of its methods.
package resident

import (
	"time"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
)

// Verdict says what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	// Deliver sends the packet to the target, with the decision's mark.
	Deliver Verdict = iota + 1
	// ForwardNext sends the packet to the agent of the next candidate.
	ForwardNext
	// ReturnToBalancer returns the packet to the balancer that sent it: no candidate is left, the wait limit has passed, or the
	// agent's queue is full.
	ReturnToBalancer
	// SendToCaller sends a packet of the target to the caller.
	SendToCaller
	// Drop discards the packet.
	Drop
	// Wait queues an opening packet until HasRoom reports that the target has room.
	Wait
)

// String returns the name that metrics and logs use.
func (v Verdict) String() string {
	return [...]string{"invalid", "deliver", "pass_on", "give_back", "answer", "drop", "wait"}[v]
}

// Reason is why a verdict was reached.
type Reason uint8

// The reasons.
const (
	// Accepting means that the target accepts new flows. It is also the reason when none is given.
	Accepting Reason = iota
	// FlowHeld means that the target holds the flow.
	FlowHeld
	// OtherService means that the packet is for a service other than the target's.
	OtherService
	// Draining means that the target accepts no new flow because it drains.
	Draining
	// Absent means that no target is there: it has left, or it has given no sign of life for too long.
	Absent
	// Silent means that the target has not answered an opening packet in time.
	Silent
	// Bounced means that the target returned the packet because it does not hold the flow.
	Bounced
	// StaleMark means that a bounced packet has no mark, or one whose header the agent no longer keeps.
	StaleMark
	// Busy means that no slot of the target is free.
	Busy
	// Forgotten means that the target bounced a packet of a flow that it, or the instance before it, has served.
	Forgotten
	// FlowNotHeld means that the agent's complete flow table does not contain the flow.
	FlowNotHeld
	// Stopping means that the agent shuts down.
	Stopping
	// Joining means that some balancers may not know the target yet.
	Joining
	// Evacuated means that the target accepts no new flow because its availability zone is evacuated.
	Evacuated
	// Cold means that the target, which has just started or returned to service, has received as many opening packets as it may for now.
	Cold
)

// String returns the name that metrics and logs use.
func (r Reason) String() string {
	return [...]string{
		"accepting", "held", "other_service", "draining", "absent", "silent", "bounced", "stale_mark", "busy", "forgotten",
		"not_held", "stopping", "joining", "evacuated", "cold",
	}[r]
}

// Decision says what to do with one packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Mark is written into a delivered packet. It identifies the packet if the target bounces it.
	Mark uint32
	// Next is the agent to forward the packet to.
	Next hop.IP
	// Header is the header of a packet that is forwarded, returned to the balancer or queued.
	Header hop.Header
	// PreviousInstance is the instance that held the flow. It is set with the reason Forgotten.
	PreviousInstance string
	// NotifyOrigin is set when the balancer that sent the packet has to learn that the flow with this opening is at this agent.
	NotifyOrigin bool
	Opening      flow.Opening
}

// Bounds and intervals.
const (
	// deliveryRingSize is the number of delivered packets whose headers are kept, so that they can be forwarded when the
	// target bounces them. It must be a power of two, so that marks index the ring in sequence when they wrap around.
	deliveryRingSize = 4096
	// openingRetryPeriod is the time for which callers repeat an opening packet (1.4 s), plus a margin for the network. While
	// an agent process is younger than this, the process before it may have carried the flow of a retransmitted opening packet.
	openingRetryPeriod = 2 * time.Second
	// minNotificationInterval is the minimum time between two notifications of balancers that a flow is at this agent. They
	// are repeated because one can be lost. Also, when the set of balancers in rotation changes, another balancer receives the
	// flow's packets and has to be notified.
	minNotificationInterval = 100 * time.Millisecond
)

// deliveredPacket is the header of a packet that was delivered and that the target may bounce.
type deliveredPacket struct {
	// mark identifies the packet. It is 0 once the target has bounced the packet.
	mark   uint32
	header hop.Header
}

// Machine decides on the packets that reach the agent of one target. Its methods must not be called concurrently.
type Machine struct {
	self        hop.IP
	startedAt   time.Time
	serviceName string
	service     desired.ServiceKey
	// flowLifetime is the age from which the platform allows a flow to be discarded.
	flowLifetime time.Duration
	target       target
	flows        map[flow.ID]*flowEntry
	// incompleteUntil is the time at which the last flow that the table may lack reaches flowLifetime.
	incompleteUntil time.Time
	// deliveries is a ring of the latest delivered packets, indexed by mark.
	deliveries [deliveryRingSize]deliveredPacket
	// lastMark is the mark of the latest delivered packet. Marks start at the time of the start in microseconds, so that no mark of an
	// earlier process is valid: a process delivers less than one packet per microsecond.
	lastMark uint32
	// waitingFlows counts the flows whose caller waits for the target. outstandingRequests counts those of them whose caller
	// has sent a request. pendingFlows counts the flows whose opening packets wait at the agent for room at the target.
	waitingFlows, outstandingRequests, pendingFlows int
	lastSweepAt                                     time.Time
	times                                           serviceTimes
	// openings limits the opening packets that the target receives while it is cold, and for rampDuration after rampStartedAt. coldRate
	// is the number of requests per second that a cold target can handle, or 0, in the configuration of coldRateVersion.
	openings        openingLimiter
	coldRate        uint16
	coldRateVersion uint64
	rampStartedAt   time.Time
	// endedByBounce is what TakeEndedFlows returns.
	endedByBounce Outcome
	probe         probe
}

// New returns the machine of an agent that starts now at the address self, beside a target of the named service. Flows older
// than flowLifetime may be discarded.
func New(now time.Time, self hop.IP, service string, flowLifetime time.Duration) *Machine {
	r := &Machine{
		self: self, startedAt: now, serviceName: service, service: desired.ServiceKeyOf(service), flowLifetime: flowLifetime,
		flows: make(map[flow.ID]*flowEntry), lastMark: uint32(now.UnixMicro()),
	}
	r.markFlowTableIncomplete(now)
	return r
}

// HandleCallerPacket returns the decision for a packet of a caller, which a balancer or another agent sent.
func (r *Machine) HandleCallerPacket(now time.Time, p *flow.Packet, h *hop.Header) Decision {
	if h.Service != uint64(r.service) {
		return decline(h, OtherService)
	}
	id := p.IDFromCaller()
	f := r.flows[id]
	if p.Opens && (f == nil || !f.isInUse(now) && !r.isCopyOfOpening(now, f, p)) {
		h.MayBeOpen = h.MayBeOpen || p.Retransmissions > 0 && now.Sub(r.startedAt) < openingRetryPeriod && !r.IsFlowTableComplete(now)
		return r.handleOpening(now, p, h)
	}
	// A target that has reported its shutdown may still send the last answers of its flows.
	if r.target.hasTimedOut || r.target.hasLeft && f == nil {
		return decline(h, Absent)
	}
	switch {
	case f != nil:
		return r.deliverOfFlow(now, id, f, p, h)
	case r.IsFlowTableComplete(now):
		return decline(h, FlowNotHeld)
	default:
		return Decision{Verdict: Deliver, Mark: r.recordDelivery(h)}
	}
}

// deliverOfFlow returns the decision for a caller's packet of a flow in the table.
func (r *Machine) deliverOfFlow(now time.Time, id flow.ID, f *flowEntry, p *flow.Packet, h *hop.Header) Decision {
	if p.Opens {
		if reason := r.target.declineReason(now); reason != Accepting && !r.isCopyOfOpening(now, f, p) {
			// A late copy, or a new flow from the port of one that is in use. The caller repeats the packet if it gets no answer.
			return Decision{Verdict: Drop, Reason: reason}
		}
		if !r.canDeliverCopy(now) {
			// The target has the flow already. The caller repeats the packet if it gets no answer.
			return Decision{Verdict: Drop, Reason: Cold}
		}
		r.recordOpeningDelivery(now)
	}
	d := Decision{Verdict: Deliver, Reason: FlowHeld, Mark: r.recordDelivery(h)}
	d.NotifyOrigin = r.recordCallerPacket(now, id, f, p) && h.Hops > 0 && r.allowNotification(now, f)
	d.Opening = f.opening
	return d
}

// recordDelivery keeps the header of a delivered packet in case the target bounces it, and returns the packet's mark.
func (r *Machine) recordDelivery(h *hop.Header) uint32 {
	r.lastMark++
	r.deliveries[r.lastMark%deliveryRingSize] = deliveredPacket{mark: r.lastMark, header: *h}
	return r.lastMark
}

// HandleTargetPacket returns the decision for a packet that the target sent.
func (r *Machine) HandleTargetPacket(now time.Time, p *flow.Packet) Decision {
	if p.IsBounced {
		r.target.recordStackReply()
		return r.handleBounce(now, p)
	}
	if p.Accepts || p.Payload > 0 {
		r.target.recordSignOfLife(now)
	} else {
		r.target.recordStackReply()
	}
	id := p.IDFromTarget()
	f := r.flows[id]
	switch {
	case p.Accepts:
		r.recordAcceptance(now, id)
	case f == nil:
	case p.Resets:
		r.deleteFlow(id, f)
	default:
		r.recordTargetPacket(now, f, p)
	}
	return Decision{Verdict: SendToCaller}
}

// handleBounce returns the decision for a packet that the target bounced because it does not hold the flow.
func (r *Machine) handleBounce(now time.Time, p *flow.Packet) Decision {
	m := &r.deliveries[p.Mark%deliveryRingSize]
	isStale := p.Mark == 0 || m.mark != p.Mark
	reason, previousInstance := Bounced, ""
	f := r.flows[p.IDFromCaller()]
	if f != nil && p.Opens {
		r.recordBouncedOpening(f, p.Opening())
	}
	if f != nil && (!p.Opens || !f.isAccepted) {
		if f.isServed {
			reason, previousInstance = Forgotten, r.target.instanceAt(f.acceptedAt)
		}
		r.deleteFlow(p.IDFromCaller(), f)
		if !isStale && r.isBounceProof(now, f, p) {
			r.endFlowsByBounce(f, p.Mark)
		}
	}
	if isStale {
		return Decision{Verdict: Drop, Reason: StaleMark}
	}
	m.mark = 0
	d := decline(&m.header, reason)
	d.PreviousInstance = previousInstance
	return d
}

// decline returns the decision for a packet that the target does not accept: it goes to the next candidate, or to the least
// loaded of the busy targets, or back to the balancer. The agent drops a duplicate, since the candidate search continues with
// the original.
func decline(h *hop.Header, reason Reason) Decision {
	if h.IsDuplicate {
		return Decision{Verdict: Drop, Reason: reason}
	}
	d := Decision{Verdict: ForwardNext, Reason: reason, Header: *h}
	next, ok := d.Header.PopCandidate()
	if !ok && h.BusyCount > 0 && !h.MustAccept {
		return sendToLeastLoaded(h, reason)
	}
	if !ok {
		d.Verdict, d.Header.Kind = ReturnToBalancer, hop.Returned
		return d
	}
	d.Next = next
	return d
}
