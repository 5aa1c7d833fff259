package forwarder

import (
	"strings"
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// applyTargetList applies the target entries in a list, read from the store at a revision. Targets that it lacks are removed,
// unless their entries are newer or of an earlier era. A target whose entry cannot be decoded stays as it is, and its agent is told:
// another writer may have replaced the entry.
func (f *Forwarder) applyTargetList(items []store.Item, at store.Version) {
	listed := make(map[hop.IP]struct{}, len(items))
	for _, item := range items {
		if !strings.HasPrefix(item.Key, registry.Prefix) {
			continue
		}
		if agent, ok := f.applyEntry(item); ok {
			listed[agent] = struct{}{}
		}
	}
	f.mu.Lock()
	changes := f.directory.Retain(listed, at)
	f.updateView()
	f.hasListedTargets = true
	f.mu.Unlock()
	for _, change := range changes {
		f.logTarget(change)
	}
}

// applySnapshot applies a list of all target entries and records its revision. Every later removal is learned from the store's
// changes, so handoverState can send other balancers the removals after this revision.
func (f *Forwarder) applySnapshot(items []store.Item, at store.Version) {
	f.applyTargetList(items, at)
	f.mu.Lock()
	f.snapshotRevision = max(f.snapshotRevision, at)
	f.mu.Unlock()
}

// applyChange applies a change of the store: a new configuration, an evacuation, a settled era, or a new or removed target entry. Other
// keys are ignored.
func (f *Forwarder) applyChange(change store.Change) {
	switch {
	case change.Key == f.deps.Configuration.Key && !change.IsDeleted:
		f.applyConfiguration(change.Item, sourceStore,
			func(table *desired.Table) bool { return f.steer.SetTable(time.Now(), table) })
	case change.Key == registry.EraKey && !change.IsDeleted:
		f.handleRecordedEra(change.Item)
	case strings.HasPrefix(change.Key, f.deps.Configuration.Prefix):
		if zone, isEvacuation := f.deps.Configuration.EvacuatedZone(change.Key); isEvacuation {
			f.applyEvacuations([]desired.Evacuation{{Zone: zone, Version: change.Version, IsEvacuated: !change.IsDeleted}})
		}
	case !strings.HasPrefix(change.Key, registry.Prefix):
	case change.IsDeleted:
		f.removeEntry(change.Item)
	default:
		f.applyEntry(change.Item)
	}
}

// sourceStore names the store as the source of a configuration in logs. Any other source is the address of a balancer.
const sourceStore = "store"

// applyConfiguration puts a configuration in force unless it cannot be decoded or its version is not above the one in force. It calls
// setTable with mu held.
func (f *Forwarder) applyConfiguration(item store.Item, source string, setTable func(*desired.Table) bool) {
	table, err := f.deps.Configuration.Decode(item.Value)
	if err != nil {
		f.deps.Log.Emit(events.ConfigurationRefused, events.F("revision", item.Version.Revision()), events.Err(err))
		return
	}
	f.mu.Lock()
	known := f.steer.Table()
	isApplied := setTable(table)
	if isApplied {
		f.document = item
	}
	f.mu.Unlock()
	if !isApplied {
		f.deps.Log.Emit(events.ConfigurationIgnored, events.F("configuration", table.Version),
			events.F("known", known.Version), events.F("source", source))
		return
	}
	if table.InvalidRates > 0 {
		f.counters.coldRatesRefused.Inc(int64(table.InvalidRates))
		f.deps.Log.Emit(events.ColdRatesRefused, events.F("configuration", table.Version), events.F("services", table.InvalidRates))
	}
	difference := known.Compare(table)
	f.deps.Log.Emit(events.ConfigurationApplied, events.F("configuration", table.Version),
		events.F("routes", table.Len()), events.F("added", difference.Added), events.F("removed", difference.Removed),
		events.F("moved", difference.Moved), events.F("revision", item.Version.Revision()), events.F("source", source))
}

// applyEntry applies the entry of a target, unless it cannot be decoded, and returns the address of its agent. It reports false for a
// key that does not contain the address of an agent.
func (f *Forwarder) applyEntry(item store.Item) (hop.IP, bool) {
	agent, err := registry.AgentOf(item.Key)
	if err != nil {
		f.logRefusedEntry(item, err)
		return hop.IP{}, false
	}
	entry, err := registry.Decode(item.Value)
	if err != nil {
		f.logRefusedEntry(item, err)
		f.mu.Lock()
		f.directory.HandleUnreadable(time.Now(), agent, item.Version)
		f.mu.Unlock()
		return agent, true
	}
	f.mu.Lock()
	change, hasChanged := f.directory.HandleEntry(time.Now(), agent, entry, item.Version)
	f.updateView()
	f.mu.Unlock()
	if hasChanged {
		f.logTarget(change)
	}
	return agent, true
}

func (f *Forwarder) logRefusedEntry(item store.Item, err error) {
	f.deps.Log.Emit(events.TargetEntryRefused, events.F("key", item.Key), events.F("revision", item.Version.Revision()),
		events.Err(err))
}

func (f *Forwarder) removeEntry(item store.Item) {
	agent, err := registry.AgentOf(item.Key)
	if err != nil {
		f.logRefusedEntry(item, err)
		return
	}
	f.mu.Lock()
	change, hasChanged := f.directory.HandleRemoval(agent, item.Version)
	f.updateView()
	f.mu.Unlock()
	if hasChanged {
		f.logTarget(change)
	}
}

// updateReadiness makes the balancer ready as soon as it has a configuration and the list of targets. It never becomes unready
// again.
func (f *Forwarder) updateReadiness() {
	f.mu.Lock()
	isReady := f.steer.Table() != nil && f.hasListedTargets
	f.mu.Unlock()
	if !isReady || f.isReady.Swap(true) {
		return
	}
	close(f.initialized)
	f.deps.Log.Emit(events.ReadinessChanged, events.F("ready", true), events.F("reason", "routes and targets read"))
}

func (f *Forwarder) logTarget(change directory.Change) {
	t := change.Target
	f.deps.Log.Emit(events.TargetEntry, events.F("agent", ipText(t.Agent)), events.F("service", t.Entry.Service),
		events.F("zone", t.Entry.Zone), events.F("slots", t.Entry.Slots), events.F("draining", t.Entry.IsDraining),
		events.F("state", t.State.String()), events.F("reason", change.Reason), events.F("revision", t.Revision.Revision()),
		events.F("era", t.Revision.Era()))
}
