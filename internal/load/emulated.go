package load

import (
	"time"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/report"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/certificates"
)

// StreamOf returns a stream of the given class on the first route of that class in an emulated deployment. It sends
// nothing until its rate or burst is set.
func StreamOf(e *emulator.Emulator, c class.Class) Stream {
	for _, r := range e.Deployment.Routes {
		if r.Class == c {
			return NewStream(c, e.Address(r.Port), r.Pool)
		}
	}
	return Stream{Name: c.String(), Class: c}
}

// SteadyLoad returns the profile of SteadyMix for an emulated deployment.
func SteadyLoad(e *emulator.Emulator, seed uint64, length time.Duration) Profile {
	p := SteadyMix(StreamOf(e, class.Feed), StreamOf(e, class.Short), StreamOf(e, class.Long), seed, length)
	p.Name = e.Deployment.Name + " steady"
	p.Authority = e.File(certificates.AuthorityFile)
	return p
}

// PeakLoad returns the profile of PeakMix for an emulated deployment.
func PeakLoad(e *emulator.Emulator, seed uint64, length time.Duration) Profile {
	p := PeakMix(StreamOf(e, class.Feed), StreamOf(e, class.Short), StreamOf(e, class.Long), seed, length)
	p.Name = e.Deployment.Name + " crest"
	p.Authority = e.File(certificates.AuthorityFile)
	return p
}

// AuditTargets reads from the targets which requests they have run. It adds to the report how many requests ran more than
// once, how many ran although their caller got the answer "not run", and the imbalance of each pool. The VMs in excluded
// do not count in the imbalance. Runs of targets that were replaced during the load are missing.
func AuditTargets(e *emulator.Emulator, recorder *report.Recorder, r *report.Report, excluded map[int]bool) error {
	samples := make(map[string]report.Sample)
	for _, s := range recorder.Samples() {
		samples[s.Request] = s
	}
	runs := make(map[string]int)
	for _, pool := range e.Deployment.Pools {
		var work []time.Duration
		for _, host := range e.VMsOf(pool.Name) {
			done, err := addHostRuns(e, host, samples, runs)
			if err != nil {
				return err
			}
			if !excluded[host] {
				work = append(work, done)
			}
		}
		r.Pools = append(r.Pools, report.Pool{Name: pool.Name, BusiestToMean: busiestToMean(work)})
	}
	for id, count := range runs {
		if count > 1 {
			r.DuplicateRuns++
		}
		if samples[id].Outcome == callers.NotRun {
			r.RanThoughNotRun++
		}
	}
	return nil
}

// addHostRuns adds the runs on one VM to allRuns and returns their work, counting each request once. It ignores requests
// without a sample, such as probes.
func addHostRuns(
	e *emulator.Emulator, host int, samples map[string]report.Sample, allRuns map[string]int,
) (time.Duration, error) {
	var work time.Duration
	list, err := e.Runs(host)
	for _, run := range list {
		s, isKnown := samples[run.Request]
		if !isKnown {
			continue
		}
		allRuns[run.Request] += run.Count
		work += s.Work
	}
	return work, err
}

// busiestToMean returns the highest work divided by the mean, or 0 without any work.
func busiestToMean(work []time.Duration) float64 {
	var busiest, total time.Duration
	for _, w := range work {
		busiest = max(busiest, w)
		total += w
	}
	if total == 0 {
		return 0
	}
	return float64(busiest) * float64(len(work)) / float64(total)
}
