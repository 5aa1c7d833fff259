package forwarder

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

const (
	// maxPendingPackets bounds the packets that wait for a revalidation, at 1.5 KB each. Further ones are dropped: callers
	// retransmit what is lost.
	maxPendingPackets = 512
	// minReadInterval is the minimum time between the starts of a failed revalidation and the next one, and between those of
	// two reads of the last change. It is well below the 200 ms after which callers retransmit.
	minReadInterval = 60 * time.Millisecond
	// maxSharedReadAge is the maximum age of a store read that a reader shares with its group. A view stays fresh for JoinDelay
	// after the start of the read, so a balancer that receives the result can use it for about half of that time or longer.
	maxSharedReadAge = registry.JoinDelay / 2
)

// viewFreshness records how long the view of the targets is known to include the target of every open flow.
type viewFreshness struct {
	// expiresAt is measured as time since the VM booted.
	expiresAt time.Duration
}

// extend records that the view includes the result of a store read that started at readStartedAt. A target accepts no flow
// until JoinDelay after the store has its entry, so the view stays fresh for that time.
func (v *viewFreshness) extend(readStartedAt time.Duration) {
	v.expiresAt = max(v.expiresAt, readStartedAt+registry.JoinDelay)
}

// readStartedAt returns the start of the latest store read that the view includes, or zero before the first one.
func (v *viewFreshness) readStartedAt() time.Duration { return max(v.expiresAt-registry.JoinDelay, 0) }

func (v *viewFreshness) isFreshAt(now time.Duration) bool { return now < v.expiresAt }

// isViewFresh reports whether the view includes the target of every flow that is open now.
func (f *Forwarder) isViewFresh() (bool, error) {
	now, err := bootTime()
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness.isFreshAt(now) && !f.directory.LacksTarget(time.Now()), nil
}

// decideOrRevalidate handles a packet whose candidate search is exhausted: every candidate has declined it. It decides at once
// while the view is fresh. Otherwise the packet waits until the targets have been read from the store again.
func (f *Forwarder) decideOrRevalidate(p *flow.Packet, h *hop.Header, datagram []byte) {
	switch isFresh, err := f.isViewFresh(); {
	case err != nil:
		f.deps.Log.Emit(events.OpaquePendingPacketsDropped, events.F("packets", 1), events.Err(err))
	case isFresh:
		f.decideRevalidated(p, h, datagram)
	default:
		f.pendingPackets.TryPut(pendingPacket{datagram: hop.CopyDatagram(datagram), header: *h})
	}
}

// decideRevalidated decides on a packet whose candidate search is exhausted. The view must be fresh.
func (f *Forwarder) decideRevalidated(p *flow.Packet, h *hop.Header, datagram []byte) {
	f.mu.Lock()
	d := f.steer.HandleRevalidated(time.Now(), p, h)
	f.mu.Unlock()
	f.applyDecision(p, d, datagram)
}

// pendingPacket is a packet that waits for a revalidation, with the header of its exhausted candidate search. needsTable is set if the
// table in force has to be confirmed too.
type pendingPacket struct {
	datagram   []byte
	header     hop.Header
	needsTable bool
}

// revalidatePending revalidates the view for pending packets, confirms the table for those that need it, and decides on them, until ctx
// ends. A store read also serves the packets that arrive while it runs: the view is fresh when their turn comes.
func (f *Forwarder) revalidatePending(ctx context.Context) error {
	for {
		next, ok := f.pendingPackets.Get(ctx)
		if !ok {
			return nil
		}
		var needView, needTable []pendingPacket
		for ; ok; next, ok = f.pendingPackets.TryGet() {
			if next.needsTable {
				needTable = append(needTable, next)
			} else {
				needView = append(needView, next)
			}
		}
		f.decidePending(ctx, needView, f.revalidateView, f.decideRevalidated)
		f.decidePending(ctx, needTable, f.confirmTableAndView, f.decideTableConfirmed)
	}
}

// decidePending decides on packets that have waited for a revalidation, once confirm has made it possible. Otherwise they are dropped, and
// their callers repeat them.
func (f *Forwarder) decidePending(
	ctx context.Context, waiting []pendingPacket, confirm func(context.Context) error, decide func(*flow.Packet, *hop.Header, []byte),
) {
	if len(waiting) == 0 {
		return
	}
	startedAt := time.Now()
	if err := confirm(ctx); err != nil {
		f.deps.Log.Emit(events.OpaquePendingPacketsDropped, events.F("packets", len(waiting)), events.Err(err))
		sleep(ctx, minReadInterval-time.Since(startedAt))
		return
	}
	for _, w := range waiting {
		p, err := f.deps.Codec.Decode(w.datagram)
		if err != nil {
			f.counters.malformed.Inc(1)
			continue
		}
		decide(&p, &w.header, w.datagram)
	}
}

// revalidateView makes the view fresh, unless it is already.
func (f *Forwarder) revalidateView(ctx context.Context) error {
	if isFresh, err := f.isViewFresh(); err != nil || isFresh {
		return err
	}
	if !f.isStoreSettled() {
		return registry.ErrUnsettled
	}
	if err := f.refreshTargets(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.directory.LacksTarget(time.Now()) {
		return registry.ErrUnreadable
	}
	return nil
}

// isStoreSettled reports false while the restored store may lack entries of targets.
func (f *Forwarder) isStoreSettled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settlement.IsSettled()
}

// refreshTargets makes the view include every target that a recent store read found, and extends its freshness from the start
// of that read. It lists the targets only when an entry has changed since the last applied revision, or when no revision
// has been applied.
func (f *Forwarder) refreshTargets(ctx context.Context) error {
	latest, err := f.latestChange(ctx)
	if err != nil {
		return err
	}
	readStartedAt := latest.startedAt
	if applied := f.revision(); applied == 0 || latest.value > applied {
		items, at, startedAt, err := f.listStore(ctx)
		if err != nil {
			return err
		}
		f.applyTargetList(items, at)
		readStartedAt = startedAt
	}
	if !f.extendFreshness(readStartedAt) {
		return registry.ErrUnsettled
	}
	return nil
}

// extendFreshness records that the view includes the result of a store read that started at readStartedAt. It records nothing,
// and reports false, while the store may lack entries of targets.
func (f *Forwarder) extendFreshness(readStartedAt time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isSettled := f.settlement.IsSettled()
	if isSettled {
		f.freshness.extend(readStartedAt)
	}
	return isSettled
}

// latestChange returns the revision of the last change of any target's entry, read from the store at most maxSharedReadAge ago.
// The preferred reader of the group reads it for all, so that the calls of a fleet that returns after a power failure stay
// below the store's rate limits. This balancer reads it itself when that reader does not answer.
func (f *Forwarder) latestChange(ctx context.Context) (readResult[store.Version], error) {
	f.mu.Lock()
	reader, isOther := f.readers.PreferredReader(time.Now(), f.isWatching(time.Now()))
	f.mu.Unlock()
	if isOther {
		if reply, ok := f.requestFromReader(ctx, hop.RevisionRequest, reader); ok {
			return readResult[store.Version]{value: store.Version(reply.value), startedAt: reply.startedAt}, nil
		}
	}
	return f.lastChange.get(ctx, maxSharedReadAge)
}

// readLastChange reads the version of the last change from the store. Its revision is zero when no entry has been written yet.
func (f *Forwarder) readLastChange(ctx context.Context) (store.Version, error) {
	item, err := f.deps.Store.Read(ctx, registry.ChangesKey)
	if eris.Is(err, store.ErrNotFound) {
		err = nil
	}
	return item.Version, err
}
