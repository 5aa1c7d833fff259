package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// storeLatencyBuckets are the bounds of the latency histogram of calls to the store. A healthy store replies in 4 ms; a call
// that waits for changes takes up to a few seconds.
var storeLatencyBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond,
	300 * time.Millisecond, time.Second, 3 * time.Second,
}

// StoreCalls returns a function that counts a call to the store and records its duration, by call and outcome.
func StoreCalls(scope tally.Scope) func(call string, err error, duration time.Duration) {
	return func(call string, err error, duration time.Duration) {
		outcome := "ok"
		if err != nil {
			outcome = "failed"
		}
		tagged := scope.Tagged(map[string]string{"call": call, "outcome": outcome})
		tagged.Counter("store_calls").Inc(1)
		tagged.Histogram("store_latency", storeLatencyBuckets).RecordDuration(duration)
	}
}

// StoreEra returns a function that records the era of the store: it rises each time the store is restored from a copy.
func StoreEra(scope tally.Scope) func(era uint64) {
	gauge := scope.Gauge("store_era")
	return func(era uint64) { gauge.Update(float64(era)) }
}
