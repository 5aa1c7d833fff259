package revision

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/internal/tables"
)

// draft is the decision for a proposal on one view of the log.
type draft struct {
	// result is final when next is nil. Otherwise it holds once next has been written.
	result Result
	// isCertain tells that a refusal holds also for a write that was sent earlier.
	isCertain bool
	// next is the head to write, or nil.
	next *Head
	// needsSnapshot tells that the segments of whole are written before next.
	needsSnapshot bool
	// whole are the tables after the change.
	whole *tables.Tables
}

// newDraft decides on a proposal that was planned against the given revision. It is a pure function.
func newDraft(v *View, p Proposal, planned ID) draft {
	digest := digestOfTables(p.Desired)
	if found := v.Head.Find(p.Change); found != nil {
		return foundDraft(v, p, *found, digest)
	}
	base, err := v.At(planned)
	if err != nil {
		return refusal(planned, nil, nil, err.Error())
	}
	rows := Diff(base, Sorted(p.Desired))
	if len(rows) == 0 {
		return settledDraft(v, Result{Verdict: Unchanged, ID: v.Head.ID, Planned: planned})
	}
	others, isReachable := v.Head.After(planned)
	if !isReachable {
		return refusal(planned, rows, nil, fmt.Sprintf("the log no longer reaches back to revision %s", planned))
	}
	if overlapping := overlap(rows, others); len(overlapping) > 0 {
		return certainRefusal(planned, rows, overlapping, "another change has changed the same rows")
	}
	return newEntryDraft(v, rows, others, Entry{
		ID:       ID{Number: v.Head.ID.Number + 1, Change: p.Change},
		Previous: v.Head.ID, Planned: planned, At: p.At, Author: p.Author, Digest: digest, Rows: rows,
	})
}

func newEntryDraft(v *View, rows []Row, others []Entry, entry Entry) draft {
	current, err := v.Tables()
	if err != nil {
		return refusal(entry.Planned, rows, others, err.Error())
	}
	whole, err := Patch(current, rows)
	if err != nil {
		return certainRefusal(entry.Planned, rows, others, err.Error())
	}
	next, needsSnapshot := v.next(entry)
	return draft{
		next: &next, needsSnapshot: needsSnapshot, whole: whole,
		result: Result{
			Verdict: Accepted, ID: entry.ID, Planned: entry.Planned, Rows: rows, IsRestored: v.isRestored,
			Delta: Revision{ID: entry.ID, Base: entry.Previous, Rows: rows},
			Whole: Revision{ID: entry.ID, Rows: AllRows(whole)},
		},
	}
}

// foundDraft answers a proposal whose change ID is in the log.
func foundDraft(v *View, p Proposal, found Entry, digest uint64) draft {
	if found.Digest != digest {
		reason := fmt.Sprintf("the change ID %s names another change already", p.Change)
		return certainRefusal(found.Planned, nil, []Entry{found}, reason)
	}
	return settledDraft(v, Result{Verdict: Accepted, ID: found.ID, Planned: found.Planned, Rows: found.Rows})
}

// settledDraft answers a proposal that needs no new entry. A restored view is written back to the store as it is.
func settledDraft(v *View, result Result) draft {
	whole, err := v.Tables()
	if err != nil {
		return refusal(result.Planned, nil, nil, err.Error())
	}
	result.Whole = Revision{ID: v.Head.ID, Rows: AllRows(whole)}
	result.Delta = result.Whole
	result.IsRestored = v.isRestored
	d := draft{result: result, whole: whole}
	if v.isRestored {
		d.next, d.needsSnapshot = &v.Head, true
	}
	return d
}

func refusal(planned ID, rows []Row, others []Entry, reason string) draft {
	return draft{result: Result{Verdict: Refused, Planned: planned, Rows: rows, Others: others, Reason: reason}}
}

func certainRefusal(planned ID, rows []Row, others []Entry, reason string) draft {
	d := refusal(planned, rows, others, reason)
	d.isCertain = true
	return d
}

// overlap returns the entries that change one of the rows.
func overlap(rows []Row, entries []Entry) []Entry {
	keys := make(map[RowKey]bool, len(rows))
	for _, row := range rows {
		keys[row.Key()] = true
	}
	var found []Entry
	for _, e := range entries {
		for _, row := range e.Rows {
			if keys[row.Key()] {
				found = append(found, e)
				break
			}
		}
	}
	return found
}

func digestOfTables(t *tables.Tables) uint64 {
	raw, err := msgpack.Marshal(AllRows(Sorted(t)))
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}
