package operator

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"gentianswitch/internal/revision"
	"gentianswitch/internal/tables"
)

const (
	// retryInterval is the pause between tries to reach balancers.
	retryInterval = 100 * time.Millisecond
	// deliveryTimeout is the time for a balancer to take an accepted change.
	deliveryTimeout = 4 * time.Second
)

// ApplyOptions are the choices of the apply command.
type ApplyOptions struct {
	File string
	// ChangeID identifies the change. Empty asks for a new one.
	ChangeID string
	Author   string
	// Base is the number of the revision that the change was planned against. Nil stands for the newest one.
	Base *uint64
	// IsStoreOnly leaves the balancers alone: for the first change, before one runs.
	IsStoreOnly bool
	// IsWaiting waits until every balancer has the change in force.
	IsWaiting bool
	// Timeout bounds the time until the store has taken the change, and then the time to be in force.
	Timeout time.Duration
}

// ApplyReport tells what became of a change.
type ApplyReport struct {
	Outcome  string      `json:"outcome"`
	Change   string      `json:"change"`
	Revision uint64      `json:"revision"`
	Base     uint64      `json:"base"`
	Rows     []RowChange `json:"rows"`
	// Others are the changes of others that the change does not fit.
	Others []ChangeReport `json:"others,omitempty"`
	Reason string         `json:"reason,omitempty"`
	// IsRestored tells that the store had lost changes that balancers had in force, and holds them again.
	IsRestored bool `json:"restored,omitempty"`
	// Confirmed is the number of balancers asked that have the change in force, and Behind are the others.
	Confirmed int              `json:"confirmed"`
	Behind    []netip.AddrPort `json:"behind,omitempty"`
	// InForceMS is the time from the acceptance until every balancer had the change in force, in milliseconds.
	InForceMS int64 `json:"in_force_ms,omitempty"`
	// Repeat is the command that asks again for an unknown outcome.
	Repeat string `json:"repeat,omitempty"`
}

// Apply proposes the tables as a change.
func (o *Operator) Apply(ctx context.Context, desired *tables.Tables, options ApplyOptions) (*ApplyReport, ExitCode) {
	if options.ChangeID == "" {
		options.ChangeID = uuid.NewString()
	}
	proposing, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	proposal := revision.Proposal{
		ChangeID: options.ChangeID, Author: options.Author, At: o.now().UTC(), PlannedBase: options.Base, Desired: desired,
	}
	if !options.IsStoreOnly {
		known, from, ok := o.awaitNewest(proposing)
		if !ok {
			return notAccepted(options, "no balancer answers, so that a store which has lost changes cannot be told"), ExitFailed
		}
		proposal.BalancerRevision = known
		proposal.FetchBalancerRevision = func(ctx context.Context) (revision.Revision, error) { return o.fetch(ctx, from) }
	}
	result := o.log.Propose(proposing, proposal)
	report := newApplyReport(options, result)
	switch result.Verdict {
	case revision.Accepted, revision.Unchanged:
		return report, o.deliver(ctx, report, result, options)
	case revision.Refused:
		return report, ExitRefused
	case revision.Unknown:
		report.Repeat = repeatCommand(options, result)
		return report, ExitUnknown
	default:
		return report, ExitFailed
	}
}

func newApplyReport(options ApplyOptions, result revision.Result) *ApplyReport {
	return &ApplyReport{
		Outcome: result.Verdict.String(), Change: options.ChangeID, Revision: result.ID.Number, Base: result.PlannedBase.Number,
		Rows: describeRows(nil, result.Rows), Others: describeEntries(result.Conflicts), Reason: result.Reason,
		IsRestored: result.IsRestored,
	}
}

func notAccepted(options ApplyOptions, reason string) *ApplyReport {
	return &ApplyReport{Outcome: revision.NotAccepted.String(), Change: options.ChangeID, Reason: reason}
}

func repeatCommand(options ApplyOptions, result revision.Result) string {
	return fmt.Sprintf("gentianctl apply --file %s --change-id %s --base %d",
		options.File, options.ChangeID, result.PlannedBase.Number)
}

// awaitNewest returns the newest revision that a balancer has in force, as soon as one answers.
func (o *Operator) awaitNewest(ctx context.Context) (revision.ID, netip.AddrPort, bool) {
	for {
		known, from, ok := newest(o.statuses(ctx, o.balancers))
		if ok || !sleep(ctx, retryInterval) {
			return known, from, ok
		}
	}
}

// deliver hands an accepted change to the balancers. The change counts as accepted once a balancer has it, since the
// balancers pass it on also when the store is lost in the next moment.
func (o *Operator) deliver(
	ctx context.Context, report *ApplyReport, result revision.Result, options ApplyOptions,
) ExitCode {
	if options.IsStoreOnly {
		return ExitDone
	}
	start := o.now()
	limit := deliveryTimeout
	if options.IsWaiting {
		limit = options.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	confirmed := make(map[netip.AddrPort]bool)
	for {
		report.Behind = o.deliverOnce(ctx, result, options, confirmed)
		report.Confirmed = len(confirmed)
		isEnough := len(report.Behind) == 0 || report.Confirmed > 0 && !options.IsWaiting
		if isEnough || !sleep(ctx, retryInterval) {
			break
		}
	}
	if len(report.Behind) == 0 {
		report.InForceMS = o.now().Sub(start).Milliseconds()
	}
	switch {
	case report.Confirmed == 0:
		report.Outcome = revision.Unknown.String()
		report.Reason = "the store holds the change, but no balancer has confirmed it"
		report.Repeat = repeatCommand(options, result)
		return ExitUnknown
	case options.IsWaiting && len(report.Behind) > 0:
		return ExitPending
	default:
		return ExitDone
	}
}

// deliverOnce offers the change to the balancers that have not confirmed it, adds those that do now, and returns the
// others.
func (o *Operator) deliverOnce(
	ctx context.Context, result revision.Result, options ApplyOptions, confirmed map[netip.AddrPort]bool,
) []netip.AddrPort {
	balancers := o.balancers
	if options.IsWaiting {
		balancers = o.known(ctx)
	}
	var open []netip.AddrPort
	for _, b := range balancers {
		if !confirmed[b] {
			open = append(open, b)
		}
	}
	behind := o.offerAll(ctx, open, result)
	for _, b := range open {
		if !slices.Contains(behind, b) {
			confirmed[b] = true
		}
	}
	return behind
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Text implements Report.
func (r *ApplyReport) Text() string {
	var out strings.Builder
	switch r.Outcome {
	case revision.Accepted.String():
		fmt.Fprintf(&out, "accepted as revision %d, change %s\n", r.Revision, r.Change)
	case revision.Unchanged.String():
		fmt.Fprintf(&out, "unchanged: revision %d holds these tables already\n", r.Revision)
	default:
		fmt.Fprintf(&out, "%s, change %s: %s\n", r.Outcome, r.Change, r.Reason)
	}
	writeRows(&out, r.Rows)
	if r.IsRestored {
		out.WriteString("the store had lost changes that were in force; it holds them again\n")
	}
	for _, c := range r.Others {
		fmt.Fprintf(&out, "in the way: %s\n", c.line())
		writeRows(&out, c.Rows)
	}
	if r.Confirmed > 0 {
		fmt.Fprintf(&out, "in force on %d of %d balancers asked\n", r.Confirmed, r.Confirmed+len(r.Behind))
	}
	for _, b := range r.Behind {
		fmt.Fprintf(&out, "not confirmed by %s\n", b)
	}
	if r.Repeat != "" {
		fmt.Fprintf(&out, "ask again with: %s\n", r.Repeat)
	}
	return out.String()
}
