package agent

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/class"
)

// HeaderDeadline is the header with the time remaining for a request, in milliseconds. Callers may set it; targets receive it.
const HeaderDeadline = "Gentian-Deadline-Ms"

// headerRequestID is the header that identifies a request in logs.
const headerRequestID = "X-Request-Id"

const (
	// maxDeadline is the longest time that a caller can request with HeaderDeadline. Longer ones are reduced to it.
	maxDeadline = 10 * time.Minute
	// maxRelayBody is the largest body, in bytes, of a request that can be relayed to a peer agent.
	maxRelayBody = 64 << 10
)

// Errors of invalid requests. They are answered before the admission. Their texts are sent to the caller and must not change.
var (
	errInvalidDeadline = eris.New(HeaderDeadline + " is not a number of milliseconds above 0")
	errKeyTooLong      = eris.New(headerIdempotencyKey + " is longer than 128 bytes")
	errBodyTooLarge    = eris.New("the body is larger than the class allows")
)

// job is a request that the agent handles, from a caller or from a peer agent (isRelayed).
type job struct {
	class     class.Class
	requestID string
	// route and caller are the addresses of the route and of the caller.
	route     string
	caller    string
	startedAt time.Time
	deadline  time.Time
	writer    http.ResponseWriter
	request   *http.Request
	isRelayed bool
	// body is the whole request body once isBodyBuffered is true.
	body           []byte
	isBodyBuffered bool
}

// newJob returns the job of a caller's request. The error is errInvalidDeadline or errBodyTooLarge if the request is invalid.
// The job is returned in that case too, for the response and the log.
func (a *Agent) newJob(c class.Class, w http.ResponseWriter, r *http.Request) (*job, error) {
	caller, route := splitRemoteAddr(r.RemoteAddr)
	j := &job{
		class: c, requestID: r.Header.Get(headerRequestID), route: route, caller: caller,
		startedAt: time.Now(), writer: w, request: r,
	}
	limit := a.settings.bodyLimit(c)
	if r.ContentLength > limit {
		return j, errBodyTooLarge
	}
	r.Body = http.MaxBytesReader(nil, r.Body, limit)
	if c == class.Feed {
		return j, nil
	}
	timeout, err := requestedTimeout(r.Header, a.defaultDeadline(c))
	j.deadline = j.startedAt.Add(timeout)
	return j, err
}

// requestedTimeout returns the time that the caller allows for a request, or fallback if the caller states none.
func requestedTimeout(header http.Header, fallback time.Duration) (time.Duration, error) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return fallback, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 {
		return fallback, errInvalidDeadline
	}
	if milliseconds > maxDeadline.Milliseconds() {
		return maxDeadline, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// splitRemoteAddr splits the remote address of a flow, whose zone is the route's address (see incomingDatagram), into the
// caller's address and the route's.
func splitRemoteAddr(remote string) (caller, route string) {
	host, rest, ok := strings.Cut(remote, "%")
	if !ok {
		return remote, ""
	}
	end := strings.LastIndex(rest, "]")
	if end < 0 {
		return remote, ""
	}
	return strings.TrimPrefix(host, "[") + rest[end+1:], rest[:end]
}

func (j *job) hasDeadline() bool {
	return !j.deadline.IsZero()
}

// isIdempotent reports whether the method of the request is idempotent (RFC 9110, section 9.2.2).
func (j *job) isIdempotent() bool {
	switch j.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// canResendBody reports whether the body can be sent a second time.
func (j *job) canResendBody() bool {
	return j.isBodyBuffered || j.request.ContentLength == 0
}

// canRelay reports whether the request may be relayed to a peer agent.
func (j *job) canRelay() bool {
	isSmall := j.isBodyBuffered || j.request.ContentLength >= 0 && j.request.ContentLength <= maxRelayBody
	return j.class == class.Short && !j.isRelayed && isSmall
}

// bufferUnsizedBody buffers the body of an idempotent request of unknown length, unless it is a PUT or a feed. Requests with
// the other idempotent methods usually have no body. Once that is known, they can be retried and relayed.
func (j *job) bufferUnsizedBody() error {
	if j.request.ContentLength >= 0 || j.class == class.Feed || !j.isIdempotent() || j.request.Method == http.MethodPut {
		return nil
	}
	_ = http.NewResponseController(j.writer).SetReadDeadline(j.deadline)
	return j.bufferBody()
}

// bufferBody reads the whole body into memory, so that it can be relayed or sent again. It returns errBodyTooLarge beyond
// maxRelayBody.
func (j *job) bufferBody() error {
	if j.isBodyBuffered {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(j.request.Body, maxRelayBody+1))
	if err != nil {
		return eris.Wrap(err, "read the caller's body")
	}
	if len(body) > maxRelayBody {
		return errBodyTooLarge
	}
	j.body, j.isBodyBuffered = body, true
	return nil
}

// openBody returns the request body for one attempt.
func (j *job) openBody() io.ReadCloser {
	switch {
	case j.isBodyBuffered && len(j.body) > 0:
		return io.NopCloser(bytes.NewReader(j.body))
	case j.isBodyBuffered || j.request.ContentLength == 0:
		return http.NoBody
	default:
		return j.request.Body
	}
}

// admissionRequest returns the request for the admission machine.
func (j *job) admissionRequest() admit.Request {
	return admit.Request{
		Class: j.class, Route: j.route, Deadline: j.deadline,
		CanRelay: j.canRelay(), IsRelayed: j.isRelayed,
	}
}
