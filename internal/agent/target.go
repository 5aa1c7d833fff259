package agent

import (
	"io"
	"net"
	"net/http"
	"time"
)

const (
	targetDialTimeout = time.Second
	copyBufferBytes   = 32 << 10
)

// HeaderOutcome tells a caller whether a request that failed was run: not-run or unknown.
const HeaderOutcome = "Gentian-Outcome"

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	outcomeDone    = "done"
	outcomeCut     = "cut"
)

// result tells how the answer to a request ended.
type result struct {
	outcome string
	status  int
	// isCut is true when the answer stopped before its end; the stream must be reset.
	isCut bool
}

// targetClient calls the local target over HTTP/1.1.
type targetClient struct {
	address   string
	transport *http.Transport
}

func newTargetClient(address string) *targetClient {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	return &targetClient{address: address, transport: &http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true,
	}}
}

// forward sends r to the target and copies the answer to w.
func (t *targetClient) forward(w http.ResponseWriter, r *http.Request) result {
	out := r.Clone(r.Context())
	out.URL.Scheme = "http"
	out.URL.Host = t.address
	out.Host = r.Host
	out.RequestURI = ""
	answer, err := t.transport.RoundTrip(out)
	if err != nil {
		w.Header().Set(HeaderOutcome, OutcomeUnknown)
		http.Error(w, "the target did not answer", http.StatusBadGateway)
		return result{outcome: OutcomeUnknown, status: http.StatusBadGateway}
	}
	defer func() { _ = answer.Body.Close() }()
	copyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.StatusCode)
	if err := copyBody(w, answer.Body); err != nil {
		return result{outcome: outcomeCut, status: answer.StatusCode, isCut: true}
	}
	return result{outcome: outcomeDone, status: answer.StatusCode}
}

// hopHeaders are the headers that concern one HTTP/1.1 connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}

// copyBody copies the body and flushes after each read, so that a feed's events are not held back.
func copyBody(w http.ResponseWriter, body io.Reader) error {
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
