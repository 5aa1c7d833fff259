package operator

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
)

// StatusReport is the state of a deployment.
type StatusReport struct {
	// Revision is that of the store, unless StoreError tells why it could not be read.
	Revision   uint64           `json:"revision"`
	Change     string           `json:"change"`
	StoreError string           `json:"store_error,omitempty"`
	Balancers  []BalancerReport `json:"balancers"`
	Targets    []TargetReport   `json:"targets"`
}

// BalancerReport is one balancer as it describes itself.
type BalancerReport struct {
	Control  netip.AddrPort `json:"control"`
	Zone     string         `json:"zone,omitempty"`
	Revision uint64         `json:"revision"`
	Change   string         `json:"change,omitempty"`
	// Ready is the number of ready targets that the balancer knows.
	Ready int    `json:"ready"`
	Error string `json:"error,omitempty"`
}

// TargetReport is one target in the view of the balancers.
type TargetReport struct {
	Agent   netip.AddrPort `json:"agent"`
	Control netip.AddrPort `json:"control"`
	Service uint16         `json:"service"`
	Zone    string         `json:"zone"`
	Slots   int            `json:"slots"`
	State   string         `json:"state"`
	// SeenBy is the number of balancers that hold this state.
	SeenBy int `json:"seen_by"`
	// Progress is the work left, for a target that drains or when all were asked.
	Progress *ProgressReport `json:"progress,omitempty"`
}

// ProgressReport is the work that an agent has in progress.
type ProgressReport struct {
	State    string `json:"state"`
	Flows    int    `json:"flows"`
	Requests int    `json:"requests"`
	Error    string `json:"error,omitempty"`
}

// Status asks the store, the balancers, and the agents that drain. With isAsking every agent is asked for its flows.
func (o *Operator) Status(ctx context.Context, isAsking bool) (*StatusReport, ExitCode) {
	report := &StatusReport{Balancers: []BalancerReport{}, Targets: []TargetReport{}}
	if view, err := o.log.Read(ctx); err != nil {
		report.StoreError = err.Error()
	} else {
		report.Revision, report.Change = view.Head.ID.Number, view.Head.ID.ChangeID
	}
	answers := o.statuses(ctx, o.known(ctx))
	for _, a := range answers {
		report.Balancers = append(report.Balancers, describeBalancer(a))
	}
	for _, t := range mergeTargets(answers) {
		if isAsking || t.State == member.Draining.String() {
			t.Progress = o.progress(ctx, t.Control, control.DrainQuery)
		}
		report.Targets = append(report.Targets, t)
	}
	if _, _, ok := newest(answers); !ok {
		return report, ExitFailed
	}
	return report, ExitDone
}

func describeBalancer(a answer) BalancerReport {
	b := BalancerReport{Control: a.address}
	if a.err != nil {
		b.Error = a.err.Error()
		return b
	}
	b.Zone, b.Revision, b.Change = a.status.Zone, a.status.Revision, a.status.Change
	for _, t := range a.status.Targets {
		if t.State == member.Ready {
			b.Ready++
		}
	}
	return b
}

// mergeTargets returns the newest record of each target, sorted by address, and how many balancers hold it.
func mergeTargets(answers []answer) []TargetReport {
	newest := make(map[netip.AddrPort]member.Target)
	seenBy := make(map[netip.AddrPort]int)
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		for _, t := range a.status.Targets {
			known, ok := newest[t.Agent]
			switch {
			case !ok || t.IsNewerThan(known) || !known.IsNewerThan(t) && t.State > known.State:
				newest[t.Agent], seenBy[t.Agent] = t, 1
			case t == known:
				seenBy[t.Agent]++
			}
		}
	}
	list := make([]TargetReport, 0, len(newest))
	for agent, t := range newest {
		list = append(list, TargetReport{
			Agent: agent, Control: t.Control, Service: t.Service, Zone: t.Zone, Slots: t.Slots,
			State: t.State.String(), SeenBy: seenBy[agent],
		})
	}
	slices.SortFunc(list, func(a, b TargetReport) int { return a.Agent.Compare(b.Agent) })
	return list
}

// progress sends a drain request to an agent and describes its answer.
func (o *Operator) progress(ctx context.Context, agent netip.AddrPort, action control.DrainAction) *ProgressReport {
	reply, err := o.call(ctx, agent, control.Message{DrainRequest: &control.DrainRequest{Action: action}})
	if err == nil && reply.DrainStatus == nil {
		err = eris.Errorf("drain status of %s: another message came", agent)
	}
	if err != nil {
		return &ProgressReport{State: "no answer", Error: err.Error()}
	}
	s := reply.DrainStatus
	return &ProgressReport{State: s.State.String(), Flows: s.Flows, Requests: s.Requests}
}

// Text implements Report.
func (r *StatusReport) Text() string {
	var out strings.Builder
	if r.StoreError != "" {
		fmt.Fprintf(&out, "store: %s\n", r.StoreError)
	} else {
		fmt.Fprintf(&out, "store: revision %d, change %s\n", r.Revision, r.Change)
	}
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nBALANCER\tZONE\tREVISION\tCHANGE\tREADY TARGETS")
	for _, b := range r.Balancers {
		if b.Error != "" {
			_, _ = fmt.Fprintf(table, "%s\t%s\n", b.Control, "no answer: "+b.Error)
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\n", b.Control, b.Zone, b.Revision, b.Change, b.Ready)
	}
	_, _ = fmt.Fprintln(table, "\nTARGET\tZONE\tSERVICE\tSLOTS\tSTATE\tSEEN BY\tWORK LEFT")
	for _, t := range r.Targets {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%d\t%s\n",
			t.Agent, t.Zone, t.Service, t.Slots, t.State, t.SeenBy, t.Progress.text())
	}
	_ = table.Flush()
	return trimLines(out.String())
}

func (p *ProgressReport) text() string {
	switch {
	case p == nil:
		return ""
	case p.Error != "":
		return p.State
	default:
		return fmt.Sprintf("%d flows, %d requests", p.Flows, p.Requests)
	}
}

func trimLines(text string) string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		lines[i] = strings.TrimRight(line, " ")
	}
	return strings.Join(lines, "\n")
}
