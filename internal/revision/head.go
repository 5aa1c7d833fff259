package revision

import (
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/internal/frame"
	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

// HeadKey is the key of the log's head in the store.
const HeadKey = "gentianswitch/head"

// limits are the bounds of stored values, in bytes of their msgpack encoding.
type limits struct {
	// maxLogSize is the size of the log in the head above which a snapshot is written and the log is truncated. It is small
	// because every reader of the store reads the whole head at each change.
	maxLogSize int
	// truncatedLogSize is the size to which the log is truncated. The difference to maxLogSize leaves room for further changes
	// before the next snapshot.
	truncatedLogSize int
	// maxEntrySize is the size above which an entry is stored without its rows. A snapshot is then written with the entry.
	maxEntrySize int
	// segmentSize is the largest size of one segment of a snapshot. The store holds a segment as one value, so it must not
	// exceed store.MaxValueSize.
	segmentSize int
}

var defaultLimits = limits{maxLogSize: 32 << 10, truncatedLogSize: 12 << 10, maxEntrySize: 4 << 10, segmentSize: 900 << 10}

// headFormat is the version of the encoding of the head.
const headFormat = 1

// Head is the value under HeadKey: the newest revision, and the snapshot and the log from which its tables are built.
type Head struct {
	Format uint8 `msgpack:"format"`
	ID     ID    `msgpack:"id"`
	// Snapshot refers to the full tables of ID or of an older revision. The entries of the log after that revision lead to ID.
	Snapshot Snapshot `msgpack:"snapshot"`
	// Log holds the latest accepted changes, the newest last. It may begin before the snapshot, for the history.
	Log []Entry `msgpack:"log"`
}

// Snapshot refers to the segments that hold the full tables of one revision. A zero ID stands for empty tables, which have
// no segments.
type Snapshot struct {
	ID ID `msgpack:"id"`
	// Digest is the hexadecimal digest of the content; it is part of the segments' keys.
	Digest string `msgpack:"digest"`
	// Segments is the number of values that the content is split into.
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

// DecodeHead decodes the stored form of a head. Its errors wrap ErrDamaged.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if err := frame.Decode(raw, &h); err != nil {
		return Head{}, eris.Wrapf(ErrDamaged, "decode head: %v", err)
	}
	if h.Format != headFormat {
		return Head{}, eris.Wrapf(ErrDamaged, "head has format %d, expected %d", h.Format, headFormat)
	}
	return h, nil
}

// EntryByChangeID returns the entry of the change with the given ID, or nil if the log does not hold it.
func (h *Head) EntryByChangeID(changeID string) *Entry {
	for i := range h.Log {
		if h.Log[i].ID.ChangeID == changeID {
			return &h.Log[i]
		}
	}
	return nil
}

// EntriesSince returns the changes after revision base, up to the head. It reports false when the log does not reach back
// to that revision, or when one of the entries is stored without its rows.
func (h *Head) EntriesSince(base ID) ([]Entry, bool) {
	current := h.ID
	for i := len(h.Log); ; i-- {
		if current == base {
			return h.Log[i:], true
		}
		if i == 0 || h.Log[i-1].ID != current || h.Log[i-1].IsOmitted {
			return nil, false
		}
		current = h.Log[i-1].Previous
	}
}

// DeltaSince returns the delta from revision base to the head, or false when the log does not hold it.
func (h *Head) DeltaSince(base ID) (Revision, bool) {
	entries, ok := h.EntriesSince(base)
	if !ok || base.IsZero() {
		return Revision{}, false
	}
	return Revision{ID: h.ID, Base: base, Rows: entryRows(entries)}, true
}

// entryRows returns the last change of each row in the entries, sorted.
func entryRows(entries []Entry) []Row {
	deltas := make([]Revision, 0, len(entries))
	for _, e := range entries {
		deltas = append(deltas, Revision{Rows: e.Rows})
	}
	return latestRows(deltas)
}

// View is the log as of one read: the head, and the tables of its snapshot.
type View struct {
	// Version is the store's version of the head, zero when there is none.
	Version store.Version
	Head    Head
	// snapshot are the tables of Head.Snapshot.
	snapshot *tables.Tables
	// isRestored is set when the view was built from a balancer's tables, because the store holds an older revision or a
	// damaged log.
	isRestored bool
	limits     limits
}

// TablesAt returns the tables of a revision from the snapshot up to the head.
func (v *View) TablesAt(id ID) (*tables.Tables, error) {
	entries, ok := v.Head.EntriesSince(v.Head.Snapshot.ID)
	if !ok {
		return nil, eris.New("the log does not reach back to the snapshot")
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
	return v.TablesAt(v.Head.ID)
}

// restoredFrom returns a view of a revision that a balancer has in force and that the store has lost. The log keeps the
// entries that the store still holds, for the history.
func (v *View) restoredFrom(known Revision) (*View, error) {
	full, err := Patch(&tables.Tables{}, known.Rows)
	if err != nil {
		return nil, eris.Wrapf(err, "restore revision %s", known.ID)
	}
	head := Head{ID: known.ID, Snapshot: Snapshot{ID: known.ID}, Log: v.Head.Log}
	return &View{Version: v.Version, Head: head, snapshot: full, isRestored: true, limits: v.limits}, nil
}

// IDByNumber returns the ID of the revision with the given number, which is that of the snapshot or of an entry of the log.
func (v *View) IDByNumber(number uint64) (ID, bool) {
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

// nextHead returns the head after the entry is appended, and whether a new snapshot has to be written for it.
func (v *View) nextHead(e Entry) (Head, bool) {
	next := Head{ID: e.ID, Snapshot: v.Head.Snapshot, Log: append(slices.Clone(v.Head.Log), e)}
	isLarge := encodedSize(e) > v.limits.maxEntrySize
	if !isLarge && !v.isRestored && encodedSize(next.Log) <= v.limits.maxLogSize {
		return next, false
	}
	if isLarge {
		last := &next.Log[len(next.Log)-1]
		last.Rows, last.IsOmitted = nil, true
	}
	next.Log = truncateLog(next.Log, v.limits.truncatedLogSize)
	return next, true
}

// truncateLog returns the newest entries that fit in maxSize bytes, and at least the last one.
func truncateLog(log []Entry, maxSize int) []Entry {
	size := 0
	for i := len(log) - 1; i >= 0; i-- {
		size += encodedSize(log[i])
		if size > maxSize {
			return log[min(i+1, len(log)-1):]
		}
	}
	return log
}

// encodedSize returns the size of the value in msgpack, in bytes. A value that cannot be encoded counts as too large.
func encodedSize(value any) int {
	raw, err := msgpack.Marshal(value)
	if err != nil {
		return store.MaxValueSize
	}
	return len(raw)
}
