package sidecar

import (
	"time"

	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/opaque/resident"
)

// counters are the metrics of a sidecar.
type counters struct {
	verdicts              [resident.Wait + 1]tally.Counter
	malformed, sendFailed tally.Counter
	flows, waiting        tally.Gauge
	openingWait           tally.Histogram
	// evacuatedFlows is the number of flows while the zone of the target is evacuated, and evacuatedDeclined counts the opening packets
	// that the agent has declined for that reason. lastAccepted is the age of the last new flow in seconds.
	evacuatedFlows, lastAccepted tally.Gauge
	evacuatedDeclined            tally.Counter
	// recordsWritten counts the records of flows that the store has written, recordResets the flows of records that were reset, and
	// recordsRefused the records that were ignored. recordFlows is the number of flows in the last written record.
	recordsWritten, recordResets, recordsRefused tally.Counter
	recordFlows                                  tally.Gauge
	// warmupLeft is how many seconds the target stays cold, and coldSkipped counts the opening packets that it did not receive at once
	// because of its limit.
	warmupLeft  tally.Gauge
	coldSkipped tally.Counter
	// probesRefused and probesOther count the connections to targets whose heartbeat was overdue.
	probesRefused, probesOther tally.Counter
}

// waitBuckets are the bounds of the histogram of wait times. Opening packets wait for at most 1.2 s (admission.MaxWait).
var waitBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second,
}

func newCounters(scope tally.Scope) counters {
	c := counters{
		malformed: scope.Counter("opaque_malformed"), sendFailed: scope.Counter("opaque_send_failed"),
		flows: scope.Gauge("opaque_flows"), waiting: scope.Gauge("opaque_waiting"),
		openingWait:    scope.Histogram("opaque_opening_wait", waitBuckets),
		evacuatedFlows: scope.Gauge("opaque_evacuated_flows"), lastAccepted: scope.Gauge("opaque_last_accepted_age"),
		evacuatedDeclined: scope.Counter("opaque_evacuated_declined"),
		recordsWritten:    scope.Counter("opaque_records_written"), recordResets: scope.Counter("opaque_record_resets"),
		recordsRefused: scope.Counter("opaque_records_refused"), recordFlows: scope.Gauge("opaque_record_flows"),
		warmupLeft: scope.Gauge("opaque_warmup_left"), coldSkipped: scope.Counter("opaque_cold_skipped"),
	}
	probe := func(result string) tally.Counter {
		return scope.Tagged(map[string]string{"result": result}).Counter("opaque_target_probes")
	}
	c.probesRefused, c.probesOther = probe("refused"), probe("no_proof")
	for v := resident.Deliver; v <= resident.Wait; v++ {
		c.verdicts[v] = scope.Tagged(map[string]string{"verdict": v.String()}).Counter("opaque_packets")
	}
	return c
}

func (c *counters) recordProbe(isRefused bool) {
	if isRefused {
		c.probesRefused.Inc(1)
		return
	}
	c.probesOther.Inc(1)
}

func (c *counters) verdict(v resident.Verdict) tally.Counter { return c.verdicts[v] }
