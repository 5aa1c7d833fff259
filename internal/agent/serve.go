package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/class"
	"gentianswitch/internal/events"
	"gentianswitch/internal/health"
)

// serve answers one request of a caller.
func (a *Agent) serve(c class.Class, w http.ResponseWriter, r *http.Request) {
	defer a.progress.begin(c)()
	j, err := a.newJob(c, w, r)
	if err != nil {
		a.finish(j, a.reject(j, err))
		return
	}
	outcome := a.processOrReplay(j)
	a.finish(j, outcome)
	if outcome.isCut {
		panic(http.ErrAbortHandler)
	}
}

// processOrReplay answers a request. One that is not idempotent and carries a key runs at most once.
func (a *Agent) processOrReplay(j *job) result {
	if key := j.request.Header.Get(headerKey); key != "" && !j.isIdempotent() {
		return a.processOnce(j, key)
	}
	return a.process(j)
}

func (a *Agent) finish(j *job, r result) {
	a.requests.finished(j.class, r.outcome)
	a.log.Emit(events.RequestFinished, events.F("request", j.name), events.F("class", j.class.String()),
		events.F("caller", j.caller), events.F("outcome", r.outcome), events.F("status", r.status),
		events.F("duration_ms", time.Since(j.started).Milliseconds()), events.F("reason", r.reason))
}

// reject answers a request that cannot be admitted.
func (a *Agent) reject(j *job, err error) result {
	f := refusal{status: http.StatusBadRequest, outcome: OutcomeNotRun, reason: err.Error()}
	if errors.Is(err, errBodySize) {
		f.status = http.StatusRequestEntityTooLarge
	}
	f.write(j.writer)
	return f.result()
}

// process admits a request and answers it.
func (a *Agent) process(j *job) result {
	ctx := j.request.Context()
	if j.hasDeadline() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.deadline)
		defer cancel()
	}
	if err := j.settleBody(); err != nil {
		return a.reject(j, err)
	}
	a.budget.Earn()
	t := a.admission.submit(j.admission())
	hasRun := false
	defer func() { a.admission.close(t, hasRun) }()
	for {
		select {
		case action := <-t.actions:
			r, isFinal := a.act(ctx, j, t, action)
			if isFinal {
				hasRun = r.hasRun
				return r
			}
		case <-ctx.Done():
			return a.abandon(j)
		}
	}
}

// act carries out an action of the admission. It reports false when the request goes on.
func (a *Agent) act(ctx context.Context, j *job, t ticket, action admit.Action) (result, bool) {
	switch decided := action.(type) {
	case admit.Dispatch:
		a.log.Emit(events.RequestAdmitted, events.F("request", j.name), events.F("class", j.class.String()),
			events.F("caller", j.caller), events.F("waited_ms", decided.Waited.Milliseconds()),
			events.F("reason", decided.Reason))
		return a.run(ctx, j, t)
	case admit.Queue:
		a.log.Emit(events.RequestQueued, events.F("request", j.name), events.F("class", j.class.String()),
			events.F("caller", j.caller), events.F("queue", decided.Length),
			events.F("reason", "predicted wait "+decided.Predicted.String()))
		return result{}, false
	case admit.Relay:
		return a.relay(ctx, j, t, decided)
	case admit.Refuse:
		return a.refuse(j, decided), true
	default:
		return result{}, false
	}
}

func (a *Agent) refuse(j *job, decided admit.Refuse) result {
	a.log.Emit(events.RequestRefused, events.F("request", j.name), events.F("class", j.class.String()),
		events.F("caller", j.caller), events.F("reason", decided.Reason),
		events.F("retry_after_ms", decided.RetryAfter.Milliseconds()))
	f := refusal{
		status: http.StatusServiceUnavailable, outcome: OutcomeNotRun,
		reason: decided.Reason, retryAfter: decided.RetryAfter,
	}
	f.write(j.writer)
	return f.result()
}

// abandon ends a request that has waited until its caller left or its deadline passed.
func (a *Agent) abandon(j *job) result {
	if j.request.Context().Err() != nil {
		return result{outcome: outcomeGone, reason: "the caller left before the request was run"}
	}
	return a.refuse(j, admit.Refuse{Reason: "the deadline has passed", RetryAfter: retryAfterFailure})
}

// retryAfterFailure is the time after which a caller may ask again when the target has failed.
const retryAfterFailure = time.Second

// run gives a request to the target. It reports false when the target was not reached and the admission decides anew.
func (a *Agent) run(ctx context.Context, j *job, t ticket) (result, bool) {
	defer a.health.started(j)()
	started := time.Now()
	try := a.target.send(ctx, j)
	if try.err != nil && a.mayRetry(ctx, j, try) {
		a.requests.retries.Inc(1)
		a.log.Emit(events.RequestRetried, events.F("request", j.name), events.F("caller", j.caller),
			events.Err(try.err))
		try = a.target.send(ctx, j)
	}
	switch {
	case try.err == nil:
		r := a.answer(ctx, j, try.answer)
		a.judge(j, r, time.Since(started))
		return r, true
	case !try.hasReached && ctx.Err() == nil:
		a.health.step(health.Failed{})
		a.admission.tell(admit.Unreached{ID: t.id})
		return result{}, false
	default:
		r := a.fail(j, try)
		a.judge(j, r, time.Since(started))
		return r, true
	}
}

// mayRetry reports whether a failed try may be followed by one more.
func (a *Agent) mayRetry(ctx context.Context, j *job, try attempt) bool {
	if ctx.Err() != nil || !try.hasReached {
		return false
	}
	return j.isIdempotent() && j.canRepeat() && a.budget.Spend()
}

// answer passes the target's answer on. A body that ends early resets the caller's stream.
func (a *Agent) answer(ctx context.Context, j *job, answer *http.Response) result {
	defer func() { _ = answer.Body.Close() }()
	copyHeader(j.writer.Header(), answer.Header)
	stop := context.AfterFunc(ctx, func() { unblockWrites(j.writer) })
	defer stop()
	j.writer.WriteHeader(answer.StatusCode)
	if err := copyBody(j.writer, answer.Body); err != nil {
		return result{outcome: outcomeCut, status: answer.StatusCode, isCut: true, hasRun: true, reason: err.Error()}
	}
	return result{outcome: outcomeDone, status: answer.StatusCode, hasRun: true}
}

// unblockWrites ends a write that waits for a caller who does not read.
func unblockWrites(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
}

// fail answers a request that the target has not answered.
func (a *Agent) fail(j *job, try attempt) result {
	if j.request.Context().Err() != nil {
		return result{outcome: outcomeGone, hasRun: try.hasReached, reason: "the caller left"}
	}
	f := refusal{
		status: http.StatusBadGateway, outcome: OutcomeUnknown,
		reason: "the target did not answer", retryAfter: retryAfterFailure,
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(try.err, &tooLarge):
		f.status, f.reason, f.retryAfter = http.StatusRequestEntityTooLarge, errBodySize.Error(), 0
	case isTimeout(try.err):
		f.status, f.reason = http.StatusGatewayTimeout, "the target did not answer before the deadline"
	}
	if !try.hasReached {
		f.outcome = OutcomeNotRun
	}
	f.write(j.writer)
	r := f.result()
	r.reason += ": " + try.err.Error()
	return r
}
