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
	probeInterval  = 20 * time.Millisecond
	probePatience  = 2 * time.Second
)

func (d *demo) restartBalancers(context.Context) error {
	for i, b := range d.emulator.Balancers {
		d.announce(fmt.Sprintf("restart balancer %d", i))
		if err := b.Restart(stopLimit); err != nil {
			return err
		}
		if err := d.emulator.AwaitBalancer(b); err != nil {
			return err
		}
	}
	return nil
}

// drainTargets asks two agents of the first pool to end, and counts after the bound what their targets have run.
func (d *demo) drainTargets(ctx context.Context) error {
	hosts := d.emulator.HostsOf(d.emulator.Deployment.Pools[0].Name)[:drainedTargets]
	d.announce(fmt.Sprintf("drain %d targets", drainedTargets))
	for _, host := range hosts {
		if err := d.emulator.Agents[host].Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	if err := sleep(ctx, maxLeavingS*time.Second); err != nil {
		return err
	}
	for _, host := range hosts {
		runs, err := d.countRuns(host)
		if err != nil {
			return err
		}
		d.leaving[host] = runs
	}
	return nil
}

// countLateWork counts what the leaving targets have run since drainTargets.
func (d *demo) countLateWork(context.Context) error {
	for host, before := range d.leaving {
		now, err := d.countRuns(host)
		if err != nil {
			return err
		}
		d.late += now - before
	}
	return nil
}

func (d *demo) countRuns(host int) (int, error) {
	list, err := d.emulator.Runs(host)
	total := 0
	for _, run := range list {
		total += run.Count
	}
	return total, err
}

// applyChange adds a route and measures when it is in force on every balancer and when a caller is served on it.
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
	d.announce("apply a route")
	began := time.Now()
	if err := d.emulator.Apply(changed); err != nil {
		return err
	}
	for _, b := range d.emulator.Balancers {
		if err := d.emulator.AwaitRevision(b, before.Revision+1); err != nil {
			return err
		}
	}
	d.measure("change in force on every balancer after", began)
	if err := d.awaitService(ctx, added); err != nil {
		return err
	}
	d.measure("caller served on the new route after", began)
	return nil
}

func (d *demo) measure(name string, since time.Time) {
	d.changes = append(d.changes, report.Measurement{Name: name, Seconds: time.Since(since).Seconds()})
}

// awaitService sends requests to a route until one is answered whole.
func (d *demo) awaitService(ctx context.Context, route emulator.Route) error {
	for attempt := range int(maxInForceS * time.Second / probeInterval) {
		if d.isServed(ctx, route, attempt) {
			return nil
		}
		if err := sleep(ctx, probeInterval); err != nil {
			return err
		}
	}
	return eris.Errorf("route %s: no caller was served", route.Name)
}

func (d *demo) isServed(ctx context.Context, route emulator.Route, attempt int) bool {
	s := load.StreamOf(d.emulator, route.Class)
	caller, err := d.load.NewCaller(s)
	if err != nil {
		return false
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(ctx, probePatience)
	defer cancel()
	result := caller.Do(ctx, callers.Request{
		ID: fmt.Sprintf("probe-%d", attempt), Class: route.Class, Address: d.emulator.Address(route.Port),
	})
	return result.Outcome == callers.Done
}

// killBalancer ends a balancer without warning and replaces it a while later.
func (d *demo) killBalancer(ctx context.Context) error {
	last := d.emulator.Balancers[len(d.emulator.Balancers)-1]
	d.announce("kill a balancer")
	if err := last.Kill(); err != nil {
		return err
	}
	if err := sleep(ctx, deadTime); err != nil {
		return err
	}
	d.announce("replace it")
	if err := last.Start(); err != nil {
		return err
	}
	return d.emulator.AwaitBalancer(last)
}
