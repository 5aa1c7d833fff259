package load

import (
	"context"
	"crypto/x509"
	"sync"
	"sync/atomic"
	"time"

	"gentianswitch/internal/class"
	"gentianswitch/internal/report"
	"gentianswitch/internal/standin/callers"
)

// defaultTimeout is the timeout of a stream that sets none.
const defaultTimeout = 20 * time.Second

// Run sends the load of a profile and returns the report when the last request has ended. When ctx is canceled, no
// further request starts and those in progress are canceled.
func Run(ctx context.Context, p Profile) (*report.Report, error) {
	r, err := Start(ctx, p)
	if err != nil {
		return nil, err
	}
	return r.Wait(), nil
}

// Running is a load in progress.
type Running struct {
	// Recorder records a sample when a request ends.
	Recorder  *report.Recorder
	profile   Profile
	startedAt time.Time
	authority *x509.CertPool
	// callers holds the callers of each stream whose requests share flows.
	callers map[*Stream][]*callers.Caller
	// done is closed when the last request has ended.
	done chan struct{}
	// inProgress counts the requests that have started and not ended.
	inProgress atomic.Int64
}

// Start starts sending the load of a profile.
func Start(ctx context.Context, p Profile) (*Running, error) {
	authority, err := callers.LoadAuthority(p.Authority)
	if err != nil {
		return nil, err
	}
	r := &Running{
		Recorder: report.NewRecorder(), profile: p, authority: authority,
		callers: make(map[*Stream][]*callers.Caller), done: make(chan struct{}),
	}
	for i := range r.profile.Streams {
		if err := r.openCallers(&r.profile.Streams[i]); err != nil {
			return nil, err
		}
	}
	schedule := r.profile.schedule()
	r.startedAt = time.Now()
	go r.sendSchedule(ctx, schedule)
	return r, nil
}

func (r *Running) openCallers(s *Stream) error {
	for range s.Callers {
		caller, err := callers.NewWithAuthority(r.authority, s.Service)
		if err != nil {
			return err
		}
		r.callers[s] = append(r.callers[s], caller)
	}
	return nil
}

// Elapsed returns the time since the start of the run.
func (r *Running) Elapsed() time.Duration {
	return time.Since(r.startedAt)
}

// InProgress returns the number of requests that have started and not ended.
func (r *Running) InProgress() int {
	return int(r.inProgress.Load())
}

// NewCaller returns a caller in addition to those of the profile. Its requests are not recorded.
func (r *Running) NewCaller(s Stream) (*callers.Caller, error) {
	return callers.NewWithAuthority(r.authority, s.Service)
}

// RecordStep records a step of the run at the current time.
func (r *Running) RecordStep(step string) {
	r.Recorder.RecordStep(r.Elapsed(), step)
}

// Wait waits until the last request has ended and returns the report.
func (r *Running) Wait() *report.Report {
	<-r.done
	return r.Recorder.Report(r.profile.Name, r.profile.Seed, r.Elapsed())
}

func (r *Running) sendSchedule(ctx context.Context, schedule []arrival) {
	defer close(r.done)
	defer r.closeCallers()
	var requests sync.WaitGroup
	defer requests.Wait()
	for _, a := range schedule {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.startedAt.Add(a.at))):
		}
		requests.Go(func() { r.sendRequest(ctx, a) })
	}
}

func (r *Running) closeCallers() {
	for _, list := range r.callers {
		for _, c := range list {
			c.Close()
		}
	}
}

func (r *Running) sendRequest(ctx context.Context, a arrival) {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	s := a.stream
	caller, err := r.callerFor(a)
	if err != nil {
		r.Recorder.RecordSample(report.Sample{Request: a.id(r.profile.Seed), Class: s.Class, Outcome: callers.Unreachable,
			At: a.at, Latency: r.Elapsed() - a.at, Detail: err.Error()})
		return
	}
	if s.Callers == 0 {
		defer caller.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, s.requestTimeout())
	defer cancel()
	var firstEventAfter time.Duration
	result := caller.Do(ctx, callers.Request{
		ID: a.id(r.profile.Seed), Class: s.Class, Address: s.Address, Work: a.work,
		Body: make([]byte, s.BodyBytes), Events: s.Events, Interval: s.Interval, Deadline: s.Deadline,
		OnEvent: func(events int) {
			if events == 1 {
				firstEventAfter = r.Elapsed() - a.at
			}
		},
	})
	r.Recorder.RecordSample(r.newSample(a, result, firstEventAfter))
}

// callerFor returns the caller that sends a request: one of the stream's callers, or a new one when the stream has none.
func (r *Running) callerFor(a arrival) (*callers.Caller, error) {
	own := r.callers[a.stream]
	if len(own) > 0 {
		return own[a.number%len(own)], nil
	}
	return callers.NewWithAuthority(r.authority, a.stream.Service)
}

func (r *Running) newSample(a arrival, result callers.Result, firstEventAfter time.Duration) report.Sample {
	s := report.Sample{
		Request: result.Request, Class: result.Class, Outcome: result.Outcome, At: a.at,
		Latency: r.Elapsed() - a.at, Work: a.work, RetryAfter: result.RetryAfter,
	}
	if result.Class == class.Feed && firstEventAfter > 0 {
		s.IsOpened = true
		s.Latency = firstEventAfter
	}
	if result.Err != nil {
		s.Detail = result.Err.Error()
	}
	return s
}

// requestTimeout returns the timeout of a request, extended by the length of a feed.
func (s *Stream) requestTimeout() time.Duration {
	base := s.Timeout
	if base == 0 {
		base = defaultTimeout
	}
	return base + time.Duration(s.Events)*s.Interval
}
