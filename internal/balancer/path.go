package balancer

import (
	"context"
	"net/netip"

	"gentianswitch/internal/envelope"
	"gentianswitch/internal/events"
	"gentianswitch/internal/ring"
	"gentianswitch/internal/route"
)

// startPath starts the goroutines of the data path. In both directions, rings of batches connect them:
//
//	listeners  -> fromCallers -> forward -> toAgents  -> send to agents
//	dataSocket -> fromAgents  -> return  -> toCallers -> send to callers
//
// The goroutines that receive on listeners are started by openListeners.
func (b *Balancer) startPath() {
	b.group.Go("forward", b.forwardBatches)
	b.group.Go("send to agents", func(ctx context.Context) error { return b.sendBatches(ctx, b.toAgents) })
	b.group.Go("receive from agents", func(ctx context.Context) error {
		return b.receive(ctx, b.dataSocket, b.fromAgents)
	})
	b.group.Go("return", b.returnBatches)
	b.group.Go("send to callers", func(ctx context.Context) error { return b.sendBatches(ctx, b.toCallers) })
}

// acquireBatch returns an empty batch, a reused one if possible.
func (b *Balancer) acquireBatch() *batch {
	reused, ok := b.freeBatches.TryGet()
	if !ok {
		return newBatch()
	}
	reused.reset()
	return reused
}

// releaseBatch makes a batch available for reuse.
func (b *Balancer) releaseBatch(unused *batch) {
	b.freeBatches.TryPut(unused)
}

// receive reads batches from a socket into a ring until ctx ends. A batch is dropped when the ring is full.
func (b *Balancer) receive(ctx context.Context, from *listener, to *ring.Ring[*batch]) error {
	stop := context.AfterFunc(ctx, from.stopReading)
	defer stop()
	for {
		received := b.acquireBatch()
		if err := from.read(received); err != nil {
			if ctx.Err() != nil || from.isStopped() {
				return nil
			}
			continue
		}
		if !to.TryPut(received) {
			b.counters.ringFull.Inc(int64(received.count))
			b.releaseBatch(received)
		}
	}
}

// sendBatches writes the batches of a ring to their sockets until ctx ends.
func (b *Balancer) sendBatches(ctx context.Context, from *ring.Ring[*batch]) error {
	for {
		ready, ok := from.Get(ctx)
		if !ok {
			return nil
		}
		b.sendBatch(ready)
	}
}

// sendBatch writes a batch to its socket, counts failures and releases the batch.
func (b *Balancer) sendBatch(ready *batch) {
	failed := ready.source.write(ready)
	b.counters.sendFailed.Inc(int64(failed))
	b.releaseBatch(ready)
}

// forwardBatches forwards the batches of callers' datagrams to agents until ctx ends.
func (b *Balancer) forwardBatches(ctx context.Context) error {
	for {
		received, ok := b.fromCallers.Get(ctx)
		if !ok {
			return nil
		}
		b.forwardBatch(received)
	}
}

// forwardBatch forwards a batch of callers' datagrams to agents and releases it.
func (b *Balancer) forwardBatch(received *batch) {
	out := b.acquireBatch()
	b.forwardInto(received, out)
	b.releaseBatch(received)
	b.enqueue(b.toAgents, out)
}

// forwardInto appends the envelopes for a batch of callers' datagrams to out.
func (b *Balancer) forwardInto(received, out *batch) {
	out.source = b.dataSocket
	for i := range received.count {
		b.forwardDatagram(received.source.destinationOf(received, i), received.datagram(i), received.sender(i), out)
	}
}

// enqueue puts a batch into a ring. When the ring is full, it drops the batch and counts its datagrams. An empty batch is
// released.
func (b *Balancer) enqueue(to *ring.Ring[*batch], out *batch) {
	if out.count == 0 {
		b.releaseBatch(out)
		return
	}
	if !to.TryPut(out) {
		b.counters.ringFull.Inc(int64(out.count))
		b.releaseBatch(out)
	}
}

// forwardDatagram decides to which agent a caller's datagram is sent, if any, and appends the envelope for it to out.
func (b *Balancer) forwardDatagram(address netip.AddrPort, datagram []byte, caller netip.AddrPort, out *batch) {
	if len(datagram) > maxDatagram {
		b.counters.oversized.Inc(1)
		return
	}
	decision := b.table.Load().Decide(address, datagram)
	b.counters.countVerdict(decision.Verdict)
	b.logDecision(decision, caller)
	if decision.Verdict != route.Forward && decision.Verdict != route.Place {
		return
	}
	header := envelope.Header{
		Kind:            envelope.Deliver,
		Class:           decision.Class,
		Service:         decision.Service,
		Caller:          caller,
		Address:         address,
		Balancer:        b.returnAddress(),
		SecondCandidate: decision.Second,
	}
	out.appendDatagram(envelope.Seal(out.nextBuffer(), b.keys.Load(), header, datagram), decision.Agent)
}

// logDecision logs the placement of a new flow, and its refusal when no target is ready.
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

// returnBatches sends the batches of agents' envelopes to callers until ctx ends.
func (b *Balancer) returnBatches(ctx context.Context) error {
	for {
		received, ok := b.fromAgents.Get(ctx)
		if !ok {
			return nil
		}
		b.returnBatch(received)
	}
}

// returnBatch opens the envelopes of a batch and sends the payloads to the callers. Consecutive datagrams that are sent from
// the same socket form one batch.
func (b *Balancer) returnBatch(received *batch) {
	out := b.acquireBatch()
	for i := range received.count {
		header, payload, err := envelope.Open(b.keys.Load(), received.datagram(i))
		if err != nil || header.Kind != envelope.Return {
			b.counters.badEnvelope.Inc(1)
			continue
		}
		socket := b.listeners.forAddress(header.Address)
		if socket == nil {
			b.counters.noListener.Inc(1)
			continue
		}
		if out.source != socket && out.count > 0 {
			b.enqueue(b.toCallers, out)
			out = b.acquireBatch()
		}
		out.source = socket
		out.appendDatagram(append(out.nextBuffer(), payload...), header.Caller)
		if socket.isWildcard {
			out.setSource(header.Address.Addr())
		}
	}
	if b.isLeaving.Load() {
		b.sendLeaveNotices(received)
	}
	b.releaseBatch(received)
	b.enqueue(b.toCallers, out)
}
