package crest

import (
	"math"
	"slices"
	"time"

	"gentianswitch/internal/opaque/admission"
)

// The bound is the credit that no order of service can pass, also one that knows all arrivals in advance. It is proven by
// relaxation. Each answer earns late credit, and the rest of its worth when it is in time; the two sums are bounded one by one:
//   - A run may be split, moved and done by all slots at once, but only between the earliest moment at which the packets of its
//     caller can bring it to a target and its objective (or deadline), and slots do no more work than they can.
//   - A part of a run earns its part of the credit, unless the whole run, begun at that moment, would come too late.
//
// For work in time windows, what slots can do is a polymatroid, so that taking the requests by credit for each unit of work,
// each as far as possible, is the best (Edmonds, "Submodular functions, matroids, and certain polyhedra", 1970). How far it is
// possible follows from all intervals that contain the window.

// binLength is the unit of time of the bound. Windows are widened to whole bins, which keeps it a bound.
const binLength = 20 * time.Millisecond

// job is work in a window of bins, the last one excluded.
type job struct {
	first, last  int
	work, credit float64
}

// bound returns the bound of the credit of the requests.
func bound(p Profile, requests []*request) float64 {
	earliest := earliestStarts(p, requests)
	var inTime, atAll []job
	for i, r := range requests {
		back := p.CallerDelay
		work := r.work.Seconds()
		first, end := int(earliest[i]/binLength), shortestRun(p, earliest[i], r.work)
		if limit := r.born + r.class.Objective - back; end <= limit {
			inTime = append(inTime, job{first, binAfter(limit), work, r.class.Worth - r.class.Late})
		}
		if limit := r.born + r.class.Deadline - back; end <= limit {
			atAll = append(atAll, job{first, binAfter(limit), work, r.class.Late})
		}
	}
	capacity := capacities(p)
	return mostCredit(capacity, inTime) + mostCredit(capacity, atAll)
}

// shortestRun returns the earliest end of a run that begins at a moment. After a loss of power all targets are cold, and a run
// that begins cold stays so.
func shortestRun(p Profile, begin, work time.Duration) time.Duration {
	for _, f := range p.Faults {
		warm := f.At + f.For + p.ColdFor
		if f.Kind == PowerLoss && begin >= f.At+f.For && begin < warm {
			return min(begin+time.Duration(float64(work)*p.ColdFactor), warm+work)
		}
	}
	return begin + work
}

func binAfter(at time.Duration) int { return int((at + binLength - 1) / binLength) }

// capacities returns the work that all targets together can do in each bin. Targets that a release replaces count as up.
func capacities(p Profile) []float64 {
	bins := binAfter(p.end()) + 1
	all := make([]float64, bins)
	slots := float64(p.Targets * p.Slots)
	for i := range all {
		at := time.Duration(i) * binLength
		factor := 1.0
		for _, f := range p.Faults {
			switch {
			case f.Kind == PowerLoss && at+binLength > f.At && at < f.At+f.For:
				factor = 0
				if at < f.At {
					factor = 1
				}
			case f.Kind == PowerLoss && at >= f.At+f.For && at+binLength < f.At+f.For+p.ColdFor:
				factor = 1 / p.ColdFactor
			case f.Kind == Slow && at >= f.At && at+binLength < f.At+f.For:
				some := math.Floor(f.Share*float64(p.Targets)) / float64(p.Targets)
				factor = 1 - some + some/max(f.Factor, 1)
			}
		}
		all[i] = slots * factor * binLength.Seconds()
	}
	return all
}

// earliestStarts returns for each request the earliest moment at which a target can start it.
func earliestStarts(p Profile, requests []*request) []time.Duration {
	there := p.CallerDelay + min(nearDelay, p.NodeDelay)
	handshake := 2*p.CallerDelay + min(nearDelay, p.NodeDelay)
	type user struct{ class, user int }
	lastAsked := make(map[user]time.Duration)
	earliest := make([]time.Duration, len(requests))
	for _, i := range byBirth(requests) {
		r := requests[i]
		start, lostAt := r.born, time.Duration(-1)
		for _, f := range p.Faults {
			if r.born+p.CallerDelay >= f.At && (f.Kind == PowerLoss || f.Kind == Restart) {
				start = max(start, firstCopy(r.born, f.At+f.For-p.CallerDelay))
			}
			if r.born >= f.At && f.Kind == PowerLoss {
				lostAt = max(lostAt, f.At)
			}
		}
		if r.user < 0 {
			earliest[i] = start + handshake + there
			continue
		}
		k := user{r.index, r.user}
		if last, hasAsked := lastAsked[k]; hasAsked && last < lostAt {
			// The flow has ended with its target: a reset, a pause and a handshake come first.
			start += 2*p.CallerDelay + r.pauses[1] + handshake
		}
		lastAsked[k] = r.born
		earliest[i] = start + there
	}
	return earliest
}

// firstCopy returns when a caller that asks at a moment sends the first copy that somebody can hear.
func firstCopy(born, heardFrom time.Duration) time.Duration {
	for _, age := range admission.OpeningSendTimes {
		if born+age >= heardFrom {
			return born + age
		}
	}
	return max(born, heardFrom)
}

func byBirth(requests []*request) []int {
	order := make([]int, len(requests))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(requests[a].born - requests[b].born) })
	return order
}

// mostCredit returns the most credit of jobs that share the capacity of the bins.
func mostCredit(capacity []float64, jobs []job) float64 {
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
		total += j.credit * tight.take(j) / j.work
	}
	return total
}

// interval ends before the bin last, the capacity left is what the work inside it leaves.
type interval struct {
	last int
	left float64
}

// intervals holds, by their first bins, those intervals in which the jobs want more work than the slots can do. No other one can
// limit a job.
type intervals [][]interval

func tightIntervals(capacity []float64, jobs []job) intervals {
	bins := len(capacity)
	// wanted[a][b] becomes the work of the jobs inside the bins from a to b.
	wanted := make([][]float64, bins+1)
	for i := range wanted {
		wanted[i] = make([]float64, bins+1)
	}
	for _, j := range jobs {
		wanted[min(j.first, bins)][min(j.last, bins)] += j.work
	}
	tight := make(intervals, bins)
	for first := bins - 1; first >= 0; first-- {
		sum, own := 0.0, 0.0
		for last := first + 1; last <= bins; last++ {
			sum += capacity[last-1]
			own += wanted[first][last]
			wanted[first][last] = own + wanted[first+1][last]
			if wanted[first][last] > sum {
				tight[first] = append(tight[first], interval{last: last, left: sum})
			}
		}
	}
	return tight
}

// take takes as much of a job as fits, and returns how much that is.
func (t intervals) take(j job) float64 {
	amount := j.work
	t.around(j, func(i *interval) { amount = min(amount, i.left) })
	amount = max(amount, 0)
	t.around(j, func(i *interval) { i.left -= amount })
	return amount
}

// around visits the intervals that contain the window of a job.
func (t intervals) around(j job, visit func(i *interval)) {
	for first := range min(j.first+1, len(t)) {
		row := t[first]
		for k := len(row) - 1; k >= 0 && row[k].last >= min(j.last, len(t)); k-- {
			visit(&row[k])
		}
	}
}
