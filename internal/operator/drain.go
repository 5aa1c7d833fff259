package operator

import (
	"context"
	"fmt"
	"net/netip"

	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
)

// DrainReport is the state of a target's drain.
type DrainReport struct {
	Target      string         `json:"target"`
	Control     netip.AddrPort `json:"control"`
	Action      string         `json:"action"`
	AgentStatus *AgentStatus   `json:"progress"`
	// IsComplete means that the agent has no work left or has shut down.
	IsComplete bool `json:"ended"`
}

// Drain sends the action to the agent of a target, which is identified by the address of the agent's datagram or control
// socket. With mustWait it polls the agent until no work is left. The exit code is ExitPending if ctx ends first.
func (o *Operator) Drain(
	ctx context.Context, target netip.AddrPort, action control.DrainAction, mustWait bool,
) (*DrainReport, ExitCode) {
	report := &DrainReport{Target: target.String(), Control: o.controlAddressOf(ctx, target), Action: actionName(action)}
	report.AgentStatus = o.requestAgentStatus(ctx, report.Control, action)
	if report.AgentStatus.Error != "" {
		return report, ExitFailed
	}
	for mustWait && !report.updateCompletion() {
		if !sleep(ctx, retryInterval) {
			return report, ExitPending
		}
		status := o.requestAgentStatus(ctx, report.Control, control.DrainQuery)
		if status.Error != "" && ctx.Err() != nil {
			return report, ExitPending
		}
		report.AgentStatus = status
	}
	return report, ExitOK
}

// updateCompletion sets IsComplete from the agent's status and returns it. An agent that no longer accepts a connection
// counts as complete, since it shuts down when its drain is complete.
func (r *DrainReport) updateCompletion() bool {
	status := r.AgentStatus
	r.IsComplete = status.Error != "" || status.State == member.Gone.String() ||
		status.State == member.Draining.String() && status.Flows == 0 && status.Requests == 0
	return r.IsComplete
}

// controlAddressOf returns the control address of the agent with the given datagram address. An address that no balancer
// knows is assumed to be the control address itself.
func (o *Operator) controlAddressOf(ctx context.Context, target netip.AddrPort) netip.AddrPort {
	for _, t := range mergeTargets(o.requestStatuses(ctx, o.balancers)) {
		if t.Agent == target {
			return t.Control
		}
	}
	return target
}

// actionName returns the name of the action in reports.
func actionName(action control.DrainAction) string {
	switch action {
	case control.DrainStart:
		return "drain"
	case control.DrainUndo:
		return "undrain"
	case control.DrainForce:
		return "force"
	default:
		return "query"
	}
}

// Text implements Report.
func (r *DrainReport) Text() string {
	status := r.AgentStatus
	switch {
	case r.IsComplete:
		return fmt.Sprintf("%s of %s: ended, no work is left\n", r.Action, r.Target)
	case status.Error != "":
		return fmt.Sprintf("%s of %s failed: %s\n", r.Action, r.Target, status.Error)
	default:
		return fmt.Sprintf("%s of %s: the target is %s, %d flows and %d requests are in progress\n",
			r.Action, r.Target, status.State, status.Flows, status.Requests)
	}
}
