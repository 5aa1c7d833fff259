package forwarder

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
)

const (
	// maxHeld bounds the packets that wait for a confirmation: the flows of a few hundred callers, whose ends repeat
	// what is lost, at 1.5 KB each.
	maxHeld = 512
	// The least time between two reads grows while flows go on ending, so that a fleet that comes back from a loss of power
	// stays below the rates of the store: seven reads of a balancer in the first two seconds. The first wait is well below
	// the 200 ms after which callers repeat packets.
	firstConfirmWait = 50 * time.Millisecond
	lastConfirmWait  = 400 * time.Millisecond
	// confirmRest is the time without ended flows after which the waits are short again.
	confirmRest = 2 * time.Second
)

// heldPacket is a packet whose walk has ended in vain.
type heldPacket struct {
	datagram []byte
	header   hop.Header
}

// hold keeps a copy of a packet until the targets have been read anew.
func (f *Forwarder) hold(datagram []byte, h *hop.Header) {
	// The copy has room for a trailer.
	kept := append(make([]byte, 0, len(datagram)+hop.MaxTrailer), datagram...)
	f.held.TryPut(heldPacket{datagram: kept, header: *h})
}

// confirmAll reads the targets when packets are held and decides on these packets, until ctx ends.
func (f *Forwarder) confirmAll(ctx context.Context) error {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval, waits.Multiplier = firstConfirmWait, lastConfirmWait, 2
	for {
		idleSince := time.Now()
		first, ok := f.held.Get(ctx)
		if !ok {
			return nil
		}
		if time.Since(idleSince) > confirmRest {
			waits.Reset()
		}
		waiting := []heldPacket{first}
		for next, ok := f.held.TryGet(); ok; next, ok = f.held.TryGet() {
			waiting = append(waiting, next)
		}
		f.confirm(ctx, waiting)
		sleep(ctx, waits.NextBackOff())
	}
}

func (f *Forwarder) confirm(ctx context.Context, waiting []heldPacket) {
	items, at, err := f.parts.Store.List(ctx, registry.Prefix)
	if err != nil {
		f.parts.Log.Emit(events.OpaquePacketsHeldLost, events.F("packets", len(waiting)), events.Err(err))
		return
	}
	f.takeTargets(items, at)
	for _, h := range waiting {
		p, err := f.parts.Codec.Decode(h.datagram)
		if err != nil {
			f.counters.malformed.Inc(1)
			continue
		}
		f.mu.Lock()
		d := f.steer.Confirmed(time.Now(), &p, &h.header)
		f.mu.Unlock()
		f.carryOut(&p, d, h.datagram)
	}
}
