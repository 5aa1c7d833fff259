package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/class"
	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
)

// maxRelayChunk is the largest number of bytes of a response body in one message.
const maxRelayChunk = 32 << 10

// handleRelayOffer accepts or declines the offer of a peer agent, and runs the request that follows an acceptance.
func (a *Agent) handleRelayOffer(ctx context.Context, conn *control.Conn, offer *control.RelayOffer) error {
	deadline := time.Now().Add(time.Duration(offer.DeadlineMs) * time.Millisecond)
	if offer.Class != class.Short || !a.acceptsRelays() {
		return conn.Send(control.Message{RelayDecision: &control.RelayDecision{}})
	}
	t := a.admission.submitRequest(admit.Request{
		Class: offer.Class, Route: offer.Route, Deadline: deadline, IsRelayed: true,
	})
	hasRun := false
	defer func() { a.admission.closeRequest(t, hasRun) }()
	first := <-t.actions
	_, isAccepted := first.(admit.Dispatch)
	decision := &control.RelayDecision{IsAccepted: isAccepted, FreeSlots: a.admission.freeSlots()}
	if err := conn.Send(control.Message{RelayDecision: decision}); err != nil || !isAccepted {
		return err
	}
	defer a.activeWork.trackRequest(offer.Class)()
	m, err := conn.ReceiveWithin(relayOfferTimeout)
	if err != nil {
		return err
	}
	if m.RelayRequest == nil {
		return errRelayProtocol
	}
	hasRun = true
	return a.serveRelayedRequest(ctx, conn, offer, m.RelayRequest, deadline)
}

// serveRelayedRequest runs a relayed request and sends the response to the peer. It cancels the request if the connection ends.
func (a *Agent) serveRelayedRequest(
	ctx context.Context, conn *control.Conn, offer *control.RelayOffer, relayed *control.RelayRequest,
	deadline time.Time,
) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	w := &relayWriter{conn: conn, header: make(http.Header)}
	request, err := newRelayedRequest(ctx, relayed)
	if err != nil {
		return err
	}
	caller, _ := splitRemoteAddr(relayed.Caller)
	j := &job{
		class: offer.Class, requestID: request.Header.Get(headerRequestID), route: offer.Route, caller: caller,
		startedAt: time.Now(), deadline: deadline, writer: w, request: request, isRelayed: true,
		body: relayed.Body, isBodyBuffered: true,
	}
	watch := conn.WatchClose(cancel)
	r := a.sendRelayedToTarget(ctx, j)
	isQuiet := watch.Stop()
	a.recordFinished(j, r)
	if err := w.finish(r.isTruncated, a.admission.freeSlotsAfterFinish()); err != nil {
		return err
	}
	// The peer must not send anything before it has received the whole response.
	if !isQuiet {
		return errRelayProtocol
	}
	return nil
}

// sendRelayedToTarget sends a relayed request to the target, without retries, and forwards the response.
func (a *Agent) sendRelayedToTarget(ctx context.Context, j *job) result {
	defer a.health.trackShortRequest(j)()
	started := time.Now()
	sent := a.target.sendRequest(ctx, j)
	var r result
	if sent.err != nil {
		r = a.respondFailed(j, sent)
	} else {
		r = a.forwardResponse(ctx, j, sent.response)
	}
	a.recordTargetHealth(j, r, time.Since(started))
	return r
}

// acceptsRelays reports whether the target accepts a relayed request now. During the slow start, relayed requests may use only
// a growing share of its slots.
func (a *Agent) acceptsRelays() bool {
	state, _ := a.lifecycle.current()
	if state != member.Ready || a.health.isEjected() {
		return false
	}
	running, waiting := a.admission.load()
	return waiting == 0 && float64(running+1) <= a.slowStart.share(time.Now())*float64(a.settings.Slots)
}

// newRelayedRequest returns the HTTP request of a relay message.
func newRelayedRequest(ctx context.Context, relayed *control.RelayRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(relayed.URI)
	if err != nil {
		return nil, eris.Wrap(err, "parse URI of a relayed request")
	}
	request := &http.Request{
		Method: relayed.Method, URL: target, Host: relayed.Host, Header: make(http.Header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(relayed.Body)), ContentLength: int64(len(relayed.Body)),
		RemoteAddr: relayed.Caller,
	}
	for _, field := range relayed.Header {
		request.Header.Add(field.Name, field.Value)
	}
	return request.WithContext(ctx), nil
}

// relayWriter is the response writer that sends a response to a peer agent.
type relayWriter struct {
	conn        *control.Conn
	header      http.Header
	hasSentHead bool
}

var _ http.ResponseWriter = (*relayWriter)(nil)

// Header implements http.ResponseWriter.
func (w *relayWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *relayWriter) WriteHeader(status int) {
	if w.hasSentHead {
		return
	}
	w.hasSentHead = true
	head := &control.RelayHead{Status: status, Header: headerFields(w.header)}
	_ = w.conn.Send(control.Message{RelayHead: head})
}

// Write implements http.ResponseWriter.
func (w *relayWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for sent := 0; sent < len(p); {
		end := min(sent+maxRelayChunk, len(p))
		if err := w.conn.Send(control.Message{RelayChunk: &control.RelayChunk{Data: p[sent:end]}}); err != nil {
			return sent, err
		}
		sent = end
	}
	return len(p), nil
}

// Flush implements http.Flusher. It does nothing, because Write sends at once.
func (w *relayWriter) Flush() {}

// finish sends the last chunk, with the number of free slots. It sends status 502 first if no status has been sent.
func (w *relayWriter) finish(isTruncated bool, freeSlots int) error {
	w.WriteHeader(http.StatusBadGateway)
	return w.conn.Send(control.Message{RelayChunk: &control.RelayChunk{IsLast: true, IsCut: isTruncated, FreeSlots: freeSlots}})
}
