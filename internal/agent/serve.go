package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/events"
)

const (
	idleTimeout       = 30 * time.Second
	keepAliveInterval = 10 * time.Second
	handshakeTimeout  = 5 * time.Second
	initialPacketSize = 1200
	maxHeaderBytes    = 16 << 10
	maxStreams        = 32
)

// serveClass starts the HTTP/3 server for the flows of one class.
func (a *Agent) serveClass(c class.Class) error {
	conn := newVirtualConn(a.socket.LocalAddr(), a.outbound)
	a.conns[c] = conn
	reset := resetKey(a.keys.Load().Current())
	transport := &quic.Transport{
		Conn:                  conn,
		ConnectionIDLength:    connid.Size,
		ConnectionIDGenerator: &idGenerator{agent: a, class: c},
		StatelessResetKey:     &reset,
	}
	tlsConfig := http3.ConfigureTLSConfig(a.credentials.Public())
	listener, err := transport.Listen(tlsConfig, &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAliveInterval,
		InitialPacketSize:       initialPacketSize,
		MaxIncomingStreams:      maxStreams,
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
	})
	if err != nil {
		return eris.Wrapf(err, "listen for class %s", c)
	}
	server := &http3.Server{
		Handler:        http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(c, w, r) }),
		MaxHeaderBytes: maxHeaderBytes,
	}
	a.servers[c] = server
	a.group.Go("serve "+c.String(), func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() {
			_ = transport.Close()
			_ = conn.Close()
		})
		defer stop()
		err := server.ServeListener(listener)
		if ctx.Err() != nil || eris.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrapf(err, "serve class %s", c)
	})
	return nil
}

// serve answers one request of a caller.
func (a *Agent) serve(c class.Class, w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	result := a.target.forward(w, r)
	a.log.Emit(events.RequestFinished, events.F("request", r.Header.Get("X-Request-Id")), events.F("class", c.String()),
		events.F("caller", r.RemoteAddr), events.F("outcome", result.outcome), events.F("status", result.status),
		events.F("duration_ms", time.Since(started).Milliseconds()))
	if result.isCut {
		panic(http.ErrAbortHandler)
	}
}
