package registry

import (
	"time"

	"gentianswitch/internal/store"
)

// retryWaits are the delays after consecutive failed calls. The last one is used for all further failures. It bounds how long
// an entry stays missing after an outage of the store: operators expect at most two seconds.
var retryWaits = [...]time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second}

// Step is the call to the store that a Writer needs next.
type Step uint8

// Kinds of steps.
const (
	// Idle means that no call is due.
	Idle Step = iota
	// Read means that the entry has to be read from the store.
	Read
	// Write means that the entry has to be written with a compare-and-swap: only if its revision in the store is still the
	// known one.
	Write
)

// Writer decides which calls bring the entry of an agent's target into the store. Each write names the revision that it
// replaces, so that a delayed write of an earlier process cannot overwrite a later one. Only one call is in progress at a time.
//
// A Writer reads the entry before its first write and after a call with an unknown outcome. When the store refuses a write
// because the revision has changed, the store returns the entry that it holds; HandleRead records that as well.
type Writer struct {
	// desired is the entry that the store has to hold, or the zero Entry if there is none yet. stored is the entry that it
	// holds, or the zero Entry if it holds none or one that cannot be decoded.
	desired, stored Entry
	revision        store.Version
	// isRead is set once the stored entry has been read. isUncertain is set from a call whose outcome is unknown until the next
	// read.
	isRead, isUncertain bool
	failedCalls         int
	retryAt             time.Time
}

// SetDesired sets the entry that the store has to hold.
func (w *Writer) SetDesired(e Entry) { w.desired = e }

// IsUpToDate reports whether the store is known to hold the desired entry, or none is desired yet.
func (w *Writer) IsUpToDate() bool {
	return w.desired == Entry{} || w.isStoredKnown() && w.stored.matches(w.desired)
}

// Next returns the call that is due, or Idle and the time until a call is due. The time is zero if the entry is up to date.
func (w *Writer) Next(now time.Time) (Step, time.Duration) {
	switch {
	case w.IsUpToDate():
		return Idle, 0
	case now.Before(w.retryAt):
		return Idle, w.retryAt.Sub(now)
	case !w.isStoredKnown():
		return Read, 0
	default:
		return Write, 0
	}
}

// NextWrite returns the entry to write and the revision that it replaces. A target that is in the store already keeps the
// revision at which it joined.
func (w *Writer) NextWrite() (Entry, store.Version) {
	e := w.desired
	e.Era = w.revision.Era()
	if !e.HasLeft && w.hasDesiredTarget() {
		e = e.withJoinVersion(w.stored.JoinVersion(w.stored.Version(w.revision)))
	}
	return e, w.revision
}

// hasDesiredTarget reports whether the stored entry is that of a target of the desired service that has not left.
func (w *Writer) hasDesiredTarget() bool {
	return !w.stored.HasLeft && w.stored.Service == w.desired.Service
}

// NextWriteJoins reports whether the next write makes the target join: the balancers do not know it yet.
func (w *Writer) NextWriteJoins() bool {
	return w.isStoredKnown() && !w.desired.HasLeft && !w.hasDesiredTarget()
}

// isStoredKnown reports whether the Writer knows what the store holds.
func (w *Writer) isStoredKnown() bool { return w.isRead && !w.isUncertain }

// HandleRead records the result of a read, or the entry that the store returned when it refused a write. A revision of zero
// means that there is no entry. A value that cannot be decoded is an error, and is replaced by the next write.
func (w *Writer) HandleRead(value []byte, revision store.Version) error {
	e, err := Decode(value)
	if revision.Revision() == 0 {
		err = nil
	}
	w.HandleWritten(e, revision)
	return err
}

// HandleWritten records that the store holds an entry at a revision.
func (w *Writer) HandleWritten(e Entry, revision store.Version) {
	w.stored, w.revision, w.isRead, w.isUncertain, w.failedCalls = e, revision, true, false, 0
}

// HandleUnknownOutcome records a call whose outcome is unknown. The entry is read again, after a delay, before it is written.
func (w *Writer) HandleUnknownOutcome(now time.Time) {
	w.isUncertain = true
	w.retryAt = now.Add(retryWaits[min(w.failedCalls, len(retryWaits)-1)])
	w.failedCalls++
}
