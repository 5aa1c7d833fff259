package operator

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/revision"
)

func options(change string) ApplyOptions {
	return ApplyOptions{File: "tables.yaml", ChangeID: change, Author: "ana", IsWaiting: true, Timeout: testTimeout}
}

// withBalancers returns an operator over balancers that share its credentials.
func withBalancers(t *testing.T, balancers ...*fakeBalancer) *Operator {
	o := newOperator(t)
	for _, b := range balancers {
		b.state = revision.NewState()
		o.balancers = append(o.balancers, serve(t, o.credentials, b.answer))
	}
	return o
}

func TestApplyBringsBalancersUpToDate(t *testing.T) {
	ahead, behind := &fakeBalancer{}, &fakeBalancer{}
	o := withBalancers(t, ahead, behind)
	o.balancers = o.balancers[:1]
	if report, code := o.Apply(t.Context(), parsed(t, firstTables), options("first")); code != ExitDone {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	other := serve(t, o.credentials, behind.answer)
	o.balancers = append(o.balancers, other)
	report, code := o.Apply(t.Context(), parsed(t, secondTables), options("second"))
	if code != ExitDone || report.Confirmed != 2 {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	if ahead.state.ID().Number != 2 || behind.state.ID() != ahead.state.ID() {
		t.Fatalf("in force are %s and %s", ahead.state.ID(), behind.state.ID())
	}
}

func TestApplyIsUnknownWhenNoBalancerConfirms(t *testing.T) {
	o := withBalancers(t, &fakeBalancer{isDeaf: true})
	wanted := options("first")
	wanted.Timeout = 500 * time.Millisecond
	report, code := o.Apply(t.Context(), parsed(t, firstTables), wanted)
	if code != ExitUnknown || report.Repeat == "" {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
}

func TestApplyWritesNothingWhenNoBalancerAnswers(t *testing.T) {
	o := newOperator(t, netip.MustParseAddrPort("127.0.0.1:1"))
	wanted := options("first")
	wanted.Timeout = 300 * time.Millisecond
	if report, code := o.Apply(t.Context(), parsed(t, firstTables), wanted); code != ExitFailed {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	history, err := o.History(t.Context(), 1)
	if err != nil || len(history.Changes) != 0 {
		t.Fatalf("%v in the log, error %v", history, err)
	}
}

func TestDrainWaitsUntilNoWorkIsLeft(t *testing.T) {
	o := newOperator(t)
	agent := &fakeAgent{queries: 3}
	address := serve(t, o.credentials, agent.answer)
	report, code := o.Drain(t.Context(), address, control.DrainStart, true)
	if code != ExitDone || !report.IsEnded {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	expected := []control.DrainAction{control.DrainStart, control.DrainQuery, control.DrainQuery, control.DrainQuery}
	if !slices.Equal(agent.actions, expected) {
		t.Fatalf("actions %v, expected %v", agent.actions, expected)
	}
}

func TestDrainThatDoesNotEndInTime(t *testing.T) {
	o := newOperator(t)
	address := serve(t, o.credentials, (&fakeAgent{queries: 1 << 20}).answer)
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	if report, code := o.Drain(ctx, address, control.DrainStart, true); code != ExitPending {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	if report, code := o.Drain(t.Context(), address, control.DrainUndo, false); code != ExitDone || report.Progress.State != "ready" {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	if report, code := o.Drain(t.Context(), unreachable, control.DrainForce, false); code != ExitFailed {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
}

func TestApplyKeepsWhatWasConfirmedWhenOthersNeverAnswer(t *testing.T) {
	o := withBalancers(t, &fakeBalancer{})
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	o.balancers = append(o.balancers, netip.MustParseAddrPort(silent.Addr().String()))
	report, code := o.Apply(t.Context(), parsed(t, firstTables), options("first"))
	if code != ExitPending || report.Confirmed != 1 || len(report.Behind) != 1 {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
}
