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

func applyOptions(change string) ApplyOptions {
	return ApplyOptions{File: "tables.yaml", ChangeID: change, Author: "ana", MustWaitForAll: true, Timeout: testTimeout}
}

// newOperatorWithBalancers returns an operator whose settings list these balancers. They serve with its credentials.
func newOperatorWithBalancers(t *testing.T, balancers ...*fakeBalancer) *Operator {
	o := newOperator(t)
	for _, b := range balancers {
		b.state = revision.NewState()
		o.balancers = append(o.balancers, serveControl(t, o.credentials, b.reply))
	}
	return o
}

func TestApplyBringsBalancersUpToDate(t *testing.T) {
	ahead, behind := &fakeBalancer{}, &fakeBalancer{}
	o := newOperatorWithBalancers(t, ahead, behind)
	o.balancers = o.balancers[:1]
	if report, code := o.Apply(t.Context(), parseTables(t, firstTables), applyOptions("first")); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	other := serveControl(t, o.credentials, behind.reply)
	o.balancers = append(o.balancers, other)
	report, code := o.Apply(t.Context(), parseTables(t, secondTables), applyOptions("second"))
	if code != ExitOK || report.ConfirmedCount != 2 {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	if ahead.state.ID().Number != 2 || behind.state.ID() != ahead.state.ID() {
		t.Fatalf("applied revisions are %s and %s", ahead.state.ID(), behind.state.ID())
	}
}

func TestApplyIsUnknownWhenNoBalancerConfirms(t *testing.T) {
	o := newOperatorWithBalancers(t, &fakeBalancer{ignoresOffers: true})
	options := applyOptions("first")
	options.Timeout = 500 * time.Millisecond
	report, code := o.Apply(t.Context(), parseTables(t, firstTables), options)
	if code != ExitUnknown || report.Repeat == "" {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
}

func TestApplyWritesNothingWhenNoBalancerAnswers(t *testing.T) {
	o := newOperator(t, netip.MustParseAddrPort("127.0.0.1:1"))
	options := applyOptions("first")
	options.Timeout = 300 * time.Millisecond
	if report, code := o.Apply(t.Context(), parseTables(t, firstTables), options); code != ExitFailed {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	history, err := o.History(t.Context(), 1)
	if err != nil || len(history.Changes) != 0 {
		t.Fatalf("log holds %v, error %v; expected no change", history, err)
	}
}

func TestDrainWaitsUntilNoWorkIsLeft(t *testing.T) {
	o := newOperator(t)
	agent := &fakeAgent{remainingQueries: 3}
	address := serveControl(t, o.credentials, agent.reply)
	report, code := o.Drain(t.Context(), address, control.DrainStart, true)
	if code != ExitOK || !report.IsComplete {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	expected := []control.DrainAction{control.DrainStart, control.DrainQuery, control.DrainQuery, control.DrainQuery}
	if !slices.Equal(agent.actions, expected) {
		t.Fatalf("actions %v, expected %v", agent.actions, expected)
	}
}

func TestDrainTimeoutUndoAndUnreachableAgent(t *testing.T) {
	o := newOperator(t)
	address := serveControl(t, o.credentials, (&fakeAgent{remainingQueries: 1 << 20}).reply)
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	if report, code := o.Drain(ctx, address, control.DrainStart, true); code != ExitPending {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	if report, code := o.Drain(t.Context(), address, control.DrainUndo, false); code != ExitOK ||
		report.AgentStatus.State != "ready" {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	if report, code := o.Drain(t.Context(), unreachable, control.DrainForce, false); code != ExitFailed {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
}

func TestApplyCountsConfirmationsWhenAnotherBalancerNeverAnswers(t *testing.T) {
	o := newOperatorWithBalancers(t, &fakeBalancer{})
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	o.balancers = append(o.balancers, netip.MustParseAddrPort(silent.Addr().String()))
	report, code := o.Apply(t.Context(), parseTables(t, firstTables), applyOptions("first"))
	if code != ExitPending || report.ConfirmedCount != 1 || len(report.Unconfirmed) != 1 {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
}
