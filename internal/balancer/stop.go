package balancer

import (
	"context"
	"net/netip"
	"time"

	"gentianswitch/internal/envelope"
	"gentianswitch/internal/ring"
)

// inFlightAnswerWait is how long a balancer that shuts down still forwards answers that are in flight.
const inFlightAnswerWait = 300 * time.Millisecond

// leaveDataPath notifies the agents that they must send no more answers through this balancer, and waits while answers in
// flight are still forwarded.
func (b *Balancer) leaveDataPath(ctx context.Context) {
	b.isLeaving.Store(true)
	b.sendHeartbeatsOnce()
	select {
	case <-ctx.Done():
	case <-time.After(inFlightAnswerWait):
	}
}

// returnAddress returns the address to which agents may send answers, or the zero AddrPort once this balancer is shutting down.
func (b *Balancer) returnAddress() netip.AddrPort {
	if b.isLeaving.Load() {
		return netip.AddrPort{}
	}
	return b.settings.Data
}

// leaveNoticeInterval is the minimum time between two leave notices to one agent in response to answers.
const leaveNoticeInterval = inFlightAnswerWait / 3

// leaveNotices holds the time of the last leave notice to each agent. Only the goroutine that returns answers uses it.
type leaveNotices map[netip.AddrPort]time.Time

// recordIfDue reports whether an agent must get a leave notice now. If so, it records the time of the notice.
func (l leaveNotices) recordIfDue(now time.Time, agent netip.AddrPort) bool {
	if now.Sub(l[agent]) < leaveNoticeInterval {
		return false
	}
	l[agent] = now
	return true
}

// sendLeaveNotices notifies the agents that sent a batch of answers that this balancer is shutting down. Agents that don't get
// its heartbeats may also send answers to it, because its address is in the envelopes that it delivered. An agent gets one
// notice for many answers, so that notices don't displace callers' datagrams from the ring.
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

// flush sends all datagrams that are left in the rings. It runs after all goroutines of the data path have ended, so that
// nothing is added to the rings meanwhile.
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

// drainRing removes all batches from a ring and calls do for each.
func drainRing(from *ring.Ring[*batch], do func(*batch)) {
	for {
		next, ok := from.TryGet()
		if !ok {
			return
		}
		do(next)
	}
}
