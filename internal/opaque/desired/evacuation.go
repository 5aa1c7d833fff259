package desired

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/store"
)

const (
	// maxZones bounds the availability zones whose evacuation is known, and maxZoneBytes the length of a zone's name.
	maxZones     = 64
	maxZoneBytes = 100
	// rewriteTime is the time within which operators write again what a restored store has lost.
	rewriteTime = 10 * time.Second
)

// ErrZoneRefused means that the evacuation of a zone cannot be recorded.
var ErrZoneRefused = eris.New("evacuation refused")

// Evacuation is the last known change of the evacuation of an availability zone. While a zone is evacuated, its targets receive no
// new flows.
type Evacuation struct {
	Zone        string        `msgpack:"zone"`
	Version     store.Version `msgpack:"version"`
	IsEvacuated bool          `msgpack:"evacuated"`
}

// Evacuations holds the evacuations of availability zones. It keeps the zones that were returned to service, so that an older list does
// not evacuate them again. It is a pure state machine. Its zero value knows no evacuation.
type Evacuations struct {
	zones map[string]*zoneEvacuation
	// listedAt is the version of the last complete list. Zones that are not known were in service then.
	listedAt store.Version
}

type zoneEvacuation struct {
	Evacuation
	// missingAt is the version of a restored store that does not hold the evacuation, and missingSince when that was noticed.
	missingAt    store.Version
	missingSince time.Time
}

// Set records a change of an evacuation. It reports false if a newer change is known.
func (e *Evacuations) Set(change Evacuation) (bool, error) {
	if change.Zone == "" || len(change.Zone) > maxZoneBytes {
		return false, eris.Wrapf(ErrZoneRefused, "zone name of %d bytes, expected 1 to %d", len(change.Zone), maxZoneBytes)
	}
	known := e.zones[change.Zone]
	switch {
	case known != nil && change.Version <= known.Version:
		return false, nil
	case known == nil && !e.makeRoom():
		return false, eris.Wrapf(ErrZoneRefused, "zone %q: %d zones are evacuated already", change.Zone, maxZones)
	case e.zones == nil:
		e.zones = make(map[string]*zoneEvacuation)
	}
	e.zones[change.Zone] = &zoneEvacuation{Evacuation: change}
	return known == nil && change.IsEvacuated || known != nil && known.IsEvacuated != change.IsEvacuated, nil
}

// makeRoom removes the oldest zone that was returned to service if there are too many zones. It reports false if all of them are
// evacuated.
func (e *Evacuations) makeRoom() bool {
	if len(e.zones) < maxZones {
		return true
	}
	var oldest *zoneEvacuation
	for _, z := range e.zones {
		if !z.IsEvacuated && (oldest == nil || z.Version < oldest.Version) {
			oldest = z
		}
	}
	if oldest == nil {
		return false
	}
	delete(e.zones, oldest.Zone)
	return true
}

// Retain returns the zones to service that a complete list of the evacuations, read at a version, does not contain. A list of a later
// era may lack evacuations that the restored store has lost, so these zones stay evacuated for rewriteTime. It returns the changes.
func (e *Evacuations) Retain(now time.Time, listed map[string]struct{}, at store.Version) []Evacuation {
	e.listedAt = max(e.listedAt, at)
	var changes []Evacuation
	for _, z := range e.sorted() {
		if _, isListed := listed[z.Zone]; isListed || !z.IsEvacuated || at <= z.Version {
			continue
		}
		if at.Era() == z.Version.Era() {
			changes = append(changes, e.returnToService(z.Zone, at))
		} else if z.missingAt.Era() < at.Era() {
			z.missingAt, z.missingSince = at, now
		}
	}
	return changes
}

// Expire returns the zones to service whose evacuation a restored store has lost and operators have not written again within
// rewriteTime. It returns the changes.
func (e *Evacuations) Expire(now time.Time) []Evacuation {
	var changes []Evacuation
	for _, z := range e.zones {
		if z.missingAt > 0 && now.Sub(z.missingSince) >= rewriteTime {
			changes = append(changes, e.returnToService(z.Zone, z.missingAt))
		}
	}
	return changes
}

func (e *Evacuations) returnToService(zone string, at store.Version) Evacuation {
	change := Evacuation{Zone: zone, Version: at}
	e.zones[zone] = &zoneEvacuation{Evacuation: change}
	return change
}

// Zone returns the last known change of the evacuation of a zone. If there was none, the zone was in service at the version of the last
// complete list, or it is zero.
func (e *Evacuations) Zone(zone string) Evacuation {
	if z := e.zones[zone]; z != nil {
		return z.Evacuation
	}
	return Evacuation{Zone: zone, Version: e.listedAt}
}

// ListedAt returns the version of the last complete list, or zero.
func (e *Evacuations) ListedAt() store.Version { return e.listedAt }

// All returns the last known change for each zone, ordered by the names of the zones.
func (e *Evacuations) All() []Evacuation {
	all := make([]Evacuation, 0, len(e.zones))
	for _, z := range e.sorted() {
		all = append(all, z.Evacuation)
	}
	return all
}

func (e *Evacuations) sorted() []*zoneEvacuation {
	all := make([]*zoneEvacuation, 0, len(e.zones))
	for _, z := range e.zones {
		all = append(all, z)
	}
	slices.SortFunc(all, func(a, b *zoneEvacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return all
}

// EvacuatedZones returns the names of the zones that are evacuated.
func (e *Evacuations) EvacuatedZones() map[string]struct{} {
	zones := make(map[string]struct{})
	for _, z := range e.zones {
		if z.IsEvacuated {
			zones[z.Zone] = struct{}{}
		}
	}
	return zones
}
