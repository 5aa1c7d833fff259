package agent

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/control"
	"gentianswitch/internal/events"
)

const (
	// relayOfferTimeout bounds each step of an offer: connecting, the peer's decision, and the request after an acceptance.
	// The agent waits for the response until relayOfferTimeout after the request's deadline.
	relayOfferTimeout = 500 * time.Millisecond
	// maxConnIdleTime is how long an idle connection to a peer stays usable. The peer closes it after 10 s.
	maxConnIdleTime = 5 * time.Second
	// maxIdleConnsPerPeer is the largest number of idle connections to one peer.
	maxIdleConnsPerPeer = 4
)

// errRelayProtocol is the error for a message that the relay protocol doesn't allow at this point.
var errRelayProtocol = eris.New("the peer sent an unexpected message")

// peerConnPool is a pool of idle control connections to peer agents, for relayed requests and for the replicas of idempotency
// keys.
type peerConnPool struct {
	mu          sync.Mutex
	credentials *control.Credentials
	idle        map[netip.AddrPort][]idleConn
}

type idleConn struct {
	conn  *control.Conn
	since time.Time
}

func newPeerConnPool(credentials *control.Credentials) *peerConnPool {
	return &peerConnPool{credentials: credentials, idle: make(map[netip.AddrPort][]idleConn)}
}

// get returns an idle connection to the peer, or a new one.
func (p *peerConnPool) get(ctx context.Context, peer netip.AddrPort) (*control.Conn, error) {
	if conn := p.popIdle(peer); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, relayOfferTimeout)
	defer cancel()
	return control.Dial(ctx, peer.String(), p.credentials)
}

// popIdle removes and returns an idle connection, or returns nil if there is none. It closes those that are too old.
func (p *peerConnPool) popIdle(peer netip.AddrPort) *control.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[peer]; len(list) > 0; list = p.idle[peer] {
		last := list[len(list)-1]
		p.idle[peer] = list[:len(list)-1]
		if time.Since(last.since) < maxConnIdleTime {
			return last.conn
		}
		last.conn.Close()
	}
	return nil
}

// put returns a connection to the pool. The last exchange on it must be complete.
func (p *peerConnPool) put(peer netip.AddrPort, conn *control.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[peer]) >= maxIdleConnsPerPeer {
		conn.Close()
		return
	}
	p.idle[peer] = append(p.idle[peer], idleConn{conn: conn, since: time.Now()})
}

// relayToPeer offers a request to a peer agent and, if the peer accepts, sends it there and forwards the response. It returns
// false if the peer has not accepted; the admission then decides again. In that case the request has certainly not run there,
// because it is sent only after the acceptance.
func (a *Agent) relayToPeer(ctx context.Context, j *job, t ticket, action admit.Relay) (result, bool) {
	peer := action.Peer
	refused := admit.RelayRefused{ID: t.id, Peer: peer}
	if err := j.bufferBody(); err != nil {
		return a.respondFailed(j, attempt{err: err}), true
	}
	conn, err := a.offerToPeer(ctx, j, peer)
	if err != nil {
		a.log.Emit(events.RelayFailed, events.F("request", j.requestID), events.F("peer", peer.String()), events.Err(err))
		a.admission.handleEvent(refused)
		return result{}, false
	}
	a.log.Emit(events.RequestRelayed, events.F("request", j.requestID), events.F("class", j.class.String()),
		events.F("caller", j.caller), events.F("peer", peer.String()), events.F("reason", action.Reason))
	a.requestCounters.relayed.Inc(1)
	return a.forwardToPeer(ctx, j, peer, conn), true
}

// errOfferDeclined is the error for an offer that the peer has declined.
var errOfferDeclined = eris.New("the peer declined the request: it has no free slot for it")

// offerToPeer asks the peer for a free slot. If the peer accepts, it returns the connection on which the request must be sent.
func (a *Agent) offerToPeer(ctx context.Context, j *job, peer netip.AddrPort) (*control.Conn, error) {
	conn, err := a.peerConns.get(ctx, peer)
	if err != nil {
		a.admission.handleEvent(admit.PeerCapacity{Peer: peer, FreeSlots: 0})
		return nil, err
	}
	stop := time.AfterFunc(relayOfferTimeout, conn.Close)
	reply, err := conn.Call(control.Message{RelayOffer: &control.RelayOffer{
		Class: j.class, Route: j.route, DeadlineMs: time.Until(j.deadline).Milliseconds(),
	}})
	isInTime := stop.Stop()
	switch {
	case err == nil && !isInTime:
		err = context.DeadlineExceeded
	case err == nil && reply.RelayDecision == nil:
		err = errRelayProtocol
	}
	if err != nil {
		conn.Close()
		a.admission.handleEvent(admit.PeerCapacity{Peer: peer, FreeSlots: 0})
		return nil, err
	}
	a.admission.handleEvent(admit.PeerCapacity{Peer: peer, FreeSlots: reply.RelayDecision.FreeSlots})
	if !reply.RelayDecision.IsAccepted {
		a.peerConns.put(peer, conn)
		return nil, errOfferDeclined
	}
	return conn, nil
}

// forwardToPeer sends an accepted request to the peer and copies the response to the caller.
func (a *Agent) forwardToPeer(ctx context.Context, j *job, peer netip.AddrPort, conn *control.Conn) result {
	stop := context.AfterFunc(ctx, func() {
		conn.Close()
		unblockWrites(j.writer)
	})
	defer stop()
	head, err := a.sendRelayRequest(j, conn)
	if err != nil {
		conn.Close()
		if ctxErr := ctx.Err(); ctxErr != nil {
			err = errors.Join(err, ctxErr)
		}
		return a.respondFailed(j, attempt{err: err, mayHaveReached: true})
	}
	header := j.writer.Header()
	for _, field := range head.Header {
		header.Add(field.Name, field.Value)
	}
	j.writer.WriteHeader(head.Status)
	if err := a.copyRelayedBody(j, peer, conn); err != nil {
		conn.Close()
		return result{outcome: outcomeCut, status: head.Status, isTruncated: true, reason: err.Error()}
	}
	if stop() {
		a.peerConns.put(peer, conn)
	}
	outcome := header.Get(HeaderOutcome)
	if outcome == "" {
		outcome = outcomeDone
	}
	return result{outcome: outcome, status: head.Status, reason: "relayed to " + peer.String()}
}

// sendRelayRequest sends the request and returns the head of the response.
func (a *Agent) sendRelayRequest(j *job, conn *control.Conn) (*control.RelayHead, error) {
	reply, err := conn.CallWithin(control.Message{RelayRequest: &control.RelayRequest{
		Method: j.request.Method,
		URI:    j.request.URL.RequestURI(),
		Host:   j.request.Host,
		Caller: j.request.RemoteAddr,
		Header: headerFields(j.request.Header),
		Body:   j.body,
	}}, time.Until(j.deadline)+relayOfferTimeout)
	if err != nil {
		return nil, err
	}
	if reply.RelayHead == nil {
		return nil, errRelayProtocol
	}
	return reply.RelayHead, nil
}

// copyRelayedBody copies the response body from the peer to the caller. It fails if the response is truncated at the peer.
func (a *Agent) copyRelayedBody(j *job, peer netip.AddrPort, conn *control.Conn) error {
	for {
		m, err := conn.ReceiveWithin(time.Until(j.deadline) + relayOfferTimeout)
		if err != nil {
			return err
		}
		chunk := m.RelayChunk
		if chunk == nil {
			return errRelayProtocol
		}
		if _, err := j.writer.Write(chunk.Data); err != nil {
			return eris.Wrap(err, "write response to the caller")
		}
		if !chunk.IsLast {
			continue
		}
		a.admission.handleEvent(admit.PeerCapacity{Peer: peer, FreeSlots: chunk.FreeSlots})
		if chunk.IsCut {
			return eris.Errorf("the response was truncated at peer %s", peer)
		}
		return nil
	}
}

// headerFields returns the fields of a header for a control message.
func headerFields(header http.Header) []control.HeaderField {
	var fields []control.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, control.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}
