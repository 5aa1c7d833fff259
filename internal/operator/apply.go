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
	// retryInterval is the pause between attempts to reach balancers, and between two queries of a drain.
	retryInterval = 100 * time.Millisecond
	// deliveryTimeout bounds the time until the first balancer confirms an accepted change.
	deliveryTimeout = 4 * time.Second
)

// ApplyOptions are the options of the apply command.
type ApplyOptions struct {
	File string
	// ChangeID identifies the change. Empty generates a new one.
	ChangeID string
	Author   string
	// Base is the number of the revision that the change was planned against. Nil means the newest one.
	Base *uint64
	// IsStoreOnly skips the balancers. It is for the first change, before any balancer runs.
	IsStoreOnly bool
	// MustWaitForAll makes Apply wait until every live balancer has applied the change, not only those that the settings list.
	MustWaitForAll bool
	// Timeout bounds the time until the store has accepted the change. With MustWaitForAll it also bounds the time after that
	// until every balancer has applied it.
	Timeout time.Duration
}

// ApplyReport is the outcome of a change.
type ApplyReport struct {
	Outcome  string      `json:"outcome"`
	Change   string      `json:"change"`
	Revision uint64      `json:"revision"`
	Base     uint64      `json:"base"`
	Rows     []RowChange `json:"rows"`
	// Conflicts are the changes of others, made since the base, that conflict with this one.
	Conflicts []ChangeReport `json:"others,omitempty"`
	Reason    string         `json:"reason,omitempty"`
	// IsStoreRestored means that the store had lost changes that balancers had applied, and that they were written to it
	// again.
	IsStoreRestored bool `json:"restored,omitempty"`
	// ConfirmedCount is the number of balancers that have confirmed that they have applied the change or a newer one.
	// Unconfirmed are the other balancers that the change was offered to.
	ConfirmedCount int              `json:"confirmed"`
	Unconfirmed    []netip.AddrPort `json:"behind,omitempty"`
	// RolloutMS is the time in milliseconds from the acceptance by the store until all these balancers had confirmed the
	// change. It is 0 while one of them is unconfirmed.
	RolloutMS int64 `json:"in_force_ms,omitempty"`
	// Repeat is the command that retries a change whose outcome is unknown. It proposes the same change, never a second one.
	Repeat string `json:"repeat,omitempty"`
}

// Apply proposes the desired tables as a change to the log in the store and, once it is accepted, sends it to the balancers.
// Unless IsStoreOnly is set, nothing is written while no balancer answers, since only balancers can reveal that the store has
// lost changes.
func (o *Operator) Apply(ctx context.Context, desired *tables.Tables, options ApplyOptions) (*ApplyReport, ExitCode) {
	if options.ChangeID == "" {
		options.ChangeID = uuid.NewString()
	}
	proposalCtx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	proposal := revision.Proposal{
		ChangeID: options.ChangeID, Author: options.Author, At: o.now().UTC(), PlannedBase: options.Base, Desired: desired,
	}
	if !options.IsStoreOnly {
		known, from, ok := o.awaitNewestRevision(proposalCtx)
		if !ok {
			return notAcceptedReport(options, "no balancer answers, so that a store which has lost changes cannot be told"), ExitFailed
		}
		proposal.BalancerRevision = known
		proposal.FetchBalancerRevision = func(ctx context.Context) (revision.Revision, error) { return o.fetchRevision(ctx, from) }
	}
	result := o.log.Propose(proposalCtx, proposal)
	report := newApplyReport(options, result)
	switch result.Verdict {
	case revision.Accepted, revision.Unchanged:
		return report, o.deliverChange(ctx, report, result, options)
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
		Rows: describeRows(nil, result.Rows), Conflicts: describeEntries(result.Conflicts), Reason: result.Reason,
		IsStoreRestored: result.IsRestored,
	}
}

func notAcceptedReport(options ApplyOptions, reason string) *ApplyReport {
	return &ApplyReport{Outcome: revision.NotAccepted.String(), Change: options.ChangeID, Reason: reason}
}

func repeatCommand(options ApplyOptions, result revision.Result) string {
	return fmt.Sprintf("gentianctl apply --file %s --change-id %s --base %d",
		options.File, options.ChangeID, result.PlannedBase.Number)
}

// awaitNewestRevision polls the balancers until one answers. It returns the newest applied revision and the balancer that has
// it, or false when ctx ends first.
func (o *Operator) awaitNewestRevision(ctx context.Context) (revision.ID, netip.AddrPort, bool) {
	for {
		known, from, ok := newestRevision(o.requestStatuses(ctx, o.balancers))
		if ok || !sleep(ctx, retryInterval) {
			return known, from, ok
		}
	}
}

// deliverChange sends an accepted change to the balancers. Its outcome is unknown until one balancer has confirmed it: from
// then on the balancers distribute it among themselves, even if the store loses it.
func (o *Operator) deliverChange(
	ctx context.Context, report *ApplyReport, result revision.Result, options ApplyOptions,
) ExitCode {
	if options.IsStoreOnly {
		return ExitOK
	}
	start := o.now()
	timeout := deliveryTimeout
	if options.MustWaitForAll {
		timeout = options.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	confirmed := make(map[netip.AddrPort]bool)
	for {
		report.Unconfirmed = o.offerToUnconfirmed(ctx, result, options, confirmed)
		report.ConfirmedCount = len(confirmed)
		isDone := len(report.Unconfirmed) == 0 || report.ConfirmedCount > 0 && !options.MustWaitForAll
		if isDone || !sleep(ctx, retryInterval) {
			break
		}
	}
	if len(report.Unconfirmed) == 0 {
		report.RolloutMS = o.now().Sub(start).Milliseconds()
	}
	switch {
	case report.ConfirmedCount == 0:
		report.Outcome = revision.Unknown.String()
		report.Reason = "the store holds the change, but no balancer has confirmed it"
		report.Repeat = repeatCommand(options, result)
		return ExitUnknown
	case options.MustWaitForAll && len(report.Unconfirmed) > 0:
		return ExitPending
	default:
		return ExitOK
	}
}

// offerToUnconfirmed offers the change to the balancers that have not confirmed it, adds those that confirm it now to
// confirmed, and returns the others.
func (o *Operator) offerToUnconfirmed(
	ctx context.Context, result revision.Result, options ApplyOptions, confirmed map[netip.AddrPort]bool,
) []netip.AddrPort {
	balancers := o.balancers
	if options.MustWaitForAll {
		balancers = o.knownBalancers(ctx)
	}
	var pending []netip.AddrPort
	for _, b := range balancers {
		if !confirmed[b] {
			pending = append(pending, b)
		}
	}
	unconfirmed := o.offerRevisionToAll(ctx, pending, result)
	for _, b := range pending {
		if !slices.Contains(unconfirmed, b) {
			confirmed[b] = true
		}
	}
	return unconfirmed
}

// sleep waits for d and reports whether ctx was still active when the wait ended.
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
	if r.IsStoreRestored {
		out.WriteString("the store had lost changes that were in force; it holds them again\n")
	}
	for _, c := range r.Conflicts {
		fmt.Fprintf(&out, "in the way: %s\n", c.summary())
		writeRows(&out, c.Rows)
	}
	if r.ConfirmedCount > 0 {
		fmt.Fprintf(&out, "in force on %d of %d balancers asked\n", r.ConfirmedCount, r.ConfirmedCount+len(r.Unconfirmed))
	}
	for _, b := range r.Unconfirmed {
		fmt.Fprintf(&out, "not confirmed by %s\n", b)
	}
	if r.Repeat != "" {
		fmt.Fprintf(&out, "ask again with: %s\n", r.Repeat)
	}
	return out.String()
}
