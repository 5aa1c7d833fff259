package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

const columnGap = 2

// WriteText writes the report as text with aligned columns.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s, seed %d, %.1f s\n\n", r.Name, r.Seed, r.LengthS)
	r.writeCounts(w)
	r.writeClasses(w)
	for _, p := range r.Pools {
		_, _ = fmt.Fprintf(w, "busiest host of pool %s against the mean\t%.2f\n", p.Name, p.BusiestToMean)
	}
	for _, m := range r.Changes {
		_, _ = fmt.Fprintf(w, "%s\t%.2f s\n", m.Name, m.Seconds)
	}
	r.writeBounds(w)
	return eris.Wrap(w.Flush(), "write report")
}

func (r *Report) writeCounts(w io.Writer) {
	_, _ = fmt.Fprintf(w, "feeds opened\t%d\n", r.FlowsOpened)
	_, _ = fmt.Fprintf(w, "feeds broken\t%d\n", r.FlowsBroken)
	_, _ = fmt.Fprintf(w, "wrong answers\t%d\n", r.Wrong)
	_, _ = fmt.Fprintf(w, "cut answers\t%d\n", r.Cut)
	_, _ = fmt.Fprintf(w, "duplicate runs\t%d\n", r.DuplicateRuns)
	_, _ = fmt.Fprintf(w, "told not run, but ran\t%d\n", r.RanThoughNotRun)
	_, _ = fmt.Fprintf(w, "refused\t%d, of them %d with Retry-After\n\n", r.Refused, r.RefusedWithRetryAfter)
}

func (r *Report) writeClasses(w io.Writer) {
	_, _ = fmt.Fprintln(w, "class\tsent\tdone\tnot run\tunknown\twrong\tcut\tunreachable\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms")
	for _, c := range r.Classes {
		o, l := c.Outcomes, c.Answered
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n",
			c.Class, c.Sent, o.Done, o.NotRun, o.Unknown, o.Wrong, o.Cut, o.Unreachable,
			l.P50MS, l.P90MS, l.P99MS, l.P999MS, l.MaxMS)
	}
	_, _ = fmt.Fprintln(w)
}

func (r *Report) writeBounds(w io.Writer) {
	if len(r.Bounds) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "\nbound\tvalue\tlimit\t")
	for _, b := range r.Bounds {
		verdict := "met"
		if !b.IsMet {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\n", b.Name, b.Value, b.Limit, verdict)
	}
}
