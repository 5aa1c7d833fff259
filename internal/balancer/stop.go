package balancer

import (
	"context"
	"net/netip"
	"time"

	"gentianswitch/internal/envelope"
	"gentianswitch/internal/ring"
)

// retireDuration is how long a balancer that ends carries answers which are on their way.
const retireDuration = 300 * time.Millisecond

// retire takes this balancer out of the agents' rotations and carries the answers that are on their way.
func (b *Balancer) retire(ctx context.Context) {
	b.isLeaving.Store(true)
	b.heartbeat()
	select {
	case <-ctx.Done():
	case <-time.After(retireDuration):
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
const leaveInterval = retireDuration / 3

// leaveTold holds when each agent was last told that this balancer leaves. It belongs to the return duty.
type leaveTold map[netip.AddrPort]time.Time

// isDue reports whether an agent must be told now, and notes that it is.
func (l leaveTold) isDue(now time.Time, agent netip.AddrPort) bool {
	if now.Sub(l[agent]) < leaveInterval {
		return false
	}
	l[agent] = now
	return true
}

// answerLeave tells the agents that sent a batch of answers that this balancer leaves. Agents beyond those that get
// its heartbeats know it from what it delivered. An agent is told once for many answers, so that callers' datagrams
// keep their room in the ring.
func (b *Balancer) answerLeave(received *batch) {
	header := envelope.Header{Kind: envelope.Leave, Balancer: b.settings.Data}
	out := b.takeBatch()
	out.source = b.fabric
	now := time.Now()
	for i := range received.count {
		if agent := received.sender(i); b.leaveTold.isDue(now, agent) {
			out.add(envelope.Seal(out.next(), b.keys.Load(), header, nil), agent)
		}
	}
	b.put(b.toAgents, out)
}

// flush carries what stands in the rings to its receivers. It runs once every duty has ended, so that no ring fills
// while it runs.
func (b *Balancer) flush() {
	drain(b.toAgents, b.send)
	drain(b.toCallers, b.send)
	drain(b.inbound, func(received *batch) {
		b.forwardBatch(received)
		drain(b.toAgents, b.send)
	})
	drain(b.outbound, func(received *batch) {
		b.returnBatch(received)
		drain(b.toCallers, b.send)
	})
}

func drain(from *ring.Ring[*batch], do func(*batch)) {
	for {
		next, ok := from.TryGet()
		if !ok {
			return
		}
		do(next)
	}
}
