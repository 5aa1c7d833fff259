// Package revision implements the numbered states of the tables: what a change is, how a process takes newer ones and
// never goes back, and the log in the store that accepts changes one after the other.
package revision

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gentianswitch/internal/tables"
)

// ID identifies a revision. The zero ID stands for no tables at all.
type ID struct {
	// Number rises with each accepted change.
	Number uint64 `msgpack:"number" json:"number"`
	// Change is the operator's identifier of the change that made the revision.
	Change string `msgpack:"change" json:"change"`
}

// IsZero reports whether id stands for no tables at all.
func (id ID) IsZero() bool {
	return id == ID{}
}

// String returns the form that logs and the operator's output use.
func (id ID) String() string {
	return fmt.Sprintf("%d (%s)", id.Number, id.Change)
}

// Table names one of the two tables.
type Table uint8

// The tables. Pools come first, since routes refer to them.
const (
	Pools  Table = 1
	Routes Table = 2
)

// String returns the name of the rows of the table.
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

// Row puts or deletes one row of a table. It deletes when both Route and Pool are nil.
type Row struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // tells the codec to write no field names
	Table    Table         `json:"table"`
	Name     string        `json:"name"`
	Route    *tables.Route `json:"route,omitempty"`
	Pool     *tables.Pool  `json:"pool,omitempty"`
}

// IsDelete reports whether the row deletes.
func (r Row) IsDelete() bool {
	return r.Route == nil && r.Pool == nil
}

// isValid reports whether the row names itself and holds at most the value of its table.
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

// RowKey identifies a row.
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

// Revision brings a process to the tables of ID. With a zero Base the rows are the whole tables; otherwise they are
// what changed since Base.
type Revision struct {
	ID   ID    `msgpack:"id"`
	Base ID    `msgpack:"base"`
	Rows []Row `msgpack:"rows"`
}

// IsWhole reports whether the rows are the whole tables.
func (r Revision) IsWhole() bool {
	return r.Base.IsZero()
}

// Entry is one accepted change in the log.
type Entry struct {
	ID ID `msgpack:"id" json:"id"`
	// Previous is the revision that the change was accepted on.
	Previous ID `msgpack:"previous" json:"previous"`
	// Planned is the revision that the operator planned the change against.
	Planned ID `msgpack:"planned" json:"planned"`
	// At is the operator's clock when the change was proposed.
	At time.Time `msgpack:"at" json:"at"`
	// Author names the operator.
	Author string `msgpack:"author" json:"author"`
	// Digest identifies the content of the change, so that a change ID can't be used for two.
	Digest uint64 `msgpack:"digest" json:"digest"`
	// Rows are the rows of the change, sorted. They are left out when the change is large; IsOmitted is then true.
	Rows      []Row `msgpack:"rows" json:"rows"`
	IsOmitted bool  `msgpack:"omitted,omitempty" json:"omitted,omitempty"`
}

// Diff returns the rows that turn from into to, sorted by table and name.
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

// AllRows returns the rows that make up the tables, in the order of the tables.
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
