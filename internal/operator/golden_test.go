package operator

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
	"gentianswitch/internal/standin/kv"
	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

const firstTables = `routes:
  - {name: station-feeds, address: "203.0.113.1:4431", pool: requests, class: feed}
  - {name: requests, address: "203.0.113.1:4432", pool: requests, class: short}
pools:
  - {name: requests, service: 1}
`

const secondTables = `routes:
  - {name: station-feeds, address: "203.0.113.1:4431", pool: requests, class: feed}
  - {name: voice-messages, address: "203.0.113.1:4433", pool: voice, class: long}
pools:
  - {name: requests, service: 1, queue_limit: 10}
  - {name: voice, service: 2, default_deadline: 1m}
`

const invalidTables = `routes:
  - {name: station-feeds, address: "203.0.113.1:4431", pool: request, class: feed}
  - {name: station-feeds, address: "203.0.113.1", pool: requests, class: slow}
pools:
  - {name: requests, service: 1, weight: -1, queue_limit: -5}
  - {service: 1}
`

func newStore(t *testing.T) *store.HTTP {
	server := httptest.NewServer(kv.NewServer().Handler())
	t.Cleanup(server.Close)
	return store.NewHTTP(strings.TrimPrefix(server.URL, "http://"))
}

func newOperator(t *testing.T, balancers ...netip.AddrPort) *Operator {
	o := New(newStore(t), balancers, testCredentials(t))
	o.now = func() time.Time { return time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC) }
	return o
}

func parsed(t *testing.T, text string) *tables.Tables {
	t.Helper()
	declared, err := tables.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return declared
}

// applyDirect applies tables without balancers.
func applyDirect(t *testing.T, o *Operator, change, text string, base *uint64) (*ApplyReport, ExitCode) {
	t.Helper()
	return o.Apply(t.Context(), parsed(t, text), ApplyOptions{
		File: "tables.yaml", ChangeID: change, Author: "ana", Base: base, IsStoreOnly: true, Timeout: 5 * time.Second,
	})
}

// expectGolden compares both forms of a report with the files of that name.
func expectGolden(t *testing.T, name string, report Report) {
	t.Helper()
	g := goldie.New(t)
	for _, format := range []string{FormatText, FormatJSON} {
		var out bytes.Buffer
		if err := Write(&out, format, report); err != nil {
			t.Fatal(err)
		}
		g.Assert(t, name+"."+format, out.Bytes())
	}
}

func TestGoldenValidate(t *testing.T) {
	_, report, code := Validate("tables.yaml", []byte(firstTables))
	if code != ExitDone {
		t.Errorf("exit code %d", code)
	}
	expectGolden(t, "validate-valid", report)
	_, report, code = Validate("tables.yaml", []byte(invalidTables))
	if code != ExitUsage {
		t.Errorf("exit code %d", code)
	}
	expectGolden(t, "validate-problems", report)
}

func TestGoldenChanges(t *testing.T) {
	o := newOperator(t)
	plan, err := o.Plan(t.Context(), "tables.yaml", parsed(t, firstTables))
	if err != nil {
		t.Fatal(err)
	}
	expectGolden(t, "plan-first", plan)
	report, code := applyDirect(t, o, "first", firstTables, nil)
	if code != ExitDone {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	expectGolden(t, "apply-accepted", report)
	if plan, err = o.Plan(t.Context(), "tables.yaml", parsed(t, secondTables)); err != nil {
		t.Fatal(err)
	}
	expectGolden(t, "plan-second", plan)
	report, _ = applyDirect(t, o, "again", firstTables, nil)
	expectGolden(t, "apply-unchanged", report)
	applyDirect(t, o, "second", secondTables, &plan.Base)
	conflicting := strings.Replace(secondTables, "queue_limit: 10", "queue_limit: 20", 1)
	if report, code = applyDirect(t, o, "third", conflicting, &plan.Base); code != ExitRefused {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	expectGolden(t, "apply-refused", report)
	history, err := o.History(t.Context(), 10)
	if err != nil {
		t.Fatal(err)
	}
	expectGolden(t, "history", history)
	got, err := o.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	expectGolden(t, "get", got)
}

func TestGoldenStatus(t *testing.T) {
	target := func(ip string, state member.State, sequence uint64) member.Target {
		address := netip.MustParseAddr(ip)
		return member.Target{
			Agent: netip.AddrPortFrom(address, 4400), Control: netip.AddrPortFrom(address, 4401), Service: 1, Zone: "quito",
			Slots: 5, Incarnation: 1, Sequence: sequence, State: state,
		}
	}
	answers := []answer{
		{address: netip.MustParseAddrPort("10.0.0.1:4401"), status: &control.Status{
			Zone: "quito", Revision: 7, Change: "evening",
			Targets: []member.Target{target("10.0.1.1", member.Ready, 2), target("10.0.1.2", member.Draining, 3)},
		}},
		{address: netip.MustParseAddrPort("10.0.0.2:4401"), status: &control.Status{
			Zone: "ambato", Revision: 6, Change: "noon",
			Targets: []member.Target{target("10.0.1.1", member.Ready, 2), target("10.0.1.2", member.Ready, 2)},
		}},
		{address: netip.MustParseAddrPort("10.0.0.3:4401"), err: errors.New("connection refused")},
	}
	report := &StatusReport{Revision: 7, Change: "evening", Targets: mergeTargets(answers)}
	for _, a := range answers {
		report.Balancers = append(report.Balancers, describeBalancer(a))
	}
	report.Targets[1].Progress = &ProgressReport{State: "draining", Flows: 12, Requests: 1}
	expectGolden(t, "status", report)
}

func TestStatusWithoutStoreAndBalancers(t *testing.T) {
	o := New(store.NewHTTP("127.0.0.1:1"), []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, testCredentials(t))
	report, code := o.Status(context.Background(), false)
	if code != ExitFailed || report.StoreError == "" || report.Balancers[0].Error == "" {
		t.Fatalf("exit code %d, report %+v", code, report)
	}
}
