package revision

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

// Proposal is a change that an operator requests.
type Proposal struct {
	// ChangeID is the operator's identifier of the change. It makes a proposal idempotent: a repeated one has the same ID.
	ChangeID string
	Author   string
	// At is the current time by the operator's clock.
	At time.Time
	// PlannedBase is the number of the revision that the change was planned against. With nil it is the newest revision in the
	// log at the first attempt.
	PlannedBase *uint64
	// Desired are the tables that the operator wants.
	Desired *tables.Tables
	// BalancerRevision is the newest revision that a balancer has in force, or zero. If the store holds only an older revision
	// or a damaged log, for example after a restore from a backup, the change is applied on this one.
	BalancerRevision ID
	// FetchBalancerRevision returns the full tables of that revision from the balancer.
	FetchBalancerRevision func(ctx context.Context) (Revision, error)
}

// Verdict says whether a proposal was accepted.
type Verdict uint8

// The verdicts.
const (
	// Accepted means that the change is in the log. This is final.
	Accepted Verdict = iota + 1
	// Unchanged means that the tables of the planned revision are as desired already.
	Unchanged
	// Refused means that the change conflicts with accepted changes or cannot be checked against them. It never takes effect.
	Refused
	// NotAccepted means that the retries ended without a write that may have succeeded: each write was not sent or met a
	// version conflict. The change never takes effect.
	NotAccepted
	// Unknown means that the change may or may not take effect. It is safe to repeat the same proposal.
	Unknown
)

// String returns the name that the operator's output uses.
func (v Verdict) String() string {
	names := [...]string{"none", "accepted", "unchanged", "refused", "not accepted", "unknown"}
	if int(v) >= len(names) {
		return names[0]
	}
	return names[v]
}

// Result is the result of a proposal.
type Result struct {
	Verdict Verdict
	// ID is the revision that the change made. For the verdict Unchanged it is the newest revision.
	ID ID
	// PlannedBase is the revision that the change was planned against.
	PlannedBase ID
	// Rows are the changed rows, sorted.
	Rows []Row
	// Conflicts are the accepted changes that the proposal conflicts with.
	Conflicts []Entry
	// Reason says why the change was not accepted.
	Reason string
	// Delta and Full are the updates that bring balancers to the newest revision: Full holds the full tables, and Delta only
	// the rows of the change where that is possible. They are set for the verdicts Accepted and Unchanged.
	Delta, Full Revision
	// IsRestored is set when the store held an older revision than a balancer, or a damaged log, and was restored from the
	// balancer's tables.
	IsRestored bool
}

// Bounds of the backoff between attempts of a proposal.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// backOffWithJitter waits for a randomized interval that grows with each attempt.
func backOffWithJitter(ctx context.Context, n int) error {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval = initialBackoff
	interval.MaxInterval = maxBackoff
	wait := initialBackoff
	for range n {
		wait = interval.NextBackOff()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

// Propose appends a change to the log. It retries until ctx ends. It reports Accepted only if the store has acknowledged the
// write or a later read shows the change in the log.
func (l *Log) Propose(ctx context.Context, p Proposal) Result {
	run := proposalRun{log: l, proposal: p}
	for n := 1; ; n++ {
		result, err := run.tryOnce(ctx)
		if err == nil {
			return result
		}
		run.lastErr = err
		if l.backOff(ctx, n) != nil {
			return run.giveUp()
		}
	}
}

// proposalRun is the state of one call of Propose over its retries.
type proposalRun struct {
	log      *Log
	proposal Proposal
	// plannedBase is the revision that the change was planned against, or nil before the first read of the log.
	plannedBase *ID
	// mayTakeEffect is set once a write of the head was sent whose outcome is not known: it may still take effect.
	mayTakeEffect bool
	// lastErr is the reason for the latest retry.
	lastErr error
}

// giveUp returns the result of a proposal whose context has ended.
func (r *proposalRun) giveUp() Result {
	result := Result{Verdict: NotAccepted, Reason: r.lastErr.Error()}
	if r.mayTakeEffect {
		result.Verdict = Unknown
	}
	if r.plannedBase != nil {
		result.PlannedBase = *r.plannedBase
	}
	return result
}

// tryOnce reads the log and writes the head once. With an error the caller retries.
func (r *proposalRun) tryOnce(ctx context.Context) (Result, error) {
	view, err := r.readView(ctx)
	if err != nil {
		return Result{}, err
	}
	if !r.resolvePlannedBase(view) {
		reason := fmt.Sprintf("the log does not hold revision %d, which the change was planned against", *r.proposal.PlannedBase)
		return Result{Verdict: Refused, Reason: reason}, nil
	}
	d := decide(view, r.proposal, *r.plannedBase)
	if d.result.Verdict == Refused && r.mayTakeEffect && !d.isFinal {
		d.result.Verdict = Unknown
	}
	if d.nextHead == nil {
		return d.result, nil
	}
	return r.writeHead(ctx, view, d)
}

// readView reads the log from the store. If a balancer has a newer revision in force, or if the log is damaged, it returns a
// view of the balancer's revision instead.
func (r *proposalRun) readView(ctx context.Context) (*View, error) {
	view, err := r.log.Read(ctx)
	known := r.proposal.BalancerRevision
	if view == nil || known.Number < view.Head.ID.Number || known.IsZero() {
		return view, err
	}
	if err == nil && known.Number == view.Head.ID.Number {
		return view, nil
	}
	if err != nil && !eris.Is(err, ErrDamaged) {
		return nil, err
	}
	full, err := r.proposal.FetchBalancerRevision(ctx)
	if err != nil {
		return nil, eris.Wrapf(err, "restore revision %s, which the store has lost", known)
	}
	return view.restoredFrom(full)
}

// resolvePlannedBase determines the revision that the change was planned against. It reports false when the log does not
// hold that revision.
func (r *proposalRun) resolvePlannedBase(view *View) bool {
	if r.plannedBase != nil {
		return true
	}
	planned, ok := view.Head.ID, true
	if r.proposal.PlannedBase != nil {
		planned, ok = view.IDByNumber(*r.proposal.PlannedBase)
	}
	if found := view.Head.EntryByChangeID(r.proposal.ChangeID); found != nil {
		planned, ok = found.PlannedBase, true
	}
	r.plannedBase = &planned
	return ok
}

// writeHead writes the head that d holds, and the snapshot that it needs before.
func (r *proposalRun) writeHead(ctx context.Context, view *View, d decision) (Result, error) {
	next := *d.nextHead
	if d.needsSnapshot {
		snapshot, err := r.log.writeSnapshot(ctx, next.ID, d.newTables)
		if err != nil {
			return Result{}, err
		}
		next.Snapshot = snapshot
	}
	raw, err := next.Encode()
	if err != nil {
		return Result{}, err
	}
	_, err = r.log.kv.CompareAndSwap(ctx, HeadKey, view.Version, raw, 0)
	if err != nil {
		isUnsent := eris.Is(err, store.ErrConflict) || eris.Is(err, store.ErrNotSent)
		r.mayTakeEffect = r.mayTakeEffect || !isUnsent
		return Result{}, eris.Wrap(err, "write head")
	}
	if d.needsSnapshot && !view.isRestored {
		r.log.expireSnapshot(ctx, view.Head.Snapshot)
	}
	return d.result, nil
}
