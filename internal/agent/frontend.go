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
	// initialPacketSize is the datagram size in bytes that every QUIC path supports (RFC 9000, section 14). It stays the same,
	// because path MTU discovery is disabled.
	initialPacketSize = 1200
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// maxStreams is the maximum number of concurrent requests of one flow.
	maxStreams = 32
	// lateFlowGrace is how long a flow may send requests if its handshake began before a drain and was completed after it.
	lateFlowGrace = time.Second
)

// errTooManyFlows makes quic-go refuse a flow beyond Settings.MaxFlows.
var errTooManyFlows = eris.New("the agent serves as many flows as it may")

// frontend serves the flows of one class over HTTP/3. The route to which a caller connects declares the class.
type frontend struct {
	class     class.Class
	agent     *Agent
	conn      *virtualConn
	transport *quic.Transport
	listener  *quic.Listener
	isClosed  atomic.Bool
	mu        sync.Mutex
	// server serves new flows. It is nil during a drain.
	server *http3.Server
	conns  map[*quic.Conn]struct{}
}

// openFrontend starts listening for the flows of one class.
func (a *Agent) openFrontend(c class.Class) (*frontend, error) {
	conn := newVirtualConn(a.socket.LocalAddr(), a.outbound)
	resetKey := statelessResetKey(a.keys.Load().Current())
	f := &frontend{class: c, agent: a, conn: conn, conns: make(map[*quic.Conn]struct{}), transport: &quic.Transport{
		Conn:                  conn,
		ConnectionIDLength:    connid.Size,
		ConnectionIDGenerator: &idGenerator{agent: a, class: c},
		StatelessResetKey:     &resetKey,
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

// acceptFlows accepts flows and serves each in a goroutine, until ctx is done.
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

// serveFlow serves the requests of one flow until it is closed.
func (f *frontend) serveFlow(conn *quic.Conn) {
	defer f.agent.activeWork.trackFlow()()
	defer f.trackConn(conn)()
	err := f.serverForNewFlow().ServeQUICConn(conn)
	if eris.Is(err, http.ErrServerClosed) && conn.Context().Err() == nil {
		// A drain shut the server down before it accepted the connection.
		_ = f.serverForNewFlow().ServeQUICConn(conn)
	}
}

// trackConn records an open connection until the returned function is called.
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

// serverForNewFlow returns the server for a new flow. During a drain, a flow whose handshake began earlier gets a server of its
// own, which sends GOAWAY after lateFlowGrace.
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

// drain sends GOAWAY on every open flow. Requests in progress continue.
func (f *frontend) drain() {
	f.mu.Lock()
	server := f.server
	f.server = nil
	f.mu.Unlock()
	if server != nil {
		go func() { _ = server.Shutdown(context.Background()) }()
	}
}

// undrain serves new flows again after a drain.
func (f *frontend) undrain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.server == nil {
		f.server = f.newServer()
	}
}

// close closes every flow with a CONNECTION_CLOSE frame and stops listening.
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
