// Package report implements what a run under load has shown: outcomes, latency percentiles, imbalance and the bounds
// that must hold, as text, JSON and a plot.
package report

import (
	"sync"
	"time"

	"gentianswitch/internal/class"
	"gentianswitch/internal/standin/callers"
)

// Sample is one request of a caller.
type Sample struct {
	Request string
	Class   class.Class
	Outcome callers.Outcome
	// At is the intended start, since the begin of the run.
	At time.Duration
	// Latency counts from the intended start, so that a late sender hides nothing: until the whole answer, or until
	// the first event of a feed.
	Latency time.Duration
	// Work is the time that the target was asked to work.
	Work time.Duration
	// IsOpened is true for a feed that received an event.
	IsOpened bool
	// RetryAfter is what a refusal asked for, or zero.
	RetryAfter time.Duration
	// Detail is the error that the caller saw, if any.
	Detail string
}

// Recorder collects samples. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	samples []Sample
	steps   []Step
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{}
}

// RecordSample records a request that has ended.
func (r *Recorder) RecordSample(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// RecordStep records a step of the run, such as the restart of a process.
func (r *Recorder) RecordStep(at time.Duration, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, Step{Name: name, AtS: at.Seconds()})
}

// Samples returns the samples recorded so far.
func (r *Recorder) Samples() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Sample(nil), r.samples...)
}

// Report sums up what was recorded.
func (r *Recorder) Report(name string, seed uint64, length time.Duration) *Report {
	samples := r.Samples()
	report := &Report{Name: name, Seed: seed, LengthS: length.Seconds(), samples: samples}
	r.mu.Lock()
	report.Steps = append(report.Steps, r.steps...)
	r.mu.Unlock()
	for _, c := range class.All {
		if summary := summarize(c, samples); summary.Sent > 0 {
			report.Classes = append(report.Classes, summary)
		}
	}
	report.count(samples)
	return report
}
