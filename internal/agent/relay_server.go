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

// maxRelayChunk is the number of bytes of an answer in one frame.
const maxRelayChunk = 32 << 10

// handleRelayOffer decides on the offer of a peer agent and runs the request that follows an acceptance.
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
	decision := &control.RelayDecision{IsAccepted: isAccepted, Room: a.admission.freeSlots()}
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

// serveRelayedRequest runs a relayed request and sends its answer. The end of the connection cancels it.
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
	watch := conn.WatchEnd(cancel)
	r := a.sendRelayedToTarget(ctx, j)
	isQuiet := watch.Stop()
	a.recordFinished(j, r)
	if err := w.finish(r.isTruncated, a.admission.freeSlotsAfterFinish()); err != nil {
		return err
	}
	if !isQuiet {
		return errRelayProtocol
	}
	return nil
}

// sendRelayedToTarget gives a relayed request to the target, once.
func (a *Agent) sendRelayedToTarget(ctx context.Context, j *job) result {
	defer a.health.trackShortRequest(j)()
	started := time.Now()
	try := a.target.sendRequest(ctx, j)
	var r result
	if try.err != nil {
		r = a.respondFailed(j, try)
	} else {
		r = a.forwardResponse(ctx, j, try.response)
	}
	a.recordTargetHealth(j, r, time.Since(started))
	return r
}

// acceptsRelays reports whether the target may get work of peer agents. A target that has just started takes it up to a
// growing share of its slots.
func (a *Agent) acceptsRelays() bool {
	state, _ := a.lifecycle.current()
	if state != member.Ready || a.health.isEjected() {
		return false
	}
	running, waiting := a.admission.load()
	return waiting == 0 && float64(running+1) <= a.slowStart.share(time.Now())*float64(a.settings.Slots)
}

func newRelayedRequest(ctx context.Context, relayed *control.RelayRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(relayed.URI)
	if err != nil {
		return nil, eris.Wrap(err, "URI of a relayed request")
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

// relayWriter sends an answer to a peer agent.
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

// Flush implements http.Flusher. Each write is sent at once.
func (w *relayWriter) Flush() {}

// finish ends the answer.
func (w *relayWriter) finish(isCut bool, room int) error {
	w.WriteHeader(http.StatusBadGateway)
	return w.conn.Send(control.Message{RelayChunk: &control.RelayChunk{IsLast: true, IsCut: isCut, Room: room}})
}
