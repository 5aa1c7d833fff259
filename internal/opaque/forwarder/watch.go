package forwarder

import (
	"context"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// Limits of the calls that watch the store.
const (
	// maxWatchWait bounds the time for which the store keeps a watch call open when there are no changes to return. It is short
	// for two reasons: a store that compacts its history may leave such a call without an event, and an unreachable store is
	// noticed only when the call ends.
	maxWatchWait = time.Second
	// watchSlack is how much later than maxWatchWait an answer may arrive before this balancer reports to its group that it no
	// longer watches the store.
	watchSlack = 350 * time.Millisecond
	// minWatchInterval is the minimum time between the starts of two watch calls. Changes in quick succession then arrive
	// together; otherwise each changed entry would cost a call. The delay is safe because an agent acts on what it knows of its
	// target without waiting for the balancers.
	minWatchInterval = time.Second
	// initialRetry and maxRetry bound the backoff after failed calls, so that an outage costs few calls. maxUninitializedRetry
	// bounds it while this balancer cannot forward yet, because its callers are waiting.
	initialRetry          = 50 * time.Millisecond
	maxRetry              = time.Second
	maxUninitializedRetry = 120 * time.Millisecond
)

// allKeys is the prefix of every key: one call watches the configuration and the targets.
const allKeys = ""

// watcher is the state of the duty that watches the store.
type watcher struct {
	*Forwarder
	retry *backoff.ExponentialBackOff
}

// watchStore keeps the configuration and the targets up to date with the store, until ctx ends. It pauses while this balancer
// is not a reader, one of the few balancers of its group that watch the store for all.
func (f *Forwarder) watchStore(ctx context.Context) error {
	w := watcher{Forwarder: f, retry: backoff.NewExponentialBackOff()}
	w.retry.InitialInterval, w.retry.MaxInterval = initialRetry, maxRetry
	for f.awaitStoreDuty(ctx) {
		sleep(ctx, w.callStore(ctx))
	}
	return nil
}

// callStore makes one watch call, or the calls of the initial read, and returns the delay until the next.
func (w *watcher) callStore(ctx context.Context) time.Duration {
	started := time.Now()
	after := w.startCall(started)
	defer w.endCall()
	var at, applied store.Version
	var err error
	if after == 0 {
		at, err = w.readInitialState(ctx)
		applied = at
	} else {
		at, applied, err = w.awaitChanges(ctx, after)
	}
	switch {
	case err == nil:
		w.handleSuccess(at, applied)
		w.recordSettledEra(ctx)
		return minWatchInterval - time.Since(started)
	case ctx.Err() != nil:
		return 0
	case eris.Is(err, store.ErrCompacted):
		w.forgetRevision()
		return 0
	case eris.Is(err, store.ErrAnswerTooLarge) && after > 0:
		// The changes are too large together. The complete state is read in smaller answers.
		w.deps.Log.Emit(events.StoreAnswerTooLarge, events.F("after", after.Revision()), events.Err(err))
		w.forgetRevision()
		return 0
	default:
		return w.handleFailure(err)
	}
}

// startCall records the start of a call and returns the revision after which changes are wanted. Zero means that the complete
// state has to be read.
func (w *watcher) startCall(now time.Time) store.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeCallStartedAt = now
	if w.appliedRevision == 0 {
		return 0
	}
	return max(w.appliedRevision, w.watchedRevision)
}

func (w *watcher) endCall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeCallStartedAt = time.Time{}
}

// handleSuccess records that all changes up to a revision are applied, and that those after the revision applied are only of records of
// flows.
func (w *watcher) handleSuccess(at, applied store.Version) {
	w.retry.Reset()
	w.mu.Lock()
	wasUnavailable := w.isStoreUnavailable
	w.storeAnsweredAt, w.isStoreUnavailable = time.Now(), false
	w.watchedRevision = max(w.watchedRevision, at)
	w.appliedRevision = max(w.appliedRevision, applied)
	w.mu.Unlock()
	if wasUnavailable {
		w.deps.Log.Emit(events.StoreAvailable, events.F("peer", "store"))
	}
}

// forgetRevision makes the next call read the complete state: the store's history no longer reaches back to the applied
// revision.
func (w *watcher) forgetRevision() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appliedRevision, w.watchedRevision = 0, 0
}

// handleFailure records a failed call and returns the delay before it is retried.
func (w *watcher) handleFailure(err error) time.Duration {
	w.mu.Lock()
	wasUnavailable := w.isStoreUnavailable
	w.isStoreUnavailable = true
	w.settlement.HandleOutage(time.Now())
	w.mu.Unlock()
	if !wasUnavailable {
		w.deps.Log.Emit(events.StoreUnavailable, events.F("step", "follow"), events.F("peer", "store"), events.Err(err))
	}
	wait := w.retry.NextBackOff()
	if !w.isReady.Load() {
		wait = min(wait, maxUninitializedRetry)
	}
	return wait
}

// sleep returns after wait, or when ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// readInitialState reads the complete state from the store and returns the revision after which changes are to be watched.
// While this balancer cannot forward, the read is canceled as soon as the state of another balancer has arrived, because both
// transfers share one link.
func (f *Forwarder) readInitialState(ctx context.Context) (store.Version, error) {
	if f.isReady.Load() {
		return f.readSnapshot(ctx)
	}
	readCtx, cancel := f.untilInitialized(ctx)
	defer cancel()
	at, err := f.readSnapshot(readCtx)
	if fetched := f.revision(); err != nil && fetched > 0 {
		return fetched, nil
	}
	return at, err
}

// revision returns the revision up to which the changes of the store are applied, or zero.
func (f *Forwarder) revision() store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appliedRevision
}

// readSnapshot reads all targets and what operators have written, and returns the revision of the list of targets. The operators' keys
// are read last, so that watching from that revision misses no change of them.
func (f *Forwarder) readSnapshot(ctx context.Context) (store.Version, error) {
	items, at, startedAt, err := f.listStore(ctx)
	if err != nil {
		return 0, err
	}
	operatorItems, operatorsAt, err := f.deps.Store.List(ctx, f.deps.Configuration.Prefix)
	if err != nil {
		return 0, err
	}
	f.applyOperatorItems(operatorItems, operatorsAt)
	f.applySnapshot(items, at)
	f.extendFreshness(startedAt)
	f.updateReadiness()
	return at, nil
}

// listStore lists everything that gentianswitch has written to the store. It also returns the time at which the read started, as
// time since the VM booted.
func (f *Forwarder) listStore(ctx context.Context) ([]store.Item, store.Version, time.Duration, error) {
	startedAt, err := bootTime()
	if err != nil {
		return nil, 0, 0, err
	}
	items, at, err := f.deps.Store.List(ctx, registry.KeyPrefix)
	if err != nil {
		return nil, 0, 0, err
	}
	f.mu.Lock()
	errEra := f.settlement.HandleList(time.Now(), items, at)
	f.mu.Unlock()
	f.logRefusedEra(errEra)
	return items, at, startedAt, nil
}

// logRefusedEra logs that the item of registry.EraKey cannot be decoded. Its era then does not count as settled.
func (f *Forwarder) logRefusedEra(err error) {
	if err != nil {
		f.deps.Log.Emit(events.TargetEntryRefused, events.F("key", registry.EraKey), events.Err(err))
	}
}

// recordSettledEra writes the store's era to the store once it is settled, unless another balancer has done so. While an agent
// that answers pings has not written its lost entry again, the era is not settled. A failed write is repeated after a later call.
func (w *watcher) recordSettledEra(ctx context.Context) {
	now := time.Now()
	w.mu.Lock()
	var item store.Item
	isDue := w.settlement.IsRecordDue(now) && !w.directory.HasReachableLost()
	if isDue {
		item, isDue = w.settlement.NextRecord(now)
	}
	w.mu.Unlock()
	if !isDue {
		return
	}
	written, err := w.deps.Store.CompareAndSwap(ctx, item.Key, item.Version, item.Value, "")
	if err != nil && !eris.Is(err, store.ErrConflict) {
		w.handleFailure(err)
		return
	}
	w.handleRecordedEra(written)
}

// handleRecordedEra records the item of registry.EraKey.
func (f *Forwarder) handleRecordedEra(item store.Item) {
	f.mu.Lock()
	wasSettled := f.settlement.IsSettled()
	err := f.settlement.HandleRecorded(item)
	isSettled, era := f.settlement.IsSettled(), f.settlement.Settled()
	f.mu.Unlock()
	f.logRefusedEra(err)
	if isSettled && !wasSettled {
		f.deps.Log.Emit(events.EraSettled, events.F("era", era), events.F("targets", f.targetCount()))
	}
}

// awaitChanges waits for changes after a revision, applies them and returns the revision to continue from. applied is the revision after
// which all changes are of agents' records of flows, or zero if all of them are. Two readers that receive the same change with different
// records after it therefore report the same revision.
func (f *Forwarder) awaitChanges(ctx context.Context, after store.Version) (at, applied store.Version, err error) {
	changes, at, err := f.deps.Store.Watch(ctx, allKeys, after, maxWatchWait)
	if err != nil {
		return after, 0, err
	}
	last := after
	for _, change := range changes {
		last = max(last, change.Version)
		if !strings.HasPrefix(change.Key, registry.FlowsPrefix) {
			applied = max(applied, change.Version)
		}
		f.applyChange(change)
	}
	if at > last {
		// The store has passed over changes that it does not report.
		applied = at
	}
	f.updateReadiness()
	return at, applied, nil
}
