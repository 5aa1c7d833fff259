package forwarder

import (
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/store"
)

// applyOperatorItems applies a complete list of what operators have written to the store: the configuration and the evacuations.
func (f *Forwarder) applyOperatorItems(items []store.Item, at store.Version) {
	var evacuations []desired.Evacuation
	for _, item := range items {
		if item.Key == f.deps.Configuration.Key {
			// Versions before it may have been missed.
			f.applyConfiguration(item, sourceStore, func(table *desired.Table) bool {
				return f.steer.SetTableWithHistory(time.Now(), table, desired.History{Version: table.Version})
			})
			continue
		}
		if zone, isEvacuation := f.deps.Configuration.EvacuatedZone(item.Key); isEvacuation {
			evacuations = append(evacuations, desired.Evacuation{Zone: zone, Version: item.Version, IsEvacuated: true})
		}
	}
	f.applyEvacuationList(evacuations, at)
}

// applyEvacuationList applies all evacuations that the store or another balancer knew at a version, which is zero if it did not know all.
// Zones that the list lacks return to service.
func (f *Forwarder) applyEvacuationList(list []desired.Evacuation, at store.Version) {
	f.applyEvacuations(list)
	listed := make(map[string]struct{}, len(list))
	for _, e := range list {
		listed[e.Zone] = struct{}{}
	}
	f.updateEvacuations(func(now time.Time) []desired.Evacuation { return f.evacuations.Retain(now, listed, at) })
}

// applyEvacuations applies changes of evacuations that the store or another balancer returned, as far as they are new.
func (f *Forwarder) applyEvacuations(changes []desired.Evacuation) {
	f.updateEvacuations(func(time.Time) []desired.Evacuation {
		var applied []desired.Evacuation
		for _, change := range changes {
			hasChanged, err := f.evacuations.Set(change)
			if err != nil {
				f.counters.evacuationsRefused.Inc(1)
				f.deps.Log.Emit(events.EvacuationRefused, events.F("revision", change.Version.Revision()), events.Err(err))
			}
			if hasChanged {
				applied = append(applied, change)
			}
		}
		return applied
	})
}

// expireEvacuations returns zones to service whose evacuation a restored store has lost for good.
func (f *Forwarder) expireEvacuations() {
	f.updateEvacuations(f.evacuations.Expire)
}

// updateEvacuations calls change with mu held, and puts the changes that it returns into force.
func (f *Forwarder) updateEvacuations(change func(now time.Time) []desired.Evacuation) {
	now := time.Now()
	f.mu.Lock()
	changes := change(now)
	if len(changes) > 0 {
		f.directory.SetEvacuatedZones(now, f.evacuations.EvacuatedZones())
		f.updateView()
	}
	f.mu.Unlock()
	for _, c := range changes {
		f.deps.Log.Emit(events.ZoneEvacuation, events.F("zone", c.Zone), events.F("evacuated", c.IsEvacuated),
			events.F("targets", f.targetCountIn(c.Zone)), events.F("revision", c.Version.Revision()), events.F("era", c.Version.Era()))
	}
}

// targetCountIn returns the number of targets in an availability zone.
func (f *Forwarder) targetCountIn(zone string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, t := range f.directory.Targets() {
		if t.Entry.Zone == zone {
			count++
		}
	}
	return count
}

// evacuationOf returns the last known change of the evacuation of the zone of an agent's target. The caller holds mu.
func (f *Forwarder) evacuationOf(agent hop.IP) desired.Evacuation {
	target, _ := f.directory.Lookup(agent)
	return f.evacuations.Zone(target.Entry.Zone)
}
