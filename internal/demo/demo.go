// Package demo runs one deployment under load through restarts, a drain, a configuration change and a crash, and reports
// how they affected callers.
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

// Bounds and times of the run.
const (
	// maxInForceS bounds the time in seconds until a configuration change is in force everywhere and a caller is served by it.
	maxInForceS = 4
	// maxDrainS is the time in seconds after which a drained target must get no new request.
	maxDrainS  = 3
	loadLength = 32 * time.Second
	// stopLimit bounds the time that a process takes to shut down.
	stopLimit = 10 * time.Second
	// stepPause is the time before each step.
	stepPause = 2 * time.Second
	// downtime is the time from the kill of a balancer to its next start.
	downtime = 4 * time.Second
	// statusInterval is the time between two lines of progress.
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
	// runsAfterDrain maps the VMs of drained targets to the number of runs of the target once maxDrainS has passed. lateRuns is
	// the number of runs after that.
	runsAfterDrain map[int]int
	lateRuns       int
	changes        []report.Measurement
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
	d := &demo{emulator: e, out: out, runsAfterDrain: make(map[int]int)}
	d.load, err = load.Start(ctx, load.SteadyLoad(e, s.Seed, loadLength))
	if err != nil {
		return nil, err
	}
	progressCtx, stopProgress := context.WithCancel(ctx)
	defer stopProgress()
	go d.showProgress(progressCtx)
	if err := d.runSteps(ctx); err != nil {
		return nil, err
	}
	r := d.load.Wait()
	stopProgress()
	return r, d.completeReport(r)
}

func (d *demo) runSteps(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.restartBalancers, d.drainTargets, d.applyChange, d.killBalancer, d.countLateRuns,
	}
	for _, step := range steps {
		if err := sleep(ctx, stepPause); err != nil {
			return err
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// completeReport adds to the report what the targets have run, the measurements and the bounds. Drained VMs do not count in
// the imbalance.
func (d *demo) completeReport(r *report.Report) error {
	excluded := make(map[int]bool)
	for host := range d.runsAfterDrain {
		excluded[host] = true
	}
	if err := load.AuditTargets(d.emulator, d.load.Recorder, r, excluded); err != nil {
		return err
	}
	stillRunning := 0
	for host := range d.runsAfterDrain {
		if d.emulator.Agents[host].Wait(stopLimit) != nil {
			stillRunning++
		}
	}
	r.Changes = d.changes
	r.RequireAtMost("feeds broken", float64(r.FlowsBroken), 0)
	r.RequireAtMost("feeds that did not open", float64(d.unopenedFeeds(r)), 0)
	r.RequireAtMost("wrong answers", float64(r.Wrong), 0)
	r.RequireAtMost("cut answers", float64(r.Cut), 0)
	r.RequireAtMost("duplicate runs", float64(r.DuplicateRuns), 0)
	r.RequireAtMost("told not run, but ran", float64(r.RanThoughNotRun), 0)
	for _, m := range d.changes {
		r.RequireAtMost(m.Name+" (s)", m.Seconds, maxInForceS)
	}
	r.RequireAtMost(fmt.Sprintf("requests run by leaving targets after %d s", maxDrainS), float64(d.lateRuns), 0)
	r.RequireAtMost("drained agents that did not end by themselves", float64(stillRunning), 0)
	return nil
}

// unopenedFeeds returns the number of feeds that received no event.
func (d *demo) unopenedFeeds(r *report.Report) int {
	for _, c := range r.Classes {
		if c.Class == "feed" {
			return c.Sent - r.FlowsOpened
		}
	}
	return 0
}

// markStep records a step in the report and prints it.
func (d *demo) markStep(step string) {
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
