package registry

import (
	"slices"
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

const (
	// checkInterval is the time without a report of a balancer after which the entry of a target with flows is read again:
	// balancers that do not know the target report nothing, so the store may have lost the entry. The time doubles with each
	// check, at most maxCheckDoublings times, since the balancers do not report to targets that get no packets either.
	checkInterval     = 4 * time.Second
	maxCheckDoublings = 4
	// idleCheckFactor is the factor on that time for a target without flows. Only new flows miss it.
	idleCheckFactor = 8
	// minUnreadableInterval is the minimum time between two reads of the entry because balancers cannot decode it.
	minUnreadableInterval = 500 * time.Millisecond
	// MaxCheckDelay bounds the delay of a check after a restoration of the store. It spreads the reads of a fleet.
	MaxCheckDelay = 2 * time.Second
)

// Writer decides which calls bring the entry of an agent's target into the store. Each write names the revision that it
// replaces, so that a delayed write of an earlier process cannot overwrite a later one. Only one call is in progress at a time.
//
// A Writer reads the entry before its first write and after a call with an unknown outcome. When the store refuses a write
// because the revision has changed, the store returns the entry that it holds; HandleRead records that as well.
//
// A write whose outcome is unknown may be applied later, as long as the entry has the revision that the write replaces. A read
// that shows this revision proves nothing. So when such a write is no longer wanted, the Writer writes the desired entry even if
// the store holds it already: the new revision invalidates the earlier write. For the same reason a process writes an entry that it
// finds as desired once more: the process before it may have been killed with a write outstanding.
//
// A store that is restored from a copy loses entries that it has acknowledged. So the Writer also reads the entry when a balancer
// reports a new era of the store, and from time to time while no balancer reports anything. It writes again what is missing or
// older than before.
type Writer struct {
	// desired is the entry that the store has to hold, or the zero Entry if there is none yet. stored is the entry that it
	// holds, or the zero Entry if it holds none or one that cannot be decoded.
	desired, stored Entry
	// revision is the version with which the store returned the stored entry. Its era is that of the store at that time, and its
	// revision zero if there was no entry.
	revision store.Version
	// joined is the version at which the target joined, or zero while it is not known to be in the store. It outlasts the loss of
	// the entry.
	joined store.Version
	// isRead is set once the stored entry has been read. isUncertain is set from a call whose outcome is unknown, or a report of a
	// new era, until the next read. isOutdated is set while the store holds an older entry than before, or none. hadEntry is set
	// once the store has held an entry.
	isRead, isUncertain, isOutdated, hadEntry bool
	failedCalls                               int
	retryAt                                   time.Time
	// unresolved are the writes of this process that the store may still apply. mayPredecessorWrite is set while it may still apply
	// one of an earlier process: the entry has had the same revision since the first read.
	unresolved          []unresolvedWrite
	mayPredecessorWrite bool
	// reportedEra is the highest era that a balancer has reported. confirmedAt is when a balancer or the store last confirmed the
	// entry, or zero, and checks counts the checks since the last report, up to maxCheckDoublings.
	reportedEra uint64
	confirmedAt time.Time
	checks      int
	// unreadableAt is when a balancer last reported that it cannot decode the entry.
	unreadableAt time.Time
	// hasFlows is set while the target has open flows.
	hasFlows bool
}

// unresolvedWrite is a write whose outcome is unknown. The store applies it only while the entry has the revision that the write
// replaces.
type unresolvedWrite struct {
	entry    Entry
	replaces uint64
}

// SetDesired sets the entry that the store has to hold.
func (w *Writer) SetDesired(e Entry) {
	if e.HasLeft || e.Service != w.desired.Service {
		w.joined = 0
	}
	w.desired = e
}

// SetHasFlows sets whether the target has open flows. Then its entry is checked more often.
func (w *Writer) SetHasFlows(hasFlows bool) { w.hasFlows = hasFlows }

// IsUpToDate reports whether the store is known to hold the desired entry and will keep it, or none is desired yet.
func (w *Writer) IsUpToDate() bool {
	if w.desired == (Entry{}) {
		return true
	}
	return w.isStoredKnown() && !w.isOutdated && w.stored.matches(w.desired) && !w.mayBeOverwritten()
}

// mayBeOverwritten reports whether an unresolved write may still replace the stored entry by one that is not desired.
func (w *Writer) mayBeOverwritten() bool {
	return w.mayPredecessorWrite || slices.ContainsFunc(w.unresolved, func(u unresolvedWrite) bool {
		return u.replaces == w.revision.Revision() && !u.entry.matches(w.desired)
	})
}

// Next returns the call that is due, or Idle and the time until a call is due. The time is zero if none is.
func (w *Writer) Next(now time.Time) (Step, time.Duration) {
	switch {
	case w.IsUpToDate():
		return w.nextCheck(now)
	case now.Before(w.retryAt):
		return Idle, w.retryAt.Sub(now)
	case !w.isStoredKnown():
		return Read, 0
	default:
		return Write, 0
	}
}

// nextCheck returns the next call while the entry is up to date. It is called again after checkInterval at the latest, since
// flows may have opened meanwhile.
func (w *Writer) nextCheck(now time.Time) (Step, time.Duration) {
	if w.confirmedAt.IsZero() || w.desired == (Entry{}) {
		return Idle, 0
	}
	interval := checkInterval << w.checks
	if !w.hasFlows {
		interval *= idleCheckFactor
	}
	wait := w.confirmedAt.Add(interval).Sub(now)
	if wait <= 0 {
		return Read, 0
	}
	return Idle, min(wait, checkInterval)
}

// NextWrite returns the entry to write and the revision that it replaces. A target that has joined already keeps the version at
// which it did.
func (w *Writer) NextWrite() (Entry, store.Version) {
	e := w.desired
	e.Era = w.revision.Era()
	if e.HasLeft {
		return e, w.revision
	}
	switch {
	case w.joined > 0:
		e = e.withJoinVersion(w.joined)
	case w.hasDesiredTarget():
		e = e.withJoinVersion(w.stored.JoinVersion(w.storedVersion()))
	}
	return e, w.revision
}

// storedVersion returns the version of the stored entry, or zero if there is none.
func (w *Writer) storedVersion() store.Version {
	if w.revision.Revision() == 0 {
		return 0
	}
	return w.stored.Version(w.revision)
}

// hasDesiredTarget reports whether the stored entry is that of a target of the desired service that has not left.
func (w *Writer) hasDesiredTarget() bool {
	return !w.stored.HasLeft && w.stored.Service == w.desired.Service
}

// NextWriteJoins reports whether the next write makes the target join: the balancers do not know it yet. A target whose entry
// was lost does not join again.
func (w *Writer) NextWriteJoins() bool {
	return w.isStoredKnown() && !w.desired.HasLeft && !w.hasDesiredTarget() && w.joined == 0
}

// HadEntry reports whether the store has held an entry since this process started, as far as it knows.
func (w *Writer) HadEntry() bool { return w.hadEntry }

// isStoredKnown reports whether the Writer knows what the store holds.
func (w *Writer) isStoredKnown() bool { return w.isRead && !w.isUncertain }

// HandleRead records the result of a read, or the entry that the store returned when it refused a write. A revision of zero
// means that there is no entry. A value that cannot be decoded is an error, and is replaced by the next write.
func (w *Writer) HandleRead(value []byte, returned store.Version) error {
	e, err := Decode(value)
	if returned.Revision() == 0 {
		err = nil
	}
	previous := w.storedVersion()
	if !w.isRead {
		w.mayPredecessorWrite = returned.Revision() > 0
	} else if returned.Revision() != w.revision.Revision() {
		w.mayPredecessorWrite = false
	}
	w.record(e, returned)
	w.isOutdated = w.storedVersion() < previous
	return err
}

// HandleWritten records that the store has written an entry at a version. If the store was restored during the call, the entry
// names an era in which it was not written, and has to be written again.
func (w *Writer) HandleWritten(e Entry, returned store.Version) {
	if e.Era != returned.Era() {
		e = Entry{}
	}
	w.record(e, returned)
	w.isOutdated, w.mayPredecessorWrite = false, false
}

func (w *Writer) record(e Entry, returned store.Version) {
	w.stored, w.revision, w.isRead, w.isUncertain, w.failedCalls = e, returned, true, false, 0
	w.hadEntry = w.hadEntry || returned.Revision() > 0
	// A restored store gives revisions out again, so writes that replace a later revision stay unresolved.
	w.unresolved = slices.DeleteFunc(w.unresolved, func(u unresolvedWrite) bool { return u.replaces < returned.Revision() })
	if w.joined == 0 && !w.desired.HasLeft && w.hasDesiredTarget() {
		w.joined = e.JoinVersion(w.storedVersion())
	}
}

// IsOutdated reports whether the store holds no entry, or an older one than before: it was restored from a copy.
func (w *Writer) IsOutdated() bool { return w.isOutdated }

// HandleUnknownOutcome records a failed call. The entry is read again, after a delay, before it is written.
func (w *Writer) HandleUnknownOutcome(now time.Time) {
	w.isUncertain = true
	w.retryAt = now.Add(retryWaits[min(w.failedCalls, len(retryWaits)-1)])
	w.failedCalls++
}

// HandleUnresolvedWrite records that the outcome of a write is unknown. The arguments e and replaced are those of NextWrite.
func (w *Writer) HandleUnresolvedWrite(now time.Time, e Entry, replaced store.Version) {
	u := unresolvedWrite{entry: e, replaces: replaced.Revision()}
	if !slices.Contains(w.unresolved, u) {
		w.unresolved = append(w.unresolved, u)
	}
	w.HandleUnknownOutcome(now)
}

// HandleFailedRead records a read that failed. The failure of a check changes nothing; the next check is due later.
func (w *Writer) HandleFailedRead(now time.Time) {
	if w.IsUpToDate() {
		w.RecordCall(now)
		return
	}
	w.HandleUnknownOutcome(now)
}

// RecordCall records the time of a call, before its result is handled.
func (w *Writer) RecordCall(now time.Time) {
	w.confirmedAt = now
	if w.IsUpToDate() {
		w.checks = min(w.checks+1, maxCheckDoublings)
	}
}

// HandleReport records that a balancer which knows the target has reported the era of the store. When the era has risen, the
// entry is read again after a delay, which differs between agents. HandleReport then returns true.
func (w *Writer) HandleReport(now time.Time, era uint64, delay time.Duration) bool {
	if era < w.revision.Era() {
		return false
	}
	if !w.confirmedAt.IsZero() {
		w.confirmedAt, w.checks = now, 0
	}
	if !w.isStoredKnown() || era <= max(w.revision.Era(), w.reportedEra) {
		return false
	}
	w.reportedEra, w.isUncertain, w.retryAt = era, true, now.Add(delay)
	return true
}

// HandleUnreadable records that a balancer cannot decode the entry: another writer may have replaced it. The entry is read again, unless a
// balancer has reported that just before. HandleUnreadable then returns true.
func (w *Writer) HandleUnreadable(now time.Time) bool {
	if !w.isStoredKnown() || w.desired == (Entry{}) || now.Sub(w.unreadableAt) < minUnreadableInterval {
		return false
	}
	w.unreadableAt, w.isUncertain, w.retryAt = now, true, now
	return true
}
