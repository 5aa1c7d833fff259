package resident

import (
	"slices"
	"time"
)

// The order of two incarnations of a target does not follow from their times of start alone: the clock of the VM may have been set
// back between them, or a heartbeat may lack the time. So an incarnation replaces a living one at once only with its first heartbeat
// and a later time of start. Any other heartbeat of another incarnation is either late, or that of a successor. A late heartbeat comes
// while the known incarnation goes on sending its own; a successor goes on sending while the known incarnation is silent. Late heartbeats
// arrive at any distance from each other, so what counts is how long the known incarnation has been silent.

const (
	// minSuccessorTicks is the number of ticks between two heartbeats of a successor without one of the known incarnation. Late
	// heartbeats that arrive together are closer.
	minSuccessorTicks = TicksPerHeartbeat
	// minPredecessorSilence is the number of ticks without a heartbeat of the known incarnation before a successor replaces it. The ticks
	// span at least one and a half intervals, and a living incarnation sends a heartbeat in each.
	minPredecessorSilence = 2 * TicksPerHeartbeat
	// maxSuccessors bounds the incarnations that may have replaced the known one, and maxReplaced those that others have replaced.
	maxSuccessors = 4
	maxReplaced   = 16
)

// Incarnation identifies a start of a target. Started is in Unix milliseconds, or 0 when it is not known.
type Incarnation struct {
	Instance string
	Started  int64
}

// Incarnation returns the incarnation that sent the heartbeat.
func (h *Heartbeat) Incarnation() Incarnation { return Incarnation{h.Instance, h.Started} }

// successor is an incarnation that may have replaced the known one.
type successor struct {
	incarnation Incarnation
	// firstSequence is the lowest sequence of its heartbeats that have arrived, and lastSequence the highest.
	firstSequence, lastSequence int64
	// predecessorHeardAt is when the known incarnation had last been heard before the successor was.
	predecessorHeardAt time.Time
	// ticks counts the ticks since its first heartbeat, or since a later one of the known incarnation.
	ticks int
	// isProven is set if it has replaced the known incarnation for certain, not only because that one was silent.
	isProven bool
}

// findSuccessor returns what is known of another incarnation, one of whose heartbeats has arrived, and reports whether it has replaced
// the known one. An incarnation that was replaced may have been so because of late heartbeats of its successor: it speaks again once that
// one is silent.
func (t *target) findSuccessor(now time.Time, h Heartbeat) (successor, bool) {
	if t.lost.isOf(h) {
		t.lost = lostIncarnation{}
	}
	at := slices.IndexFunc(t.successors, func(s successor) bool { return s.incarnation == h.Incarnation() })
	isRising := at >= 0 && h.Sequence > t.successors[at].lastSequence
	if at < 0 {
		t.successors = append(t.successors, successor{
			incarnation: h.Incarnation(), firstSequence: h.Sequence, lastSequence: h.Sequence, predecessorHeardAt: t.heartbeatAt,
		})
		t.successors = t.successors[max(0, len(t.successors)-maxSuccessors):]
		at = len(t.successors) - 1
	}
	s := &t.successors[at]
	s.firstSequence, s.lastSequence = min(s.firstSequence, h.Sequence), max(s.lastSequence, h.Sequence)
	isFirst, isLater := h.Sequence <= MaxFirstSequence, h.Started > t.lastHeartbeat.Started
	isFirst = isFirst && !slices.Contains(t.replaced, h.Incarnation())
	if s.isProven = isFirst && isLater; s.isProven || t.isAbsent() && (isFirst || isLater) {
		return *s, true
	}
	// Some incarnation is alive, so its flows do not end because the known one is silent.
	t.recordSignOfLife(now)
	return *s, isRising && s.ticks >= minSuccessorTicks && t.unheardTicks >= minPredecessorSilence
}

// addSuccessorTicks counts a tick for each incarnation that may have replaced the known one.
func (t *target) addSuccessorTicks() {
	for i := range t.successors {
		t.successors[i].ticks++
	}
}

// resetSuccessorTicks records a heartbeat of the known incarnation.
func (t *target) resetSuccessorTicks() {
	for i := range t.successors {
		t.successors[i].ticks = 0
	}
}

// lostIncarnation is an incarnation that has probably ended: a successor has replaced it because it was silent. The flows that it had
// accepted end when it has been silent for as long as a target that counts as gone, unless it sends a heartbeat before.
type lostIncarnation struct {
	incarnation Incarnation
	// lastSequence is that of its last heartbeat, and heardAt when that arrived.
	lastSequence int64
	heardAt      time.Time
	// unheardTicks counts the ticks since. It is zero if there is no such incarnation.
	unheardTicks int
}

// isOf reports whether the lost incarnation has sent a heartbeat after its last one.
func (l *lostIncarnation) isOf(h Heartbeat) bool {
	return l.unheardTicks > 0 && l.incarnation == h.Incarnation() && h.Sequence > l.lastSequence
}

// tick counts a tick. It reports whether the incarnation has ended by now.
func (l *lostIncarnation) tick() bool {
	if l.unheardTicks == 0 {
		return false
	}
	l.unheardTicks++
	return l.unheardTicks >= maxSilentTicks
}

// recordReplaced records that the known incarnation has been replaced.
func (t *target) recordReplaced() {
	t.replaced = append(t.replaced, t.lastHeartbeat.Incarnation())
	t.replaced = t.replaced[max(0, len(t.replaced)-maxReplaced):]
	t.successors = nil
}
