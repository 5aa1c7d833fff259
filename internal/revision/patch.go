package revision

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/tables"
)

// Patch returns base with the changed rows applied, sorted by name. The tables of base must be sorted; they are not modified.
// The error names the first row that is malformed, or the first inconsistency of the patched tables.
func Patch(base *tables.Tables, rows []Row) (*tables.Tables, error) {
	patched, err := patchUnchecked(base, rows)
	if err != nil {
		return nil, err
	}
	return patched, patched.Check()
}

// patchUnchecked is Patch without the consistency check of the patched tables.
func patchUnchecked(base *tables.Tables, rows []Row) (*tables.Tables, error) {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, compareRows)
	var pools, routes []Row
	for i, row := range rows {
		if !row.isValid() {
			return nil, eris.Errorf("row %q of table %d is malformed", row.Name, row.Table)
		}
		if i > 0 && rows[i-1].Key() == row.Key() {
			return nil, eris.Errorf("%s %q is given twice", row.Table, row.Name)
		}
		if row.Table == Pools {
			pools = append(pools, row)
		} else {
			routes = append(routes, row)
		}
	}
	return &tables.Tables{
		Pools:  patchTable(base.Pools, pools, poolName, func(r Row) *tables.Pool { return r.Pool }),
		Routes: patchTable(base.Routes, routes, routeName, func(r Row) *tables.Route { return r.Route }),
	}, nil
}

func poolName(p tables.Pool) string   { return p.Name }
func routeName(r tables.Route) string { return r.Name }

// patchTable merges sorted rows into a sorted table. The function value returns the new item of a row, or nil if the row
// deletes it.
func patchTable[T any](old []T, rows []Row, name func(T) string, value func(Row) *T) []T {
	merged := make([]T, 0, len(old)+len(rows))
	for _, row := range rows {
		n, isFound := slices.BinarySearchFunc(old, row.Name, func(item T, wanted string) int {
			return strings.Compare(name(item), wanted)
		})
		merged = append(merged, old[:n]...)
		old = old[n:]
		if isFound {
			old = old[1:]
		}
		if v := value(row); v != nil {
			merged = append(merged, *v)
		}
	}
	return append(merged, old...)
}

// Sorted returns a copy of the tables with their rows sorted by name.
func Sorted(t *tables.Tables) *tables.Tables {
	sorted := &tables.Tables{Pools: slices.Clone(t.Pools), Routes: slices.Clone(t.Routes)}
	slices.SortFunc(sorted.Pools, func(a, b tables.Pool) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(sorted.Routes, func(a, b tables.Route) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}
