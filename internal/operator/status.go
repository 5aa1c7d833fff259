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

// StatusReport is the state of a deployment: its store, balancers and targets.
type StatusReport struct {
	// Revision and Change identify the newest revision in the store. They are empty if StoreError is set, which says why the
	// store could not be read.
	Revision   uint64           `json:"revision"`
	Change     string           `json:"change"`
	StoreError string           `json:"store_error,omitempty"`
	Balancers  []BalancerReport `json:"balancers"`
	Targets    []TargetReport   `json:"targets"`
}

// BalancerReport is the status of one balancer, or the error of the status request.
type BalancerReport struct {
	Control netip.AddrPort `json:"control"`
	Zone    string         `json:"zone,omitempty"`
	// Revision and Change identify the revision that the balancer has applied.
	Revision uint64 `json:"revision"`
	Change   string `json:"change,omitempty"`
	// Ready is the number of ready targets that the balancer knows.
	Ready int    `json:"ready"`
	Error string `json:"error,omitempty"`
}

// TargetReport is one target as the balancers report it.
type TargetReport struct {
	Agent   netip.AddrPort `json:"agent"`
	Control netip.AddrPort `json:"control"`
	Service uint16         `json:"service"`
	Zone    string         `json:"zone"`
	Slots   int            `json:"slots"`
	State   string         `json:"state"`
	// SeenBy is the number of balancers that report the target in this state.
	SeenBy int `json:"seen_by"`
	// AgentStatus is the agent's own report. It is nil unless the target is draining or every agent was queried.
	AgentStatus *AgentStatus `json:"progress,omitempty"`
}

// AgentStatus is an agent's lifecycle state and its work in progress, or the error of the query.
type AgentStatus struct {
	State    string `json:"state"`
	Flows    int    `json:"flows"`
	Requests int    `json:"requests"`
	Error    string `json:"error,omitempty"`
}

// Status queries the store, the balancers and the agents of draining targets, or of all targets with isEveryAgentQueried. The
// exit code is ExitFailed if no balancer replies.
func (o *Operator) Status(ctx context.Context, isEveryAgentQueried bool) (*StatusReport, ExitCode) {
	report := &StatusReport{Balancers: []BalancerReport{}, Targets: []TargetReport{}}
	if view, err := o.log.Read(ctx); err != nil {
		report.StoreError = err.Error()
	} else {
		report.Revision, report.Change = view.Head.ID.Number, view.Head.ID.ChangeID
	}
	replies := o.requestStatuses(ctx, o.knownBalancers(ctx))
	for _, reply := range replies {
		report.Balancers = append(report.Balancers, describeBalancer(reply))
	}
	for _, t := range mergeTargets(replies) {
		if isEveryAgentQueried || t.State == member.Draining.String() {
			t.AgentStatus = o.requestAgentStatus(ctx, t.Control, control.DrainQuery)
		}
		report.Targets = append(report.Targets, t)
	}
	if _, _, ok := newestRevision(replies); !ok {
		return report, ExitFailed
	}
	return report, ExitOK
}

func describeBalancer(reply statusReply) BalancerReport {
	b := BalancerReport{Control: reply.address}
	if reply.err != nil {
		b.Error = reply.err.Error()
		return b
	}
	b.Zone, b.Revision, b.Change = reply.status.Zone, reply.status.Revision, reply.status.Change
	for _, t := range reply.status.Targets {
		if t.State == member.Ready {
			b.Ready++
		}
	}
	return b
}

// mergeTargets returns the newest record of each target, sorted by address, and the number of balancers that report it.
// Balancers can report equally new records in different states, since Failed and Damped exist only in the view of a balancer.
// Of these it keeps the one with the higher state.
func mergeTargets(replies []statusReply) []TargetReport {
	newest := make(map[netip.AddrPort]member.Target)
	seenBy := make(map[netip.AddrPort]int)
	for _, reply := range replies {
		if reply.err != nil {
			continue
		}
		for _, t := range reply.status.Targets {
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

// requestAgentStatus sends a drain request to an agent and returns the status in its reply.
func (o *Operator) requestAgentStatus(ctx context.Context, agent netip.AddrPort, action control.DrainAction) *AgentStatus {
	reply, err := o.call(ctx, agent, control.Message{DrainRequest: &control.DrainRequest{Action: action}})
	if err == nil && reply.DrainStatus == nil {
		err = eris.Errorf("drain status of %s: another message came", agent)
	}
	if err != nil {
		return &AgentStatus{State: "no answer", Error: err.Error()}
	}
	s := reply.DrainStatus
	return &AgentStatus{State: s.State.String(), Flows: s.Flows, Requests: s.Requests}
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
			t.Agent, t.Zone, t.Service, t.Slots, t.State, t.SeenBy, t.AgentStatus.workText())
	}
	_ = table.Flush()
	return trimTrailingSpaces(out.String())
}

// workText returns the work left for the status table. It is empty if the agent was not queried.
func (s *AgentStatus) workText() string {
	switch {
	case s == nil:
		return ""
	case s.Error != "":
		return s.State
	default:
		return fmt.Sprintf("%d flows, %d requests", s.Flows, s.Requests)
	}
}

// trimTrailingSpaces removes the spaces with which the tabwriter pads empty last columns.
func trimTrailingSpaces(text string) string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		lines[i] = strings.TrimRight(line, " ")
	}
	return strings.Join(lines, "\n")
}
