package registry

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/store"
)

// KeyPrefix is the prefix of every key that gentianswitch writes for opaque flows.
const KeyPrefix = "gentian/"

// EraKey is the key of the highest settled era of the store. An era is settled once the store holds an entry of every target
// whose agent can reach it, although the copy that the store was restored from may have lacked some.
const EraKey = KeyPrefix + "era"

// ErrUnsettled means that the store was restored from a copy, and that agents may not have written all lost entries again yet.
var ErrUnsettled = eris.New("the store was restored, and may lack entries of targets")

// ErrUnreadable means that the entry of a target cannot be decoded, and that its agent may not have written it again yet.
var ErrUnreadable = eris.New("an entry cannot be decoded, and its target may serve flows")

const (
	// SettleTime is the time after which an era is settled. An agent learns of the era from a ping within 2 s, and reads its entry
	// after up to MaxCheckDelay; or it checks its entry checkInterval after the last ping. The rest is for its calls.
	SettleTime = 8 * time.Second
	// MaxSettleDelay bounds the additional delay, different for each balancer, after which a balancer writes EraKey. The others
	// then learn of it and need not write it too.
	MaxSettleDelay = 3 * time.Second
	// firstEra is the era of a store that was never restored.
	firstEra = 1
	// settleRetryDelay is the time between two attempts to write EraKey.
	settleRetryDelay = time.Second
)

// Settlement decides whether a balancer may conclude from the store that a target does not exist, and when it records for all
// others that an era is settled.
type Settlement struct {
	// delay is the balancer's additional delay.
	delay time.Duration
	// observed is the highest era of any answer of the store, settled the highest settled era, and recordedEra the highest one that
	// some balancer has recorded or will record. hasObserved is set once there was an answer.
	observed, settled, recordedEra uint64
	hasObserved                    bool
	// dueAt is when the observed era is settled and has to be recorded.
	dueAt time.Time
	// recorded is the version of EraKey.
	recorded store.Version
}

// NewSettlement returns the Settlement of a balancer with an additional delay of at most MaxSettleDelay.
func NewSettlement(delay time.Duration) *Settlement { return &Settlement{delay: delay} }

// Observe records the era of an answer of the store, or of another balancer's state.
func (s *Settlement) Observe(now time.Time, era uint64) {
	if s.hasObserved && era <= s.observed {
		return
	}
	s.observed, s.hasObserved, s.dueAt = era, true, now.Add(SettleTime+s.delay)
}

// HandleList records the complete content of the store below KeyPrefix. A store that was never restored, and is empty when the
// balancer first reads it, has lost nothing: the deployment is new.
func (s *Settlement) HandleList(now time.Time, items []store.Item, at store.Version) error {
	isFirst := !s.hasObserved
	s.Observe(now, at.Era())
	if isFirst && len(items) == 0 && IsNeverRestored(at) {
		s.settled, s.dueAt = at.Era(), now.Add(s.delay)
	}
	recorded := store.Item{Key: EraKey, Version: store.Version(0).InEra(at.Era())}
	for _, item := range items {
		if item.Key == EraKey {
			recorded = item
		}
	}
	return s.HandleRecorded(recorded)
}

// HandleRecorded records the item of EraKey, whose revision is zero if it does not exist.
func (s *Settlement) HandleRecorded(item store.Item) error {
	s.recorded = item.Version
	if item.Version.Revision() == 0 {
		return nil
	}
	era, err := decodeEra(item)
	if err == nil {
		s.HandleSettled(era)
	}
	return err
}

// HandleSettled records that an era is settled, as the store or another balancer says. It then need not be recorded again.
func (s *Settlement) HandleSettled(era uint64) {
	s.settled, s.recordedEra = max(s.settled, era), max(s.recordedEra, era)
}

// HandleOutage records that the store could not be called. Agents could not write their entries either, so an era that is not
// settled takes as long again.
func (s *Settlement) HandleOutage(now time.Time) {
	if s.hasObserved && !s.IsSettled() {
		s.dueAt = now.Add(SettleTime + s.delay)
	}
}

// Settled returns the highest settled era.
func (s *Settlement) Settled() uint64 { return s.settled }

// IsSettled reports whether the latest known era of the store is settled.
func (s *Settlement) IsSettled() bool { return s.observed <= s.settled }

// IsRecordDue reports whether the observed era has to be recorded now.
func (s *Settlement) IsRecordDue(now time.Time) bool {
	return s.observed > s.recordedEra && !now.Before(s.dueAt)
}

// NextRecord returns the item of EraKey to write, and reports whether that is due. The version of the item is the one that it
// replaces. The next attempt is due after a delay.
func (s *Settlement) NextRecord(now time.Time) (store.Item, bool) {
	if !s.IsRecordDue(now) {
		return store.Item{}, false
	}
	s.dueAt = now.Add(settleRetryDelay)
	return store.Item{Key: EraKey, Value: strconv.AppendUint(nil, s.observed, 10), Version: s.recorded}, true
}

// IsNeverRestored reports whether a store that returned a version has never been restored, so that it has lost nothing.
func IsNeverRestored(returned store.Version) bool { return returned.Era() <= firstEra }

// MayLackEntries reports whether a restored store may have lost an entry that it does not hold. item is the item of EraKey, whose
// revision is zero if it does not exist.
func MayLackEntries(item store.Item) (bool, error) {
	if item.Version.Revision() == 0 {
		return true, nil
	}
	settled, err := decodeEra(item)
	return settled < item.Version.Era(), err
}

// decodeEra decodes the value of EraKey. It cannot be above the era of the store that holds it.
func decodeEra(item store.Item) (uint64, error) {
	era, err := strconv.ParseUint(string(item.Value), 10, 64)
	if err != nil || era > item.Version.Era() {
		return 0, eris.Errorf("key %s: value %q is not an era up to %d", EraKey, item.Value, item.Version.Era())
	}
	return era, nil
}
