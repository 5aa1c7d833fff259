package balancer

import (
	"context"
	"time"

	"gentianswitch/internal/envelope"
	"gentianswitch/internal/events"
	"gentianswitch/internal/member"
)

const (
	targetTimeout  = 1500 * time.Millisecond
	expireInterval = 250 * time.Millisecond
)

func (b *Balancer) announce(target member.Target) {
	b.changes.Lock()
	defer b.changes.Unlock()
	before, isChanged := b.state.announce(time.Now(), target)
	if !isChanged {
		return
	}
	b.updateTargets([]member.Target{before}, []member.Target{target})
	b.logTarget(target, "announced")
}

func (b *Balancer) logTarget(t member.Target, reason string) {
	b.log.Emit(events.TargetChanged, events.F("agent", t.Agent.String()), events.F("service", t.Service),
		events.F("zone", t.Zone), events.F("state", t.State.String()), events.F("incarnation", t.Incarnation),
		events.F("reason", reason))
}

func (b *Balancer) expireTargets(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			b.expire(now)
		}
	}
}

func (b *Balancer) expire(now time.Time) {
	b.changes.Lock()
	defer b.changes.Unlock()
	failed := b.state.expire(now, targetTimeout)
	if len(failed) > 0 {
		b.updateTargets(failed, nil)
	}
	for _, t := range failed {
		b.logTarget(t, "no heartbeat within the timeout")
	}
}

// sendHeartbeats tells every agent that this balancer carries returns.
func (b *Balancer) sendHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.heartbeat()
		}
	}
}

func (b *Balancer) heartbeat() {
	targets := b.state.view()
	header := envelope.Header{Kind: envelope.Heartbeat, Balancer: b.settings.Data}
	out := b.takeBatch()
	out.source = b.fabric
	for _, t := range targets {
		if t.State == member.Failed || t.State == member.Gone {
			continue
		}
		if out.isFull() {
			b.put(b.toAgents, out)
			out = b.takeBatch()
			out.source = b.fabric
		}
		out.add(envelope.Seal(out.next(), b.keys.Load(), header, nil), t.Agent)
	}
	b.put(b.toAgents, out)
}
