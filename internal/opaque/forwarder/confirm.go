package forwarder

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

const (
	// maxHeld bounds the packets that wait for a confirmation: the flows of a few hundred callers, whose ends repeat
	// what is lost, at 1.5 KB each.
	maxHeld = 512
	// confirmSpacing is the least time between two confirmations of a balancer, and between two readings of a reader for
	// its group: well below the 200 ms after which callers repeat packets.
	confirmSpacing = 60 * time.Millisecond
	// askTimeout is the time for which a balancer waits for a reader: a reading that waits for the one before, and a call
	// to a healthy store.
	askTimeout = 100 * time.Millisecond
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

// confirmAll makes sure that the view of the targets is current when packets are held, and decides on these packets, until
// ctx ends.
func (f *Forwarder) confirmAll(ctx context.Context) error {
	for {
		first, ok := f.held.Get(ctx)
		if !ok {
			return nil
		}
		waiting := []heldPacket{first}
		for next, ok := f.held.TryGet(); ok; next, ok = f.held.TryGet() {
			waiting = append(waiting, next)
		}
		began := time.Now()
		f.confirm(ctx, waiting)
		sleep(ctx, confirmSpacing-time.Since(began))
	}
}

func (f *Forwarder) confirm(ctx context.Context, waiting []heldPacket) {
	if err := f.renewTargets(ctx); err != nil {
		f.parts.Log.Emit(events.OpaquePacketsHeldLost, events.F("packets", len(waiting)), events.Err(err))
		return
	}
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

// renewTargets makes sure that the view holds each target that the store holds when it is called.
func (f *Forwarder) renewTargets(ctx context.Context) error {
	latest, err := f.latestChange(ctx)
	if err != nil {
		return err
	}
	if followedTo := f.revision(); followedTo > 0 && latest <= followedTo {
		return nil
	}
	items, at, err := f.parts.Store.List(ctx, registry.Prefix)
	if err == nil {
		f.takeTargets(items, at)
	}
	return err
}

// latestChange returns the revision of the last change of a target's entry, as the store has it after the call began. A
// reader of the group reads it for all, so that a fleet that comes back from a loss of power stays below the rates of the
// store.
func (f *Forwarder) latestChange(ctx context.Context) (store.Version, error) {
	f.mu.Lock()
	reader, isOther := f.readers.First(time.Now(), f.isServed(time.Now()))
	f.mu.Unlock()
	if isOther {
		if latest, ok := f.ask(ctx, reader); ok {
			return latest, nil
		}
	}
	return f.changes.wait(ctx)
}

// readChanges reads the revision of the last change from the store.
func (f *Forwarder) readChanges(ctx context.Context) (store.Version, error) {
	item, err := f.parts.Store.Read(ctx, registry.ChangesKey)
	if eris.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return item.Version, err
}

// told is a reader's answer.
type told struct {
	sequence uint16
	revision store.Version
}

// ask asks a reader for the revision of the last change. It reports false when no answer comes in time.
func (f *Forwarder) ask(ctx context.Context, reader hop.IP) (store.Version, bool) {
	f.asked++
	h := hop.Header{Kind: hop.Ask, Origin: f.self, Sequence: f.asked}
	var buffer [hop.MaxTrailer]byte
	f.sendTo(f.peerAt(reader), h.Append(buffer[:0]))
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for {
		answer, ok := f.told.Get(ctx)
		if !ok || answer.sequence == f.asked {
			return answer.revision, ok
		}
	}
}

// answerAsk answers a balancer of the group once the store has been read for it.
func (f *Forwarder) answerAsk(sequence uint16, from hop.IP) {
	f.mu.Lock()
	isReading := f.isServed(time.Now())
	f.mu.Unlock()
	if !isReading || !f.asking.TryAcquire(1) {
		// The balancer reads the store itself.
		return
	}
	go func() {
		defer f.asking.Release(1)
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		latest, err := f.changes.wait(ctx)
		if err != nil {
			return
		}
		h := hop.Header{Kind: hop.Told, Origin: f.self, Sequence: sequence}
		var buffer [hop.MaxTrailer]byte
		f.sendTo(f.peerAt(from), h.Append(binary.BigEndian.AppendUint64(buffer[:0], uint64(latest))))
	}()
}

func (f *Forwarder) takeTold(sequence uint16, body []byte) {
	if len(body) != revisionBytes {
		f.counters.malformed.Inc(1)
		return
	}
	f.told.TryPut(told{sequence: sequence, revision: store.Version(binary.BigEndian.Uint64(body))})
}

const revisionBytes = 8
