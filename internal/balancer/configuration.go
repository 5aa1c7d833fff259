package balancer

import (
	"context"
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

const (
	watchWait  = 10 * time.Second
	storeRetry = 500 * time.Millisecond
)

// watchStore follows the head of the configuration in the store.
func (b *Balancer) watchStore(ctx context.Context) error {
	var after store.Version
	for ctx.Err() == nil {
		entry, err := b.store.Watch(ctx, tables.HeadKey, after, watchWait)
		if err != nil {
			b.storeFailed(ctx, err)
			continue
		}
		after = entry.Version
		b.applyEntry(entry)
	}
	return nil
}

func (b *Balancer) storeFailed(ctx context.Context, err error) {
	b.log.Emit(events.StoreUnavailable, events.F("step", "watch"), events.F("peer", b.settings.Store), events.Err(err))
	select {
	case <-ctx.Done():
	case <-time.After(storeRetry):
	}
}

func (b *Balancer) applyEntry(entry store.Entry) {
	declared, err := tables.Parse(entry.Value)
	if err != nil {
		return
	}
	b.changes.Lock()
	isNewer := b.state.apply(uint64(entry.Version), declared)
	if isNewer {
		b.updateTables(declared)
	}
	b.changes.Unlock()
	if !isNewer {
		return
	}
	b.openListeners(declared)
	b.log.Emit(events.RevisionApplied, events.F("revision", uint64(entry.Version)), events.F("source", "store"))
}
