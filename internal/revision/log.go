package revision

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/internal/frame"
	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

const (
	snapshotPrefix = "gentianswitch/snapshot/"
	// maxSegments bounds the memory for reading a snapshot: 64 segments of 900 KiB are about 56 MiB.
	maxSegments = 64
	// digestSize is the number of bytes that are kept of a SHA-256 digest.
	digestSize = 16
	// replacedSnapshotTTL is the time for which the segments of a replaced snapshot stay readable, for readers that have read
	// the previous head.
	replacedSnapshotTTL = 10 * time.Minute
)

// ErrDamaged means that the store can be read, but that parts of the log in it are missing or malformed.
var ErrDamaged = eris.New("the log in the store is damaged")

// Log reads and extends the log of accepted changes in the store.
type Log struct {
	kv     store.Store
	limits limits
	// backOff waits after attempt number n, counted from 1. It returns the error of ctx when ctx ends first.
	backOff func(ctx context.Context, n int) error
}

// NewLog returns the log in the given store.
func NewLog(kv store.Store) *Log {
	return &Log{kv: kv, limits: defaultLimits, backOff: backOffWithJitter}
}

// Read reads the log from the store. Without a head in the store, the view has empty tables. With ErrDamaged the view holds
// only the version of the head, and the head itself if it can be decoded.
func (l *Log) Read(ctx context.Context) (*View, error) {
	entry, err := l.kv.Get(ctx, HeadKey)
	if eris.Is(err, store.ErrNotFound) {
		return &View{snapshot: &tables.Tables{}, limits: l.limits}, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read head")
	}
	view := &View{Version: entry.Version, limits: l.limits}
	if view.Head, err = DecodeHead(entry.Value); err != nil {
		return view, err
	}
	view.snapshot, err = l.readSnapshot(ctx, view.Head.Snapshot)
	return view, err
}

// FetchUpdate returns the update from revision base to the head: a delta if the log holds it, else the full tables, for
// which it reads the snapshot.
func (l *Log) FetchUpdate(ctx context.Context, head Head, base ID) (Revision, error) {
	if delta, ok := head.DeltaSince(base); ok {
		return delta, nil
	}
	snapshot, err := l.readSnapshot(ctx, head.Snapshot)
	if err != nil {
		return Revision{}, err
	}
	view := View{Head: head, snapshot: snapshot}
	full, err := view.Tables()
	if err != nil {
		return Revision{}, err
	}
	return Revision{ID: head.ID, Rows: AllRows(full)}, nil
}

func segmentKey(s Snapshot, segment int) string {
	return fmt.Sprintf("%s%d-%s/%d", snapshotPrefix, s.ID.Number, s.Digest, segment)
}

func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:digestSize])
}

func (l *Log) readSnapshot(ctx context.Context, s Snapshot) (*tables.Tables, error) {
	if s.ID.IsZero() {
		return &tables.Tables{}, nil
	}
	if s.Segments < 1 || s.Segments > maxSegments {
		return nil, eris.Wrapf(ErrDamaged, "snapshot has %d segments, expected 1 to %d", s.Segments, maxSegments)
	}
	var content []byte
	for i := range s.Segments {
		entry, err := l.kv.Get(ctx, segmentKey(s, i))
		if eris.Is(err, store.ErrNotFound) {
			return nil, eris.Wrapf(ErrDamaged, "segment %d of snapshot %s is missing", i, s.ID)
		}
		if err != nil {
			return nil, eris.Wrapf(err, "read segment %d of snapshot %s", i, s.ID)
		}
		content = append(content, entry.Value...)
	}
	if digestOf(content) != s.Digest {
		return nil, eris.Wrapf(ErrDamaged, "content of snapshot %s does not match its digest", s.ID)
	}
	var rows []Row
	if err := frame.Decode(content, &rows); err != nil {
		return nil, eris.Wrapf(ErrDamaged, "decode snapshot %s: %v", s.ID, err)
	}
	full, err := Patch(&tables.Tables{}, rows)
	if err != nil {
		return nil, eris.Wrapf(ErrDamaged, "snapshot %s: %v", s.ID, err)
	}
	return full, nil
}

// writeSnapshot writes the segments of a snapshot. A segment that exists already has the same content, since the digest is
// part of its key. Segments that no head refers to do no harm.
func (l *Log) writeSnapshot(ctx context.Context, id ID, full *tables.Tables) (Snapshot, error) {
	content, err := msgpack.Marshal(AllRows(full))
	if err != nil {
		return Snapshot{}, eris.Wrap(err, "encode snapshot")
	}
	size := l.limits.segmentSize
	s := Snapshot{ID: id, Digest: digestOf(content), Segments: (len(content) + size - 1) / size}
	if s.Segments > maxSegments {
		return Snapshot{}, eris.Errorf("write snapshot %s: %d segments, expected at most %d", id, s.Segments, maxSegments)
	}
	for i := range s.Segments {
		segment := content[i*size : min((i+1)*size, len(content))]
		if err := l.writeSegment(ctx, segmentKey(s, i), segment); err != nil {
			return Snapshot{}, eris.Wrapf(err, "write segment %d of snapshot %s", i, id)
		}
	}
	return s, nil
}

// writeSegment creates a segment. It succeeds if the segment exists with the same content.
func (l *Log) writeSegment(ctx context.Context, key string, segment []byte) error {
	_, err := l.kv.CompareAndSwap(ctx, key, 0, segment, 0)
	if !eris.Is(err, store.ErrConflict) {
		return err
	}
	entry, err := l.kv.Get(ctx, key)
	if err != nil {
		return err
	}
	if bytes.Equal(entry.Value, segment) {
		return nil
	}
	return eris.Errorf("key %s exists with other content", key)
}

// expireSnapshot writes the segments of a replaced snapshot again under a lease, so that the store deletes them after
// replacedSnapshotTTL. It stops at the first error; the other segments then stay in the store as orphans.
func (l *Log) expireSnapshot(ctx context.Context, replaced Snapshot) {
	if replaced.ID.IsZero() || replaced.Segments > maxSegments {
		return
	}
	lease, err := l.kv.Grant(ctx, replacedSnapshotTTL)
	if err != nil {
		return
	}
	for i := range replaced.Segments {
		key := segmentKey(replaced, i)
		entry, err := l.kv.Get(ctx, key)
		if err != nil {
			return
		}
		if _, err := l.kv.CompareAndSwap(ctx, key, entry.Version, entry.Value, lease); err != nil {
			return
		}
	}
}
