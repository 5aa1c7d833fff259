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

// Proposal is a change that an operator asks for.
type Proposal struct {
	// Change is the operator's identifier of the change. A repeated proposal has the same one.
	Change string
	Author string
	// At is the operator's clock.
	At time.Time
	// Planned is the number of the revision that the change was planned against. Nil stands for the newest one.
	Planned *uint64
	// Desired are the tables that the operator wants.
	Desired *tables.Tables
	// Known is the newest revision that a balancer has in force. It replaces what the store holds when the store has
	// come back older; FetchKnown then returns its whole tables.
	Known      ID
	FetchKnown func(ctx context.Context) (Revision, error)
}

// Verdict is the outcome of a proposal.
type Verdict uint8

// The verdicts.
const (
	// Accepted means that the store holds the change. It stays.
	Accepted Verdict = iota + 1
	// Unchanged means that the tables are as desired already.
	Unchanged
	// Refused means that the change does not fit what others have changed. It never takes effect.
	Refused
	// NotAccepted means that the change was not sent to the store. It never takes effect.
	NotAccepted
	// Unknown means that the change may or may not take effect. The same proposal can be repeated.
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

// Result tells what became of a proposal.
type Result struct {
	Verdict Verdict
	// ID is the revision that the change made, or the one that was found.
	ID ID
	// Planned is the revision that the rows were planned against.
	Planned ID
	// Rows are the rows of the change.
	Rows []Row
	// Others are the changes of others that the proposal does not fit.
	Others []Entry
	// Reason tells why the change was not accepted.
	Reason string
	// Delta and Whole bring balancers to the newest revision, for the verdicts Accepted and Unchanged.
	Delta, Whole Revision
	// IsRestored tells that the store had come back older than the balancers and was brought up to date.
	IsRestored bool
}

// Retries of calls to the store.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// pauseWithJitter waits for an interval that grows with each try.
func pauseWithJitter(ctx context.Context, n int) error {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval = firstPause
	interval.MaxInterval = maxPause
	wait := firstPause
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

// Propose appends a change to the log, with retries until ctx ends. It never reports Accepted unless the store has
// confirmed or shown the change.
func (l *Log) Propose(ctx context.Context, p Proposal) Result {
	attempt := attempt{log: l, proposal: p}
	for n := 1; ; n++ {
		result, err := attempt.try(ctx)
		if err == nil {
			return result
		}
		attempt.last = err
		if l.pause(ctx, n) != nil {
			return attempt.giveUp()
		}
	}
}

// attempt is the state of a proposal over its tries.
type attempt struct {
	log      *Log
	proposal Proposal
	// planned is the revision that the change was planned against, once it is known.
	planned *ID
	// isSent tells that a write of the head may take effect or have taken effect.
	isSent bool
	last   error
}

// giveUp returns the result of a proposal whose time has ended.
func (a *attempt) giveUp() Result {
	result := Result{Verdict: NotAccepted, Reason: a.last.Error()}
	if a.isSent {
		result.Verdict = Unknown
	}
	if a.planned != nil {
		result.Planned = *a.planned
	}
	return result
}

// try reads the log and writes the head once. An error asks for another try.
func (a *attempt) try(ctx context.Context) (Result, error) {
	view, err := a.read(ctx)
	if err != nil {
		return Result{}, err
	}
	if !a.resolvePlanned(view) {
		reason := fmt.Sprintf("the log does not hold revision %d, which the change was planned against", *a.proposal.Planned)
		return Result{Verdict: Refused, Reason: reason}, nil
	}
	d := newDraft(view, a.proposal, *a.planned)
	if d.result.Verdict == Refused && a.isSent && !d.isCertain {
		d.result.Verdict = Unknown
	}
	if d.next == nil {
		return d.result, nil
	}
	return a.write(ctx, view, d)
}

// read returns the log as it is in the store, or as a balancer knows it when the store has come back older.
func (a *attempt) read(ctx context.Context) (*View, error) {
	view, err := a.log.Read(ctx)
	known := a.proposal.Known
	if view == nil || known.Number < view.Head.ID.Number || known.IsZero() {
		return view, err
	}
	if err == nil && known.Number == view.Head.ID.Number {
		return view, nil
	}
	if err != nil && !eris.Is(err, ErrDamaged) {
		return nil, err
	}
	whole, err := a.proposal.FetchKnown(ctx)
	if err != nil {
		return nil, eris.Wrapf(err, "restore revision %s, which the store has lost", known)
	}
	return view.restored(whole)
}

// resolvePlanned finds the revision that the change was planned against. It reports false when the log has lost it.
func (a *attempt) resolvePlanned(view *View) bool {
	if a.planned != nil {
		return true
	}
	planned, ok := view.Head.ID, true
	if a.proposal.Planned != nil {
		planned, ok = view.Resolve(*a.proposal.Planned)
	}
	if found := view.Head.Find(a.proposal.Change); found != nil {
		planned, ok = found.Planned, true
	}
	a.planned = &planned
	return ok
}

func (a *attempt) write(ctx context.Context, view *View, d draft) (Result, error) {
	next := *d.next
	if d.needsSnapshot {
		snapshot, err := a.log.writeSnapshot(ctx, next.ID, d.whole)
		if err != nil {
			return Result{}, err
		}
		next.Snapshot = snapshot
	}
	raw, err := next.Encode()
	if err != nil {
		return Result{}, err
	}
	_, err = a.log.kv.CompareAndSwap(ctx, HeadKey, view.Version, raw, 0)
	if err != nil {
		isUnsent := eris.Is(err, store.ErrConflict) || eris.Is(err, store.ErrNotSent)
		a.isSent = a.isSent || !isUnsent
		return Result{}, eris.Wrap(err, "write head")
	}
	if d.needsSnapshot && !view.isRestored {
		a.log.trim(ctx, view.Head.Snapshot)
	}
	return d.result, nil
}
