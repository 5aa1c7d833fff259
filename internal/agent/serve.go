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

// serveRequest answers one request of a caller.
func (a *Agent) serveRequest(c class.Class, w http.ResponseWriter, r *http.Request) {
	defer a.activeWork.trackRequest(c)()
	j, err := a.newJob(c, w, r)
	if err != nil {
		a.recordFinished(j, a.respondInvalid(j, err))
		return
	}
	outcome := a.process(j)
	a.recordFinished(j, outcome)
	if outcome.isTruncated {
		panic(http.ErrAbortHandler)
	}
}

// process answers a request. One that is not idempotent and carries a key runs at most once.
func (a *Agent) process(j *job) result {
	if key := j.request.Header.Get(headerIdempotencyKey); key != "" && !j.isIdempotent() {
		return a.processOnce(j, key)
	}
	return a.admitAndRun(j)
}

func (a *Agent) recordFinished(j *job, r result) {
	a.requestCounters.recordFinished(j.class, r.outcome)
	a.log.Emit(events.RequestFinished, events.F("request", j.requestID), events.F("class", j.class.String()),
		events.F("caller", j.caller), events.F("outcome", r.outcome), events.F("status", r.status),
		events.F("duration_ms", time.Since(j.startedAt).Milliseconds()), events.F("reason", r.reason))
}

// respondInvalid answers a request that cannot be admitted.
func (a *Agent) respondInvalid(j *job, err error) result {
	e := errorResponse{status: http.StatusBadRequest, outcome: OutcomeNotRun, reason: err.Error()}
	if errors.Is(err, errBodyTooLarge) {
		e.status = http.StatusRequestEntityTooLarge
	}
	e.write(j.writer)
	return e.result()
}

// admitAndRun admits a request and answers it.
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
	a.retryBudget.Earn()
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

// executeAction carries out an action of the admission. It reports false when the request goes on.
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
			events.F("reason", "predicted wait "+decision.Predicted.String()))
		return result{}, false
	case admit.Relay:
		return a.relayToPeer(ctx, j, t, decision)
	case admit.Refuse:
		return a.respondUnavailable(j, decision), true
	default:
		return result{}, false
	}
}

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

// endWaiting ends a request that has waited until its caller left or its deadline passed.
func (a *Agent) endWaiting(j *job) result {
	if j.request.Context().Err() != nil {
		return result{outcome: outcomeCallerGone, reason: "the caller left before the request was run"}
	}
	return a.respondUnavailable(j, admit.Refuse{Reason: "the deadline has passed", RetryAfter: retryAfterFailure})
}

// retryAfterFailure is the time after which a caller may ask again when the target has failed.
const retryAfterFailure = time.Second

// runOnTarget gives a request to the target. It reports false when the target was not reached and the admission decides anew.
func (a *Agent) runOnTarget(ctx context.Context, j *job, t ticket) (result, bool) {
	defer a.health.trackShortRequest(j)()
	started := time.Now()
	try := a.target.sendRequest(ctx, j)
	if try.err != nil && a.mayRetry(ctx, j, try) {
		a.requestCounters.retries.Inc(1)
		a.log.Emit(events.RequestRetried, events.F("request", j.requestID), events.F("caller", j.caller),
			events.Err(try.err))
		try = a.target.sendRequest(ctx, j)
	}
	switch {
	case try.err == nil:
		r := a.forwardResponse(ctx, j, try.response)
		a.recordTargetHealth(j, r, time.Since(started))
		return r, true
	case !try.mayHaveReached && ctx.Err() == nil:
		a.health.handleEvent(health.Failed{})
		a.admission.handleEvent(admit.Unreached{ID: t.id})
		return result{}, false
	default:
		r := a.respondFailed(j, try)
		a.recordTargetHealth(j, r, time.Since(started))
		return r, true
	}
}

// mayRetry reports whether a failed try may be followed by one more.
func (a *Agent) mayRetry(ctx context.Context, j *job, try attempt) bool {
	if ctx.Err() != nil || !try.mayHaveReached {
		return false
	}
	return j.isIdempotent() && j.canResendBody() && a.retryBudget.Spend()
}

// response passes the target's answer on. A body that ends early resets the caller's stream.
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

// unblockWrites ends a write that waits for a caller who does not read.
func unblockWrites(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
}

// respondFailed answers a request that the target has not answered.
func (a *Agent) respondFailed(j *job, try attempt) result {
	if j.request.Context().Err() != nil {
		return result{outcome: outcomeCallerGone, hasRun: try.mayHaveReached, reason: "the caller left"}
	}
	e := errorResponse{
		status: http.StatusBadGateway, outcome: OutcomeUnknown,
		reason: "the target did not answer", retryAfter: retryAfterFailure,
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(try.err, &tooLarge):
		e.status, e.reason, e.retryAfter = http.StatusRequestEntityTooLarge, errBodyTooLarge.Error(), 0
	case isTimeout(try.err):
		e.status, e.reason = http.StatusGatewayTimeout, "the target did not answer before the deadline"
	}
	if !try.mayHaveReached {
		e.outcome = OutcomeNotRun
	}
	e.write(j.writer)
	r := e.result()
	r.reason += ": " + try.err.Error()
	return r
}
