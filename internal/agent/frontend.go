package agent

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
)

const (
	idleTimeout       = 30 * time.Second
	keepAliveInterval = 10 * time.Second
	handshakeTimeout  = 5 * time.Second
	initialPacketSize = 1200
	maxHeaderBytes    = 16 << 10
	maxStreams        = 32
	// lateFlowGrace is how long a flow that was opened before a drain, and came up after it, may send requests.
	lateFlowGrace = time.Second
)

// errTooManyFlows refuses a flow beyond Settings.Connections.
var errTooManyFlows = eris.New("the agent serves as many flows as it may")

// frontend serves the flows of one class over HTTP/3.
type frontend struct {
	class     class.Class
	agent     *Agent
	conn      *virtualConn
	transport *quic.Transport
	listener  *quic.Listener
	isClosed  atomic.Bool
	mu        sync.Mutex
	// server serves the flows opened since the last drain.
	server *http3.Server
	conns  map[*quic.Conn]struct{}
}

// openFrontend starts to accept the flows of one class.
func (a *Agent) openFrontend(c class.Class) (*frontend, error) {
	conn := newVirtualConn(a.socket.LocalAddr(), a.outbound)
	reset := statelessResetKey(a.keys.Load().Current())
	f := &frontend{class: c, agent: a, conn: conn, conns: make(map[*quic.Conn]struct{}), transport: &quic.Transport{
		Conn:                  conn,
		ConnectionIDLength:    connid.Size,
		ConnectionIDGenerator: &idGenerator{agent: a, class: c},
		StatelessResetKey:     &reset,
	}}
	config := &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAliveInterval,
		InitialPacketSize:       initialPacketSize,
		MaxIncomingStreams:      maxStreams,
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
	}
	config.GetConfigForClient = func(*quic.ClientInfo) (*quic.Config, error) {
		if a.isAtFlowLimit() {
			a.datagramCounters.refusedFlow.Inc(1)
			return nil, errTooManyFlows
		}
		return config, nil
	}
	listener, err := f.transport.Listen(http3.ConfigureTLSConfig(a.credentials.Public()), config)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for class %s", c)
	}
	f.listener = listener
	f.server = f.newServer()
	return f, nil
}

func (f *frontend) newServer() *http3.Server {
	return &http3.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.agent.serveRequest(f.class, w, r)
		}),
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// acceptFlows serves each flow until ctx ends.
func (f *frontend) acceptFlows(ctx context.Context) error {
	for {
		conn, err := f.listener.Accept(ctx)
		if ctx.Err() != nil || (err != nil && f.isClosed.Load()) {
			return nil
		}
		if err != nil {
			return eris.Wrapf(err, "accept class %s", f.class)
		}
		go f.serveFlow(conn)
	}
}

// serveFlow serves one flow until it is closed.
func (f *frontend) serveFlow(conn *quic.Conn) {
	defer f.agent.activeWork.trackFlow()()
	defer f.trackConn(conn)()
	err := f.serverForNewFlow().ServeQUICConn(conn)
	if eris.Is(err, http.ErrServerClosed) && conn.Context().Err() == nil {
		// A drain began between the choice of the server and its use.
		_ = f.serverForNewFlow().ServeQUICConn(conn)
	}
}

// trackConn records an open flow until the returned function is called.
func (f *frontend) trackConn(conn *quic.Conn) (closed func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[conn] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.conns, conn)
	}
}

// serverForNewFlow returns the server for a new flow. A flow that was opened before a drain and comes up after it gets a
// server of its own, which sends GOAWAY after a grace.
func (f *frontend) serverForNewFlow() *http3.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.server != nil {
		return f.server
	}
	late := f.newServer()
	time.AfterFunc(lateFlowGrace, func() { _ = late.Shutdown(context.Background()) })
	return late
}

// drain sends GOAWAY on every open flow. Requests in progress go on.
func (f *frontend) drain() {
	f.mu.Lock()
	server := f.server
	f.server = nil
	f.mu.Unlock()
	if server != nil {
		go func() { _ = server.Shutdown(context.Background()) }()
	}
}

// undrain serves new flows again.
func (f *frontend) undrain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.server == nil {
		f.server = f.newServer()
	}
}

// close ends every flow and tells its caller.
func (f *frontend) close() {
	f.isClosed.Store(true)
	f.mu.Lock()
	conns := slices.Collect(maps.Keys(f.conns))
	f.mu.Unlock()
	for _, conn := range conns {
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "the agent ends")
	}
	_ = f.transport.Close()
	_ = f.conn.Close()
}
