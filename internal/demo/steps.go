package demo

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/load"
	"gentianswitch/internal/report"
	"gentianswitch/internal/standin/callers"
)

const (
	drainedTargets = 2
	// probeInterval is the pause between two probes of the new route, probeTimeout the wait limit of one.
	probeInterval = 20 * time.Millisecond
	probeTimeout  = 2 * time.Second
)

func (d *demo) restartBalancers(context.Context) error {
	for i, b := range d.emulator.Balancers {
		d.markStep(fmt.Sprintf("restart balancer %d", i))
		if err := b.Restart(stopLimit); err != nil {
			return err
		}
		if err := d.emulator.AwaitBalancer(b); err != nil {
			return err
		}
	}
	return nil
}

// drainTargets asks two agents of the first pool to shut down, and counts the runs of their targets once they must no longer get
// new requests.
func (d *demo) drainTargets(ctx context.Context) error {
	hosts := d.emulator.VMsOf(d.emulator.Deployment.Pools[0].Name)[:drainedTargets]
	d.markStep(fmt.Sprintf("drain %d targets", drainedTargets))
	for _, host := range hosts {
		if err := d.emulator.Agents[host].Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	if err := sleep(ctx, maxDrainS*time.Second); err != nil {
		return err
	}
	for _, host := range hosts {
		runs, err := d.countRuns(host)
		if err != nil {
			return err
		}
		d.runsAfterDrain[host] = runs
	}
	return nil
}

// countLateRuns counts the requests that the drained targets have run since drainTargets ended.
func (d *demo) countLateRuns(context.Context) error {
	for host, before := range d.runsAfterDrain {
		now, err := d.countRuns(host)
		if err != nil {
			return err
		}
		d.lateRuns += now - before
	}
	return nil
}

// countRuns returns the number of runs of the target on a VM, retries included.
func (d *demo) countRuns(host int) (int, error) {
	list, err := d.emulator.Runs(host)
	total := 0
	for _, run := range list {
		total += run.Count
	}
	return total, err
}

// applyChange adds a route and measures the time until it is in force on every balancer and until a caller is served on it.
func (d *demo) applyChange(ctx context.Context) error {
	changed := d.emulator.Deployment
	added := emulator.Route{
		Name: "announcements", Port: emulator.PortSpare, Pool: changed.Pools[0].Name, Class: class.Short,
	}
	changed.Routes = append(append([]emulator.Route(nil), changed.Routes...), added)
	before, err := d.emulator.Status(d.emulator.Balancers[0])
	if err != nil {
		return err
	}
	d.markStep("apply a route")
	startedAt := time.Now()
	if err := d.emulator.Apply(changed); err != nil {
		return err
	}
	for _, b := range d.emulator.Balancers {
		if err := d.emulator.AwaitRevision(b, before.Revision+1); err != nil {
			return err
		}
	}
	d.recordMeasurement("change in force on every balancer after", startedAt)
	if err := d.awaitService(ctx, added); err != nil {
		return err
	}
	d.recordMeasurement("caller served on the new route after", startedAt)
	return nil
}

func (d *demo) recordMeasurement(name string, since time.Time) {
	d.changes = append(d.changes, report.Measurement{Name: name, Seconds: time.Since(since).Seconds()})
}

// awaitService sends requests to a route until one is answered.
func (d *demo) awaitService(ctx context.Context, route emulator.Route) error {
	for number := range int(maxInForceS * time.Second / probeInterval) {
		if d.isServed(ctx, route, number) {
			return nil
		}
		if err := sleep(ctx, probeInterval); err != nil {
			return err
		}
	}
	return eris.Errorf("route %s: no caller was served", route.Name)
}

// isServed sends one probe to a route and reports whether it was answered by the expected service.
func (d *demo) isServed(ctx context.Context, route emulator.Route, number int) bool {
	s := load.StreamOf(d.emulator, route.Class)
	caller, err := d.load.NewCaller(s)
	if err != nil {
		return false
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := caller.Do(ctx, callers.Request{
		ID: fmt.Sprintf("probe-%d", number), Class: route.Class, Address: d.emulator.Address(route.Port),
	})
	return result.Outcome == callers.Done
}

// killBalancer kills a balancer and starts it again after downtime.
func (d *demo) killBalancer(ctx context.Context) error {
	last := d.emulator.Balancers[len(d.emulator.Balancers)-1]
	d.markStep("kill a balancer")
	if err := last.Kill(); err != nil {
		return err
	}
	if err := sleep(ctx, downtime); err != nil {
		return err
	}
	d.markStep("replace it")
	if err := last.Start(); err != nil {
		return err
	}
	return d.emulator.AwaitBalancer(last)
}
