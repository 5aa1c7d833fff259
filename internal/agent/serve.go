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

// serveRequest handles a caller's request. It panics with http.ErrAbortHandler to reset the stream of a truncated response.
func (a *Agent) serveRequest(c class.Class, w http.ResponseWriter, r *http.Request) {
	defer a.activeWork.trackRequest(c)()
	j, err := a.newJob(c, w, r)
	if err != nil {
		a.recordFinished(j, a.respondInvalid(j, err))
		return
	}
	res := a.process(j)
	a.recordFinished(j, res)
	if res.isTruncated {
		panic(http.ErrAbortHandler)
	}
}

// process runs a request and responds. A request that is not idempotent and has an idempotency key runs at most once.
func (a *Agent) process(j *job) result {
	if key := j.request.Header.Get(headerIdempotencyKey); key != "" && !j.isIdempotent() {
		return a.processOnce(j, key)
	}
	return a.admitAndRun(j)
}

// recordFinished counts and logs a finished request.
func (a *Agent) recordFinished(j *job, r result) {
	a.requestCounters.recordFinished(j.class, r.outcome)
	a.log.Emit(events.RequestFinished, events.F("request", j.requestID), events.F("class", j.class.String()),
		events.F("caller", j.caller), events.F("outcome", r.outcome), events.F("status", r.status),
		events.F("duration_ms", time.Since(j.startedAt).Milliseconds()), events.F("reason", r.reason))
}

// respondInvalid responds to an invalid request with status 400 or 413.
func (a *Agent) respondInvalid(j *job, err error) result {
	e := errorResponse{status: http.StatusBadRequest, outcome: OutcomeNotRun, reason: err.Error()}
	if errors.Is(err, errBodyTooLarge) {
		e.status = http.StatusRequestEntityTooLarge
	}
	e.write(j.writer)
	return e.result()
}

// admitAndRun submits a request to the admission, executes its decisions and responds.
func (a *Agent) admitAndRun(j *job) result {
	ctx := j.request.Context()
	if j.hasDeadline() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.deadline)
		defer cancel()
	}
	if err := j.bufferUnsizedBody(); err != nil {
		return a.respondInvalid(j, err)
	}
	a.retryBudget.RecordRequest()
	t := a.admission.submitRequest(j.admissionRequest())
	hasRun := false
	defer func() { a.admission.closeRequest(t, hasRun) }()
	for {
		select {
		case action := <-t.actions:
			r, isFinal := a.executeAction(ctx, j, t, action)
			if isFinal {
				hasRun = r.hasRun
				return r
			}
		case <-ctx.Done():
			return a.endWaiting(j)
		}
	}
}

// executeAction executes an action of the admission. It returns false if the request waits for a further action.
func (a *Agent) executeAction(ctx context.Context, j *job, t ticket, action admit.Action) (result, bool) {
	switch decision := action.(type) {
	case admit.Dispatch:
		a.log.Emit(events.RequestAdmitted, events.F("request", j.requestID), events.F("class", j.class.String()),
			events.F("caller", j.caller), events.F("waited_ms", decision.Waited.Milliseconds()),
			events.F("reason", decision.Reason))
		return a.runOnTarget(ctx, j, t)
	case admit.Queue:
		a.log.Emit(events.RequestQueued, events.F("request", j.requestID), events.F("class", j.class.String()),
			events.F("caller", j.caller), events.F("queue", decision.Length),
			events.F("reason", "predicted wait "+decision.PredictedWait.String()))
		return result{}, false
	case admit.Relay:
		return a.relayToPeer(ctx, j, t, decision)
	case admit.Refuse:
		return a.respondUnavailable(j, decision), true
	default:
		return result{}, false
	}
}

// respondUnavailable responds with status 503 to a request that has not run.
func (a *Agent) respondUnavailable(j *job, refusal admit.Refuse) result {
	a.log.Emit(events.RequestRefused, events.F("request", j.requestID), events.F("class", j.class.String()),
		events.F("caller", j.caller), events.F("reason", refusal.Reason),
		events.F("retry_after_ms", refusal.RetryAfter.Milliseconds()))
	e := errorResponse{
		status: http.StatusServiceUnavailable, outcome: OutcomeNotRun,
		reason: refusal.Reason, retryAfter: refusal.RetryAfter,
	}
	e.write(j.writer)
	return e.result()
}

// endWaiting returns the result of a request that has waited until its caller canceled it or its deadline passed. It responds
// in the latter case.
func (a *Agent) endWaiting(j *job) result {
	if j.request.Context().Err() != nil {
		return result{outcome: outcomeCallerGone, reason: "the caller canceled the request before it was run"}
	}
	return a.respondUnavailable(j, admit.Refuse{
		Reason: "the deadline has passed", RetryAfter: retryAfterFailure,
	})
}

// retryAfterFailure is the Retry-After time of requests that have failed for a reason other than load.
const retryAfterFailure = time.Second

// runOnTarget sends a request to the target and forwards the response. It retries an idempotent request once, within the retry
// budget. It returns false if the target was not reached; the admission then decides again.
func (a *Agent) runOnTarget(ctx context.Context, j *job, t ticket) (result, bool) {
	defer a.health.trackShortRequest(j)()
	started := time.Now()
	sent := a.target.sendRequest(ctx, j)
	if sent.err != nil && a.mayRetry(ctx, j, sent) {
		a.requestCounters.retries.Inc(1)
		a.log.Emit(events.RequestRetried, events.F("request", j.requestID), events.F("caller", j.caller),
			events.Err(sent.err))
		sent = a.target.sendRequest(ctx, j)
	}
	switch {
	case sent.err == nil:
		r := a.forwardResponse(ctx, j, sent.response)
		a.recordTargetHealth(j, r, time.Since(started))
		return r, true
	case !sent.mayHaveReached && ctx.Err() == nil:
		a.health.handleEvent(health.RequestFailed{})
		a.admission.handleEvent(admit.TargetUnreached{ID: t.id})
		return result{}, false
	default:
		r := a.respondFailed(j, sent)
		a.recordTargetHealth(j, r, time.Since(started))
		return r, true
	}
}

// mayRetry reports whether a failed attempt may be repeated, and spends from the retry budget if so. An attempt that has not
// reached the target goes back to the admission instead.
func (a *Agent) mayRetry(ctx context.Context, j *job, failed attempt) bool {
	if ctx.Err() != nil || !failed.mayHaveReached {
		return false
	}
	return j.isIdempotent() && j.canResendBody() && a.retryBudget.AllowRetry()
}

// forwardResponse copies the target's response to the caller. The result is truncated if the body ends early.
func (a *Agent) forwardResponse(ctx context.Context, j *job, response *http.Response) result {
	defer func() { _ = response.Body.Close() }()
	copyResponseHeader(j.writer.Header(), response.Header)
	stop := context.AfterFunc(ctx, func() { unblockWrites(j.writer) })
	defer stop()
	j.writer.WriteHeader(response.StatusCode)
	if err := copyResponseBody(j.writer, response.Body); err != nil {
		return result{outcome: outcomeCut, status: response.StatusCode, isTruncated: true, hasRun: true, reason: err.Error()}
	}
	return result{outcome: outcomeDone, status: response.StatusCode, hasRun: true}
}

// unblockWrites makes a write fail that is blocked because the caller doesn't read.
func unblockWrites(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
}

// respondFailed responds to a request for which the target has sent no response.
func (a *Agent) respondFailed(j *job, failed attempt) result {
	if j.request.Context().Err() != nil {
		return result{outcome: outcomeCallerGone, hasRun: failed.mayHaveReached, reason: "the caller canceled the request"}
	}
	e := errorResponse{
		status: http.StatusBadGateway, outcome: OutcomeUnknown,
		reason: "the target did not answer", retryAfter: retryAfterFailure,
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(failed.err, &tooLarge):
		e.status, e.reason, e.retryAfter = http.StatusRequestEntityTooLarge, errBodyTooLarge.Error(), 0
	case isTimeout(failed.err):
		e.status, e.reason = http.StatusGatewayTimeout, "the target did not answer before the deadline"
	}
	if !failed.mayHaveReached {
		e.outcome = OutcomeNotRun
	}
	e.write(j.writer)
	r := e.result()
	// The error's text appears only in the log.
	r.reason += ": " + failed.err.Error()
	return r
}
