package experiment

import (
	"context"
	"syscall"
	"time"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
)

// answeredCount returns the number of complete answers to requests of a class.
func answeredCount(o *Outcome, c class.Class) float64 {
	return float64(o.Report.ClassOf(c).Outcomes.Done)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (r *runner) overload(d emulator.Deployment) error {
	at := Scenario{Name: "at capacity", Deployment: d, Short: 1}
	over := Scenario{Name: "at 3 times capacity", Deployment: d, Short: overloadFactor}
	return r.runPair(at, over, func(policy string, a, b *Outcome) {
		r.appendFigure(policy, "goodput at 3 times capacity / at capacity",
			ratio(answeredCount(b, class.Short), answeredCount(a, class.Short)), minGoodputRatio, true)
		r.appendFigure(policy, "tries for each request at 3 times capacity", b.TriesPerRequest, maxTriesPerRequest, false)
	})
}

func (r *runner) headOfLine(d emulator.Deployment) error {
	shared := withOnePool(d)
	alone := Scenario{Name: "short alone", Deployment: shared, Short: 0.4}
	beside := Scenario{Name: "short beside long", Deployment: shared, Short: 0.4, Long: 0.4}
	return r.runPair(alone, beside, func(policy string, a, b *Outcome) {
		r.appendFigure(policy, "p99 of short beside long / alone",
			ratio(b.Report.ClassOf(class.Short).Answered.P99MS, a.Report.ClassOf(class.Short).Answered.P99MS),
			maxHeadOfLineRatio, false)
		r.appendFigure(policy, "share of short answered beside long",
			ratio(answeredCount(b, class.Short), float64(b.Report.ClassOf(class.Short).Sent)), 0, true)
		r.appendFigure(policy, "share of long answered",
			ratio(answeredCount(b, class.Long), float64(b.Report.ClassOf(class.Long).Sent)), 0, true)
	})
}

func (r *runner) imbalance(d emulator.Deployment) error {
	return r.runEach(Scenario{Name: "at 0.7 of capacity", Deployment: d, Short: 0.7}, func(policy string, o *Outcome) {
		r.appendFigure(policy, "busiest host / mean", busiestToMean(o, d), maxImbalance, false)
		r.appendFigure(policy, "p99 in ms", o.Report.ClassOf(class.Short).Answered.P99MS, 0, false)
	})
}

// busiestToMean returns the work of the busiest VM of the short requests' pool divided by the mean of its VMs.
func busiestToMean(o *Outcome, d emulator.Deployment) float64 {
	name := d.PoolOf(emulator.PortShort).Name
	for _, p := range o.Report.Pools {
		if p.Name == name {
			return p.BusiestToMean
		}
	}
	return 0
}

// burstSize returns the number of short requests in the burst of a load peak: as many as the slots of their pool serve in 2 s.
func burstSize(d emulator.Deployment) int {
	const secondsOfCapacity = 2
	return int(secondsOfCapacity * capacity(d))
}

func (r *runner) peakLoad(d emulator.Deployment) error {
	return r.runEach(Scenario{Name: "crest", Deployment: d, Short: 0.5, Burst: burstSize(d)}, r.appendPeakFigures)
}

func (r *runner) appendPeakFigures(policy string, o *Outcome) {
	short := o.Report.ClassOf(class.Short)
	r.appendFigure(policy, "short answered of the first 5 s", float64(short.AnsweredInFirst5S), 0, true)
	r.appendFigure(policy, "short answered of all", ratio(answeredCount(o, class.Short), float64(short.Sent)), 0, true)
	r.appendFigure(policy, "told not run, but ran", float64(o.Report.RanThoughNotRun), 0, false)
	r.appendFigure(policy, "unknown", float64(short.Outcomes.Unknown), 0, false)
}

// Delays of the disturbances: drainDelay counts from the start of the load, killDelay from the drain.
const (
	drainDelay = 500 * time.Millisecond
	killDelay  = 500 * time.Millisecond
)

func (r *runner) disturbed(d emulator.Deployment) error {
	s := Scenario{Name: "disturbed crest", Deployment: d, Short: 0.5, Burst: burstSize(d), Disturb: disturbDeployment}
	return r.runEach(s, r.appendPeakFigures)
}

// disturbDeployment makes one VM three times slower, drains a target and kills a balancer.
func disturbDeployment(_ context.Context, e *emulator.Emulator) error {
	if err := emulator.SetFaults(e.TargetURL(0)+"/faults", `{"slowdown": 3}`); err != nil {
		return err
	}
	time.Sleep(drainDelay)
	if err := e.Agents[1].Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(killDelay)
	return e.Balancers[0].Kill()
}
