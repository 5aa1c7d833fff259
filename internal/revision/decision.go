package revision

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/internal/tables"
)

// decision is the decision on a proposal, made on one view of the log.
type decision struct {
	// result is the result of the proposal. If nextHead is set, it is valid only after nextHead has been written.
	result Result
	// isFinal is set when a refusal also rules out that an earlier write of the proposal takes effect.
	isFinal bool
	// nextHead is the head to write, or nil if nothing has to be written.
	nextHead *Head
	// needsSnapshot is set when a snapshot of newTables has to be written before nextHead.
	needsSnapshot bool
	// newTables are the tables of nextHead.
	newTables *tables.Tables
}

// decide decides on a proposal that was planned against the given revision. It has no side effects.
func decide(v *View, p Proposal, planned ID) decision {
	digest := digestOfTables(p.Desired)
	if found := v.Head.EntryByChangeID(p.ChangeID); found != nil {
		return decideRepeated(v, p, *found, digest)
	}
	base, err := v.TablesAt(planned)
	if err != nil {
		return refuse(planned, nil, nil, err.Error())
	}
	rows := Diff(base, Sorted(p.Desired))
	if len(rows) == 0 {
		return decideWithoutEntry(v, Result{Verdict: Unchanged, ID: v.Head.ID, PlannedBase: planned})
	}
	others, isComplete := v.Head.EntriesSince(planned)
	if !isComplete {
		return refuse(planned, rows, nil, fmt.Sprintf("the log no longer reaches back to revision %s", planned))
	}
	if overlapping := overlap(rows, others); len(overlapping) > 0 {
		return refuseFinally(planned, rows, overlapping, "another change has changed the same rows")
	}
	return decideNewEntry(v, rows, others, Entry{
		ID:       ID{Number: v.Head.ID.Number + 1, ChangeID: p.ChangeID},
		Previous: v.Head.ID, PlannedBase: planned, At: p.At, Author: p.Author, Digest: digest, Rows: rows,
	})
}

// decideNewEntry accepts a change that overlaps with none of the others, unless the tables would be inconsistent with both.
func decideNewEntry(v *View, rows []Row, others []Entry, entry Entry) decision {
	current, err := v.Tables()
	if err != nil {
		return refuse(entry.PlannedBase, rows, others, err.Error())
	}
	patched, err := Patch(current, rows)
	if err != nil {
		return refuseFinally(entry.PlannedBase, rows, others, err.Error())
	}
	next, needsSnapshot := v.nextHead(entry)
	return decision{
		nextHead: &next, needsSnapshot: needsSnapshot, newTables: patched,
		result: Result{
			Verdict: Accepted, ID: entry.ID, PlannedBase: entry.PlannedBase, Rows: rows, IsRestored: v.isRestored,
			Delta: Revision{ID: entry.ID, Base: entry.Previous, Rows: rows},
			Full:  Revision{ID: entry.ID, Rows: AllRows(patched)},
		},
	}
}

// decideRepeated decides on a proposal whose change ID is in the log already.
func decideRepeated(v *View, p Proposal, found Entry, digest uint64) decision {
	if found.Digest != digest {
		reason := fmt.Sprintf("change ID %s is already used for another change", p.ChangeID)
		return refuseFinally(found.PlannedBase, nil, []Entry{found}, reason)
	}
	return decideWithoutEntry(v, Result{Verdict: Accepted, ID: found.ID, PlannedBase: found.PlannedBase, Rows: found.Rows})
}

// decideWithoutEntry returns the given result for a proposal that needs no new entry. A restored view is still written to the
// store.
func decideWithoutEntry(v *View, result Result) decision {
	current, err := v.Tables()
	if err != nil {
		return refuse(result.PlannedBase, nil, nil, err.Error())
	}
	result.Full = Revision{ID: v.Head.ID, Rows: AllRows(current)}
	result.Delta = result.Full
	result.IsRestored = v.isRestored
	d := decision{result: result, newTables: current}
	if v.isRestored {
		d.nextHead, d.needsSnapshot = &v.Head, true
	}
	return d
}

// refuse refuses the proposal. An earlier write of it may still take effect.
func refuse(planned ID, rows []Row, others []Entry, reason string) decision {
	return decision{result: Result{Verdict: Refused, PlannedBase: planned, Rows: rows, Conflicts: others, Reason: reason}}
}

// refuseFinally refuses the proposal and rules out that an earlier write of it takes effect. It requires a log without gaps
// since the planned revision, or an entry with the change ID: a successful write would be visible in such a log, and a late one
// meets a version conflict, since the head has changed.
func refuseFinally(planned ID, rows []Row, others []Entry, reason string) decision {
	d := refuse(planned, rows, others, reason)
	d.isFinal = true
	return d
}

// overlap returns the entries that change at least one of the given rows.
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

// digestOfTables returns a digest of the tables that does not depend on the order of their rows.
func digestOfTables(t *tables.Tables) uint64 {
	raw, err := msgpack.Marshal(AllRows(Sorted(t)))
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}
