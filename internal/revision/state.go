package revision

import (
	"slices"

	"gentianswitch/internal/tables"
)

// keptDeltas is the number of deltas that a process keeps for peers that lag behind.
const keptDeltas = 64

// Outcome tells what became of a revision that a process was offered.
type Outcome uint8

// The outcomes.
const (
	// Applied means that the revision is in force.
	Applied Outcome = iota + 1
	// Same means that the revision was in force already.
	Same
	// Older means that a newer revision is in force; it stays.
	Older
	// Forked means that another change is in force under the same number; it stays.
	Forked
	// Gap means that the base of a delta is not in force: the sender has to be asked for the whole tables.
	Gap
	// Invalid means that the rows do not make consistent tables.
	Invalid
)

// String returns the name that logs use.
func (o Outcome) String() string {
	names := [...]string{"none", "applied", "same", "older", "forked", "gap", "invalid"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// State is the configuration that a process has in force. It takes rising revisions only. It is not safe for
// concurrent use.
type State struct {
	id     ID
	tables *tables.Tables
	index  *index
	// deltas lead, one after the other, to the revision in force.
	deltas []Revision
}

// NewState returns a state with no tables.
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

// Apply puts a revision in force if it is newer than the present one.
func (s *State) Apply(r Revision) Outcome {
	switch {
	case r.ID == s.id:
		return Same
	case r.ID.Number < s.id.Number:
		return Older
	case r.ID.Number == s.id.Number:
		return Forked
	case r.IsWhole():
		return s.replace(r)
	case r.Base != s.id:
		return Gap
	default:
		return s.patch(r)
	}
}

func (s *State) replace(r Revision) Outcome {
	whole, err := Patch(&tables.Tables{}, r.Rows)
	if err != nil {
		return Invalid
	}
	if s.id.IsZero() {
		s.deltas = nil
	} else {
		s.keep(Revision{ID: r.ID, Base: s.id, Rows: Diff(s.tables, whole)})
	}
	s.id, s.tables, s.index = r.ID, whole, newIndex(whole)
	return Applied
}

func (s *State) patch(r Revision) Outcome {
	patched, err := merge(s.tables, r.Rows)
	if err != nil {
		return Invalid
	}
	if s.index.apply(r.Rows) != nil {
		s.index = newIndex(s.tables)
		return Invalid
	}
	s.keep(r)
	s.id, s.tables = r.ID, patched
	return Applied
}

func (s *State) keep(delta Revision) {
	s.deltas = append(s.deltas, delta)
	if len(s.deltas) > keptDeltas {
		s.deltas = slices.Delete(s.deltas, 0, len(s.deltas)-keptDeltas)
	}
}

// Since returns what brings a process that has the revision have in force to the present one: a delta when it is
// kept, else the whole tables.
func (s *State) Since(have ID) Revision {
	first := slices.IndexFunc(s.deltas, func(d Revision) bool { return d.Base == have })
	if first < 0 || have.IsZero() {
		return Revision{ID: s.id, Rows: AllRows(s.tables)}
	}
	return Revision{ID: s.id, Base: have, Rows: mergeRows(s.deltas[first:])}
}

// mergeRows returns the last row of each key, sorted.
func mergeRows(deltas []Revision) []Row {
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
