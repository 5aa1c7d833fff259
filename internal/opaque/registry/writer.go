package registry

import (
	"bytes"
	"time"

	"gentianswitch/internal/store"
)

// Waits between tries after a failed call, in the order of the tries. The last one is kept: it bounds how long an entry
// is missing after an outage, for which operators expect two seconds.
var retryWaits = [...]time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second}

// Step is the next call of a Writer.
type Step uint8

// The steps.
const (
	// Rest means that no call is due.
	Rest Step = iota
	// Read means that the entry has to be read.
	Read
	// Write means that the entry has to be written under the condition that it has the known revision.
	Write
)

// Writer decides how an agent brings its entry into the store. A write names the revision that it replaces, so that a
// delayed write of an earlier process cannot replace a later one. One call is under way at a time.
//
// A new process assumes at first that the entry does not exist: where it does, the refused write tells its revision.
type Writer struct {
	desired, stored []byte
	revision        store.Version
	// isUncertain is set after a call whose outcome is not known.
	isUncertain bool
	failures    int
	notBefore   time.Time
}

// Want sets the value that the store has to hold.
func (w *Writer) Want(value []byte) { w.desired = value }

// IsSettled reports whether the store holds the wanted value as far as is known.
func (w *Writer) IsSettled() bool {
	return w.desired == nil || !w.isUncertain && bytes.Equal(w.desired, w.stored)
}

// Next returns the call that is due, or Rest and the time until one may be.
func (w *Writer) Next(now time.Time) (Step, time.Duration) {
	switch {
	case w.IsSettled():
		return Rest, 0
	case now.Before(w.notBefore):
		return Rest, w.notBefore.Sub(now)
	case w.isUncertain:
		return Read, 0
	default:
		return Write, 0
	}
}

// Value returns the value to write and the revision that it replaces.
func (w *Writer) Value() ([]byte, store.Version) { return w.desired, w.revision }

// Found takes the result of a read, or of a write that was refused since the entry has another revision. A revision of
// zero means that the entry does not exist.
func (w *Writer) Found(value []byte, revision store.Version) {
	w.stored, w.revision, w.isUncertain, w.failures = value, revision, false, 0
}

// Written takes the result of a write that succeeded.
func (w *Writer) Written(value []byte, revision store.Version) { w.Found(value, revision) }

// Failed takes a call whose outcome is not known. The entry is read again before it is written.
func (w *Writer) Failed(now time.Time) {
	w.isUncertain = true
	w.notBefore = now.Add(retryWaits[min(w.failures, len(retryWaits)-1)])
	w.failures++
}
