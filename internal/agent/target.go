package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	targetDialTimeout = time.Second
	// maxResponseHeaderBytes bounds the headers of a target's response.
	maxResponseHeaderBytes = 64 << 10
)

// errUnframed is the error for a response whose end can't be distinguished from a broken connection.
var errUnframed = eris.New("the response has neither a Content-Length nor a chunked body")

// targetClient sends requests to the local target over HTTP/1.1.
//
// Each connection carries one request. So a response can't belong to another request, and the transport never retries a
// request: net/http does that only for requests on reused connections.
type targetClient struct {
	address   string
	transport *http.Transport
}

// trackedConn is an upstream connection that records whether a byte of the request may have been sent.
type trackedConn struct {
	net.Conn
	hasWritten atomic.Bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.hasWritten.Store(true)
	return c.Conn.Write(p)
}

func newTargetClient(address string) *targetClient {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	return &targetClient{address: address, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, eris.Wrapf(err, "dial target %s", address)
			}
			return &trackedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// attempt is the result of sending a request to the target once.
type attempt struct {
	// response is nil if the attempt failed.
	response *http.Response
	err      error
	// mayHaveReached is true when a byte of the request may have reached the target.
	mayHaveReached bool
}

// sendRequest sends a request to the target and waits for the response headers. The caller closes the response body.
func (t *targetClient) sendRequest(ctx context.Context, j *job) attempt {
	var conn atomic.Pointer[trackedConn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if tracked, ok := info.Conn.(*trackedConn); ok {
			conn.Store(tracked)
		}
	}})
	response, err := t.transport.RoundTrip(t.outgoingRequest(ctx, j))
	usedConn := conn.Load()
	result := attempt{response: response, err: err, mayHaveReached: usedConn != nil && usedConn.hasWritten.Load()}
	if err == nil && !isFramed(response) {
		_ = response.Body.Close()
		result.response, result.err = nil, errUnframed
	}
	return result
}

// outgoingRequest returns the request for the target, without hop-by-hop headers. It has no GetBody, so that net/http can't
// send it again.
func (t *targetClient) outgoingRequest(ctx context.Context, j *job) *http.Request {
	out := j.request.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = t.address
	out.Host = j.request.Host
	out.RequestURI = ""
	out.GetBody = nil
	out.Trailer = nil
	out.Body = j.openBody()
	for _, name := range hopByHopHeaders {
		out.Header.Del(name)
	}
	out.Header.Del("Expect")
	if j.hasDeadline() {
		out.Header.Set(HeaderDeadline, formatMilliseconds(time.Until(j.deadline)))
	}
	return out
}

// isFramed reports whether the end of the response can be distinguished from a broken connection.
func isFramed(response *http.Response) bool {
	if response.ContentLength >= 0 || response.Request.Method == http.MethodHead {
		return true
	}
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// isTimeout reports whether an attempt failed because the deadline passed.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded)
}
