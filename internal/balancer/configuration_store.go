package balancer

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/events"
	"gentianswitch/internal/revision"
	"gentianswitch/internal/store"
)

const (
	// watchTimeout is how long one watch call waits for a change.
	watchTimeout = 10 * time.Second
	// minStoreRetryDelay and maxStoreRetryDelay bound the delay after a failed call. The delay grows and is randomized.
	minStoreRetryDelay = 100 * time.Millisecond
	maxStoreRetryDelay = time.Second
	// readerCheckInterval is how often a balancer that does not watch the store checks whether it has become a reader.
	readerCheckInterval = 500 * time.Millisecond
)

// storeReader watches the head of the revision log in the store and applies new revisions. It is not safe for concurrent use.
type storeReader struct {
	balancer  *Balancer
	revisions *revision.Log
	// head is the head that was handled last, or zero. A store that was restored from a copy may give its version to another head.
	head  store.Entry
	retry *backoff.ExponentialBackOff
	// isFailing is true while the last call to the store has failed.
	isFailing bool
}

func newStoreReader(b *Balancer) *storeReader {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minStoreRetryDelay
	retry.MaxInterval = maxStoreRetryDelay
	return &storeReader{balancer: b, revisions: revision.NewLog(b.store), retry: retry}
}

// watchStore watches the store while this balancer is one of the readers of its availability zone, until ctx ends.
func (b *Balancer) watchStore(ctx context.Context) error {
	r := newStoreReader(b)
	for ctx.Err() == nil {
		if !b.isStoreReader() {
			b.counters.storeReader.Update(0)
			sleep(ctx, readerCheckInterval)
			continue
		}
		b.counters.storeReader.Update(1)
		if err := r.waitForChange(ctx); err != nil && ctx.Err() == nil {
			r.handleFailure(err)
			sleep(ctx, r.retry.NextBackOff())
			continue
		}
		r.handleSuccess()
	}
	return nil
}

// waitForChange waits up to watchTimeout for a change of the head and applies it.
func (r *storeReader) waitForChange(ctx context.Context) error {
	entry, err := r.balancer.store.Watch(ctx, revision.HeadKey, r.watchAfter(), watchTimeout)
	if eris.Is(err, store.ErrNotFound) {
		r.handleMissingHead(ctx)
		return nil
	}
	if err != nil {
		return err
	}
	if entry.Version == r.head.Version && bytes.Equal(entry.Value, r.head.Value) {
		return nil
	}
	if err := r.applyHead(ctx, entry.Value); err != nil {
		return err
	}
	r.head = entry
	return nil
}

// watchAfter returns the version after which the head is watched. After a failed call it is zero, so that the store answers at
// once: it may have been restored meanwhile.
func (r *storeReader) watchAfter() store.Version {
	if r.isFailing {
		return 0
	}
	return r.head.Version
}

// applyHead puts the revision that a head names in force. A head that is not newer is passed to applyRevision too, which logs
// it.
func (r *storeReader) applyHead(ctx context.Context, raw []byte) error {
	head, err := revision.DecodeHead(raw)
	if err != nil {
		return err
	}
	current := r.balancer.currentRevision()
	if head.ID.Number <= current.Number {
		r.balancer.applyRevision(revision.Revision{ID: head.ID}, sourceStore)
		return nil
	}
	update, err := r.revisions.FetchUpdate(ctx, head, current)
	if err != nil {
		return err
	}
	if outcome := r.balancer.applyRevision(update, sourceStore); outcome == revision.Gap {
		return eris.Errorf("revision %s of the store does not follow %s, which is in force", head.ID, current)
	}
	return nil
}

// handleMissingHead handles a store without a head, which is the normal state before the first change. A head that has
// disappeared is logged; the revision in force stays.
func (r *storeReader) handleMissingHead(ctx context.Context) {
	defer sleep(ctx, minStoreRetryDelay)
	if r.head.Version == 0 {
		return
	}
	r.head = store.Entry{}
	known := r.balancer.currentRevision()
	r.balancer.log.Emit(events.RevisionIgnored, events.F("revision", 0), events.F("change", ""),
		events.F("known", known.String()), events.F("reason", "the store holds no head"), events.F("source", sourceStore))
}

// handleFailure counts a failed call and logs the first one after a success.
func (r *storeReader) handleFailure(err error) {
	b := r.balancer
	b.counters.storeFailed.Inc(1)
	if r.isFailing {
		return
	}
	r.isFailing = true
	b.log.Emit(events.StoreUnavailable, events.F("step", "watch"), events.F("peer", b.settings.Store), events.Err(err))
}

// handleSuccess resets the retry delay and logs the first success after a failure.
func (r *storeReader) handleSuccess() {
	r.retry.Reset()
	if !r.isFailing {
		return
	}
	r.isFailing = false
	r.balancer.log.Emit(events.StoreAvailable, events.F("peer", r.balancer.settings.Store))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
