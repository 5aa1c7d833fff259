package revision

import (
	"slices"

	"gentianswitch/internal/tables"
)

// maxKeptDeltas is the number of deltas that a process keeps for peers with an older revision.
const maxKeptDeltas = 64

// Outcome is the result of State.Apply.
type Outcome uint8

// The outcomes.
const (
	// Applied means that the revision is now in force.
	Applied Outcome = iota + 1
	// Same means that the revision was in force already.
	Same
	// Older means that a newer revision is in force, which stays.
	Older
	// Forked means that the revision in force has the same number and another change ID; it stays.
	Forked
	// Gap means that the base of a delta is not in force. The process has to request an update from the revision that it has.
	Gap
	// Invalid means that the rows would make inconsistent tables.
	Invalid
)

// String returns the name that logs show.
func (o Outcome) String() string {
	names := [...]string{"none", "applied", "same", "older", "forked", "gap", "invalid"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// State holds the tables that a process has in force. It applies a revision only if its number is higher than that of the
// revision in force. It is not safe for concurrent use.
type State struct {
	id     ID
	tables *tables.Tables
	index  *index
	// deltas are the latest changes, the newest last: each applies on the one before it, and the last made the revision in
	// force.
	deltas []Revision
}

// NewState returns a state with empty tables.
func NewState() *State {
	empty := &tables.Tables{}
	return &State{tables: empty, index: newIndex(empty)}
}

// ID returns the revision in force.
func (s *State) ID() ID {
	return s.id
}

// Tables returns the tables in force. The caller must not change them.
func (s *State) Tables() *tables.Tables {
	return s.tables
}

// Apply puts a revision in force if it is newer than the current one.
func (s *State) Apply(r Revision) Outcome {
	switch {
	case r.ID == s.id:
		return Same
	case r.ID.Number < s.id.Number:
		return Older
	case r.ID.Number == s.id.Number:
		return Forked
	case r.IsFull():
		return s.applyFull(r)
	case r.Base != s.id:
		return Gap
	default:
		return s.applyDelta(r)
	}
}

func (s *State) applyFull(r Revision) Outcome {
	full, err := Patch(&tables.Tables{}, r.Rows)
	if err != nil {
		return Invalid
	}
	if s.id.IsZero() {
		s.deltas = nil
	} else {
		s.appendDelta(Revision{ID: r.ID, Base: s.id, Rows: Diff(s.tables, full)})
	}
	s.id, s.tables, s.index = r.ID, full, newIndex(full)
	return Applied
}

func (s *State) applyDelta(r Revision) Outcome {
	patched, err := patchUnchecked(s.tables, r.Rows)
	if err != nil {
		return Invalid
	}
	if s.index.applyRows(r.Rows) != nil {
		s.index = newIndex(s.tables)
		return Invalid
	}
	s.appendDelta(r)
	s.id, s.tables = r.ID, patched
	return Applied
}

func (s *State) appendDelta(delta Revision) {
	s.deltas = append(s.deltas, delta)
	if len(s.deltas) > maxKeptDeltas {
		s.deltas = slices.Delete(s.deltas, 0, len(s.deltas)-maxKeptDeltas)
	}
}

// UpdateSince returns the update from revision base to the one in force: a delta if the deltas since base are kept, else
// the full tables.
func (s *State) UpdateSince(base ID) Revision {
	first := slices.IndexFunc(s.deltas, func(d Revision) bool { return d.Base == base })
	if first < 0 || base.IsZero() {
		return Revision{ID: s.id, Rows: AllRows(s.tables)}
	}
	return Revision{ID: s.id, Base: base, Rows: latestRows(s.deltas[first:])}
}

// latestRows merges deltas into one: it returns the last change of each row, sorted.
func latestRows(deltas []Revision) []Row {
	last := make(map[RowKey]Row)
	for _, d := range deltas {
		for _, row := range d.Rows {
			last[row.Key()] = row
		}
	}
	rows := make([]Row, 0, len(last))
	for _, row := range last {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, compareRows)
	return rows
}
