// Package demo runs one deployment under load through the changes of an ordinary day and a failure, and reports what
// callers saw of it.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/emulator"
	"gentianswitch/internal/load"
	"gentianswitch/internal/report"
)

// Bounds of the run, in seconds.
const (
	maxInForceS    = 4
	maxLeavingS    = 3
	loadLength     = 32 * time.Second
	stopLimit      = 10 * time.Second
	settleTime     = 2 * time.Second
	deadTime       = 4 * time.Second
	statusInterval = 2 * time.Second
)

// Settings are the settings of a run.
type Settings struct {
	Deployment emulator.Deployment
	// Bin is the directory of the programs, Dir the one for certificates, tables and logs.
	Bin string
	Dir string
	// Seed makes the load and the fabric repeatable.
	Seed uint64
}

// demo is a run in progress.
type demo struct {
	emulator *emulator.Emulator
	load     *load.Running
	out      io.Writer
	// leaving maps the VMs whose targets were drained to what they had run when no new work was due any more.
	leaving map[int]int
	late    int
	changes []report.Measurement
}

// Run runs the demo, writes its progress to out and returns the report.
func Run(ctx context.Context, s Settings, out io.Writer) (*report.Report, error) {
	e, err := emulator.New(s.Deployment, s.Bin, s.Dir, s.Seed)
	if err != nil {
		return nil, err
	}
	defer e.Stop()
	_, _ = fmt.Fprintf(out, "starting %d processes of the deployment %s\n", len(e.All()), s.Deployment.Name)
	if err := e.Start(); err != nil {
		return nil, err
	}
	d := &demo{emulator: e, out: out, leaving: make(map[int]int)}
	d.load, err = load.Start(ctx, load.SteadyLoad(e, s.Seed, loadLength))
	if err != nil {
		return nil, err
	}
	watched, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go d.showProgress(watched)
	if err := d.runSteps(ctx); err != nil {
		return nil, err
	}
	r := d.load.Wait()
	stopWatching()
	return r, d.complete(r)
}

func (d *demo) runSteps(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.restartBalancers, d.drainTargets, d.applyChange, d.killBalancer, d.countLateWork,
	}
	for _, step := range steps {
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// complete adds to the report what the targets and the agents know, and the bounds.
func (d *demo) complete(r *report.Report) error {
	except := make(map[int]bool)
	for host := range d.leaving {
		except[host] = true
	}
	if err := load.AuditTargets(d.emulator, d.load.Recorder, r, except); err != nil {
		return err
	}
	running := 0
	for host := range d.leaving {
		if d.emulator.Agents[host].Wait(stopLimit) != nil {
			running++
		}
	}
	r.Changes = d.changes
	r.RequireAtMost("feeds broken", float64(r.FlowsBroken), 0)
	r.RequireAtMost("feeds that did not open", float64(d.unopened(r)), 0)
	r.RequireAtMost("wrong answers", float64(r.Wrong), 0)
	r.RequireAtMost("cut answers", float64(r.Cut), 0)
	r.RequireAtMost("duplicate runs", float64(r.DuplicateRuns), 0)
	r.RequireAtMost("told not run, but ran", float64(r.RanThoughNotRun), 0)
	for _, m := range d.changes {
		r.RequireAtMost(m.Name+" (s)", m.Seconds, maxInForceS)
	}
	r.RequireAtMost(fmt.Sprintf("requests run by leaving targets after %d s", maxLeavingS), float64(d.late), 0)
	r.RequireAtMost("drained agents that did not end by themselves", float64(running), 0)
	return nil
}

func (d *demo) unopened(r *report.Report) int {
	for _, c := range r.Classes {
		if c.Class == "feed" {
			return c.Sent - r.FlowsOpened
		}
	}
	return 0
}

func (d *demo) announce(step string) {
	d.load.RecordStep(step)
	_, _ = fmt.Fprintf(d.out, "%5.1f s  %s\n", d.load.Elapsed().Seconds(), step)
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "demo interrupted")
	case <-time.After(duration):
		return nil
	}
}
