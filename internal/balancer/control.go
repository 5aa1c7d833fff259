package balancer

import (
	"context"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/envelope"
	"gentianswitch/internal/events"
	"gentianswitch/internal/member"
	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

const (
	targetTimeout  = 1500 * time.Millisecond
	expireInterval = 250 * time.Millisecond
	watchWait      = 10 * time.Second
	storeRetry     = 500 * time.Millisecond
)

func (b *Balancer) serveControl(ctx context.Context, conn *control.Conn) {
	for ctx.Err() == nil {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if err := b.handle(conn, m); err != nil {
			return
		}
	}
}

func (b *Balancer) handle(conn *control.Conn, m control.Message) error {
	switch {
	case m.Announce != nil:
		b.announce(m.Announce.Target)
		return nil
	case m.StatusRequest != nil:
		return conn.Send(control.Message{Status: b.status()})
	default:
		return nil
	}
}

func (b *Balancer) announce(target member.Target) {
	if !b.state.announce(time.Now(), target) {
		return
	}
	b.rebuild()
	b.logTarget(target, "announced")
}

func (b *Balancer) logTarget(t member.Target, reason string) {
	b.log.Emit(events.TargetChanged, events.F("agent", t.Agent.String()), events.F("service", t.Service),
		events.F("zone", t.Zone), events.F("state", t.State.String()), events.F("incarnation", t.Incarnation),
		events.F("reason", reason))
}

func (b *Balancer) status() *control.Status {
	_, targets := b.state.view()
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return &control.Status{
		Balancer: b.settings.Data, Zone: b.settings.Zone, Revision: b.state.revision, Targets: targets,
	}
}

func (b *Balancer) expireTargets(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			failed := b.state.expire(now, targetTimeout)
			if len(failed) > 0 {
				b.rebuild()
			}
			for _, t := range failed {
				b.logTarget(t, "no heartbeat within the timeout")
			}
		}
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
	_, targets := b.state.view()
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

// watchStore follows the head of the configuration in the store.
func (b *Balancer) watchStore(ctx context.Context) error {
	var after store.Version
	for ctx.Err() == nil {
		entry, err := b.store.Watch(ctx, tables.HeadKey, after, watchWait)
		if err != nil {
			b.storeFailed(ctx, err)
			continue
		}
		after = entry.Version
		b.applyEntry(entry)
	}
	return nil
}

func (b *Balancer) storeFailed(ctx context.Context, err error) {
	b.log.Emit(events.StoreUnavailable, events.F("step", "watch"), events.F("peer", b.settings.Store), events.Err(err))
	select {
	case <-ctx.Done():
	case <-time.After(storeRetry):
	}
}

func (b *Balancer) applyEntry(entry store.Entry) {
	declared, err := tables.Parse(entry.Value)
	if err != nil || !b.state.apply(uint64(entry.Version), declared) {
		return
	}
	b.rebuild()
	b.openListeners(declared)
	b.log.Emit(events.RevisionApplied, events.F("revision", uint64(entry.Version)), events.F("source", "store"))
}
