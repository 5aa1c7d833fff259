package admit

import (
	"math/rand/v2"
	"time"
)

// Bounds of the time after which a refused caller is asked to come back.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// jitterShare is the part of the time to come back that is random.
const jitterShare = 0.25

// returnSchedule spreads the return of refused callers. Each refusal reserves the next piece of the target's future
// capacity, so that callers come back no faster than the target finishes requests.
type returnSchedule struct {
	random *rand.Rand
	last   time.Time
}

// next returns the time after which the caller should come back: backlog is the time until the work at hand is done,
// and spacing the time in which one request is finished.
func (r *returnSchedule) next(now time.Time, backlog, spacing time.Duration) time.Duration {
	earliest := now.Add(backlog)
	if r.last.Before(earliest) {
		r.last = earliest
	}
	r.last = r.last.Add(spacing)
	if latest := now.Add(maxRetryAfter); r.last.After(latest) {
		// The schedule is full: the callers beyond it spread over its second half.
		r.last = latest
		return maxRetryAfter/2 + time.Duration(r.random.Int64N(int64(maxRetryAfter/2)))
	}
	after := max(r.last.Sub(now), minRetryAfter)
	return after + time.Duration(jitterShare*r.random.Float64()*float64(after))
}
