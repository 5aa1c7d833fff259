package desired

import (
	"time"

	"gentianswitch/internal/opaque/flow"
)

// History says which services the routes named in earlier tables. Balancers send it to each other, because open flows stay at
// the targets of a service that their route no longer names.
type History struct {
	// Version is the version of the newest table of the history, and From that of the oldest. All versions between them are
	// included. Both are zero if nothing is known.
	Version uint64 `msgpack:"version"`
	From    uint64 `msgpack:"from"`
	// KnownFor is the time since the table From came into force.
	KnownFor time.Duration `msgpack:"known_for"`
	// Previous are the services that routes no longer name.
	Previous []PreviousService `msgpack:"previous"`
}

// PreviousService is a service that the route of an address no longer names.
type PreviousService struct {
	Address flow.Endpoint `msgpack:"address"`
	Service ServiceKey    `msgpack:"service"`
	// ExpiresIn is the time after which no flow of the route can be open there.
	ExpiresIn time.Duration `msgpack:"expires_in"`
}

// MaxPrevious bounds the services in a History that is sent, so that it fits a frame beside the configuration and the targets.
const MaxPrevious = 1 << 14
