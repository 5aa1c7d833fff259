package operator

import (
	"fmt"
	"strings"
	"time"

	"gentianswitch/internal/revision"
	"gentianswitch/internal/tables"
)

// Values of RowChange.Action.
const (
	actionAdd    = "add"
	actionChange = "change"
	actionPut    = "put"
	actionDelete = "delete"
)

// RowChange is the change of one row of a table.
type RowChange struct {
	// Action is add, change or delete, or put if the previous row is not known.
	Action string `json:"action"`
	Table  string `json:"table"`
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// describeRows returns the changed rows in the form of reports. A nil base means that the previous rows are not known.
func describeRows(base *tables.Tables, rows []revision.Row) []RowChange {
	before := make(map[revision.RowKey]string)
	if base != nil {
		for _, row := range revision.AllRows(base) {
			before[row.Key()] = describeRow(row)
		}
	}
	list := make([]RowChange, 0, len(rows))
	for _, row := range rows {
		c := RowChange{Table: row.Table.String(), Name: row.Name, Before: before[row.Key()], After: describeRow(row)}
		switch {
		case row.IsDelete():
			c.Action = actionDelete
		case base == nil:
			c.Action = actionPut
		case c.Before == "":
			c.Action = actionAdd
		default:
			c.Action = actionChange
		}
		list = append(list, c)
	}
	return list
}

// describeRow returns the fields of a row as text. It is empty for a deleted row.
func describeRow(row revision.Row) string {
	switch {
	case row.Route != nil:
		r := row.Route.Document()
		return fmt.Sprintf("address: %s, pool: %s, class: %s", r.Address, r.Pool, r.Class)
	case row.Pool != nil:
		return describePool(row.Pool.Document())
	default:
		return ""
	}
}

func describePool(p tables.PoolDocument) string {
	text := fmt.Sprintf("service: %d", p.Service)
	if p.ShortReserve != nil {
		text += fmt.Sprintf(", short_reserve: %d", *p.ShortReserve)
	}
	if p.QueueLimit != nil {
		text += fmt.Sprintf(", queue_limit: %d", *p.QueueLimit)
	}
	if p.DefaultDeadline != "" {
		text += ", default_deadline: " + p.DefaultDeadline
	}
	return text
}

func writeRows(out *strings.Builder, rows []RowChange) {
	signs := map[string]string{actionAdd: "+", actionChange: "~", actionPut: "=", actionDelete: "-"}
	for _, r := range rows {
		fmt.Fprintf(out, "%s %s %s\n", signs[r.Action], r.Table, r.Name)
		if r.Before != "" {
			fmt.Fprintf(out, "    - %s\n", r.Before)
		}
		if r.After != "" {
			fmt.Fprintf(out, "    + %s\n", r.After)
		}
	}
}

// ChangeReport is one accepted change.
type ChangeReport struct {
	Revision uint64      `json:"revision"`
	Change   string      `json:"change"`
	Base     uint64      `json:"base"`
	Author   string      `json:"author"`
	At       time.Time   `json:"at"`
	Rows     []RowChange `json:"rows"`
	// HasOmittedRows means that the log does not hold the rows of the change because the change was too large.
	HasOmittedRows bool `json:"omitted,omitempty"`
}

func describeEntries(entries []revision.Entry) []ChangeReport {
	list := make([]ChangeReport, 0, len(entries))
	for _, e := range entries {
		list = append(list, ChangeReport{
			Revision: e.ID.Number, Change: e.ID.ChangeID, Base: e.PlannedBase.Number, Author: e.Author, At: e.At,
			Rows: describeRows(nil, e.Rows), HasOmittedRows: e.IsOmitted,
		})
	}
	return list
}

func (c ChangeReport) summary() string {
	text := fmt.Sprintf("revision %d, change %s by %s at %s", c.Revision, c.Change, c.Author, c.At.Format(time.RFC3339))
	if c.HasOmittedRows {
		text += ", rows left out"
	}
	return text
}
