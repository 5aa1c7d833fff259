package balancer

import (
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/route"
)

// counters are the metrics of a balancer. Those without a comment count dropped datagrams.
type counters struct {
	// verdicts counts the callers' datagrams, one counter for each route.Verdict.
	verdicts    []tally.Counter
	ringFull    tally.Counter
	sendFailed  tally.Counter
	oversized   tally.Counter
	badEnvelope tally.Counter
	noListener  tally.Counter
	// storeFailed counts failed calls to the store.
	storeFailed tally.Counter
	// revision is the number of the revision in force.
	revision tally.Gauge
	// storeReader is 1 while this balancer watches the store, otherwise 0.
	storeReader tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	c := counters{
		ringFull:    scope.Counter("dropped_ring_full"),
		sendFailed:  scope.Counter("dropped_send_failed"),
		oversized:   scope.Counter("dropped_oversized"),
		badEnvelope: scope.Counter("dropped_bad_envelope"),
		noListener:  scope.Counter("dropped_no_listener"),
		storeFailed: scope.Counter("store_calls_failed"),
		revision:    scope.Gauge("revision"),
		storeReader: scope.Gauge("store_reader"),
	}
	for v := route.Verdict(0); v <= route.DropNoTarget; v++ {
		c.verdicts = append(c.verdicts, scope.Tagged(map[string]string{"verdict": v.String()}).Counter("datagrams"))
	}
	return c
}

// countVerdict counts a datagram by its verdict.
func (c *counters) countVerdict(v route.Verdict) {
	c.verdicts[v].Inc(1)
}
