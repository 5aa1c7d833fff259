package control

import "time"

// PoolPolicy is the policy that the tables declare for a target's pool. Of the policies that it receives, an agent applies the
// one with the highest revision.
type PoolPolicy struct {
	// Revision is the number of the configuration revision in force on the balancer that sends the policy.
	Revision uint64 `msgpack:"revision"`
	// ShortReserve is the number of slots that are reserved for short requests, or -1 when the tables do not declare it.
	ShortReserve int `msgpack:"short_reserve"`
	// QueueLimit is the maximum number of queued requests, or -1 when the tables do not declare it.
	QueueLimit int `msgpack:"queue_limit"`
	// DefaultDeadline is the deadline of requests that state none, or 0 when the tables do not declare it.
	DefaultDeadline time.Duration `msgpack:"default_deadline"`
}
