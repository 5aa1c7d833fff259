package revision

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/tables"
)

// index holds the names, addresses and service numbers that must be unique in the tables, and the references from routes to
// pools. With it, the time to check a delta depends on the delta's rows only and not on the size of the tables.
type index struct {
	// services maps service numbers to the names of their pools.
	services map[uint16]string
	pools    map[string]*tables.Pool
	// addresses maps addresses to the names of their routes.
	addresses map[netip.AddrPort]string
	routes    map[string]*tables.Route
	// poolRoutes is the number of routes of each pool.
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
		_ = x.addRow(row)
	}
	return x
}

// applyRows updates the index and checks the rows. After an error the index is inconsistent and has to be rebuilt.
func (x *index) applyRows(rows []Row) error {
	for _, row := range rows {
		x.removeRow(row.Key())
	}
	for _, row := range rows {
		if err := x.addRow(row); err != nil {
			return err
		}
	}
	return x.checkReferences(rows)
}

func (x *index) removeRow(key RowKey) {
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

func (x *index) addRow(row Row) error {
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

// checkReferences checks that the pools of added routes exist and that no route uses a deleted pool.
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
