// Package desired holds the desired state of opaque flows: the routes that operators have declared, in versions that
// only rise.
package desired

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/opaque/flow"
)

// ServiceKey identifies a service between programs.
type ServiceKey uint64

// ServiceKeyOf returns the key of the service with the given name.
func ServiceKeyOf(name string) ServiceKey { return ServiceKey(xxhash.Sum64String(name)) }

// Share is the part of a route's new flows that a service takes.
type Share struct {
	Service ServiceKey
	Name    string
	Weight  float64
}

// Route leads the flows of one address to one or several services.
type Route struct {
	Name   string
	Shares []Share
	// Deadline is the time after which callers of the route give up.
	Deadline time.Duration
	// Objective is the time from a caller's first try within which an answer is of full use.
	Objective time.Duration
	// Priority is lower for more urgent routes.
	Priority uint8
}

// Table is one version of the routes. It is immutable.
type Table struct {
	// Version only rises.
	Version uint64
	routes  map[flow.Endpoint]*Route
	// urgent is the lowest Priority of all routes.
	urgent uint8
}

// NewTable returns a table without routes.
func NewTable(version uint64) *Table {
	return &Table{Version: version, routes: make(map[flow.Endpoint]*Route), urgent: math.MaxUint8}
}

// Add adds a route while the table is built.
func (t *Table) Add(address flow.Endpoint, route *Route) {
	t.routes[address] = route
	t.urgent = min(t.urgent, route.Priority)
}

// PriorityOffset returns by how many steps a route is less urgent than the most urgent one.
func (t *Table) PriorityOffset(route *Route) uint8 { return route.Priority - t.urgent }

// Route returns the route of an address, or nil.
func (t *Table) Route(address flow.Endpoint) *Route { return t.routes[address] }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// Each calls visit for every route.
func (t *Table) Each(visit func(address flow.Endpoint, route *Route)) {
	for address, route := range t.routes {
		visit(address, route)
	}
}

// Difference counts what a version changes.
type Difference struct {
	Added, Removed int
	// Moved counts routes that lead to other services than before.
	Moved int
}

// Compare returns what next changes. A nil table has no routes.
func (t *Table) Compare(next *Table) Difference {
	if t == nil {
		return Difference{Added: next.Len()}
	}
	var d Difference
	t.Each(func(address flow.Endpoint, route *Route) {
		replacement := next.Route(address)
		switch {
		case replacement == nil:
			d.Removed++
		case !route.hasServicesOf(replacement):
			d.Moved++
		}
	})
	d.Added = next.Len() - (t.Len() - d.Removed)
	return d
}

// HasService reports whether the route leads to a service.
func (r *Route) HasService(service ServiceKey) bool {
	for i := range r.Shares {
		if r.Shares[i].Service == service {
			return true
		}
	}
	return false
}

func (r *Route) hasServicesOf(other *Route) bool {
	for i := range r.Shares {
		if !other.HasService(r.Shares[i].Service) {
			return false
		}
	}
	return len(r.Shares) == len(other.Shares)
}
