package tables

import (
	"net/netip"

	"github.com/rotisserie/eris"
)

// Check returns an error for the first inconsistency between the rows: a name, address or service number that is used twice,
// or a route whose pool is not declared.
func (t *Tables) Check() error {
	pools := make(map[string]bool, len(t.Pools))
	services := make(map[uint16]string, len(t.Pools))
	for _, p := range t.Pools {
		if pools[p.Name] {
			return eris.Errorf("pool %s is declared twice", p.Name)
		}
		if other, ok := services[p.Service]; ok {
			return eris.Errorf("pools %s and %s have the same service number %d", other, p.Name, p.Service)
		}
		pools[p.Name] = true
		services[p.Service] = p.Name
	}
	return t.checkRoutes(pools)
}

func (t *Tables) checkRoutes(pools map[string]bool) error {
	names := make(map[string]bool, len(t.Routes))
	addresses := make(map[netip.AddrPort]string, len(t.Routes))
	for _, r := range t.Routes {
		if names[r.Name] {
			return eris.Errorf("route %s is declared twice", r.Name)
		}
		if other, ok := addresses[r.Address]; ok {
			return eris.Errorf("routes %s and %s have the same address %s", other, r.Name, r.Address)
		}
		if !pools[r.Pool] {
			return eris.Errorf("route %s: pool %s is not declared", r.Name, r.Pool)
		}
		names[r.Name] = true
		addresses[r.Address] = r.Name
	}
	return nil
}
