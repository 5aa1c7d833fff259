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
	watchWait = 10 * time.Second
	// firstStoreRetry and maxStoreRetry bound the pause after a failed call; the pause is drawn at random.
	firstStoreRetry = 100 * time.Millisecond
	maxStoreRetry   = time.Second
	// readerInterval is how often a balancer that does not read the store checks whether it has to.
	readerInterval = 500 * time.Millisecond
)

// reader follows the head of the log in the store. It belongs to one duty.
type reader struct {
	balancer *Balancer
	log      *revision.Log
	after    store.Version
	retry    *backoff.ExponentialBackOff
	isFailed bool
}

func newReader(b *Balancer) *reader {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstStoreRetry
	retry.MaxInterval = maxStoreRetry
	return &reader{balancer: b, log: revision.NewLog(b.store), retry: retry}
}

// watchStore follows the store for as long as this balancer is one of the readers of its availability zone.
func (b *Balancer) watchStore(ctx context.Context) error {
	r := newReader(b)
	for ctx.Err() == nil {
		if !b.isStoreReader() {
			b.counters.storeReader.Update(0)
			pause(ctx, readerInterval)
			continue
		}
		b.counters.storeReader.Update(1)
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.failed(err)
			pause(ctx, r.retry.NextBackOff())
			continue
		}
		r.succeeded()
	}
	return nil
}

// step waits for a change of the head, at most watchWait, and takes it.
func (r *reader) step(ctx context.Context) error {
	entry, err := r.balancer.store.Watch(ctx, revision.HeadKey, r.after, watchWait)
	if eris.Is(err, store.ErrNotFound) {
		r.lost(ctx)
		return nil
	}
	if err != nil {
		return err
	}
	if entry.Version == r.after {
		return nil
	}
	if err := r.take(ctx, entry.Value); err != nil {
		return err
	}
	r.after = entry.Version
	return nil
}

// take puts the revision of a head in force. A head that is not newer is offered too, so that it is logged.
func (r *reader) take(ctx context.Context, raw []byte) error {
	head, err := revision.DecodeHead(raw)
	if err != nil {
		return err
	}
	have := r.balancer.currentRevision()
	if head.ID.Number <= have.Number {
		r.balancer.applyRevision(revision.Revision{ID: head.ID}, sourceStore)
		return nil
	}
	update, err := r.log.Fetch(ctx, head, have)
	if err != nil {
		return err
	}
	if outcome := r.balancer.applyRevision(update, sourceStore); outcome == revision.Gap {
		return eris.Errorf("revision %s of the store does not follow %s", head.ID, have)
	}
	return nil
}

// lost handles a store that holds no head. It is the normal state before the first change.
func (r *reader) lost(ctx context.Context) {
	defer pause(ctx, firstStoreRetry)
	if r.after == 0 {
		return
	}
	r.after = 0
	known := r.balancer.currentRevision()
	r.balancer.log.Emit(events.RevisionIgnored, events.F("revision", 0), events.F("change", ""),
		events.F("known", known.String()), events.F("reason", "the store holds no head"), events.F("source", sourceStore))
}

func (r *reader) failed(err error) {
	b := r.balancer
	b.counters.storeFailed.Inc(1)
	if r.isFailed {
		return
	}
	r.isFailed = true
	b.log.Emit(events.StoreUnavailable, events.F("step", "watch"), events.F("peer", b.settings.Store), events.Err(err))
}

func (r *reader) succeeded() {
	r.retry.Reset()
	if !r.isFailed {
		return
	}
	r.isFailed = false
	r.balancer.log.Emit(events.StoreAvailable, events.F("peer", r.balancer.settings.Store))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
