// Package callers implements callers for tests and load generation: HTTP/3 clients that open feeds, send short requests
// and uploads, and check each answer.
package callers

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/agent"
	"gentianswitch/internal/class"
	"gentianswitch/internal/control"
	"gentianswitch/internal/standin/target"
)

// Outcome is the outcome of a request as its caller sees it.
type Outcome string

// The outcomes.
const (
	// Done is a complete answer to the request from the expected service.
	Done Outcome = "done"
	// NotRun is an error response that says the request was not run.
	NotRun Outcome = "not-run"
	// Unknown is an error response that leaves open whether the request was run.
	Unknown Outcome = "unknown"
	// Wrong is an answer from another service or to another request.
	Wrong Outcome = "wrong"
	// Cut is an answer or feed that ended early.
	Cut Outcome = "cut"
	// Unreachable means that no response came, because no connection could be opened or the request failed.
	Unreachable Outcome = "unreachable"
)

// Result is the result of one request as its caller sees it.
type Result struct {
	Request string
	Class   class.Class
	Outcome Outcome
	// Status is the HTTP status, or zero without a response.
	Status   int
	Duration time.Duration
	// RetryAfter is the Retry-After time of an error response, or zero.
	RetryAfter time.Duration
	// Events is the number of events received on a feed.
	Events int
	Err    error
}

const (
	handshakeTimeout = 10 * time.Second
	idleTimeout      = 30 * time.Second
	keepAlive        = 5 * time.Second
)

// Caller is one caller with its own socket. It opens a connection when the first request needs one.
type Caller struct {
	transport       *http3.Transport
	quic            *quic.Transport
	socket          *net.UDPConn
	expectedService string
}

// New returns a caller that trusts the certificate authority in the PEM file and expects answers from the named service.
func New(authorityFile, service string) (*Caller, error) {
	authority, err := LoadAuthority(authorityFile)
	if err != nil {
		return nil, err
	}
	return NewWithAuthority(authority, service)
}

// LoadAuthority reads the certificate authority that callers trust from a PEM file.
func LoadAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "load authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s holds no certificate", file)
	}
	return authority, nil
}

// NewWithAuthority returns a caller that trusts a loaded certificate authority and expects answers from the named service.
func NewWithAuthority(authority *x509.CertPool, service string) (*Caller, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, eris.Wrap(err, "open caller socket")
	}
	c := &Caller{quic: &quic.Transport{Conn: socket}, socket: socket, expectedService: service}
	c.transport = &http3.Transport{
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authority, ServerName: control.ServerName},
		QUICConfig: &quic.Config{
			HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive,
		},
		Dial: c.dial,
	}
	return c, nil
}

func (c *Caller) dial(ctx context.Context, address string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve %s", address)
	}
	return c.quic.DialEarly(ctx, to, tlsConfig, config)
}

// DisableKeepAlive turns off keep-alive packets, so that a caller with an open feed sends only acknowledgements. It has
// no effect on connections that are already open.
func (c *Caller) DisableKeepAlive() {
	c.transport.QUICConfig.KeepAlivePeriod = 0
}

// Close closes the caller's connections and its socket.
func (c *Caller) Close() {
	_ = c.transport.Close()
	_ = c.quic.Close()
	_ = c.socket.Close()
}

// Request describes one request.
type Request struct {
	// ID is sent in target.HeaderRequest and checked in the answer.
	ID      string
	Class   class.Class
	Address string
	// Work is the service time at the target.
	Work time.Duration
	// Body is the body of a short request or an upload.
	Body []byte
	// Events and Interval are the number of events of a feed and the time between them.
	Events   int
	Interval time.Duration
	// OnEvent, when not nil, is called after each event of a feed with the number of events received so far.
	OnEvent func(events int)
	// IdempotencyKey is sent when it is not empty.
	IdempotencyKey string
	// Method replaces the default method of the class when it is not empty.
	Method string
	// Deadline is sent in target.HeaderDeadline when it is not zero.
	Deadline time.Duration
}

// Do sends a request and checks the answer.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	started := time.Now()
	result := c.roundTrip(ctx, r)
	result.Request = r.ID
	result.Class = r.Class
	result.Duration = time.Since(started)
	return result
}

func (c *Caller) roundTrip(ctx context.Context, r Request) Result {
	request, err := r.build(ctx)
	if err != nil {
		return Result{Outcome: Unreachable, Err: err}
	}
	answer, err := c.transport.RoundTrip(request)
	if err != nil {
		return Result{Outcome: Unreachable, Err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refusalResult(answer)
	}
	if r.Class == class.Feed {
		return c.readFeed(answer.Body, r)
	}
	return c.readAnswer(answer.Body, r)
}

func (r Request) build(ctx context.Context) (*http.Request, error) {
	var method, path string
	switch r.Class {
	case class.Feed:
		method = http.MethodGet
		path = fmt.Sprintf("%s?%s=%d&%s=%d", target.PathFeed, target.QueryEvents, r.Events,
			target.QueryInterval, r.Interval.Milliseconds())
	case class.Short:
		method = http.MethodPost
		path = fmt.Sprintf("%s?%s=%d", target.PathShort, target.QueryWork, r.Work.Milliseconds())
	default:
		method = http.MethodPost
		path = fmt.Sprintf("%s?%s=%d", target.PathUpload, target.QueryWork, r.Work.Milliseconds())
	}
	if r.Method != "" {
		method = r.Method
	}
	request, err := http.NewRequestWithContext(ctx, method, "https://"+r.Address+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	request.Header.Set(target.HeaderRequest, r.ID)
	if r.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.Deadline != 0 {
		request.Header.Set(target.HeaderDeadline, fmt.Sprint(r.Deadline.Milliseconds()))
	}
	return request, nil
}

func (r Request) notifyEvent(events int) {
	if r.OnEvent != nil {
		r.OnEvent(events)
	}
}

// refusalResult returns the result of an error response.
func refusalResult(answer *http.Response) Result {
	result := Result{Status: answer.StatusCode, Outcome: Unknown}
	if answer.Header.Get(agent.HeaderOutcome) == agent.OutcomeNotRun {
		result.Outcome = NotRun
	}
	if seconds, err := time.ParseDuration(answer.Header.Get("Retry-After") + "s"); err == nil {
		result.RetryAfter = seconds
	}
	return result
}

// readFeed reads a feed and checks that its events come from the expected service and are numbered without a gap.
func (c *Caller) readFeed(body io.Reader, r Request) Result {
	result := Result{Status: http.StatusOK}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		if data, ok := strings.CutPrefix(line, "data: "); ok && data != c.expectedService {
			result.Outcome = Wrong
			return result
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if id != fmt.Sprint(result.Events) {
				result.Outcome = Wrong
				return result
			}
			result.Events++
			r.notifyEvent(result.Events)
		}
	}
	result.Err = lines.Err()
	result.Outcome = Cut
	if result.Err == nil && result.Events == r.Events {
		result.Outcome = Done
	}
	return result
}

// readAnswer reads the answer to a short request or an upload and checks its contents.
func (c *Caller) readAnswer(body io.Reader, r Request) Result {
	result := Result{Status: http.StatusOK}
	raw, err := io.ReadAll(body)
	if err != nil {
		result.Outcome = Cut
		result.Err = err
		return result
	}
	var answer target.Answer
	if err := json.Unmarshal(raw, &answer); err != nil {
		result.Outcome = Cut
		result.Err = err
		return result
	}
	hash := sha256.Sum256(r.Body)
	expected := target.Answer{
		Service: c.expectedService, Request: r.ID, Bytes: int64(len(r.Body)), Hash: hex.EncodeToString(hash[:]),
	}
	result.Outcome = Done
	if answer != expected {
		result.Outcome = Wrong
	}
	return result
}
