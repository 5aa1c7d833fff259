package agent

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/envelope"
	"gentianswitch/internal/member"
)

const (
	// placementRetention is the minimum time for which the decision on a flow is kept. No handshake takes longer.
	placementRetention = 2 * handshakeTimeout
	// maxPlacements bounds the decisions in one generation. Beyond it, decisions are not kept, and the agent may decide
	// differently on later datagrams of the same flow.
	maxPlacements = 8192
)

// Reasons for redirecting a new flow, as they appear in logs.
const (
	reasonDraining = "draining"
	reasonEjected  = "target ejected"
	reasonFull     = "too many flows"
	reasonStarting = "target starting"
)

// placements records which agent gets the first datagrams of each new flow, so that all datagrams of a handshake reach the same
// agent even if the state of this agent changes meanwhile. It keeps two generations of decisions and drops the older one as a
// whole.
type placements struct {
	mu sync.Mutex
	// current and previous map the hash of a flow's first connection ID to an agent. The zero AddrPort stands for this agent.
	current   map[uint64]netip.AddrPort
	previous  map[uint64]netip.AddrPort
	rotatedAt time.Time
}

func newPlacements(now time.Time) *placements {
	return &placements{current: make(map[uint64]netip.AddrPort), rotatedAt: now}
}

// lookUp returns the recorded decision on a flow: the agent to redirect it to, or the zero AddrPort for this agent.
func (p *placements) lookUp(now time.Time, flow uint64) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	if to, ok := p.current[flow]; ok {
		return to, true
	}
	to, ok := p.previous[flow]
	return to, ok
}

// record records the decision on a flow.
func (p *placements) record(now time.Time, flow uint64, to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	if len(p.current) < maxPlacements {
		p.current[flow] = to
	}
}

// rotate starts a new generation every placementRetention. The caller holds mu.
func (p *placements) rotate(now time.Time) {
	if now.Sub(p.rotatedAt) < placementRetention {
		return
	}
	p.previous, p.current = p.current, make(map[uint64]netip.AddrPort)
	p.rotatedAt = now
}

// slowStart limits the share of new work that a target gets after its start. The share grows linearly over duration.
type slowStart struct {
	startedAt time.Time
	duration  time.Duration
}

// minSlowStartShare is the share of new work for a target that has just started.
const minSlowStartShare = 0.1

// share returns the share of new work at now, from minSlowStartShare to 1.
func (s slowStart) share(now time.Time) float64 {
	if s.duration <= 0 {
		return 1
	}
	return min(1, max(minSlowStartShare, float64(now.Sub(s.startedAt))/float64(s.duration)))
}

// includes reports whether the share at now includes the flow with the given hash. Once included, a flow stays included.
func (s slowStart) includes(now time.Time, flow uint64) bool {
	const buckets = 1 << 16
	return float64(flow%buckets) < s.share(now)*buckets
}

// redirectReason returns why a new flow should go to the second candidate, or an empty string if this agent should serve it.
func (a *Agent) redirectReason(now time.Time, flow uint64) string {
	state, _ := a.lifecycle.current()
	switch {
	case state == member.Draining || state == member.Gone:
		return reasonDraining
	case a.isAtFlowLimit():
		return reasonFull
	case a.health.isEjected():
		return reasonEjected
	case !a.slowStart.includes(now, flow):
		return reasonStarting
	default:
		return ""
	}
}

// isAtFlowLimit reports whether the agent has Settings.MaxFlows open flows.
func (a *Agent) isAtFlowLimit() bool {
	flows, _, _ := a.activeWork.counts()
	return flows >= a.settings.MaxFlows
}

// handleFirstDatagram delivers a datagram that opens a flow, or redirects it to the second candidate that the balancer has put
// into the envelope. id is the destination connection ID, which the caller chose. A recorded redirect is repeated only while
// balancers still name the same second candidate: an agent that drains or has failed doesn't answer, so the caller's next
// datagrams must not go there. A datagram that has been redirected already is delivered, unless the agent drains.
func (a *Agent) handleFirstDatagram(header envelope.Header, payload, id []byte) {
	if header.Service != a.settings.Service {
		a.datagramCounters.otherService.Inc(1)
		return
	}
	now := time.Now()
	flow := xxhash.Sum64(id)
	to, isKnown := a.placements.lookUp(now, flow)
	reason := "same as earlier datagrams of the flow"
	if !isKnown || (to.IsValid() && to != header.SecondCandidate) {
		to, reason = netip.AddrPort{}, a.redirectReason(now, flow)
		if reason != "" && header.Kind != envelope.Redirect {
			to = header.SecondCandidate
		}
		if reason == reasonDraining && !to.IsValid() {
			// The datagram was redirected already, or its envelope names no second candidate. The caller's retransmission may
			// reach a target that accepts the flow.
			a.datagramCounters.refusedFlow.Inc(1)
			return
		}
		a.placements.record(now, flow, to)
	}
	if !to.IsValid() {
		a.deliverDatagram(header.Class, header, payload)
		return
	}
	a.redirectDatagram(header, payload, to, reason)
}
