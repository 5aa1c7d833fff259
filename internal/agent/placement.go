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
	// placementRetention is how long the decision on a flow is kept, at least as long as a handshake may take.
	placementRetention = 2 * handshakeTimeout
	// maxPlacements bounds the decisions kept in one half of the memory. Beyond it the datagrams of a flow may be
	// decided on one by one.
	maxPlacements = 8192
)

// Reasons to hand a new flow on.
const (
	reasonDraining = "draining"
	reasonEjected  = "target ejected"
	reasonFull     = "too many flows"
	reasonStarting = "target starting"
)

// placements remembers, for the length of a handshake, where the first datagrams of a flow went. So the datagrams of
// one handshake reach one agent, whatever changes meanwhile. It keeps two generations, the older of which is dropped
// as a whole.
type placements struct {
	mu        sync.Mutex
	current   map[uint64]netip.AddrPort
	previous  map[uint64]netip.AddrPort
	rotatedAt time.Time
}

func newPlacements(now time.Time) *placements {
	return &placements{current: make(map[uint64]netip.AddrPort), rotatedAt: now}
}

// lookUp returns where a flow went: an agent to hand on to, or the zero AddrPort for this agent.
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

func (p *placements) record(now time.Time, flow uint64, to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	if len(p.current) < maxPlacements {
		p.current[flow] = to
	}
}

func (p *placements) rotate(now time.Time) {
	if now.Sub(p.rotatedAt) < placementRetention {
		return
	}
	p.previous, p.current = p.current, make(map[uint64]netip.AddrPort)
	p.rotatedAt = now
}

// slowStart is the growing share of new work that a target gets after its start.
type slowStart struct {
	startedAt time.Time
	duration  time.Duration
}

// minSlowStartShare is the share of a target that has just started.
const minSlowStartShare = 0.1

// share returns the share at now, from minShare to 1.
func (s slowStart) share(now time.Time) float64 {
	if s.duration <= 0 {
		return 1
	}
	return min(1, max(minSlowStartShare, float64(now.Sub(s.startedAt))/float64(s.duration)))
}

// includes reports whether a flow belongs to the share. A flow that does so once does so for good.
func (s slowStart) includes(now time.Time, flow uint64) bool {
	const buckets = 1 << 16
	return float64(flow%buckets) < s.share(now)*buckets
}

// redirectReason returns why a new flow should go to the second candidate, or an empty string.
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

// isAtFlowLimit reports whether the agent serves as many flows as it may.
func (a *Agent) isAtFlowLimit() bool {
	flows, _, _ := a.activeWork.counts()
	return flows >= a.settings.MaxFlows
}

// handleFirstDatagram accepts the first datagrams of a flow, or hands them on to the second candidate. A hand-on is repeated only
// while the balancers still name its receiver: one that drains or died answers nothing, and the caller's next datagrams
// must not follow there.
func (a *Agent) handleFirstDatagram(header envelope.Header, payload, id []byte) {
	if header.Service != a.settings.Service {
		a.datagramCounters.otherService.Inc(1)
		return
	}
	now := time.Now()
	flow := xxhash.Sum64(id)
	to, isKnown := a.placements.lookUp(now, flow)
	reason := "as before"
	if !isKnown || (to.IsValid() && to != header.Second) {
		to, reason = netip.AddrPort{}, a.redirectReason(now, flow)
		if reason != "" && header.Kind != envelope.HandOn {
			to = header.Second
		}
		if reason == reasonDraining && !to.IsValid() {
			// The flow's next datagram may reach a target that takes it.
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
