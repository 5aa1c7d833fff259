package route

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/dchest/siphash"

	"gentianswitch/internal/connid"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/member"
	"gentianswitch/internal/tables"
)

// Table is an immutable routing table. The With methods return a modified copy that shares all unmodified parts.
type Table struct {
	codec         *connid.Codec
	hash          flowHash
	agentNetworks []netip.Prefix
	strategy      Strategy
	declared      *tables.Tables
	// serviceOf maps the name of a pool to its service.
	serviceOf map[string]uint16
	routes    routeIndex
	groups    groupIndex
}

// NewTable returns a table without routes and targets. Packets whose connection ID contains an agent address outside networks
// are dropped; an empty list allows every address. A nil strategy means Slots.
func NewTable(set *keys.Set, networks []netip.Prefix, strategy Strategy) (*Table, error) {
	if strategy == nil {
		strategy = SlotHashing{}
	}
	t := &Table{agentNetworks: networks, strategy: strategy, declared: &tables.Tables{}}
	return t.WithKeys(set)
}

// Strategy returns the strategy that selects targets for new flows.
func (t *Table) Strategy() Strategy {
	return t.strategy
}

// WithKeys returns a table that decodes connection IDs with every key of set. The current key of set determines the placement
// of new flows.
func (t *Table) WithKeys(set *keys.Set) (*Table, error) {
	codec, err := connid.NewCodec(set)
	if err != nil {
		return nil, err
	}
	next := *t
	next.codec = codec
	next.hash = newFlowHash(set.Current())
	return &next, nil
}

// WithTables returns a table with the declared routes and pools, which may differ from the current ones in any number of rows.
// Only rows that differ are indexed again; equal rows at the same position, counted from the start or the end, are only
// compared.
func (t *Table) WithTables(declared *tables.Tables) *Table {
	next := *t
	next.declared = declared
	old := t.declared.Routes
	if !slices.Equal(t.declared.Pools, declared.Pools) {
		next.serviceOf = make(map[string]uint16, len(declared.Pools))
		for i := range declared.Pools {
			next.serviceOf[declared.Pools[i].Name] = declared.Pools[i].Service
		}
	}
	updated := declared.Routes
	if maps.Equal(t.serviceOf, next.serviceOf) {
		old, updated = differingRows(old, updated)
	}
	next.routes = t.routes.replace(old, updated, next.serviceOf)
	return &next
}

// differingRows returns the rows of both lists without the equal ones at the start and at the end. When the rest of both lists
// has the same length, it also omits rows that are equal at the same position.
func differingRows(old, updated []tables.Route) (oldDiffering, updatedDiffering []tables.Route) {
	for len(old) > 0 && len(updated) > 0 && old[0] == updated[0] {
		old, updated = old[1:], updated[1:]
	}
	for len(old) > 0 && len(updated) > 0 && old[len(old)-1] == updated[len(updated)-1] {
		old, updated = old[:len(old)-1], updated[:len(updated)-1]
	}
	if len(old) != len(updated) {
		return old, updated
	}
	for i := range old {
		if old[i] != updated[i] {
			oldDiffering = append(oldDiffering, old[i])
			updatedDiffering = append(updatedDiffering, updated[i])
		}
	}
	return oldDiffering, updatedDiffering
}

// WithTargets returns a table without the removed targets and with the added ones. The record of a removed target must have the
// service and the zone with which it was added. An added target replaces the one with the same agent, service and zone. It is
// skipped unless it is ready and has slots.
func (t *Table) WithTargets(removed, added []member.Target) *Table {
	changes := make(map[uint16]map[string]*zoneChange)
	changeOf := func(target member.Target) *zoneChange {
		zones := changes[target.Service]
		if zones == nil {
			zones = make(map[string]*zoneChange)
			changes[target.Service] = zones
		}
		if zones[target.Zone] == nil {
			zones[target.Zone] = &zoneChange{}
		}
		return zones[target.Zone]
	}
	for _, target := range removed {
		c := changeOf(target)
		c.removed = append(c.removed, target.Agent)
	}
	for _, target := range added {
		if target.State == member.Ready && target.Slots > 0 {
			c := changeOf(target)
			c.added = append(c.added, newCandidate(target))
		}
	}
	next := *t
	builder := next.groups.newBuilder()
	for service, zones := range changes {
		builder.put(service, t.groups.get(service).withChanges(zones, t.strategy))
	}
	next.groups = builder.build()
	return &next
}

// flowHash is the keyed hash function for the connection IDs that callers choose. Without the key, a caller cannot choose an ID
// that selects a certain target.
type flowHash struct{ k0, k1 uint64 }

func newFlowHash(key *keys.Key) flowHash {
	return flowHash{
		k0: siphash.Hash(0, 0, append([]byte("placement 0"), key.Secret[:]...)),
		k1: siphash.Hash(0, 0, append([]byte("placement 1"), key.Secret[:]...)),
	}
}

func (h flowHash) sum(id []byte) uint64 {
	return siphash.Hash(h.k0, h.k1, id)
}
