package admit

import (
	"math/rand/v2"
	"time"
)

// Bounds of Retry-After, the time after which a refused caller may retry. Jitter is added to it.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// jitterFraction is the maximum jitter as a fraction of the Retry-After that it is added to.
const jitterFraction = 0.25

// retrySchedule spreads the retries of refused callers over time. Each refusal reserves the next part of the target's future
// capacity, so that callers retry no faster than the target finishes requests.
type retrySchedule struct {
	random *rand.Rand
	// lastRetry is the latest time that is reserved for a retry.
	lastRetry time.Time
}

// nextDelay returns the time after which a refused caller should retry. backlog is the expected time until the target has
// processed its queue, and interval is the mean time between two finished requests.
func (r *retrySchedule) nextDelay(now time.Time, backlog, interval time.Duration) time.Duration {
	earliest := now.Add(backlog)
	if r.lastRetry.Before(earliest) {
		r.lastRetry = earliest
	}
	r.lastRetry = r.lastRetry.Add(interval)
	if latest := now.Add(maxRetryAfter); r.lastRetry.After(latest) {
		// The schedule is full. Further callers are spread at random over its second half.
		r.lastRetry = latest
		return maxRetryAfter/2 + time.Duration(r.random.Int64N(int64(maxRetryAfter/2)))
	}
	after := max(r.lastRetry.Sub(now), minRetryAfter)
	return after + time.Duration(jitterFraction*r.random.Float64()*float64(after))
}
