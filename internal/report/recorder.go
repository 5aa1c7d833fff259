// Package report records the requests of a run under load and reports outcomes, latency percentiles, imbalance and
// required bounds as text, JSON and a plot.
package report

import (
	"sync"
	"time"

	"gentianswitch/internal/class"
	"gentianswitch/internal/standin/callers"
)

// Sample is one finished request of a caller.
type Sample struct {
	Request string
	Class   class.Class
	Outcome callers.Outcome
	// At is the intended start, since the start of the run.
	At time.Duration
	// Latency is the time from the intended start to the end of the answer, or to the first event of a feed. It counts from
	// the intended start so that a late sender hides no latency.
	Latency time.Duration
	// Work is the service time that the request asked of the target.
	Work time.Duration
	// IsOpened is true for a feed that received an event.
	IsOpened bool
	// RetryAfter is the Retry-After time of a refusal, or zero.
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

// RecordSample records a finished request.
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

// Report summarizes the recorded samples and steps.
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
	report.countOutcomes(samples)
	return report
}
