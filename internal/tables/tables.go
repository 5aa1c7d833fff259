// Package tables implements the two tables that operators declare, routes and pools, and their YAML format. A route refers
// to its pool by name.
package tables

import (
	"net/netip"
	"time"

	"gentianswitch/internal/class"
)

// Route assigns the traffic to one address to a pool.
type Route struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec encodes the struct without field names
	Name     string
	// Address is the IPv4 address and port that callers use.
	Address netip.AddrPort
	// Pool is the name of the pool that serves the route.
	Pool string
	// Class is the declared class of the route's requests.
	Class class.Class
}

// Pool is the set of targets that announce one service number, with the policy for them.
type Pool struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec encodes the struct without field names
	Name     string
	// Service is the number that the targets of the pool announce, from 1 to 65535.
	Service uint16
	// ShortReserve is the number of slots of each target that long work may not use, or Undeclared.
	ShortReserve int
	// QueueLimit is the number of requests that may wait for a slot of each target, or Undeclared.
	QueueLimit int
	// DefaultDeadline applies to requests without a deadline of their own. With zero, the settings of each agent apply.
	DefaultDeadline time.Duration
}

// Tables is the pair of tables. It is not modified after it was parsed.
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
