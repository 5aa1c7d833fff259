package forwarder

import (
	"context"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// Times of following the store.
const (
	// followWait is the time after which a call that waits for changes is renewed. A store that compacts its history can
	// leave a waiting call without an event, and operators expect a change in force within 3 s.
	followWait = 2500 * time.Millisecond
	// followSpacing is the least time between two such calls, so that changes in quick succession arrive together: each
	// entry that changes would otherwise be a call of every balancer. It is a third of the time in which operators expect a
	// change in force. What agents know of their targets binds them without it.
	followSpacing = time.Second
	// Waits between failed calls: short at first, and at most a second, so that an outage costs few calls. A balancer
	// that knows no routes yet has callers waiting and tries more often.
	firstRetry      = 50 * time.Millisecond
	lastRetry       = time.Second
	uninformedRetry = 120 * time.Millisecond
)

// everything is the prefix of all keys: one call waits for the routes and for the targets.
const everything = ""

// follow keeps the routes and the targets in step with the store until ctx ends.
func (f *Forwarder) follow(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstRetry, lastRetry
	at, isListed, isLost := store.Version(0), false, false
	for ctx.Err() == nil {
		var err error
		started := time.Now()
		if isListed {
			at, err = f.takeChanges(ctx, at)
		} else {
			at, err = f.start(ctx)
			isListed = err == nil
		}
		switch {
		case err == nil:
			if isLost {
				f.parts.Log.Emit(events.StoreAvailable, events.F("peer", "store"))
			}
			isLost = false
			retry.Reset()
			f.mu.Lock()
			f.storeHeardAt, f.followedTo = time.Now(), at
			f.mu.Unlock()
			sleep(ctx, followSpacing-time.Since(started))
			continue
		case ctx.Err() != nil:
			return nil
		case eris.Is(err, store.ErrCompacted):
			isListed = false
			f.forgetHandover()
			continue
		}
		if !isLost {
			f.parts.Log.Emit(events.StoreUnavailable, events.F("step", "follow"), events.F("peer", "store"), events.Err(err))
		}
		isLost = true
		wait := retry.NextBackOff()
		if !f.isReady.Load() {
			wait = min(wait, uninformedRetry)
		}
		sleep(ctx, wait)
	}
	return nil
}

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// start returns the revision from which changes are followed: that of another balancer's state, where one has been taken, or
// that of a whole reading of the store. A reading that is under way ends when a state arrives: both share one link.
func (f *Forwarder) start(ctx context.Context) (store.Version, error) {
	if at := f.handover(); at > 0 {
		return at, nil
	}
	if f.isReady.Load() {
		return f.takeAll(ctx)
	}
	reading, cancel := f.whileUninformed(ctx)
	defer cancel()
	at, err := f.takeAll(reading)
	if handed := f.handover(); err != nil && handed > 0 {
		return handed, nil
	}
	return at, err
}

// handover returns the revision of another balancer's state that has been taken, or zero.
func (f *Forwarder) handover() store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handedOver
}

// forgetHandover makes the next start read the store: its history does not reach back to the state that was taken.
func (f *Forwarder) forgetHandover() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handedOver = 0
}

// takeAll reads every target and the routes. The routes are read last, so that no change of them is missed from the
// returned version on.
func (f *Forwarder) takeAll(ctx context.Context) (store.Version, error) {
	items, at, err := f.parts.Store.List(ctx, registry.Prefix)
	if err != nil {
		return 0, err
	}
	configuration, err := f.parts.Store.Read(ctx, f.parts.Configuration.Key)
	switch {
	case err == nil:
		f.takeConfiguration(configuration, sourceStore)
	case !eris.Is(err, store.ErrNotFound):
		return 0, err
	}
	f.takeTargets(items, at)
	f.updateReadiness()
	return at, nil
}

// takeTargets takes all entries at a revision.
func (f *Forwarder) takeTargets(items []store.Item, at store.Version) {
	listed := make(map[hop.IP]struct{}, len(items))
	for _, item := range items {
		if agent, ok := f.takeEntry(item); ok {
			listed[agent] = struct{}{}
		}
	}
	f.mu.Lock()
	changes := f.directory.Retain(listed, at)
	f.refresh()
	f.isListed = true
	f.mu.Unlock()
	for _, change := range changes {
		f.logTarget(change)
	}
}

func (f *Forwarder) takeChanges(ctx context.Context, after store.Version) (store.Version, error) {
	changes, at, err := f.parts.Store.Follow(ctx, everything, after, followWait)
	if err != nil {
		return after, err
	}
	for _, change := range changes {
		f.takeChange(change)
	}
	f.updateReadiness()
	return at, nil
}

func (f *Forwarder) takeChange(change store.Change) {
	switch {
	case change.Key == f.parts.Configuration.Key && !change.IsDeleted:
		f.takeConfiguration(change.Item, sourceStore)
	case !strings.HasPrefix(change.Key, registry.Prefix):
	case change.IsDeleted:
		f.removeEntry(change.Item)
	default:
		f.takeEntry(change.Item)
	}
}

// sourceStore names the store as the source of a configuration in logs; another source is the address of a balancer.
const sourceStore = "store"

func (f *Forwarder) takeConfiguration(item store.Item, source string) {
	table, err := f.parts.Configuration.Decode(item.Value)
	if err != nil {
		f.parts.Log.Emit(events.ConfigurationRefused, events.F("revision", item.Version), events.Err(err))
		return
	}
	f.mu.Lock()
	known := f.steer.Table()
	isApplied := f.steer.Apply(time.Now(), table)
	if isApplied {
		f.document = item
	}
	f.mu.Unlock()
	if !isApplied {
		f.parts.Log.Emit(events.ConfigurationIgnored, events.F("configuration", table.Version),
			events.F("known", known.Version), events.F("source", source))
		return
	}
	difference := known.Compare(table)
	f.parts.Log.Emit(events.ConfigurationApplied, events.F("configuration", table.Version),
		events.F("routes", table.Len()), events.F("added", difference.Added), events.F("removed", difference.Removed),
		events.F("moved", difference.Moved), events.F("revision", item.Version), events.F("source", source))
}

// takeEntry takes the entry of a target and returns its agent. It reports false for an entry that names no target.
func (f *Forwarder) takeEntry(item store.Item) (hop.IP, bool) {
	agent, err := registry.AgentOf(item.Key)
	if err != nil {
		f.refuseEntry(item, err)
		return hop.IP{}, false
	}
	entry, err := registry.Decode(item.Value)
	if err != nil {
		f.refuseEntry(item, err)
		return hop.IP{}, false
	}
	f.mu.Lock()
	change, hasChanged := f.directory.Put(time.Now(), agent, entry, item.Version)
	f.refresh()
	f.mu.Unlock()
	if hasChanged {
		f.logTarget(change)
	}
	return agent, true
}

func (f *Forwarder) refuseEntry(item store.Item, err error) {
	f.parts.Log.Emit(events.TargetEntryRefused, events.F("key", item.Key), events.F("revision", item.Version), events.Err(err))
}

func (f *Forwarder) removeEntry(item store.Item) {
	agent, err := registry.AgentOf(item.Key)
	if err != nil {
		f.refuseEntry(item, err)
		return
	}
	f.mu.Lock()
	change, hasChanged := f.directory.Remove(agent, item.Version)
	f.refresh()
	f.mu.Unlock()
	if hasChanged {
		f.logTarget(change)
	}
}

// updateReadiness makes the balancer ready once it holds routes and has listed the targets.
func (f *Forwarder) updateReadiness() {
	f.mu.Lock()
	isReady := f.steer.Table() != nil && f.isListed
	f.mu.Unlock()
	if !isReady || f.isReady.Swap(true) {
		return
	}
	close(f.informed)
	f.parts.Log.Emit(events.ReadinessChanged, events.F("ready", true), events.F("reason", "routes and targets read"))
}

func (f *Forwarder) logTarget(change directory.Change) {
	t := change.Target
	f.parts.Log.Emit(events.TargetEntry, events.F("agent", ipText(t.Agent)), events.F("service", t.Entry.Service),
		events.F("zone", t.Entry.Zone), events.F("slots", t.Entry.Slots), events.F("draining", t.Entry.IsDraining),
		events.F("state", t.State.String()), events.F("reason", change.Reason), events.F("revision", t.Revision))
}
