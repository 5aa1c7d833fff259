package crest

import (
	"math"
	"slices"
	"time"

	"gentianswitch/internal/opaque/admission"
)

// The bound is a credit that no order of service can exceed, not even one that knows all arrivals in advance. It is the optimum
// of a relaxed scheduling problem. Each answer within the deadline earns the late credit, and one within the objective also the
// difference to the on-time credit; the two sums are bounded separately:
//   - A run may be split, moved between targets and done by all slots at once, but only between the earliest time at which the
//     packets of its caller can bring it to a target and its objective (or deadline), and within the capacity of the slots.
//   - A part of a run earns the same part of the credit, unless the whole run would end too late even if started at that
//     earliest time.
//
// For work in time windows, the work that slots can do forms a polymatroid. A greedy allocation is therefore optimal: take the
// requests in the order of credit per unit of work, each as far as possible (Edmonds, "Submodular functions, matroids, and
// certain polyhedra", 1970). How much of a request fits follows from all intervals that contain its window.

// binLength is the time resolution of the bound. Windows are widened to whole bins, which can only raise the bound.
const binLength = 20 * time.Millisecond

// job is the work of a request, in seconds of slot time, and the credit for it. The work must be done in the bins from first to
// last, the latter excluded.
type job struct {
	first, last  int
	work, credit float64
}

// creditBound returns an upper bound of the credit that the requests can earn.
func creditBound(p Profile, requests []*request) float64 {
	earliest := earliestStarts(p, requests)
	var beforeObjective, beforeDeadline []job
	for i, r := range requests {
		returnDelay := p.CallerDelay
		work := r.serviceTime.Seconds()
		first, end := int(earliest[i]/binLength), earliestFinish(p, earliest[i], r.serviceTime)
		if limit := r.arrivedAt + r.class.Objective - returnDelay; end <= limit {
			beforeObjective = append(beforeObjective, job{first, binCeil(limit), work, r.class.OnTimeCredit - r.class.LateCredit})
		}
		if limit := r.arrivedAt + r.class.Deadline - returnDelay; end <= limit {
			beforeDeadline = append(beforeDeadline, job{first, binCeil(limit), work, r.class.LateCredit})
		}
	}
	capacity := binCapacities(p)
	return maxCredit(capacity, beforeObjective) + maxCredit(capacity, beforeDeadline)
}

// earliestFinish returns the earliest end of a run that can start from a given time on. After a power loss all targets are
// cold, and a run that starts in a cold target stays slow to its end. A run may therefore end earlier if it waits until they
// are warm.
func earliestFinish(p Profile, start, serviceTime time.Duration) time.Duration {
	for _, f := range p.Faults {
		warm := f.At + f.For + p.ColdDuration
		if f.Kind == PowerLoss && start >= f.At+f.For && start < warm {
			return min(start+time.Duration(float64(serviceTime)*p.ColdFactor), warm+serviceTime)
		}
	}
	return start + serviceTime
}

func binCeil(at time.Duration) int { return int((at + binLength - 1) / binLength) }

// binCapacities returns the work that all targets together can do in each bin. Targets that a release replaces count as up.
func binCapacities(p Profile) []float64 {
	bins := binCeil(p.lastDeadline()) + 1
	all := make([]float64, bins)
	slots := float64(p.Targets * p.Slots)
	for i := range all {
		at := time.Duration(i) * binLength
		factor := 1.0
		for _, f := range p.Faults {
			switch {
			case f.Kind == PowerLoss && at+binLength > f.At && at < f.At+f.For:
				factor = 0
				// A bin that begins before the power loss counts in full, which can only raise the bound.
				if at < f.At {
					factor = 1
				}
			case f.Kind == PowerLoss && at >= f.At+f.For && at+binLength < f.At+f.For+p.ColdDuration:
				factor = 1 / p.ColdFactor
			case f.Kind == Slow && at >= f.At && at+binLength < f.At+f.For:
				slowShare := math.Floor(f.Share*float64(p.Targets)) / float64(p.Targets)
				factor = 1 - slowShare + slowShare/max(f.Factor, 1)
			}
		}
		all[i] = slots * factor * binLength.Seconds()
	}
	return all
}

// earliestStarts returns for each request the earliest time at which a target can start it.
func earliestStarts(p Profile, requests []*request) []time.Duration {
	// oneWay is the delay from a caller through a balancer to a target of the same zone. Targets answer callers directly.
	oneWay := p.CallerDelay + min(intraZoneDelay, p.VMDelay)
	handshake := 2*p.CallerDelay + min(intraZoneDelay, p.VMDelay)
	type persistentCaller struct{ class, index int }
	lastArrival := make(map[persistentCaller]time.Duration)
	earliest := make([]time.Duration, len(requests))
	for _, i := range arrivalOrder(requests) {
		r := requests[i]
		// lostAt is the time of the last power loss before the request, or -1 for none.
		start, lostAt := r.arrivedAt, time.Duration(-1)
		for _, f := range p.Faults {
			if r.arrivedAt+p.CallerDelay >= f.At && (f.Kind == PowerLoss || f.Kind == Restart) {
				start = max(start, firstReceivedCopy(r.arrivedAt, f.At+f.For-p.CallerDelay))
			}
			if r.arrivedAt >= f.At && f.Kind == PowerLoss {
				lostAt = max(lostAt, f.At)
			}
		}
		if r.callerIndex < 0 {
			earliest[i] = start + handshake + oneWay
			continue
		}
		k := persistentCaller{r.classIndex, r.callerIndex}
		if last, hasArrival := lastArrival[k]; hasArrival && last < lostAt {
			// The flow was lost with its target: a reset, a retry delay and a handshake come first.
			start += 2*p.CallerDelay + r.retryDelays[1] + handshake
		}
		lastArrival[k] = r.arrivedAt
		earliest[i] = start + oneWay
	}
	return earliest
}

// firstReceivedCopy returns when a caller whose request arrives at the given time sends the first copy of its opening packet
// that a balancer can receive. Balancers receive the packets that are sent from receivedFrom on.
func firstReceivedCopy(arrivedAt, receivedFrom time.Duration) time.Duration {
	for _, age := range admission.OpeningSendTimes {
		if arrivedAt+age >= receivedFrom {
			return arrivedAt + age
		}
	}
	return max(arrivedAt, receivedFrom)
}

// arrivalOrder returns the indexes of the requests in the order of their arrival.
func arrivalOrder(requests []*request) []int {
	order := make([]int, len(requests))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(requests[a].arrivedAt - requests[b].arrivedAt) })
	return order
}

// maxCredit returns the highest credit that jobs can earn when they share the capacity of the bins.
func maxCredit(capacity []float64, jobs []job) float64 {
	tight := tightIntervals(capacity, jobs)
	slices.SortStableFunc(jobs, func(a, b job) int {
		switch x, y := a.credit/a.work, b.credit/b.work; {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	total := 0.0
	for _, j := range jobs {
		if j.credit <= 0 {
			continue
		}
		total += j.credit * tight.allocate(j) / j.work
	}
	return total
}

// interval is a range of bins that ends before the bin last. Its remaining capacity is what the allocated jobs leave.
type interval struct {
	last      int
	remaining float64
}

// intervals holds, by first bin, the intervals in which the jobs demand more work than the slots can do. No other interval can
// limit a job.
type intervals [][]interval

// tightIntervals returns the intervals whose capacity is below the work of the jobs inside them.
func tightIntervals(capacity []float64, jobs []job) intervals {
	bins := len(capacity)
	// demand[a][b] becomes the work of the jobs inside the bins from a to b, the latter excluded.
	demand := make([][]float64, bins+1)
	for i := range demand {
		demand[i] = make([]float64, bins+1)
	}
	for _, j := range jobs {
		demand[min(j.first, bins)][min(j.last, bins)] += j.work
	}
	tight := make(intervals, bins)
	for first := bins - 1; first >= 0; first-- {
		sum, demandFromFirst := 0.0, 0.0
		for last := first + 1; last <= bins; last++ {
			sum += capacity[last-1]
			demandFromFirst += demand[first][last]
			demand[first][last] = demandFromFirst + demand[first+1][last]
			if demand[first][last] > sum {
				tight[first] = append(tight[first], interval{last: last, remaining: sum})
			}
		}
	}
	return tight
}

// allocate allocates as much of a job's work as fits, and returns that amount.
func (t intervals) allocate(j job) float64 {
	amount := j.work
	t.forEachEnclosing(j, func(i *interval) { amount = min(amount, i.remaining) })
	amount = max(amount, 0)
	t.forEachEnclosing(j, func(i *interval) { i.remaining -= amount })
	return amount
}

// forEachEnclosing visits the intervals that contain the window of a job.
func (t intervals) forEachEnclosing(j job, visit func(i *interval)) {
	for first := range min(j.first+1, len(t)) {
		row := t[first]
		for k := len(row) - 1; k >= 0 && row[k].last >= min(j.last, len(t)); k-- {
			visit(&row[k])
		}
	}
}
