package balancer

import (
	"context"
	"net/netip"

	"gentianswitch/internal/envelope"
	"gentianswitch/internal/events"
	"gentianswitch/internal/ring"
	"gentianswitch/internal/route"
)

// startPath starts the duties of the two directions:
//
//	listener -> inbound  -> forward -> toAgents  -> send to agents
//	fabric   -> outbound -> return  -> toCallers -> send to callers
func (b *Balancer) startPath() {
	b.group.Go("forward", b.forwardAll)
	b.group.Go("send to agents", func(ctx context.Context) error { return b.sendAll(ctx, b.toAgents) })
	b.group.Go("receive from agents", func(ctx context.Context) error {
		return b.receive(ctx, b.fabric, b.outbound)
	})
	b.group.Go("return", b.returnAll)
	b.group.Go("send to callers", func(ctx context.Context) error { return b.sendAll(ctx, b.toCallers) })
}

// takeBatch returns a free batch, or a new one when none is free.
func (b *Balancer) takeBatch() *batch {
	taken, ok := b.free.TryGet()
	if !ok {
		return newBatch()
	}
	taken.reset()
	return taken
}

func (b *Balancer) giveBack(done *batch) {
	b.free.TryPut(done)
}

// receive reads batches from a socket into a ring until ctx ends. A full ring drops the batch.
func (b *Balancer) receive(ctx context.Context, from *listener, to *ring.Ring[*batch]) error {
	stop := context.AfterFunc(ctx, from.stopReading)
	defer stop()
	for {
		received := b.takeBatch()
		if err := from.read(received); err != nil {
			if ctx.Err() != nil || from.isStopped() {
				return nil
			}
			continue
		}
		if !to.TryPut(received) {
			b.counters.ringFull.Inc(int64(received.count))
			b.giveBack(received)
		}
	}
}

// sendAll writes the batches of a ring to their sockets.
func (b *Balancer) sendAll(ctx context.Context, from *ring.Ring[*batch]) error {
	for {
		ready, ok := from.Get(ctx)
		if !ok {
			return nil
		}
		b.send(ready)
	}
}

func (b *Balancer) send(ready *batch) {
	failed := ready.source.write(ready)
	b.counters.sendFailed.Inc(int64(failed))
	b.giveBack(ready)
}

func (b *Balancer) forwardAll(ctx context.Context) error {
	for {
		received, ok := b.inbound.Get(ctx)
		if !ok {
			return nil
		}
		b.forwardBatch(received)
	}
}

func (b *Balancer) forwardBatch(received *batch) {
	out := b.takeBatch()
	b.forwardInto(received, out)
	b.giveBack(received)
	b.put(b.toAgents, out)
}

func (b *Balancer) forwardInto(received, out *batch) {
	out.source = b.fabric
	for i := range received.count {
		b.forward(received.source.receiverOf(received, i), received.datagram(i), received.sender(i), out)
	}
}

// put passes a batch on, or drops and counts it when the ring is full.
func (b *Balancer) put(to *ring.Ring[*batch], out *batch) {
	if out.count == 0 {
		b.giveBack(out)
		return
	}
	if !to.TryPut(out) {
		b.counters.ringFull.Inc(int64(out.count))
		b.giveBack(out)
	}
}

func (b *Balancer) forward(address netip.AddrPort, datagram []byte, caller netip.AddrPort, out *batch) {
	if len(datagram) > maxDatagram {
		b.counters.oversized.Inc(1)
		return
	}
	decision := b.table.Load().Decide(address, datagram)
	b.counters.verdict(decision.Verdict)
	b.logDecision(decision, caller)
	if decision.Verdict != route.Forward && decision.Verdict != route.Place {
		return
	}
	header := envelope.Header{
		Kind:     envelope.Deliver,
		Class:    decision.Class,
		Service:  decision.Service,
		Caller:   caller,
		Address:  address,
		Balancer: b.returnAddress(),
		Second:   decision.Second,
	}
	out.add(envelope.Seal(out.next(), b.keys.Load(), header, datagram), decision.Agent)
}

func (b *Balancer) logDecision(d route.Decision, caller netip.AddrPort) {
	switch {
	case d.Verdict == route.Place && b.log.IsEnabled(events.FlowPlaced):
		candidates := []string{d.Agent.String()}
		if d.Second.IsValid() {
			candidates = append(candidates, d.Second.String())
		}
		b.log.Emit(events.FlowPlaced, events.F("route", d.Route.Name), events.F("pool", d.Route.Pool),
			events.F("caller", caller.String()), events.F("candidates", candidates),
			events.F("choice", d.Agent.String()), events.F("reason", b.table.Load().Strategy().Name()))
	case d.Verdict == route.DropNoTarget:
		b.log.Emit(events.FlowRefused, events.F("route", d.Route.Name), events.F("pool", d.Route.Pool),
			events.F("caller", caller.String()), events.F("reason", "no ready target"))
	}
}

func (b *Balancer) returnAll(ctx context.Context) error {
	for {
		received, ok := b.outbound.Get(ctx)
		if !ok {
			return nil
		}
		b.returnBatch(received)
	}
}

// returnBatch opens the envelopes of a batch and sends the payloads to the callers, one batch for each run of
// datagrams that leave through the same listener.
func (b *Balancer) returnBatch(received *batch) {
	out := b.takeBatch()
	for i := range received.count {
		header, payload, err := envelope.Open(b.keys.Load(), received.datagram(i))
		if err != nil || header.Kind != envelope.Return {
			b.counters.badEnvelope.Inc(1)
			continue
		}
		through := b.listeners.through(header.Address)
		if through == nil {
			b.counters.noListener.Inc(1)
			continue
		}
		if out.source != through && out.count > 0 {
			b.put(b.toCallers, out)
			out = b.takeBatch()
		}
		out.source = through
		out.add(append(out.next(), payload...), header.Caller)
		if through.isWildcard {
			out.setLocal(header.Address.Addr())
		}
	}
	if b.isLeaving.Load() {
		b.answerLeave(received)
	}
	b.giveBack(received)
	b.put(b.toCallers, out)
}
