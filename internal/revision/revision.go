// Package revision implements revisions, the numbered versions of the tables of routes and pools: the changes that operators
// propose, the log in the key-value store that accepts them one after the other, and the state of a process, which applies
// newer revisions only.
package revision

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gentianswitch/internal/tables"
)

// ID identifies a revision. The zero ID stands for empty tables, before the first change.
type ID struct {
	// Number counts the accepted changes: each one has the number of its predecessor plus 1.
	Number uint64 `msgpack:"number" json:"number"`
	// ChangeID is the operator's identifier of the change that made the revision.
	ChangeID string `msgpack:"change" json:"change"`
}

// IsZero reports whether id stands for empty tables, before the first change.
func (id ID) IsZero() bool {
	return id == ID{}
}

// String returns the number and the change ID, as logs and the operator's output show them.
func (id ID) String() string {
	return fmt.Sprintf("%d (%s)", id.Number, id.ChangeID)
}

// Table identifies one of the two tables.
type Table uint8

// The tables. Pools come first, since routes refer to them.
const (
	Pools  Table = 1
	Routes Table = 2
)

// String returns what one row of the table is called in messages.
func (t Table) String() string {
	switch t {
	case Pools:
		return "pool"
	case Routes:
		return "route"
	default:
		return "invalid"
	}
}

// Row is a change of one row of a table: it inserts or replaces the row with the given name. It deletes the row when both
// Route and Pool are nil.
type Row struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // the codec encodes the struct without field names
	Table    Table         `json:"table"`
	Name     string        `json:"name"`
	Route    *tables.Route `json:"route,omitempty"`
	Pool     *tables.Pool  `json:"pool,omitempty"`
}

// IsDelete reports whether the change deletes the row.
func (r Row) IsDelete() bool {
	return r.Route == nil && r.Pool == nil
}

// isValid reports whether the table is known, the value, if any, belongs to that table, and both have the same name.
func (r Row) isValid() bool {
	switch r.Table {
	case Pools:
		return r.Route == nil && (r.Pool == nil || r.Pool.Name == r.Name)
	case Routes:
		return r.Pool == nil && (r.Route == nil || r.Route.Name == r.Name)
	default:
		return false
	}
}

// RowKey identifies a row by its table and name.
type RowKey struct {
	Table Table
	Name  string
}

// Key returns the key of the row.
func (r Row) Key() RowKey {
	return RowKey{Table: r.Table, Name: r.Name}
}

func compareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Name, b.Name))
}

// Revision is an update that results in the tables of revision ID. It is full when Base is zero: Rows are then all rows of the
// tables. Otherwise it is a delta: Rows are the rows that changed since revision Base.
type Revision struct {
	ID   ID    `msgpack:"id"`
	Base ID    `msgpack:"base"`
	Rows []Row `msgpack:"rows"`
}

// IsFull reports whether the rows are all rows of the tables, so that the update applies on any revision.
func (r Revision) IsFull() bool {
	return r.Base.IsZero()
}

// Entry is one accepted change in the log.
type Entry struct {
	ID ID `msgpack:"id" json:"id"`
	// Previous is the revision that the change was accepted on, the newest one at that time.
	Previous ID `msgpack:"previous" json:"previous"`
	// PlannedBase is the revision that the operator planned the change against. It is older than Previous when other changes
	// were accepted in between.
	PlannedBase ID `msgpack:"planned" json:"planned"`
	// At is the time of the proposal by the operator's clock.
	At time.Time `msgpack:"at" json:"at"`
	// Author names the operator.
	Author string `msgpack:"author" json:"author"`
	// Digest is the digest of the tables that the operator wanted. It reveals that a change ID is used for two different
	// changes.
	Digest uint64 `msgpack:"digest" json:"digest"`
	// Rows are the changed rows, sorted. A large change is stored without them. IsOmitted is then true, and the snapshot that
	// is written with the change holds the rows.
	Rows      []Row `msgpack:"rows" json:"rows"`
	IsOmitted bool  `msgpack:"omitted,omitempty" json:"omitted,omitempty"`
}

// Diff returns the rows to change in from to get to, sorted by table and name.
func Diff(from, to *tables.Tables) []Row {
	before, after := rowsByKey(from), rowsByKey(to)
	var rows []Row
	for key, row := range after {
		old, ok := before[key]
		if !ok || !isSameRow(old, row) {
			rows = append(rows, row)
		}
	}
	for key := range before {
		if _, ok := after[key]; !ok {
			rows = append(rows, Row{Table: key.Table, Name: key.Name})
		}
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

func isSameRow(a, b Row) bool {
	if a.Table == Pools {
		return *a.Pool == *b.Pool
	}
	return *a.Route == *b.Route
}

func rowsByKey(t *tables.Tables) map[RowKey]Row {
	byKey := make(map[RowKey]Row, len(t.Pools)+len(t.Routes))
	for _, row := range AllRows(t) {
		byKey[row.Key()] = row
	}
	return byKey
}

// AllRows returns all rows of the tables, pools first, each in the order of its table.
func AllRows(t *tables.Tables) []Row {
	rows := make([]Row, 0, len(t.Pools)+len(t.Routes))
	for i := range t.Pools {
		rows = append(rows, Row{Table: Pools, Name: t.Pools[i].Name, Pool: &t.Pools[i]})
	}
	for i := range t.Routes {
		rows = append(rows, Row{Table: Routes, Name: t.Routes[i].Name, Route: &t.Routes[i]})
	}
	return rows
}
