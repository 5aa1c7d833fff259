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

// HeaderDeadline is the time that is left for a request, in milliseconds. Callers may set it; targets receive it.
const HeaderDeadline = "Gentian-Deadline-Ms"

// headerRequestID names a request in logs.
const headerRequestID = "X-Request-Id"

const (
	// maxDeadline bounds what callers may ask for.
	maxDeadline = 10 * time.Minute
	// maxRelayBody is the largest body in bytes of a request that may be relayed to a peer agent.
	maxRelayBody = 64 << 10
)

// Errors of a request that is refused before admission.
var (
	errInvalidDeadline = eris.New(HeaderDeadline + " is not a number of milliseconds above 0")
	errKeyTooLong      = eris.New(headerIdempotencyKey + " is longer than 128 bytes")
	errBodyTooLarge    = eris.New("the body is larger than the class allows")
)

// job is one request in the agent.
type job struct {
	class     class.Class
	requestID string
	route     string
	caller    string
	startedAt time.Time
	deadline  time.Time
	writer    http.ResponseWriter
	request   *http.Request
	isRelayed bool
	// body holds the body once it was read whole.
	body           []byte
	isBodyBuffered bool
}

// newJob checks a request. It returns errDeadline or errBodySize for one that cannot be admitted.
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

// requestedTimeout returns the time that the caller allows for a request.
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

// splitRemoteAddr splits the remote address of a flow into the caller's address and the route's.
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

// isIdempotent reports whether the request may be run twice (RFC 9110, section 9.2.2).
func (j *job) isIdempotent() bool {
	switch j.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// canResendBody reports whether the body can be sent once more.
func (j *job) canResendBody() bool {
	return j.isBodyBuffered || j.request.ContentLength == 0
}

// canRelay reports whether a peer agent may run the request.
func (j *job) canRelay() bool {
	isSmall := j.isBodyBuffered || j.request.ContentLength >= 0 && j.request.ContentLength <= maxRelayBody
	return j.class == class.Short && !j.isRelayed && isSmall
}

// bufferUnsizedBody finds out whether a request of a method that usually has no body has one, so that it can be repeated and
// relayed.
func (j *job) bufferUnsizedBody() error {
	if j.request.ContentLength >= 0 || j.class == class.Feed || !j.isIdempotent() || j.request.Method == http.MethodPut {
		return nil
	}
	_ = http.NewResponseController(j.writer).SetReadDeadline(j.deadline)
	return j.bufferBody()
}

// bufferBody reads the body whole, so that it can be sent to a peer or once more.
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

// openBody returns the body for one try.
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

// admissionRequest returns what the admission machine needs to know.
func (j *job) admissionRequest() admit.Request {
	return admit.Request{
		Class: j.class, Route: j.route, Deadline: j.deadline,
		CanRelay: j.canRelay(), IsRelayed: j.isRelayed,
	}
}
