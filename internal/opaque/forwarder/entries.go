package forwarder

import (
	"strings"
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

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

// takeWhole takes all entries at a revision from which changes are followed.
func (f *Forwarder) takeWhole(items []store.Item, at store.Version) {
	f.takeTargets(items, at)
	f.mu.Lock()
	f.wholeAt = max(f.wholeAt, at)
	f.mu.Unlock()
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
	isApplied := f.steer.SetTable(time.Now(), table)
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
	change, hasChanged := f.directory.HandleEntry(time.Now(), agent, entry, item.Version)
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
	change, hasChanged := f.directory.HandleRemoval(agent, item.Version)
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
