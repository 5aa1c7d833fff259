// Package tables implements the two tables that operators declare: routes and pools, joined by names.
package tables

import (
	"net/netip"
	"time"

	"gentianswitch/internal/class"
)

// Route sends the traffic of one address to a pool.
type Route struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to write no field names
	Name     string
	// Address is the IPv4 address and port that callers use.
	Address netip.AddrPort
	// Pool is the name of the pool that serves the route.
	Pool string
	// Class is the kind of work of the route.
	Class class.Class
}

// Pool is the set of targets that announce one service, and the policy for them.
type Pool struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to write no field names
	Name     string
	// Service is the number that targets of the pool announce, 1 to 65535.
	Service uint16
	// ShortReserve is the number of slots of each target that long work may not take, or Undeclared.
	ShortReserve int
	// QueueLimit is the number of requests that may wait at each target, or Undeclared.
	QueueLimit int
	// DefaultDeadline applies to requests that state none. Zero leaves it to the settings of the agents.
	DefaultDeadline time.Duration
}

// Tables is a checked pair of tables. It is immutable once parsed.
type Tables struct {
	Routes []Route
	Pools  []Pool
}

// PoolByName returns the pool with the given name, or nil.
func (t *Tables) PoolByName(name string) *Pool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}
