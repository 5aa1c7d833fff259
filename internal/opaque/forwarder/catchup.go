package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/handover"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

const (
	// catchUpDelay is the time in which a configuration change normally reaches a balancer that watches the store. A balancer
	// that may not call the store again yet (minWatchInterval) fetches the change from another balancer after this delay.
	catchUpDelay = 300 * time.Millisecond
	// seedDelay is the time in which a starting balancer normally reads all that it needs from a healthy store. The first
	// requests to the seeds are sent after this delay.
	seedDelay = 40 * time.Millisecond
	// initialSeedRetry and maxSeedRetry bound the delay between two rounds of requests to the seeds while this balancer cannot
	// forward. The delay grows because seeds that have no state to send are starting too, and their links are as narrow as that
	// of this balancer.
	initialSeedRetry = 150 * time.Millisecond
	maxSeedRetry     = 2 * time.Second
	// A balancer that has read its state from the store asks the seeds for the history of the services after minHistoryDelay and a
	// delay of at most maxHistorySpread, which differs between balancers that start together.
	minHistoryDelay  = 200 * time.Millisecond
	maxHistorySpread = 500 * time.Millisecond
)

// catchUp fetches the state of balancers that are ahead of this one, until ctx ends.
func (f *Forwarder) catchUp(ctx context.Context) error {
	for {
		source, ok := f.catchUpSources.Get(ctx)
		if !ok {
			return nil
		}
		before := f.configurationVersion()
		sleep(ctx, source.delay)
		if source.delay == 0 || f.configurationVersion() == before {
			f.fetchState(ctx, f.peerAt(source.balancer))
		}
		// The fetched state covers the sources that were queued meanwhile.
		for ok := true; ok; {
			_, ok = f.catchUpSources.TryGet()
		}
	}
}

// fetchFromSeeds fetches the state of the seeds, which are other balancers, until this one can forward or ctx ends. The store
// is read at the same time. The first complete answer makes this balancer ready. If it came from the store, which does not hold the
// history of the services, the seeds are asked for that once.
func (f *Forwarder) fetchFromSeeds(ctx context.Context) error {
	starting, cancel := f.untilInitialized(ctx)
	defer cancel()
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval = initialSeedRetry, maxSeedRetry
	for wait := seedDelay; starting.Err() == nil; wait = waits.NextBackOff() {
		sleep(starting, wait)
		f.fetchFromAllSeeds(starting)
	}
	sleep(ctx, minHistoryDelay+registry.SpreadDelay(f.self, maxHistorySpread))
	if !f.isHistoryComplete() {
		f.fetchFromAllSeeds(ctx)
	}
	return nil
}

// isHistoryComplete reports whether this balancer knows every service at which a flow may be open.
func (f *Forwarder) isHistoryComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.steer.IsHistoryComplete(time.Now())
}

// untilInitialized returns a context that ends as soon as this balancer can forward, or with ctx.
func (f *Forwarder) untilInitialized(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-f.initialized:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// fetchFromAllSeeds sends requests to all seeds concurrently, since a seed whose VM is powered off never answers.
func (f *Forwarder) fetchFromAllSeeds(ctx context.Context) {
	var requests sync.WaitGroup
	for _, seed := range f.settings.Seeds {
		if seed.Addr() != f.settings.Peer.Addr() {
			requests.Go(func() { f.fetchState(ctx, netip.AddrPortFrom(seed.Addr(), f.settings.Peer.Port())) })
		}
	}
	requests.Wait()
}

// fetchState fetches and applies the state of another balancer. A failure is logged.
func (f *Forwarder) fetchState(ctx context.Context, from netip.AddrPort) {
	if ctx.Err() != nil {
		return
	}
	request := f.handoverRequest()
	state, err := handover.Fetch(ctx, from, request)
	if err != nil {
		if ctx.Err() == nil {
			f.logHandoverFailure(from.String(), err)
		}
		return
	}
	if state.Configuration.Revision > 0 {
		f.applyFetchedConfiguration(state.Configuration, state.History, from)
	} else {
		f.mu.Lock()
		f.steer.HandleHistory(time.Now(), state.History)
		f.mu.Unlock()
	}
	f.deps.Log.Emit(events.StateFetched, events.F("peer", from.String()), events.F("after", request.After.Revision()),
		events.F("revision", state.Revision.Revision()), events.F("era", state.Revision.Era()), events.F("snapshot", state.IsSnapshot),
		events.F("targets", len(state.Targets)), events.F("configuration", request.ConfigurationVersion),
		events.F("received", state.Configuration.Revision.Revision()),
		events.F("known_from", f.historyFrom()))
	f.recordFetchedEra(state)
	f.applyEvacuationList(state.Evacuations, state.EvacuationsListedAt)
	f.applyFetchedTargets(state)
	if state.IsSufficientFor(request) {
		f.mu.Lock()
		f.appliedRevision = max(f.appliedRevision, state.Revision)
		f.mu.Unlock()
		f.updateReadiness()
	}
}

// recordFetchedEra records the era of another balancer's state, and whether it is settled.
func (f *Forwarder) recordFetchedEra(state handover.State) {
	if state.Revision == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settlement.Observe(time.Now(), state.Revision.Era())
	f.settlement.HandleSettled(state.SettledEra)
}

// handoverRequest returns a request for what this balancer lacks.
func (f *Forwarder) handoverRequest() handover.Request {
	return handover.Request{
		ConfigurationVersion: f.configurationVersion(), After: f.revision(), NeedsHistory: !f.isHistoryComplete(),
	}
}

// historyFrom returns the version from which on this balancer knows the services of the routes, or zero.
func (f *Forwarder) historyFrom() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.steer.HistoryFrom()
}

// applyFetchedTargets applies the targets of another balancer's state. A snapshot removes the targets that it lacks, unless
// their entries are newer than the snapshot or of an earlier era.
func (f *Forwarder) applyFetchedTargets(state handover.State) {
	items := make([]store.Item, 0, len(state.Targets))
	for _, target := range state.Targets {
		items = append(items, storeItem(target))
	}
	if state.IsSnapshot && state.Revision > 0 {
		f.applySnapshot(items, state.Revision)
	} else {
		for _, item := range items {
			f.applyEntry(item)
		}
	}
	for _, removed := range state.Removed {
		f.removeEntry(storeItem(removed))
	}
	f.markLost(state.Targets)
	f.applyUnreadable(state.Unreadable)
}

// applyUnreadable records which entries another balancer could not decode.
func (f *Forwarder) applyUnreadable(items []handover.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, item := range items {
		agent, err := registry.AgentOf(item.Key)
		if err != nil {
			f.logRefusedEntry(storeItem(item), err)
			continue
		}
		f.directory.HandleUnreadable(time.Now(), agent, item.Revision)
	}
}

// markLost records which targets another balancer has found to be lost by the restored store.
func (f *Forwarder) markLost(targets []handover.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range targets {
		if !t.IsLost {
			continue
		}
		if agent, err := registry.AgentOf(t.Key); err == nil {
			// An invalid key has been logged when the entry was applied.
			f.directory.MarkLost(agent, t.Revision)
		}
	}
}

// applyFetchedConfiguration unpacks and applies the configuration of another balancer, and the history that ends with it.
func (f *Forwarder) applyFetchedConfiguration(packed handover.Item, history desired.History, from netip.AddrPort) {
	value, err := handover.Unpack(packed.Value)
	if err != nil {
		f.logHandoverFailure(from.String(), err)
		return
	}
	f.applyConfiguration(store.Item{Key: packed.Key, Value: value, Version: packed.Revision}, from.String(),
		func(table *desired.Table) bool { return f.steer.SetTableWithHistory(time.Now(), table, history) })
}

// logHandoverFailure logs that the state of a peer could not be fetched, or that this balancer's could not be served.
func (f *Forwarder) logHandoverFailure(peer string, err error) {
	f.deps.Log.Emit(events.HandoverFailed, events.F("peer", peer), events.Err(err))
}

// storeItem converts an item of a fetched state to an item of the store.
func storeItem(i handover.Item) store.Item {
	return store.Item{Key: i.Key, Value: i.Value, Version: i.Revision}
}

// handoverState returns the part of this balancer's state that the requesting balancer lacks: the changes after the requested
// revision, with a snapshot instead of the changed targets when not all removals since then are known. The known removals are
// part of the state in any case: a snapshot does not show removals of an earlier era.
func (f *Forwarder) handoverState(request handover.Request) handover.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := handover.State{
		Revision: f.appliedRevision, SettledEra: f.settlement.Settled(),
		IsSnapshot: request.After < f.snapshotRevision || request.After == 0, Evacuations: f.evacuations.All(),
		EvacuationsListedAt: f.evacuations.ListedAt(),
	}
	after := request.After
	if state.IsSnapshot {
		after = 0
	}
	if table := f.steer.Table(); table != nil && table.Version > request.ConfigurationVersion {
		state.Configuration = f.packDocument()
	}
	if state.Configuration.Revision > 0 || request.NeedsHistory {
		state.History = f.steer.History(time.Now())
	}
	for _, t := range f.directory.Targets() {
		if t.Revision <= after {
			continue
		}
		value, err := t.Entry.Encode()
		if err != nil {
			f.logHandoverFailure(ipText(t.Agent), err)
			continue
		}
		state.Targets = append(state.Targets, handover.Item{
			Key: registry.Key(t.Agent), Value: value, Revision: t.Revision, IsLost: t.IsLost,
		})
	}
	f.directory.EachUnreadable(func(agent hop.IP, revision store.Version) {
		state.Unreadable = append(state.Unreadable, handover.Item{Key: registry.Key(agent), Revision: revision})
	})
	if request.After > 0 {
		f.directory.EachRemoved(request.After, func(agent hop.IP, revision store.Version) {
			state.Removed = append(state.Removed, handover.Item{Key: registry.Key(agent), Revision: revision})
		})
	}
	return state
}

// packDocument returns the configuration in force, compressed for other balancers. Each version is compressed once. The caller
// holds mu.
func (f *Forwarder) packDocument() handover.Item {
	if version := f.steer.Table().Version; f.packedVersion != version {
		value, err := handover.Pack(f.document.Value)
		if err != nil {
			f.logHandoverFailure(f.settings.Peer.String(), err)
			return handover.Item{}
		}
		f.packedDocument = handover.Item{Key: f.document.Key, Value: value, Revision: f.document.Version}
		f.packedVersion = version
	}
	return f.packedDocument
}
