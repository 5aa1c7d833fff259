package agent

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const copyBufferBytes = 32 << 10

// HeaderOutcome is the header of an error response that states whether the request has run: not-run or unknown.
const HeaderOutcome = "Gentian-Outcome"

// HeaderRetryAfterMs is the header with the time of Retry-After in milliseconds, for callers that support it.
const HeaderRetryAfterMs = "Gentian-Retry-After-Ms"

// Outcomes of a request. The exported ones are values of HeaderOutcome; all of them appear in logs and metrics.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	outcomeDone    = "done"
	// outcomeCut means that the response was truncated.
	outcomeCut = "cut"
	// outcomeCallerGone means that the caller canceled the request before the response began.
	outcomeCallerGone = "caller-gone"
)

// result is the result of a request.
type result struct {
	outcome string
	status  int
	// isTruncated is true when the response ended early. The caller's stream must then be reset.
	isTruncated bool
	// hasRun is true when a target may have been reached, except for a response that a peer agent has sent.
	hasRun bool
	// reason explains the outcome in the log.
	reason string
}

// errorResponse is a response that the agent sends in place of the target's.
type errorResponse struct {
	status  int
	outcome string
	// reason is the body of the response. Its texts are part of the interface to callers and must not change.
	reason     string
	retryAfter time.Duration
}

// write sends the response to the caller.
func (e errorResponse) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set(HeaderOutcome, e.outcome)
	if e.retryAfter > 0 {
		seconds := (e.retryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		header.Set(HeaderRetryAfterMs, formatMilliseconds(e.retryAfter))
	}
	http.Error(w, e.reason, e.status)
}

func (e errorResponse) result() result {
	return result{outcome: e.outcome, status: e.status, reason: e.reason, hasRun: e.outcome != OutcomeNotRun}
}

// hopByHopHeaders are the headers that apply to a single HTTP/1.1 connection (RFC 9110, section 7.6.1). They are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// agentHeaders are the response headers that only an agent may set. Those of a target are dropped.
var agentHeaders = []string{HeaderOutcome, HeaderRetryAfterMs}

// copyResponseHeader copies the headers of a target's response, except hop-by-hop headers and agentHeaders.
func copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, name := range append(hopByHopHeaders, agentHeaders...) {
		to.Del(name)
	}
}

// copyResponseBody copies the body and flushes after each read, so that the events of a feed are forwarded without delay.
func copyResponseBody(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := controller.Flush(); flushErr != nil {
				return flushErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}
