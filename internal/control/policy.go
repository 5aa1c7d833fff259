package control

import "time"

// PoolPolicy is the policy that the tables declare for the pool of a target. An agent takes the one of the highest
// revision that it hears of.
type PoolPolicy struct {
	// Revision is the number of the revision in force on the balancer that sends the policy.
	Revision uint64 `msgpack:"revision"`
	// ShortReserve, in slots, and QueueLimit, in requests, are -1 when the tables do not declare them.
	ShortReserve int `msgpack:"short_reserve"`
	QueueLimit   int `msgpack:"queue_limit"`
	// DefaultDeadline is 0 when the tables do not declare it.
	DefaultDeadline time.Duration `msgpack:"default_deadline"`
}
