package agent

import (
	"net/http"

	"gentianswitch/internal/dedupe"
)

// responseRecorder is a response writer that also records the response for the replicas of an idempotency key, if it is small
// enough.
type responseRecorder struct {
	http.ResponseWriter
	status int
	header []dedupe.Header
	body   []byte
	// isTooLarge is true once the body has exceeded dedupe.MaxAnswerBytes.
	isTooLarge bool
}

// Unwrap returns the underlying writer for http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
		for name, values := range r.Header() {
			for _, value := range values {
				r.header = append(r.header, dedupe.Header{Name: name, Value: value})
			}
		}
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) {
	if len(r.body)+len(p) > dedupe.MaxAnswerBytes {
		r.isTooLarge, r.body = true, nil
	}
	if !r.isTooLarge {
		r.body = append(r.body, p...)
	}
	return r.ResponseWriter.Write(p)
}

// response returns the recorded response, or nil if there is none or it is too large.
func (r *responseRecorder) response() *dedupe.Answer {
	if r.isTooLarge || r.status == 0 {
		return nil
	}
	return &dedupe.Answer{Status: r.status, Header: r.header, Body: r.body}
}
