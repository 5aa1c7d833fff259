package revision

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/tables"
)

// index holds what must be unique in the tables, so that the check of a delta takes time for its rows only.
type index struct {
	services   map[uint16]string
	pools      map[string]*tables.Pool
	addresses  map[netip.AddrPort]string
	routes     map[string]*tables.Route
	poolRoutes map[string]int
}

// newIndex returns the index of consistent tables.
func newIndex(t *tables.Tables) *index {
	x := &index{
		services: make(map[uint16]string, len(t.Pools)), pools: make(map[string]*tables.Pool, len(t.Pools)),
		addresses: make(map[netip.AddrPort]string, len(t.Routes)), routes: make(map[string]*tables.Route, len(t.Routes)),
		poolRoutes: make(map[string]int, len(t.Pools)),
	}
	for _, row := range AllRows(t) {
		_ = x.add(row)
	}
	return x
}

// apply takes the rows into the index. After an error the index is of no more use.
func (x *index) apply(rows []Row) error {
	for _, row := range rows {
		x.remove(row.Key())
	}
	for _, row := range rows {
		if err := x.add(row); err != nil {
			return err
		}
	}
	return x.checkReferences(rows)
}

func (x *index) remove(key RowKey) {
	if key.Table == Pools {
		if old := x.pools[key.Name]; old != nil {
			delete(x.services, old.Service)
			delete(x.pools, key.Name)
		}
		return
	}
	if old := x.routes[key.Name]; old != nil {
		delete(x.addresses, old.Address)
		delete(x.routes, key.Name)
		x.poolRoutes[old.Pool]--
	}
}

func (x *index) add(row Row) error {
	switch {
	case row.Pool != nil:
		if other, isTaken := x.services[row.Pool.Service]; isTaken {
			return eris.Errorf("pools %s and %s have the same service number %d", other, row.Name, row.Pool.Service)
		}
		x.services[row.Pool.Service] = row.Name
		x.pools[row.Name] = row.Pool
	case row.Route != nil:
		if other, isTaken := x.addresses[row.Route.Address]; isTaken {
			return eris.Errorf("routes %s and %s have the same address %s", other, row.Name, row.Route.Address)
		}
		x.addresses[row.Route.Address] = row.Name
		x.routes[row.Name] = row.Route
		x.poolRoutes[row.Route.Pool]++
	}
	return nil
}

// checkReferences checks that the pools of the rows' routes exist, and that no route uses a deleted pool.
func (x *index) checkReferences(rows []Row) error {
	for _, row := range rows {
		if row.Route != nil && x.pools[row.Route.Pool] == nil {
			return eris.Errorf("route %s: pool %s is not declared", row.Name, row.Route.Pool)
		}
		if row.Table == Pools && row.IsDelete() && x.poolRoutes[row.Name] > 0 {
			return eris.Errorf("pool %s is deleted, but %d routes use it", row.Name, x.poolRoutes[row.Name])
		}
	}
	return nil
}
