package balancer

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/events"
	"gentianswitch/internal/revision"
	"gentianswitch/internal/store"
)

const (
	watchTimeout = 10 * time.Second
	// firstStoreRetry and maxStoreRetry bound the pause after a failed call; the pause is drawn at random.
	minStoreRetryDelay = 100 * time.Millisecond
	maxStoreRetryDelay = time.Second
	// readerInterval is how often a balancer that does not read the store checks whether it has to.
	readerCheckInterval = 500 * time.Millisecond
)

// reader follows the head of the log in the store. It belongs to one duty.
type storeReader struct {
	balancer    *Balancer
	revisions   *revision.Log
	headVersion store.Version
	retry       *backoff.ExponentialBackOff
	isFailing   bool
}

func newStoreReader(b *Balancer) *storeReader {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minStoreRetryDelay
	retry.MaxInterval = maxStoreRetryDelay
	return &storeReader{balancer: b, revisions: revision.NewLog(b.store), retry: retry}
}

// watchStore follows the store for as long as this balancer is one of the readers of its availability zone.
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

// step waits for a change of the head, at most watchWait, and takes it.
func (r *storeReader) waitForChange(ctx context.Context) error {
	entry, err := r.balancer.store.Watch(ctx, revision.HeadKey, r.headVersion, watchTimeout)
	if eris.Is(err, store.ErrNotFound) {
		r.handleMissingHead(ctx)
		return nil
	}
	if err != nil {
		return err
	}
	if entry.Version == r.headVersion {
		return nil
	}
	if err := r.applyHead(ctx, entry.Value); err != nil {
		return err
	}
	r.headVersion = entry.Version
	return nil
}

// take puts the revision of a head in force. A head that is not newer is offered too, so that it is logged.
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
	update, err := r.revisions.Fetch(ctx, head, current)
	if err != nil {
		return err
	}
	if outcome := r.balancer.applyRevision(update, sourceStore); outcome == revision.Gap {
		return eris.Errorf("revision %s of the store does not follow %s", head.ID, current)
	}
	return nil
}

// lost handles a store that holds no head. It is the normal state before the first change.
func (r *storeReader) handleMissingHead(ctx context.Context) {
	defer sleep(ctx, minStoreRetryDelay)
	if r.headVersion == 0 {
		return
	}
	r.headVersion = 0
	known := r.balancer.currentRevision()
	r.balancer.log.Emit(events.RevisionIgnored, events.F("revision", 0), events.F("change", ""),
		events.F("known", known.String()), events.F("reason", "the store holds no head"), events.F("source", sourceStore))
}

func (r *storeReader) handleFailure(err error) {
	b := r.balancer
	b.counters.storeFailed.Inc(1)
	if r.isFailing {
		return
	}
	r.isFailing = true
	b.log.Emit(events.StoreUnavailable, events.F("step", "watch"), events.F("peer", b.settings.Store), events.Err(err))
}

func (r *storeReader) handleSuccess() {
	r.retry.Reset()
	if !r.isFailing {
		return
	}
	r.isFailing = false
	r.balancer.log.Emit(events.StoreAvailable, events.F("peer", r.balancer.settings.Store))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
