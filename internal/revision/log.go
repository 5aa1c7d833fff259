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
	// maxSegments bounds the memory that reading a snapshot takes.
	maxSegments = 64
	digestSize  = 16
	// trimDelay is how long the segments of a replaced snapshot stay readable.
	trimDelay = 10 * time.Minute
)

// ErrDamaged means that the store answers, but what it holds of the log is not whole.
var ErrDamaged = eris.New("the log in the store is damaged")

// Log is the log of accepted changes in the store.
type Log struct {
	kv     store.Store
	limits limits
	// pause waits before try number n of a call, or returns the error of ctx when it ends first.
	pause func(ctx context.Context, n int) error
}

// NewLog returns the log in the given store.
func NewLog(kv store.Store) *Log {
	return &Log{kv: kv, limits: defaultLimits, pause: pauseWithJitter}
}

// Read returns the log as it is in the store. A store without a head gives a view of empty tables. With ErrDamaged the
// view holds no more than the version, and the head if that can be decoded.
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

// Fetch returns what brings a process that has the revision have in force to the head: a delta when the log holds it,
// else the whole tables, for which it reads the snapshot.
func (l *Log) Fetch(ctx context.Context, head Head, have ID) (Revision, error) {
	if delta, ok := head.Since(have); ok {
		return delta, nil
	}
	snapshot, err := l.readSnapshot(ctx, head.Snapshot)
	if err != nil {
		return Revision{}, err
	}
	view := View{Head: head, snapshot: snapshot}
	whole, err := view.Tables()
	if err != nil {
		return Revision{}, err
	}
	return Revision{ID: head.ID, Rows: AllRows(whole)}, nil
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
		return nil, eris.Wrapf(ErrDamaged, "snapshot of %d segments, expected 1 to %d", s.Segments, maxSegments)
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
		return nil, eris.Wrapf(ErrDamaged, "the content of snapshot %s does not match its digest", s.ID)
	}
	var rows []Row
	if err := frame.Decode(content, &rows); err != nil {
		return nil, eris.Wrapf(ErrDamaged, "decode snapshot %s: %v", s.ID, err)
	}
	whole, err := Patch(&tables.Tables{}, rows)
	if err != nil {
		return nil, eris.Wrapf(ErrDamaged, "snapshot %s: %v", s.ID, err)
	}
	return whole, nil
}

// writeSnapshot writes the segments of a snapshot. A segment that exists has the same content, since its key holds the
// digest; segments that no head refers to do no harm.
func (l *Log) writeSnapshot(ctx context.Context, id ID, whole *tables.Tables) (Snapshot, error) {
	content, err := msgpack.Marshal(AllRows(whole))
	if err != nil {
		return Snapshot{}, eris.Wrap(err, "encode snapshot")
	}
	size := l.limits.segment
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
	return eris.Errorf("%s holds other content", key)
}

// trim puts the segments of a replaced snapshot under a lease, so that the store deletes them after trimDelay. What
// fails stays in the store as an orphan.
func (l *Log) trim(ctx context.Context, replaced Snapshot) {
	if replaced.ID.IsZero() || replaced.Segments > maxSegments {
		return
	}
	lease, err := l.kv.Grant(ctx, trimDelay)
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
