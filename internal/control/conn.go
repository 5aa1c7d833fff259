package control

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/frame"
)

const (
	// dialTimeout bounds the TCP connect and the TLS handshake of Dial together.
	dialTimeout = 2 * time.Second
	// writeTimeout bounds the time for sending one message.
	writeTimeout = 2 * time.Second
	// readTimeout bounds the wait for the next message. It is far above the longest interval at which agents and balancers send
	// heartbeats or replies to each other, 1 s.
	readTimeout = 10 * time.Second
)

// ErrUnexpectedMessage is returned when the received message is not an answer to the one sent.
var ErrUnexpectedMessage = eris.New("unexpected message")

// Conn is a control connection. Send may be called from several goroutines, Receive from one.
type Conn struct {
	raw net.Conn
	mu  sync.Mutex
}

// Dial opens a control connection to address.
func Dial(ctx context.Context, address string, credentials *Credentials) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := tls.Dialer{Config: credentials.Client()}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial control of %s", address)
	}
	return &Conn{raw: raw}, nil
}

// Send writes one message. It fails when the connection does not accept the whole message within 2 s.
func (c *Conn) Send(m Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return eris.Wrapf(err, "send to %s", c.Peer())
	}
	return eris.Wrapf(frame.Write(c.raw, m), "send to %s", c.Peer())
}

// Receive reads the next message. It fails when no message arrives within 10 s.
func (c *Conn) Receive() (Message, error) {
	return c.ReceiveWithin(readTimeout)
}

// ReceiveWithin reads the next message. It fails when no message arrives within limit.
func (c *Conn) ReceiveWithin(limit time.Duration) (Message, error) {
	var m Message
	if err := c.raw.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return m, eris.Wrapf(err, "receive from %s", c.Peer())
	}
	err := frame.Read(c.raw, &m)
	return m, eris.Wrapf(err, "receive from %s", c.Peer())
}

// Call sends a message and returns the next message that arrives. It fails when none arrives within 10 s.
func (c *Conn) Call(m Message) (Message, error) {
	if err := c.Send(m); err != nil {
		return Message{}, err
	}
	return c.Receive()
}

// Peer returns the address of the other side.
func (c *Conn) Peer() string {
	return c.raw.RemoteAddr().String()
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.raw.Close()
}

// Handler serves one accepted connection. The connection is closed when Handler returns.
type Handler func(ctx context.Context, conn *Conn)

// Serve accepts connections on listener and runs handler for each in a goroutine until ctx ends. It returns once every handler
// has returned.
func Serve(ctx context.Context, listener net.Listener, credentials *Credentials, handler Handler) error {
	secure := tls.NewListener(listener, credentials.Server())
	stop := context.AfterFunc(ctx, func() { _ = secure.Close() })
	defer stop()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	for {
		raw, err := secure.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrapf(err, "accept control on %s", listener.Addr())
		}
		handlers.Go(func() { serveConn(ctx, raw, handler) })
	}
}

// serveConn runs handler for a connection and closes the connection when the handler returns or ctx ends.
func serveConn(ctx context.Context, raw net.Conn, handler Handler) {
	conn := &Conn{raw: raw}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	defer conn.Close()
	handler(ctx, conn)
}
