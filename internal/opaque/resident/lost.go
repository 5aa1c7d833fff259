package resident

import (
	"slices"
	"time"

	"gentianswitch/internal/opaque/flow"
)

// A bounced packet proves that an incarnation of the target has ended if the target held the flow a short time ago, nobody has
// closed it, and the target had no right to discard it: a running target bounces no data of a flow that it holds, and answers data of a
// flow that it has closed with a reset. It may discard flows that are idle or old. The incarnation has then ended after the last data
// that it sent, and every flow that it had accepted by that time is lost.

const (
	// maxAnsweredAge is the age from which the last answer on a flow is too old for its bounce to be a proof. Targets may close flows
	// that are idle for 12 s, and forget them later. The bound is less than half of that, since packets can be delayed.
	maxAnsweredAge = 5 * time.Second
	// maxAgeError is the time by which a flow may be older than the agent knows. A process that starts may first see a late copy of
	// the opening packet (openingRetryPeriod), and the clock of the process stands still while its VM is suspended.
	maxAgeError = 5 * time.Second
	// maxSequenceDistance is the distance from the target's last data within which a caller's acknowledgement belongs to the same flow.
	// A packet of an earlier flow of the same port can be late.
	maxSequenceDistance = flow.ResetWindow
)

// recordAnswer records that the target has sent data on a flow.
func (r *Machine) recordAnswer(now time.Time, f *flowEntry, p *flow.Packet) {
	f.answeredAt, f.answeredMark, f.answeredUpTo, f.hasAnswered = now.Sub(r.startedAt), r.lastMark, p.End(), true
}

// hasAnsweredSince reports whether the target has sent data on a flow since the packet with a mark was delivered to it.
func (f *flowEntry) hasAnsweredSince(mark uint32) bool {
	return f.hasAnswered && int32(f.answeredMark-mark) >= 0
}

// isBounceProof reports whether a bounced packet of a flow proves that the incarnation of the target that served the flow has ended.
// The mark of the packet must be valid. The packet must be data that was delivered after the last answer on the flow: a packet delivered
// earlier may have bounced before the target accepted the flow, and the platform does not say how a target treats other packets of
// flows that it has closed.
func (r *Machine) isBounceProof(now time.Time, f *flowEntry, p *flow.Packet) bool {
	isData := p.Payload > 0 && !p.Opens && !p.Finishes && !p.Resets
	if !isData || !f.isServed || !f.hasAnswered || f.finishedEnds != 0 || f.hasAnsweredSince(p.Mark) {
		return false
	}
	if now.Sub(f.createdAt) >= r.flowLifetime-maxAgeError {
		return false
	}
	answeredAt, distance := r.startedAt.Add(f.answeredAt), int32(p.Acknowledged-f.answeredUpTo)
	isRecent := !f.acceptedAt.After(answeredAt) && now.Sub(answeredAt) <= maxAnsweredAge
	return isRecent && -maxSequenceDistance <= distance && distance <= maxSequenceDistance
}

// endFlowsByBounce ends the flows of the incarnation that served the flow f, which has bounced with the given mark.
func (r *Machine) endFlowsByBounce(f *flowEntry, mark uint32) {
	by := r.lastAnswerOfIncarnation(r.startedAt.Add(f.answeredAt), mark)
	r.endedByBounce = Outcome{
		PreviousInstance: r.target.instanceAt(f.acceptedAt), Cause: BouncedPacket,
		EndedFlows: r.endServedFlows(by, func(other *flowEntry) bool { return other.hasAnsweredSince(mark) }),
	}
}

// lastAnswerOfIncarnation returns the time of the last data that an incarnation has sent, which was running at the time at, and did not
// receive the packet with the given mark. Only that incarnation or an earlier one sends data on flows accepted by then, so it was still
// running when the last of these answers came, and also accepted the flows until then.
func (r *Machine) lastAnswerOfIncarnation(at time.Time, mark uint32) time.Time {
	var accepted []*flowEntry
	for _, f := range r.flows {
		if f.isAccepted {
			accepted = append(accepted, f)
		}
	}
	slices.SortFunc(accepted, func(a, b *flowEntry) int { return a.acceptedAt.Compare(b.acceptedAt) })
	for _, f := range accepted {
		if f.acceptedAt.After(at) {
			break
		}
		if answeredAt := r.startedAt.Add(f.answeredAt); f.hasAnswered && !f.hasAnsweredSince(mark) && answeredAt.After(at) {
			at = answeredAt
		}
	}
	return at
}

// endServedFlows removes the flows that the target had accepted by a time and has served, except those that isKept selects. It returns
// the open ones. A flow that the target has not served yet stays: a late copy of an opening packet may have opened it here, while
// another target holds it. Its caller repeats its request.
func (r *Machine) endServedFlows(by time.Time, isKept func(*flowEntry) bool) []EndedFlow {
	return r.endFlows(func(f *flowEntry) bool { return f.isServed && !f.acceptedAt.After(by) && !isKept(f) })
}

// TakeEndedFlows returns the open flows that have ended since the last call because a bounced packet proved that the target had stopped.
// Only a decision with the reason Forgotten can end flows.
func (r *Machine) TakeEndedFlows() Outcome {
	outcome := r.endedByBounce
	r.endedByBounce = Outcome{}
	return outcome
}
