package forwarder

import (
	"context"
	"encoding/binary"
	"time"

	"gentianswitch/internal/opaque/hop"
)

// Balancers ask a reader of their group for what it has just read from the store, so that a fleet makes few calls.

// revisionRequestTimeout bounds the wait for a reader's answer. It covers the end of the read in progress and a call to a healthy store.
const revisionRequestTimeout = 100 * time.Millisecond

// readerReply is a reader's answer to a request.
type readerReply struct {
	kind     hop.Kind
	sequence uint16
	value    uint64
	// age is the time from the start of the store read to the answer.
	age time.Duration
}

// replyKinds holds the kind of the reply to each kind of request.
var replyKinds = map[hop.Kind]hop.Kind{hop.RevisionRequest: hop.RevisionReply, hop.TableRequest: hop.TableReply}

// requestFromReader sends a request to a reader. It reports false when no answer arrives in time. The start of the reader's store read
// is computed from the time before the request was sent: the delay of the network must not make the read look newer than it is. Only
// revalidatePending calls it.
func (f *Forwarder) requestFromReader(ctx context.Context, kind hop.Kind, reader hop.IP) (readResult[uint64], bool) {
	now, err := bootTime()
	if err != nil {
		return readResult[uint64]{}, false
	}
	f.requestSequence++
	h := hop.Header{Kind: kind, Origin: f.self, Sequence: f.requestSequence}
	var buffer [hop.MaxTrailer]byte
	f.sendFrame(f.peerAt(reader), h.Append(buffer[:0]))
	ctx, cancel := context.WithTimeout(ctx, revisionRequestTimeout)
	defer cancel()
	for {
		reply, ok := f.readerReplies.Get(ctx)
		if !ok {
			return readResult[uint64]{}, false
		}
		if reply.kind == replyKinds[kind] && reply.sequence == f.requestSequence {
			return readResult[uint64]{value: reply.value, startedAt: now - reply.age}, true
		}
	}
}

// handleReaderRequest answers a balancer of the group as soon as a recent enough store read is available.
func (f *Forwarder) handleReaderRequest(kind hop.Kind, sequence uint16, from hop.IP) {
	f.mu.Lock()
	isWatching := f.isWatching(time.Now())
	f.mu.Unlock()
	if !isWatching || !f.servedRequests.TryAcquire(1) {
		// The requesting balancer times out and reads the store itself.
		return
	}
	go func() {
		defer f.servedRequests.Release(1)
		ctx, cancel := context.WithTimeout(context.Background(), revisionRequestTimeout)
		defer cancel()
		result, err := f.readFor(ctx, kind)
		if err != nil {
			return
		}
		now, err := bootTime()
		if err != nil {
			return
		}
		h := hop.Header{Kind: replyKinds[kind], Origin: f.self, Sequence: sequence}
		var buffer [hop.MaxTrailer]byte
		body := binary.BigEndian.AppendUint64(buffer[:0], result.value)
		body = binary.BigEndian.AppendUint32(body, uint32((now - result.startedAt).Microseconds()))
		f.sendFrame(f.peerAt(from), h.Append(body))
	}()
}

// readFor returns what a request of a kind asks for.
func (f *Forwarder) readFor(ctx context.Context, kind hop.Kind) (readResult[uint64], error) {
	if kind == hop.TableRequest {
		return f.newestTable.get(ctx, 0)
	}
	latest, err := f.lastChange.get(ctx, maxSharedReadAge)
	return readResult[uint64]{uint64(latest.value), latest.startedAt}, err
}

// handleReaderReply passes a reader's answer to requestFromReader.
func (f *Forwarder) handleReaderReply(kind hop.Kind, sequence uint16, body []byte) {
	if len(body) != readerReplyBytes {
		f.counters.malformed.Inc(1)
		return
	}
	f.readerReplies.TryPut(readerReply{
		kind: kind, sequence: sequence, value: binary.BigEndian.Uint64(body),
		age: time.Duration(binary.BigEndian.Uint32(body[8:])) * time.Microsecond,
	})
}

// readerReplyBytes is the size of the body of a reader's reply: a value and an age in microseconds.
const readerReplyBytes = 8 + 4
