package experiment

import (
	"context"
	"fmt"
	"io"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
)

// The load of the overload experiment, and the bounds of the figures.
const (
	// overloadFactor is the offered load as a multiple of the capacity.
	overloadFactor = 3
	// minGoodputRatio bounds the goodput of that load divided by the goodput at capacity.
	minGoodputRatio = 0.95
	// maxHeadOfLineRatio bounds the p99 latency of short requests beside uploads divided by that without uploads.
	maxHeadOfLineRatio = 1.5
	// maxImbalance bounds the work of the busiest VM divided by the mean.
	maxImbalance = 1.1
	// maxTriesPerRequest bounds Outcome.TriesPerRequest in the overload.
	maxTriesPerRequest = 1.1
)

// Figure is one measured value or ratio of an experiment.
type Figure struct {
	Experiment string  `json:"experiment"`
	Name       string  `json:"name"`
	Policy     string  `json:"policy"`
	Value      float64 `json:"value"`
	// Limit is the bound of the value, or zero for none: a lower bound when IsFloor is set, else an upper bound.
	Limit   float64 `json:"limit,omitempty"`
	IsFloor bool    `json:"is_floor,omitempty"`
}

// IsMet reports whether the figure is within its bound.
func (f Figure) IsMet() bool {
	switch {
	case f.Limit == 0:
		return true
	case f.IsFloor:
		return f.Value >= f.Limit
	default:
		return f.Value <= f.Limit
	}
}

// Result holds the figures of an experiment and the outcomes of its scenarios.
type Result struct {
	Figures  []Figure   `json:"figures"`
	Outcomes []*Outcome `json:"outcomes"`
}

// Experiment measures one property of a deployment under load.
type Experiment struct {
	Name string
	// Description says what is measured. It is printed with the figures.
	Description string
	run         func(r *runner, d emulator.Deployment) error
}

// All returns every experiment.
func All() []Experiment {
	return []Experiment{
		{"overload", "goodput of short requests at 3 times capacity, relative to that at capacity", (*runner).overload},
		{"head-of-line", "p99 of short requests with uploads in the same pool, relative to that without them", (*runner).headOfLine},
		{"imbalance", "work of the busiest host relative to the mean, at 0.7 of capacity", (*runner).imbalance},
		{"crest", "complete answers to requests of the first 5 s, when every caller arrives in one second", (*runner).peakLoad},
		{"disturbed", "the load peak with a slow host, a drained target and a killed balancer", (*runner).disturbed},
	}
}

// Settings are the settings that all experiments of a run share.
type Settings struct {
	Deployment emulator.Deployment
	// Bin is the directory of the programs.
	Bin      string
	Seed     uint64
	Policies []string
	// Out receives the progress.
	Out io.Writer
}

// Run runs an experiment.
func (x Experiment) Run(ctx context.Context, s Settings) (*Result, error) {
	r := &runner{
		ctx: ctx, name: x.Name, bin: s.Bin, seed: s.Seed, out: s.Out, policies: s.Policies, result: &Result{},
	}
	err := x.run(r, s.Deployment)
	return r.result, err
}

// runner runs the scenarios of one experiment one after the other.
type runner struct {
	ctx    context.Context
	name   string
	bin    string
	seed   uint64
	out    io.Writer
	result *Result
	// policies are the admission policies to compare.
	policies []string
}

func (r *runner) runScenario(s Scenario) (*Outcome, error) {
	o, err := s.run(r.ctx, r.bin, r.seed)
	if err != nil {
		return nil, err
	}
	r.result.Outcomes = append(r.result.Outcomes, o)
	short := o.Report.ClassOf(class.Short)
	_, _ = fmt.Fprintf(r.out, "  %-28s %-5s short: sent %d, done %d, not run %d, unknown %d, unreachable %d, p50 %.0f ms, p99 %.0f ms\n",
		s.Name, s.Policy, short.Sent, short.Outcomes.Done, short.Outcomes.NotRun, short.Outcomes.Unknown,
		short.Outcomes.Unreachable, short.Answered.P50MS, short.Answered.P99MS)
	return o, nil
}

func (r *runner) appendFigure(policy, name string, value, limit float64, isFloor bool) {
	r.result.Figures = append(r.result.Figures, Figure{
		Experiment: r.name, Name: name, Policy: policy, Value: value, Limit: limit, IsFloor: isFloor,
	})
}

// runPair runs two scenarios under each policy and passes the outcomes to compare.
func (r *runner) runPair(first, second Scenario, compare func(policy string, a, b *Outcome)) error {
	for _, policy := range r.policies {
		first.Policy, second.Policy = policy, policy
		a, err := r.runScenario(first)
		if err != nil {
			return err
		}
		b, err := r.runScenario(second)
		if err != nil {
			return err
		}
		compare(policy, a, b)
	}
	return nil
}

// runEach runs a scenario under each policy and passes the outcome to evaluate.
func (r *runner) runEach(s Scenario, evaluate func(policy string, o *Outcome)) error {
	for _, policy := range r.policies {
		s.Policy = policy
		o, err := r.runScenario(s)
		if err != nil {
			return err
		}
		evaluate(policy, o)
	}
	return nil
}
