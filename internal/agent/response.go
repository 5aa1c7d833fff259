package agent

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const copyBufferBytes = 32 << 10

// HeaderOutcome tells a caller whether a request that failed was run: not-run or unknown.
const HeaderOutcome = "Gentian-Outcome"

// HeaderRetryAfterMs is the time of Retry-After in milliseconds, for callers that can use it.
const HeaderRetryAfterMs = "Gentian-Retry-After-Ms"

// Values of HeaderOutcome.
const (
	OutcomeNotRun     = "not-run"
	OutcomeUnknown    = "unknown"
	outcomeDone       = "done"
	outcomeCut        = "cut"
	outcomeCallerGone = "caller-gone"
)

// result tells how the answer to a request ended.
type result struct {
	outcome string
	status  int
	// isTruncated is true when the answer stopped before its end; the stream must be reset.
	isTruncated bool
	// hasRun is true when the target was reached.
	hasRun bool
	reason string
}

// errorResponse is an answer that the agent gives in place of the target.
type errorResponse struct {
	status     int
	outcome    string
	reason     string
	retryAfter time.Duration
}

// write sends the refusal to the caller.
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

// hopByHopHeaders are the headers that concern one HTTP/1.1 connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// agentHeaders are the headers that only the agent may set on an answer.
var agentHeaders = []string{HeaderOutcome, HeaderRetryAfterMs}

// copyResponseHeader copies the headers of a target's answer.
func copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, name := range append(hopByHopHeaders, agentHeaders...) {
		to.Del(name)
	}
}

// copyResponseBody copies the body and flushes after each read, so that a feed's events are not held back.
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
