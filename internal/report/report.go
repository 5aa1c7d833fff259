package report

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
	"gentianswitch/internal/standin/callers"
)

// Report is the report of a run.
type Report struct {
	Name    string  `json:"name"`
	Seed    uint64  `json:"seed"`
	LengthS float64 `json:"length_s"`
	// FlowsOpened counts the feeds that received an event, FlowsBroken those of them that did not run to their end.
	FlowsOpened int `json:"flows_opened"`
	FlowsBroken int `json:"flows_broken"`
	// Wrong counts answers from another service or to another request, Cut those that ended early.
	Wrong int `json:"wrong"`
	Cut   int `json:"cut"`
	// Refused counts the answers that say "not run", RefusedWithRetryAfter those of them with a Retry-After header.
	Refused               int `json:"refused"`
	RefusedWithRetryAfter int `json:"refused_with_retry_after"`
	// DuplicateRuns counts the requests that targets ran more than once, RanThoughNotRun those that ran although their
	// caller got the answer "not run".
	DuplicateRuns   int           `json:"duplicate_runs"`
	RanThoughNotRun int           `json:"ran_though_not_run"`
	Classes         []Class       `json:"classes"`
	Pools           []Pool        `json:"pools"`
	Changes         []Measurement `json:"changes"`
	Steps           []Step        `json:"steps"`
	Bounds          []Bound       `json:"bounds"`
	samples         []Sample
}

// Class summarizes the requests of one class.
type Class struct {
	Class    string   `json:"class"`
	Sent     int      `json:"sent"`
	Outcomes Outcomes `json:"outcomes"`
	// Answered is the latency of complete answers. For feeds it is the time to the first event.
	Answered Latency `json:"answered"`
	// RefusedAfter is the latency of refusals.
	RefusedAfter Latency `json:"refused_after"`
	// AnsweredInFirst5S counts the complete answers to requests of the first 5 s of the run.
	AnsweredInFirst5S int `json:"useful_in_first_5s"`
}

// Outcomes counts requests by outcome.
type Outcomes struct {
	Done        int `json:"done"`
	NotRun      int `json:"not_run"`
	Unknown     int `json:"unknown"`
	Wrong       int `json:"wrong"`
	Cut         int `json:"cut"`
	Unreachable int `json:"unreachable"`
}

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// Pool describes how evenly the work of a pool was spread over its VMs.
type Pool struct {
	Name string `json:"name"`
	// BusiestToMean is the work of the busiest VM divided by the mean, over the VMs that served during the whole run.
	BusiestToMean float64 `json:"busiest_to_mean"`
}

// Measurement is a measured time, such as the time until a change is in force.
type Measurement struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// Step is an action during the run, such as the restart of a process. AtS is in seconds since the start of the run.
type Step struct {
	Name string  `json:"name"`
	AtS  float64 `json:"at_s"`
}

// Bound is a measured value with its upper limit.
type Bound struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"`
	IsMet bool    `json:"is_met"`
}

const (
	// earlyWindow is the time from the start of the run for which AnsweredInFirst5S counts answers.
	earlyWindow = 5 * time.Second
	// histogramMax is the longest recorded latency. Longer ones are recorded as this.
	histogramMax = 10 * time.Minute
	// histogramDigits is the number of significant digits of a recorded latency.
	histogramDigits   = 3
	microsecondsPerMS = 1000
)

// RequireAtMost adds a bound: the value must not exceed the limit.
func (r *Report) RequireAtMost(name string, value, limit float64) {
	r.Bounds = append(r.Bounds, Bound{Name: name, Value: value, Limit: limit, IsMet: value <= limit})
}

// IsMet reports whether every bound holds.
func (r *Report) IsMet() bool {
	for _, b := range r.Bounds {
		if !b.IsMet {
			return false
		}
	}
	return true
}

// ClassOf returns the summary of a class, or an empty one when no request of it was sent.
func (r *Report) ClassOf(c class.Class) Class {
	for _, summary := range r.Classes {
		if summary.Class == c.String() {
			return summary
		}
	}
	return Class{Class: c.String()}
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(r), "write report")
}

// SaveJSON writes the report as JSON to a file.
func (r *Report) SaveJSON(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "save report")
	}
	defer func() { _ = file.Close() }()
	return r.WriteJSON(file)
}

func (r *Report) countOutcomes(samples []Sample) {
	for _, s := range samples {
		if s.IsOpened {
			r.FlowsOpened++
		}
		if s.IsOpened && s.Outcome != callers.Done {
			r.FlowsBroken++
		}
		switch s.Outcome {
		case callers.Wrong:
			r.Wrong++
		case callers.Cut:
			r.Cut++
		case callers.NotRun:
			r.countRefusal(s)
		}
	}
}

func (r *Report) countRefusal(s Sample) {
	r.Refused++
	if s.RetryAfter > 0 {
		r.RefusedWithRetryAfter++
	}
}

func summarize(c class.Class, samples []Sample) Class {
	summary := Class{Class: c.String()}
	answered, refused := newHistogram(), newHistogram()
	for _, s := range samples {
		if s.Class != c {
			continue
		}
		summary.Sent++
		summary.Outcomes.count(s.Outcome)
		switch s.Outcome {
		case callers.Done:
			record(answered, s.Latency)
			if s.At < earlyWindow {
				summary.AnsweredInFirst5S++
			}
		case callers.NotRun:
			record(refused, s.Latency)
		}
	}
	summary.Answered = percentiles(answered)
	summary.RefusedAfter = percentiles(refused)
	return summary
}

func (o *Outcomes) count(outcome callers.Outcome) {
	switch outcome {
	case callers.Done:
		o.Done++
	case callers.NotRun:
		o.NotRun++
	case callers.Unknown:
		o.Unknown++
	case callers.Wrong:
		o.Wrong++
	case callers.Cut:
		o.Cut++
	default:
		o.Unreachable++
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
}

func record(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(latency, histogramMax).Microseconds())
}

func percentiles(h *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) float64 {
		return float64(h.ValueAtPercentile(percentile)) / microsecondsPerMS
	}
	return Latency{P50MS: at(50), P90MS: at(90), P99MS: at(99), P999MS: at(99.9), MaxMS: float64(h.Max()) / microsecondsPerMS}
}
