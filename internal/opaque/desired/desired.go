// Package desired holds the desired state of opaque flows: the routes that operators have declared. Each change of the routes
// produces a new Table with a higher version.
package desired

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/opaque/flow"
)

// ServiceKey is a hash of a service's name. Programs identify services by it in frames.
type ServiceKey uint64

// ServiceKeyOf returns the key of the service with the given name.
func ServiceKeyOf(name string) ServiceKey { return ServiceKey(xxhash.Sum64String(name)) }

// WeightedService is a service of a route. It receives new flows of the route in proportion to its weight. A service of weight
// zero receives none while another service of the route has a weight; it is only searched for open flows.
type WeightedService struct {
	Service ServiceKey
	// Name is the name of the service.
	Name   string
	Weight float64
}

// Route sends the flows of one address to one or several services.
type Route struct {
	Name     string
	Services []WeightedService
	// Deadline is the time after which callers of the route give up.
	Deadline time.Duration
	// Objective is the latency objective: the time from a caller's first attempt within which an answer has its full value.
	Objective time.Duration
	// Priority is lower for more urgent routes.
	Priority uint8
	// RunsOnce is set if the requests of the route must not run twice, so that callers do not repeat one that may have run.
	RunsOnce bool
}

// Table is one version of the routes. It is immutable once it has been built.
type Table struct {
	// Version is the version that the operators gave the configuration. It is higher for newer tables.
	Version uint64
	routes  map[flow.Endpoint]*Route
	// mostUrgentPriority is the lowest Priority of all routes.
	mostUrgentPriority uint8
	// coldRates are the services whose cold targets have a limit.
	coldRates map[ServiceKey]float64
	// InvalidRates counts the services whose limit of cold targets could not be decoded. They have none.
	InvalidRates int
}

// NewTable returns a table without routes.
func NewTable(version uint64) *Table {
	return &Table{
		Version: version, routes: make(map[flow.Endpoint]*Route), mostUrgentPriority: math.MaxUint8,
		coldRates: make(map[ServiceKey]float64),
	}
}

// SetColdRate sets the number of requests per second that a cold target of a service can handle. It is called only while the table is
// being built. A rate that is not positive means no limit.
func (t *Table) SetColdRate(service ServiceKey, rate float64) {
	if rate > 0 {
		t.coldRates[service] = rate
	}
}

// ColdRate returns the number of requests per second that a cold target of a service can handle, or 0 if there is no limit.
func (t *Table) ColdRate(service ServiceKey) float64 { return t.coldRates[service] }

// AddRoute adds the route of an address. It is called only while the table is being built.
func (t *Table) AddRoute(address flow.Endpoint, route *Route) {
	t.routes[address] = route
	t.mostUrgentPriority = min(t.mostUrgentPriority, route.Priority)
}

// PriorityOffset returns the difference between the priority of a route of the table and that of the most urgent route, which
// has the lowest Priority.
func (t *Table) PriorityOffset(route *Route) uint8 { return route.Priority - t.mostUrgentPriority }

// Route returns the route of an address, or nil when it has none.
func (t *Table) Route(address flow.Endpoint) *Route { return t.routes[address] }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// EachRoute calls visit for every route.
func (t *Table) EachRoute(visit func(address flow.Endpoint, route *Route)) {
	for address, route := range t.routes {
		visit(address, route)
	}
}

// Difference counts the routes that a new version of the table changes. Changes of weights, deadlines, objectives and
// priorities do not count.
type Difference struct {
	Added, Removed int
	// Moved counts the routes whose set of services has changed.
	Moved int
}

// Compare returns what the next version changes. A nil table has no routes.
func (t *Table) Compare(next *Table) Difference {
	if t == nil {
		return Difference{Added: next.Len()}
	}
	var d Difference
	t.EachRoute(func(address flow.Endpoint, route *Route) {
		replacement := next.Route(address)
		switch {
		case replacement == nil:
			d.Removed++
		case !route.hasSameServices(replacement):
			d.Moved++
		}
	})
	d.Added = next.Len() - (t.Len() - d.Removed)
	return d
}

// HasService reports whether a service is one of the route's services.
func (r *Route) HasService(service ServiceKey) bool {
	for i := range r.Services {
		if r.Services[i].Service == service {
			return true
		}
	}
	return false
}

func (r *Route) hasSameServices(other *Route) bool {
	for i := range r.Services {
		if !other.HasService(r.Services[i].Service) {
			return false
		}
	}
	return len(r.Services) == len(other.Services)
}
