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

func parseTables(t *testing.T, text string) *tables.Tables {
	t.Helper()
	parsed, err := tables.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// applyToStoreOnly applies tables without contacting balancers.
func applyToStoreOnly(t *testing.T, o *Operator, change, text string, base *uint64) (*ApplyReport, ExitCode) {
	t.Helper()
	return o.Apply(t.Context(), parseTables(t, text), ApplyOptions{
		File: "tables.yaml", ChangeID: change, Author: "ana", Base: base, IsStoreOnly: true, Timeout: 5 * time.Second,
	})
}

// assertGolden compares the text and the JSON of a report with the golden files of that name.
func assertGolden(t *testing.T, name string, report Report) {
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
	if code != ExitOK {
		t.Errorf("exit code %d", code)
	}
	assertGolden(t, "validate-valid", report)
	_, report, code = Validate("tables.yaml", []byte(invalidTables))
	if code != ExitUsage {
		t.Errorf("exit code %d", code)
	}
	assertGolden(t, "validate-problems", report)
}

func TestGoldenPlanApplyHistoryAndGet(t *testing.T) {
	o := newOperator(t)
	plan, err := o.Plan(t.Context(), "tables.yaml", parseTables(t, firstTables))
	if err != nil {
		t.Fatal(err)
	}
	assertGolden(t, "plan-first", plan)
	report, code := applyToStoreOnly(t, o, "first", firstTables, nil)
	if code != ExitOK {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	assertGolden(t, "apply-accepted", report)
	if plan, err = o.Plan(t.Context(), "tables.yaml", parseTables(t, secondTables)); err != nil {
		t.Fatal(err)
	}
	assertGolden(t, "plan-second", plan)
	report, _ = applyToStoreOnly(t, o, "again", firstTables, nil)
	assertGolden(t, "apply-unchanged", report)
	applyToStoreOnly(t, o, "second", secondTables, &plan.Base)
	conflicting := strings.Replace(secondTables, "queue_limit: 10", "queue_limit: 20", 1)
	if report, code = applyToStoreOnly(t, o, "third", conflicting, &plan.Base); code != ExitRefused {
		t.Fatalf("exit code %d: %s", code, report.Text())
	}
	assertGolden(t, "apply-refused", report)
	history, err := o.History(t.Context(), 10)
	if err != nil {
		t.Fatal(err)
	}
	assertGolden(t, "history", history)
	got, err := o.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	assertGolden(t, "get", got)
}

func TestGoldenStatus(t *testing.T) {
	target := func(ip string, state member.State, sequence uint64) member.Target {
		address := netip.MustParseAddr(ip)
		return member.Target{
			Agent: netip.AddrPortFrom(address, 4400), Control: netip.AddrPortFrom(address, 4401), Service: 1, Zone: "quito",
			Slots: 5, Incarnation: 1, Sequence: sequence, State: state,
		}
	}
	replies := []statusReply{
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
	report := &StatusReport{Revision: 7, Change: "evening", Targets: mergeTargets(replies)}
	for _, reply := range replies {
		report.Balancers = append(report.Balancers, describeBalancer(reply))
	}
	report.Targets[1].AgentStatus = &AgentStatus{State: "draining", Flows: 12, Requests: 1}
	assertGolden(t, "status", report)
}

func TestStatusWithoutStoreAndBalancers(t *testing.T) {
	o := New(store.NewHTTP("127.0.0.1:1"), []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, testCredentials(t))
	report, code := o.Status(context.Background(), false)
	if code != ExitFailed || report.StoreError == "" || report.Balancers[0].Error == "" {
		t.Fatalf("exit code %d, report %+v", code, report)
	}
}
