package operator

import (
	"context"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/revision"
	"gentianswitch/internal/tables"
)

// ValidationReport is the result of validating a tables file.
type ValidationReport struct {
	File     string           `json:"file"`
	IsValid  bool             `json:"valid"`
	Routes   int              `json:"routes"`
	Pools    int              `json:"pools"`
	Problems []tables.Problem `json:"problems"`
}

// Validate parses and validates the content of a tables file. The tables are nil if it has a problem.
func Validate(file string, raw []byte) (*tables.Tables, *ValidationReport, ExitCode) {
	report := &ValidationReport{File: file, Problems: []tables.Problem{}}
	parsed, err := tables.ParseFile(file, raw)
	var invalid *tables.InvalidError
	if eris.As(err, &invalid) {
		report.Problems = invalid.Problems
		return nil, report, ExitUsage
	}
	report.IsValid, report.Routes, report.Pools = true, len(parsed.Routes), len(parsed.Pools)
	return parsed, report, ExitOK
}

// Text implements Report.
func (r *ValidationReport) Text() string {
	if r.IsValid {
		return fmt.Sprintf("%s is valid: %d routes, %d pools\n", r.File, r.Routes, r.Pools)
	}
	var out strings.Builder
	for _, p := range r.Problems {
		out.WriteString(p.String() + "\n")
	}
	fmt.Fprintf(&out, "%s is not valid: %d problems; nothing was done\n", r.File, len(r.Problems))
	return out.String()
}

// PlanReport lists the rows that a change would add, change and delete.
type PlanReport struct {
	File string `json:"file"`
	// Base is the number of the revision that the plan was computed against, to be passed to apply as --base. Change identifies
	// the change that made that revision.
	Base   uint64      `json:"base"`
	Change string      `json:"change"`
	Rows   []RowChange `json:"rows"`
}

// Plan compares the desired tables with those of the newest revision in the store.
func (o *Operator) Plan(ctx context.Context, file string, desired *tables.Tables) (*PlanReport, error) {
	id, current, err := o.currentTables(ctx)
	if err != nil {
		return nil, err
	}
	rows := revision.Diff(current, revision.Sorted(desired))
	return &PlanReport{File: file, Base: id.Number, Change: id.ChangeID, Rows: describeRows(current, rows)}, nil
}

// currentTables returns the newest revision in the store and its tables.
func (o *Operator) currentTables(ctx context.Context) (revision.ID, *tables.Tables, error) {
	view, err := o.log.Read(ctx)
	if err != nil {
		return revision.ID{}, nil, err
	}
	current, err := view.Tables()
	return view.Head.ID, current, err
}

// Text implements Report.
func (r *PlanReport) Text() string {
	var out strings.Builder
	fmt.Fprintf(&out, "against revision %d: %d rows would change\n", r.Base, len(r.Rows))
	writeRows(&out, r.Rows)
	if len(r.Rows) > 0 {
		fmt.Fprintf(&out, "apply with: gentianctl apply --file %s --base %d\n", r.File, r.Base)
	}
	return out.String()
}

// TablesReport holds the tables of the newest revision.
type TablesReport struct {
	Revision uint64          `json:"revision"`
	Change   string          `json:"change"`
	Tables   tables.Document `json:"tables"`
	text     string
}

// Get returns the tables of the newest revision in the store.
func (o *Operator) Get(ctx context.Context) (*TablesReport, error) {
	id, current, err := o.currentTables(ctx)
	if err != nil {
		return nil, err
	}
	raw, err := current.Format()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("# revision %d, change %s\n%s", id.Number, id.ChangeID, raw)
	return &TablesReport{Revision: id.Number, Change: id.ChangeID, Tables: current.Document(), text: text}, nil
}

// Text implements Report.
func (r *TablesReport) Text() string {
	return r.text
}

// HistoryReport lists the most recently accepted changes, newest first.
type HistoryReport struct {
	Changes []ChangeReport `json:"changes"`
}

// History returns the newest changes in the store's log, at most limit of them.
func (o *Operator) History(ctx context.Context, limit int) (*HistoryReport, error) {
	view, err := o.log.Read(ctx)
	if err != nil {
		return nil, err
	}
	report := &HistoryReport{Changes: []ChangeReport{}}
	entries := describeEntries(view.Head.Log)
	for i := len(entries) - 1; i >= 0 && len(report.Changes) < limit; i-- {
		report.Changes = append(report.Changes, entries[i])
	}
	return report, nil
}

// Text implements Report.
func (r *HistoryReport) Text() string {
	var out strings.Builder
	for _, c := range r.Changes {
		out.WriteString(c.summary() + "\n")
		writeRows(&out, c.Rows)
	}
	return out.String()
}
