package sidecar

import (
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/opaque/resident"
)

// counters are the metrics of a sidecar.
type counters struct {
	verdicts              [resident.Wait + 1]tally.Counter
	malformed, sendFailed tally.Counter
}

func newCounters(scope tally.Scope) counters {
	c := counters{malformed: scope.Counter("opaque_malformed"), sendFailed: scope.Counter("opaque_send_failed")}
	for v := resident.Deliver; v <= resident.Wait; v++ {
		c.verdicts[v] = scope.Tagged(map[string]string{"verdict": v.String()}).Counter("opaque_packets")
	}
	return c
}

func (c *counters) verdict(v resident.Verdict) tally.Counter { return c.verdicts[v] }
