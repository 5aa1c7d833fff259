package experiment

import (
	"context"
	"syscall"
	"time"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
)

func done(o *Outcome, c class.Class) float64 {
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
	return r.pair(at, over, func(policy string, a, b *Outcome) {
		r.figure(policy, "goodput at 3 times capacity / at capacity",
			ratio(done(b, class.Short), done(a, class.Short)), minGoodputRatio, true)
		r.figure(policy, "tries for each request at 3 times capacity", b.TriesPerRequest, maxTries, false)
	})
}

func (r *runner) headOfLine(d emulator.Deployment) error {
	shared := onePool(d)
	alone := Scenario{Name: "short alone", Deployment: shared, Short: 0.4}
	beside := Scenario{Name: "short beside long", Deployment: shared, Short: 0.4, Long: 0.4}
	return r.pair(alone, beside, func(policy string, a, b *Outcome) {
		r.figure(policy, "p99 of short beside long / alone",
			ratio(b.Report.ClassOf(class.Short).Answered.P99MS, a.Report.ClassOf(class.Short).Answered.P99MS),
			maxHeadOfLineRatio, false)
		r.figure(policy, "share of short answered beside long",
			ratio(done(b, class.Short), float64(b.Report.ClassOf(class.Short).Sent)), 0, true)
		r.figure(policy, "share of long answered",
			ratio(done(b, class.Long), float64(b.Report.ClassOf(class.Long).Sent)), 0, true)
	})
}

func (r *runner) imbalance(d emulator.Deployment) error {
	return r.each(Scenario{Name: "at 0.7 of capacity", Deployment: d, Short: 0.7}, func(policy string, o *Outcome) {
		r.figure(policy, "busiest host / mean", busiest(o, d), maxImbalance, false)
		r.figure(policy, "p99 in ms", o.Report.ClassOf(class.Short).Answered.P99MS, 0, false)
	})
}

func busiest(o *Outcome, d emulator.Deployment) float64 {
	name := d.PoolOf(emulator.PortShort).Name
	for _, p := range o.Report.Pools {
		if p.Name == name {
			return p.BusiestToMean
		}
	}
	return 0
}

// burst is the number of short requests of a crest: what the slots serve in 2 s.
func burst(d emulator.Deployment) int {
	const secondsOfCapacity = 2
	return int(secondsOfCapacity * capacity(d))
}

func (r *runner) crest(d emulator.Deployment) error {
	return r.each(Scenario{Name: "crest", Deployment: d, Short: 0.5, Burst: burst(d)}, r.judgeCrest)
}

func (r *runner) judgeCrest(policy string, o *Outcome) {
	short := o.Report.ClassOf(class.Short)
	r.figure(policy, "short answered of the first 5 s", float64(short.AnsweredInFirst5S), 0, true)
	r.figure(policy, "short answered of all", ratio(done(o, class.Short), float64(short.Sent)), 0, true)
	r.figure(policy, "told not run, but ran", float64(o.Report.RanThoughNotRun), 0, false)
	r.figure(policy, "unknown", float64(short.Outcomes.Unknown), 0, false)
}

// Times of the disturbances, after the load has begun.
const (
	drainAt = 500 * time.Millisecond
	killAt  = 500 * time.Millisecond
)

func (r *runner) disturbed(d emulator.Deployment) error {
	s := Scenario{Name: "disturbed crest", Deployment: d, Short: 0.5, Burst: burst(d), Disturb: disturb}
	return r.each(s, r.judgeCrest)
}

// disturb slows one host by three times, drains a target and kills a balancer without warning.
func disturb(_ context.Context, e *emulator.Emulator) error {
	if err := emulator.SetFaults(e.TargetURL(0)+"/faults", `{"slowdown": 3}`); err != nil {
		return err
	}
	time.Sleep(drainAt)
	if err := e.Agents[1].Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(killAt)
	return e.Balancers[0].Kill()
}
