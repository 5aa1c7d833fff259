// Package experiment measures goodput, latency and balance of the real programs on loopback: each experiment runs
// scenarios under the production policy and under a baseline, and reports ratios between scenarios of the same run.
package experiment

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/load"
	"gentianswitch/internal/report"
	"gentianswitch/internal/standin/certificates"
)

// Parameters of the load of every scenario. Work is the service time at a target, Bytes the size of a request body, Callers the
// number of callers among which the requests are spread.
const (
	length        = 10 * time.Second
	shortWorkMin  = 40 * time.Millisecond
	shortWorkMax  = 80 * time.Millisecond
	longWorkMin   = 1500 * time.Millisecond
	longWorkMax   = 4500 * time.Millisecond
	shortBytes    = 200
	longBytes     = 16 << 10
	shortDeadline = time.Second
	longDeadline  = 30 * time.Second
	shortCallers  = 210
	longCallers   = 21
)

// Scenario is one deployment under one load.
type Scenario struct {
	Name       string
	Deployment emulator.Deployment
	// Policy is the admission policy of the agents.
	Policy string
	// Short and Long are the offered loads of short requests and uploads, as fractions of the capacity of the pool that
	// serves short requests.
	Short float64
	Long  float64
	// Burst is the number of short requests that start in the first second, in addition to Short.
	Burst int
	// Disturb injects faults into the deployment while the load runs. It may be nil.
	Disturb func(ctx context.Context, e *emulator.Emulator) error
}

// Outcome is the result of a scenario.
type Outcome struct {
	Scenario string         `json:"scenario"`
	Policy   string         `json:"policy"`
	Report   *report.Report `json:"report"`
	// TriesPerRequest is the mean number of runs at targets of the requests that ran.
	TriesPerRequest float64 `json:"tries_per_request"`
}

// run runs a scenario with the programs in the directory bin.
func (s Scenario) run(ctx context.Context, bin string, seed uint64) (*Outcome, error) {
	dir, err := os.MkdirTemp("", "gentian-experiment-")
	if err != nil {
		return nil, eris.Wrap(err, "make directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := s.Deployment
	d.AgentArgs = append(d.AgentArgs, "--policy", s.Policy, "--slow-start", "0s", "--log-level", "warning")
	e, err := emulator.New(d, bin, filepath.Join(dir, "run"), seed)
	if err != nil {
		return nil, err
	}
	defer e.Stop()
	if err := e.Start(); err != nil {
		return nil, err
	}
	return s.measure(ctx, e, seed)
}

func (s Scenario) measure(ctx context.Context, e *emulator.Emulator, seed uint64) (*Outcome, error) {
	running, err := load.Start(ctx, s.profile(e, seed))
	if err != nil {
		return nil, err
	}
	if s.Disturb != nil {
		if err := s.Disturb(ctx, e); err != nil {
			return nil, err
		}
	}
	r := running.Wait()
	if err := load.AuditTargets(e, running.Recorder, r, nil); err != nil {
		return nil, err
	}
	return &Outcome{Scenario: s.Name, Policy: s.Policy, Report: r, TriesPerRequest: triesPerRequest(r)}, nil
}

// capacity returns how many short requests a second the slots of their pool can serve.
func capacity(d emulator.Deployment) float64 {
	pool := d.PoolOf(emulator.PortShort)
	work := (shortWorkMin + shortWorkMax) / 2
	return float64(pool.VMs*pool.Slots) / work.Seconds()
}

func (s Scenario) profile(e *emulator.Emulator, seed uint64) load.Profile {
	short := load.StreamOf(e, class.Short)
	short.Rate = s.Short * capacity(s.Deployment)
	short.WorkMin, short.WorkMax, short.BodyBytes = shortWorkMin, shortWorkMax, shortBytes
	short.Deadline, short.Timeout, short.Callers = shortDeadline, shortDeadline, shortCallers
	short.Burst, short.BurstWindow = s.Burst, time.Second
	p := load.Profile{
		Name: s.Deployment.Name + " " + s.Name + " " + s.Policy, Seed: seed, Length: length,
		Authority: e.File(certificates.AuthorityFile), Streams: []load.Stream{short},
	}
	if s.Long == 0 {
		return p
	}
	long := load.StreamOf(e, class.Long)
	long.Rate = s.Long * capacity(s.Deployment) * float64(shortWorkMin+shortWorkMax) / float64(longWorkMin+longWorkMax)
	long.WorkMin, long.WorkMax, long.BodyBytes = longWorkMin, longWorkMax, longBytes
	long.Deadline, long.Timeout, long.Callers = longDeadline, longDeadline, longCallers
	p.Streams = append(p.Streams, long)
	return p
}

// triesPerRequest returns the mean number of runs of the requests that targets have run. Runs beyond the first are retries. A
// request that ran more than twice counts as two runs, because the report counts only whether a request ran more than once.
func triesPerRequest(r *report.Report) float64 {
	ran := 0
	for _, c := range r.Classes {
		ran += c.Outcomes.Done + c.Outcomes.Unknown
	}
	if ran == 0 {
		return 0
	}
	return 1 + float64(r.DuplicateRuns)/float64(ran)
}

// withOnePool returns a deployment in which short requests and uploads share the pool of the short requests.
func withOnePool(d emulator.Deployment) emulator.Deployment {
	pool := d.PoolOf(emulator.PortShort)
	shared := d
	shared.Name = d.Name + " with one pool"
	shared.Pools = []emulator.Pool{pool}
	shared.Routes = append([]emulator.Route(nil), d.Routes...)
	for i := range shared.Routes {
		shared.Routes[i].Pool = pool.Name
	}
	return shared
}

// Policies are the admission policies that experiments compare: the production policy and the baseline.
var Policies = []string{admit.PolicyFull, admit.PolicyFIFO}
