package balancer

import (
	"context"
	"net/netip"
	"time"

	"gentianswitch/internal/envelope"
	"gentianswitch/internal/ring"
)

// retireDuration is how long a balancer that ends carries answers which are on their way.
const inFlightAnswerWait = 300 * time.Millisecond

// retire takes this balancer out of the agents' rotations and carries the answers that are on their way.
func (b *Balancer) leaveDataPath(ctx context.Context) {
	b.isLeaving.Store(true)
	b.sendHeartbeatsOnce()
	select {
	case <-ctx.Done():
	case <-time.After(inFlightAnswerWait):
	}
}

// returnAddress is the address at which this balancer takes answers, or the zero AddrPort once it leaves.
func (b *Balancer) returnAddress() netip.AddrPort {
	if b.isLeaving.Load() {
		return netip.AddrPort{}
	}
	return b.settings.Data
}

// leaveInterval is the time between two answers that tell one agent that this balancer leaves.
const leaveNoticeInterval = inFlightAnswerWait / 3

// leaveTold holds when each agent was last told that this balancer leaves. It belongs to the return duty.
type leaveNotices map[netip.AddrPort]time.Time

// isDue reports whether an agent must be told now, and notes that it is.
func (l leaveNotices) recordIfDue(now time.Time, agent netip.AddrPort) bool {
	if now.Sub(l[agent]) < leaveNoticeInterval {
		return false
	}
	l[agent] = now
	return true
}

// answerLeave tells the agents that sent a batch of answers that this balancer leaves. Agents beyond those that get
// its heartbeats know it from what it delivered. An agent is told once for many answers, so that callers' datagrams
// keep their room in the ring.
func (b *Balancer) sendLeaveNotices(received *batch) {
	header := envelope.Header{Kind: envelope.Leave, Balancer: b.settings.Data}
	out := b.acquireBatch()
	out.source = b.dataSocket
	now := time.Now()
	for i := range received.count {
		if agent := received.sender(i); b.leaveNotices.recordIfDue(now, agent) {
			out.appendDatagram(envelope.Seal(out.nextBuffer(), b.keys.Load(), header, nil), agent)
		}
	}
	b.enqueue(b.toAgents, out)
}

// flush carries what stands in the rings to its receivers. It runs once every duty has ended, so that no ring fills
// while it runs.
func (b *Balancer) flush() {
	drainRing(b.toAgents, b.sendBatch)
	drainRing(b.toCallers, b.sendBatch)
	drainRing(b.fromCallers, func(received *batch) {
		b.forwardBatch(received)
		drainRing(b.toAgents, b.sendBatch)
	})
	drainRing(b.fromAgents, func(received *batch) {
		b.returnBatch(received)
		drainRing(b.toCallers, b.sendBatch)
	})
}

func drainRing(from *ring.Ring[*batch], do func(*batch)) {
	for {
		next, ok := from.TryGet()
		if !ok {
			return
		}
		do(next)
	}
}
