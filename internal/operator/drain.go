package operator

import (
	"context"
	"fmt"
	"net/netip"

	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
)

// DrainReport tells how far the drain of a target has come.
type DrainReport struct {
	Target   string          `json:"target"`
	Control  netip.AddrPort  `json:"control"`
	Action   string          `json:"action"`
	Progress *ProgressReport `json:"progress"`
	// IsEnded tells that the agent has no work left or has ended.
	IsEnded bool `json:"ended"`
}

// Drain sends the action to the agent of a target, which is named by the address of the agent's datagram or control
// socket. With isWaiting it returns when the agent has no work left, or ctx ends.
func (o *Operator) Drain(
	ctx context.Context, target netip.AddrPort, action control.DrainAction, isWaiting bool,
) (*DrainReport, ExitCode) {
	report := &DrainReport{Target: target.String(), Control: o.controlOf(ctx, target), Action: actionName(action)}
	report.Progress = o.progress(ctx, report.Control, action)
	if report.Progress.Error != "" {
		return report, ExitFailed
	}
	for isWaiting && !report.end() {
		if !sleep(ctx, retryInterval) {
			return report, ExitPending
		}
		next := o.progress(ctx, report.Control, control.DrainQuery)
		if next.Error != "" && ctx.Err() != nil {
			return report, ExitPending
		}
		report.Progress = next
	}
	return report, ExitDone
}

// end reports whether the drain has ended. An agent whose drain has ended accepts no connection any more.
func (r *DrainReport) end() bool {
	p := r.Progress
	r.IsEnded = p.Error != "" || p.State == member.Gone.String() ||
		p.State == member.Draining.String() && p.Flows == 0 && p.Requests == 0
	return r.IsEnded
}

// controlOf returns the control address of the agent with the given datagram address. An address that no balancer
// knows is taken for the control address itself.
func (o *Operator) controlOf(ctx context.Context, target netip.AddrPort) netip.AddrPort {
	for _, t := range mergeTargets(o.statuses(ctx, o.balancers)) {
		if t.Agent == target {
			return t.Control
		}
	}
	return target
}

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
	p := r.Progress
	switch {
	case r.IsEnded:
		return fmt.Sprintf("%s of %s: ended, no work is left\n", r.Action, r.Target)
	case p.Error != "":
		return fmt.Sprintf("%s of %s failed: %s\n", r.Action, r.Target, p.Error)
	default:
		return fmt.Sprintf("%s of %s: the target is %s, %d flows and %d requests are in progress\n",
			r.Action, r.Target, p.State, p.Flows, p.Requests)
	}
}
