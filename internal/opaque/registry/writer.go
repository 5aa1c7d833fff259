package registry

import (
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
	// Idle means that no call is due.
	Idle Step = iota
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
	// desired is what the store has to hold, or the zero Entry. stored is what it holds, or the zero Entry when there is
	// none that can be read.
	desired, stored Entry
	revision        store.Version
	// isRead is set once it is known what the store holds, isUncertain after a call whose outcome is not known.
	isRead, isUncertain bool
	failures            int
	notBefore           time.Time
}

// SetDesired sets what the store has to hold.
func (w *Writer) SetDesired(e Entry) { w.desired = e }

// IsUpToDate reports whether the store holds what is wanted as far as is known.
func (w *Writer) IsUpToDate() bool {
	return w.desired == Entry{} || w.isKnown() && w.stored.isAsWanted(w.desired)
}

// Next returns the call that is due, or Rest and the time until one may be.
func (w *Writer) Next(now time.Time) (Step, time.Duration) {
	switch {
	case w.IsUpToDate():
		return Idle, 0
	case now.Before(w.notBefore):
		return Idle, w.notBefore.Sub(now)
	case !w.isKnown():
		return Read, 0
	default:
		return Write, 0
	}
}

// Entry returns the entry to write and the revision that it replaces. A target that stays keeps the revision since which it
// has been there.
func (w *Writer) Entry() (Entry, store.Version) {
	e := w.desired
	if !e.HasLeft && w.isThere() {
		e.Joined = uint64(w.stored.JoinedAt(w.revision))
	}
	return e, w.revision
}

// isThere reports whether the store holds a target of the wanted service.
func (w *Writer) isThere() bool { return !w.stored.HasLeft && w.stored.Service == w.desired.Service }

// NextWriteJoins reports whether the next write makes the target known to balancers, which did not know it before.
func (w *Writer) NextWriteJoins() bool { return w.isKnown() && !w.desired.HasLeft && !w.isThere() }

func (w *Writer) isKnown() bool { return w.isRead && !w.isUncertain }

// HandleRead takes the value that a read has found, or that has refused a write by its revision. A revision of zero means that
// there is none. A value that cannot be read is replaced.
func (w *Writer) HandleRead(value []byte, revision store.Version) error {
	e, err := Decode(value)
	if revision == 0 {
		err = nil
	}
	w.HandleWritten(e, revision)
	return err
}

// HandleWritten takes the entry that the store holds at a revision.
func (w *Writer) HandleWritten(e Entry, revision store.Version) {
	w.stored, w.revision, w.isRead, w.isUncertain, w.failures = e, revision, true, false, 0
}

// HandleUnknownOutcome takes a call whose outcome is not known. The entry is read again before it is written.
func (w *Writer) HandleUnknownOutcome(now time.Time) {
	w.isUncertain = true
	w.notBefore = now.Add(retryWaits[min(w.failures, len(retryWaits)-1)])
	w.failures++
}
