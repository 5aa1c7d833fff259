package crest

import (
	"time"
)

const (
	// windowLength is the length of the windows of arrival time for which shares are computed. The two worst ones are reported.
	windowLength = 2 * time.Second
	// CurveStep is the time between two points of a curve.
	CurveStep = 250 * time.Millisecond
)

// Result is the result of a simulation. Requests are in time when answered within the objective, late when answered within the
// deadline, else failed. A share is the earned credit divided by the credit for answering all requests in time.
type Result struct {
	Requests, OnTime, Late, Failed int
	Share                          float64
	// WorstWindows is the mean share of the two worst windows.
	WorstWindows float64
	// Windows are the shares of the requests that arrived in each window, and Curve those for each step of CurveStep.
	Windows, Curve []float64
}

// Comparison holds the mean results of a profile over several seeds, under both policies.
type Comparison struct {
	Pattern          string
	Shipped, Arrival Result
	// Bound is a share that no order of service can exceed. BoundOfWorstWindows is the mean of the bounds of the two windows in
	// which the shipped policy is worst, each computed as if its requests had all slots to themselves.
	Bound, BoundOfWorstWindows float64
}

// Compare simulates a profile under both policies with the seeds first to first+count-1, and returns the means.
func Compare(p Profile, first uint64, count int) Comparison {
	c := Comparison{Pattern: p.Pattern}
	for seed := first; seed < first+uint64(count); seed++ {
		requests := generateArrivals(p, seed)
		c.Bound += creditShare(creditBound(p, requests), requests) / float64(count)
		shipped := Simulate(p, Shipped, seed)
		c.BoundOfWorstWindows += boundOfWorstWindows(p, requests, shipped) / float64(count)
		c.Shipped.addMean(shipped, count)
		c.Arrival.addMean(Simulate(p, Arrival, seed), count)
	}
	return c
}

// Simulate simulates a profile under a policy. The same seed gives the same result.
func Simulate(p Profile, policy Policy, seed uint64) Result {
	requests := generateArrivals(p, seed)
	simulate(p, policy, seed, requests)
	return summarize(p, requests)
}

// Gain returns the share of the credit under the shipped policy minus that under the order of arrival.
func Gain(p Profile, seed uint64) float64 {
	return Simulate(p, Shipped, seed).Share - Simulate(p, Arrival, seed).Share
}

func summarize(p Profile, requests []*request) Result {
	r := Result{Requests: len(requests)}
	windows := splitIntoWindows(p, requests, windowLength)
	for _, q := range requests {
		switch credit := q.credit(); {
		case credit == 0:
			r.Failed++
		case q.answeredAt > q.arrivedAt+q.class.Objective:
			r.Late++
		default:
			r.OnTime++
		}
	}
	r.Share = creditShare(totalCredit(requests), requests)
	for _, w := range windows {
		r.Windows = append(r.Windows, creditShare(totalCredit(w), w))
	}
	for _, step := range splitIntoWindows(p, requests, CurveStep) {
		r.Curve = append(r.Curve, creditShare(totalCredit(step), step))
	}
	a, b := twoWorstWindows(r.Windows)
	r.WorstWindows = (r.Windows[a] + r.Windows[b]) / 2
	return r
}

func splitIntoWindows(p Profile, requests []*request, length time.Duration) [][]*request {
	windows := make([][]*request, int((p.Length+length-1)/length))
	for _, q := range requests {
		at := int(q.arrivedAt / length)
		windows[at] = append(windows[at], q)
	}
	return windows
}

func boundOfWorstWindows(p Profile, requests []*request, r Result) float64 {
	windows := splitIntoWindows(p, requests, windowLength)
	a, b := twoWorstWindows(r.Windows)
	return (creditShare(creditBound(p, windows[a]), windows[a]) + creditShare(creditBound(p, windows[b]), windows[b])) / 2
}

// twoWorstWindows returns the indexes of the two lowest shares, which are equal when there is only one window.
func twoWorstWindows(windows []float64) (worst, next int) {
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

func totalCredit(requests []*request) float64 {
	sum := 0.0
	for _, q := range requests {
		sum += q.credit()
	}
	return sum
}

// creditShare returns a credit as a share of the credit for answering all requests in time, or 1 for no requests.
func creditShare(credit float64, requests []*request) float64 {
	possible := 0.0
	for _, q := range requests {
		possible += q.class.OnTimeCredit
	}
	if possible == 0 {
		return 1
	}
	return credit / possible
}

// addMean adds the result of one of count simulations: counts are summed, shares averaged.
func (r *Result) addMean(other Result, count int) {
	r.Requests += other.Requests
	r.OnTime += other.OnTime
	r.Late += other.Late
	r.Failed += other.Failed
	r.Share += other.Share / float64(count)
	r.WorstWindows += other.WorstWindows / float64(count)
	r.Windows = addMeanOfSeries(r.Windows, other.Windows, count)
	r.Curve = addMeanOfSeries(r.Curve, other.Curve, count)
}

func addMeanOfSeries(sum, values []float64, count int) []float64 {
	if sum == nil {
		sum = make([]float64, len(values))
	}
	for i := range values {
		sum[i] += values[i] / float64(count)
	}
	return sum
}
