package crest

import (
	"time"
)

const (
	// windowLength is the length of the windows of which the two worst count.
	windowLength = 2 * time.Second
	// CurveStep is the time between two points of a curve.
	CurveStep = 250 * time.Millisecond
)

// Result is what a play has shown. Shares are of the credit of all requests.
type Result struct {
	Asked, InTime, Late, Failed int
	Share                       float64
	// Worst is the mean share of the two worst windows.
	Worst float64
	// Windows are the shares of all windows, by when their requests were asked, and Curve those of steps of CurveStep.
	Windows, Curve []float64
}

// Comparison is what a pattern has shown over several seeds.
type Comparison struct {
	Pattern          string
	Shipped, Arrival Result
	// Bound is a share that no order can pass, BoundWorst the mean of the bounds of the two windows in which the shipped policy
	// is worst; each is taken as if all slots were theirs.
	Bound, BoundWorst float64
}

// Compare plays a profile under both policies with the seeds first to first+count-1, and returns the means.
func Compare(p Profile, first uint64, count int) Comparison {
	c := Comparison{Pattern: p.Pattern}
	for seed := first; seed < first+uint64(count); seed++ {
		requests := drawRequests(p, seed)
		c.Bound += share(bound(p, requests), requests) / float64(count)
		shipped := Play(p, Shipped, seed)
		c.BoundWorst += boundOfWorst(p, requests, shipped) / float64(count)
		c.Shipped.add(shipped, count)
		c.Arrival.add(Play(p, Arrival, seed), count)
	}
	return c
}

// Play plays a profile under a policy.
func Play(p Profile, policy Policy, seed uint64) Result {
	requests := drawRequests(p, seed)
	play(p, policy, seed, requests)
	return summarize(p, requests)
}

// Gain returns by how much more of the credit the shipped policy serves than the order of arrival does.
func Gain(p Profile, seed uint64) float64 {
	return Play(p, Shipped, seed).Share - Play(p, Arrival, seed).Share
}

func summarize(p Profile, requests []*request) Result {
	r := Result{Asked: len(requests)}
	windows := windowsOf(p, requests, windowLength)
	for _, q := range requests {
		switch credit := q.credit(); {
		case credit == 0:
			r.Failed++
		case q.answered > q.born+q.class.Objective:
			r.Late++
		default:
			r.InTime++
		}
	}
	r.Share = share(creditOf(requests), requests)
	for _, w := range windows {
		r.Windows = append(r.Windows, share(creditOf(w), w))
	}
	for _, step := range windowsOf(p, requests, CurveStep) {
		r.Curve = append(r.Curve, share(creditOf(step), step))
	}
	a, b := twoWorst(r.Windows)
	r.Worst = (r.Windows[a] + r.Windows[b]) / 2
	return r
}

func windowsOf(p Profile, requests []*request, length time.Duration) [][]*request {
	windows := make([][]*request, int((p.Length+length-1)/length))
	for _, q := range requests {
		at := int(q.born / length)
		windows[at] = append(windows[at], q)
	}
	return windows
}

func boundOfWorst(p Profile, requests []*request, r Result) float64 {
	windows := windowsOf(p, requests, windowLength)
	a, b := twoWorst(r.Windows)
	return (share(bound(p, windows[a]), windows[a]) + share(bound(p, windows[b]), windows[b])) / 2
}

// twoWorst returns the places of the two lowest shares, which are the same when there is one window.
func twoWorst(windows []float64) (worst, next int) {
	for i, s := range windows {
		if s < windows[worst] {
			worst = i
		}
	}
	next = worst
	for i, s := range windows {
		if i != worst && (next == worst || s < windows[next]) {
			next = i
		}
	}
	return worst, next
}

func creditOf(requests []*request) float64 {
	sum := 0.0
	for _, q := range requests {
		sum += q.credit()
	}
	return sum
}

// share returns a credit as a share of what the requests are worth, or 1 for no requests.
func share(credit float64, requests []*request) float64 {
	owed := 0.0
	for _, q := range requests {
		owed += q.class.Worth
	}
	if owed == 0 {
		return 1
	}
	return credit / owed
}

func (r *Result) add(other Result, count int) {
	r.Asked += other.Asked
	r.InTime += other.InTime
	r.Late += other.Late
	r.Failed += other.Failed
	r.Share += other.Share / float64(count)
	r.Worst += other.Worst / float64(count)
	r.Windows = addMean(r.Windows, other.Windows, count)
	r.Curve = addMean(r.Curve, other.Curve, count)
}

func addMean(sum, values []float64, count int) []float64 {
	if sum == nil {
		sum = make([]float64, len(values))
	}
	for i := range values {
		sum[i] += values[i] / float64(count)
	}
	return sum
}
