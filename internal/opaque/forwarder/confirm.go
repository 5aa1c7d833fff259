package forwarder

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

const (
	// maxHeld bounds the packets that wait for a confirmation, at 1.5 KB each. Callers repeat what is lost.
	maxHeld = 512
	// confirmSpacing is the least time between a confirmation that fails and the next, and between two readings of a reader for
	// its group: well below the 200 ms after which callers repeat packets.
	confirmSpacing = 60 * time.Millisecond
	// askTimeout is the time for which a balancer waits for a reader: a reading that waits for the one before, and a call
	// to a healthy store.
	askTimeout = 100 * time.Millisecond
	// sharedAge is the age up to which a reading serves others of the group: the rest of its time is theirs.
	sharedAge = registry.JoinDelay / 2
)

// confirmation tells how long the view of the targets holds the target of every open flow.
type confirmation struct {
	// until is a time since the start of the VM.
	until time.Duration
}

// take notes that the view holds what a reading of the store that began at a time has seen.
func (c *confirmation) take(began time.Duration) { c.until = max(c.until, began+registry.JoinDelay) }

func (c *confirmation) holds(now time.Duration) bool { return now < c.until }

// isConfirmed reports whether the view holds the target of every flow that is open now.
func (f *Forwarder) isConfirmed() (bool, error) {
	now, err := bootTime()
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmation.holds(now), nil
}

// confirmOrHold decides on a packet whose walk has ended in vain: at once while the view is confirmed, else when the targets have
// been read anew.
func (f *Forwarder) confirmOrHold(p *flow.Packet, h *hop.Header, datagram []byte) {
	switch isConfirmed, err := f.isConfirmed(); {
	case err != nil:
		f.parts.Log.Emit(events.OpaquePacketsHeldLost, events.F("packets", 1), events.Err(err))
	case isConfirmed:
		f.decideConfirmed(p, h, datagram)
	default:
		f.held.TryPut(heldPacket{datagram: hop.CopyDatagram(datagram), header: *h})
	}
}

// decideConfirmed decides on a packet that arrived before the view was confirmed, or while it is.
func (f *Forwarder) decideConfirmed(p *flow.Packet, h *hop.Header, datagram []byte) {
	f.mu.Lock()
	d := f.steer.HandleRevalidated(time.Now(), p, h)
	f.mu.Unlock()
	f.carryOut(p, d, datagram)
}

// heldPacket is a packet whose walk has ended in vain.
type heldPacket struct {
	datagram []byte
	header   hop.Header
}

// confirmAll decides on held packets until ctx ends. Those that arrive during a reading are decided by it as well.
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
		if err := f.confirmView(ctx); err != nil {
			f.parts.Log.Emit(events.OpaquePacketsHeldLost, events.F("packets", len(waiting)), events.Err(err))
			sleep(ctx, confirmSpacing-time.Since(began))
			continue
		}
		f.decideHeld(waiting)
	}
}

func (f *Forwarder) decideHeld(waiting []heldPacket) {
	for _, h := range waiting {
		p, err := f.parts.Codec.Decode(h.datagram)
		if err != nil {
			f.counters.malformed.Inc(1)
			continue
		}
		f.decideConfirmed(&p, &h.header, h.datagram)
	}
}

// confirmView makes sure that the view is confirmed for the packets that have arrived before.
func (f *Forwarder) confirmView(ctx context.Context) error {
	if isConfirmed, err := f.isConfirmed(); err != nil || isConfirmed {
		return err
	}
	return f.renewTargets(ctx)
}

// renewTargets makes sure that the view holds each target that a reading of the store has seen, and notes when that began.
func (f *Forwarder) renewTargets(ctx context.Context) error {
	latest, err := f.latestChange(ctx)
	if err != nil {
		return err
	}
	if followedTo := f.revision(); followedTo > 0 && latest.value <= followedTo {
		f.confirm(latest.began)
		return nil
	}
	began, err := bootTime()
	if err != nil {
		return err
	}
	items, at, err := f.parts.Store.List(ctx, registry.Prefix)
	if err != nil {
		return err
	}
	f.takeTargets(items, at)
	f.confirm(began)
	return nil
}

func (f *Forwarder) confirm(began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmation.take(began)
}

// latestChange returns the revision of the last change of a target's entry, as the store had it at most sharedAge ago. A reader of
// the group reads it for all, so that a fleet that comes back from a loss of power stays below the rates of the store.
func (f *Forwarder) latestChange(ctx context.Context) (reading[store.Version], error) {
	f.mu.Lock()
	reader, isOther := f.readers.PreferredReader(time.Now(), f.isServed(time.Now()))
	f.mu.Unlock()
	if isOther {
		if latest, ok := f.ask(ctx, reader); ok {
			return latest, nil
		}
	}
	return f.changes.wait(ctx, sharedAge)
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
	// age is the time between the start of the reading and the answer.
	age time.Duration
}

// ask asks a reader for the revision of the last change. It reports false when no answer comes in time.
func (f *Forwarder) ask(ctx context.Context, reader hop.IP) (reading[store.Version], bool) {
	var none reading[store.Version]
	now, err := bootTime()
	if err != nil {
		return none, false
	}
	f.asked++
	h := hop.Header{Kind: hop.RevisionRequest, Origin: f.self, Sequence: f.asked}
	var buffer [hop.MaxTrailer]byte
	f.sendTo(f.peerAt(reader), h.Append(buffer[:0]))
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for {
		answer, ok := f.told.Get(ctx)
		if !ok {
			return none, false
		}
		if answer.sequence == f.asked {
			return reading[store.Version]{value: answer.revision, began: now - answer.age}, true
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
		latest, err := f.changes.wait(ctx, sharedAge)
		if err != nil {
			return
		}
		now, err := bootTime()
		if err != nil {
			return
		}
		h := hop.Header{Kind: hop.RevisionReply, Origin: f.self, Sequence: sequence}
		var buffer [hop.MaxTrailer]byte
		body := binary.BigEndian.AppendUint64(buffer[:0], uint64(latest.value))
		body = binary.BigEndian.AppendUint32(body, uint32((now - latest.began).Microseconds()))
		f.sendTo(f.peerAt(from), h.Append(body))
	}()
}

func (f *Forwarder) takeTold(sequence uint16, body []byte) {
	if len(body) != toldBytes {
		f.counters.malformed.Inc(1)
		return
	}
	f.told.TryPut(told{
		sequence: sequence, revision: store.Version(binary.BigEndian.Uint64(body)),
		age: time.Duration(binary.BigEndian.Uint32(body[8:])) * time.Microsecond,
	})
}

// toldBytes is the size of a reader's answer: a revision and an age in microseconds.
const toldBytes = 8 + 4
