package revision

import (
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/internal/frame"
	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

// HeadKey is the key of the head of the log in the store.
const HeadKey = "gentianswitch/head"

// limits are the bounds of stored values, in bytes of msgpack.
type limits struct {
	// maxLog is the size of the log in the head above which a snapshot is written and the log is cut. Every reader of
	// the store reads the head at each change.
	maxLog int
	// keptLog is the size that a cut leaves of the log.
	keptLog int
	// maxEntry is the size above which the rows of an entry are left out.
	maxEntry int
	// segment is the largest part of a snapshot in one value.
	segment int
}

var defaultLimits = limits{maxLog: 32 << 10, keptLog: 12 << 10, maxEntry: 4 << 10, segment: 900 << 10}

// headFormat is the version of the encoding of the head.
const headFormat = 1

// Head is the value under HeadKey: the newest revision, and how to come to its tables.
type Head struct {
	Format uint8 `msgpack:"format"`
	ID     ID    `msgpack:"id"`
	// Snapshot holds the whole tables of a revision that the log leads on from.
	Snapshot Snapshot `msgpack:"snapshot"`
	// Log holds the last accepted changes, the newest last.
	Log []Entry `msgpack:"log"`
}

// Snapshot names the segments with the whole tables of one revision. A zero ID stands for empty tables.
type Snapshot struct {
	ID ID `msgpack:"id"`
	// Digest is the hexadecimal digest of the content; it is part of the keys.
	Digest string `msgpack:"digest"`
	// Segments is the number of values that the content is cut into.
	Segments int `msgpack:"segments"`
}

// Encode returns the stored form of the head.
func (h Head) Encode() ([]byte, error) {
	h.Format = headFormat
	raw, err := msgpack.Marshal(h)
	if err != nil {
		return nil, eris.Wrap(err, "encode head")
	}
	if len(raw) > store.MaxValueSize {
		return nil, eris.Wrap(store.ErrTooLarge, "encode head")
	}
	return raw, nil
}

// DecodeHead reads the stored form of a head.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if err := frame.Decode(raw, &h); err != nil {
		return Head{}, eris.Wrapf(ErrDamaged, "decode head: %v", err)
	}
	if h.Format != headFormat {
		return Head{}, eris.Wrapf(ErrDamaged, "format %d of the head, expected %d", h.Format, headFormat)
	}
	return h, nil
}

// Find returns the entry of the change with the given ID, or nil.
func (h *Head) Find(change string) *Entry {
	for i := range h.Log {
		if h.Log[i].ID.Change == change {
			return &h.Log[i]
		}
	}
	return nil
}

// After returns the changes that lead from the given revision to the head. It reports false when the log does not
// reach back to that revision, or leaves out rows on the way.
func (h *Head) After(from ID) ([]Entry, bool) {
	at := h.ID
	for i := len(h.Log); ; i-- {
		if at == from {
			return h.Log[i:], true
		}
		if i == 0 || h.Log[i-1].ID != at || h.Log[i-1].IsOmitted {
			return nil, false
		}
		at = h.Log[i-1].Previous
	}
}

// Since returns the delta from the given revision to the head, or false when the log does not hold it.
func (h *Head) Since(have ID) (Revision, bool) {
	entries, ok := h.After(have)
	if !ok || have.IsZero() {
		return Revision{}, false
	}
	return Revision{ID: h.ID, Base: have, Rows: entryRows(entries)}, true
}

func entryRows(entries []Entry) []Row {
	deltas := make([]Revision, 0, len(entries))
	for _, e := range entries {
		deltas = append(deltas, Revision{Rows: e.Rows})
	}
	return mergeRows(deltas)
}

// View is the log as it was read: the head, and the tables of its snapshot.
type View struct {
	// Version is the store's version of the head, zero when there is none.
	Version store.Version
	Head    Head
	// snapshot are the tables of Head.Snapshot.
	snapshot *tables.Tables
	// isRestored tells that the view was taken from a balancer, since the store holds less.
	isRestored bool
	limits     limits
}

// At returns the tables of a revision that lies between the snapshot and the head.
func (v *View) At(id ID) (*tables.Tables, error) {
	entries, ok := v.Head.After(v.Head.Snapshot.ID)
	if !ok {
		return nil, eris.New("the log does not start at the snapshot")
	}
	if id == v.Head.Snapshot.ID {
		return v.snapshot, nil
	}
	last := slices.IndexFunc(entries, func(e Entry) bool { return e.ID == id })
	if last < 0 {
		return nil, eris.Errorf("the log no longer holds the tables of revision %s", id)
	}
	return Patch(v.snapshot, entryRows(entries[:last+1]))
}

// Tables returns the tables of the head.
func (v *View) Tables() (*tables.Tables, error) {
	return v.At(v.Head.ID)
}

// restored returns a view of a revision that a balancer has in force and the store has lost. The log keeps what the
// store still holds, for the history.
func (v *View) restored(known Revision) (*View, error) {
	whole, err := Patch(&tables.Tables{}, known.Rows)
	if err != nil {
		return nil, eris.Wrapf(err, "restore revision %s", known.ID)
	}
	head := Head{ID: known.ID, Snapshot: Snapshot{ID: known.ID}, Log: v.Head.Log}
	return &View{Version: v.Version, Head: head, snapshot: whole, isRestored: true, limits: v.limits}, nil
}

// Resolve returns the ID of the revision with the given number, from the log or the snapshot.
func (v *View) Resolve(number uint64) (ID, bool) {
	if number == v.Head.Snapshot.ID.Number {
		return v.Head.Snapshot.ID, true
	}
	for _, e := range v.Head.Log {
		if e.ID.Number == number {
			return e.ID, true
		}
	}
	return ID{}, false
}

// next returns the head that follows with the entry, and whether it needs a new snapshot.
func (v *View) next(e Entry) (Head, bool) {
	next := Head{ID: e.ID, Snapshot: v.Head.Snapshot, Log: append(slices.Clone(v.Head.Log), e)}
	isLarge := encodedSize(e) > v.limits.maxEntry
	if !isLarge && !v.isRestored && encodedSize(next.Log) <= v.limits.maxLog {
		return next, false
	}
	if isLarge {
		last := &next.Log[len(next.Log)-1]
		last.Rows, last.IsOmitted = nil, true
	}
	next.Log = cutLog(next.Log, v.limits.keptLog)
	return next, true
}

// cutLog returns the newest entries that fit keptSize, at least one.
func cutLog(log []Entry, keptSize int) []Entry {
	size := 0
	for i := len(log) - 1; i >= 0; i-- {
		size += encodedSize(log[i])
		if size > keptSize {
			return log[min(i+1, len(log)-1):]
		}
	}
	return log
}

func encodedSize(value any) int {
	raw, err := msgpack.Marshal(value)
	if err != nil {
		return store.MaxValueSize
	}
	return len(raw)
}
