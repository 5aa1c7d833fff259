package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/ring"
)

// incomingDatagram is a datagram from a caller. Its source address carries the route's address in the Zone field, because
// quic-go passes the source address to WriteTo with each datagram that it sends to the caller.
type incomingDatagram struct {
	payload []byte
	from    *net.UDPAddr
}

// outgoingDatagram is a datagram for a caller. It must leave from address, the route's address.
type outgoingDatagram struct {
	payload []byte
	caller  netip.AddrPort
	address netip.AddrPort
}

// virtualConn is the packet connection on which quic-go serves the flows of one class. It carries the payloads of envelopes.
type virtualConn struct {
	local     net.Addr
	inbound   *ring.Ring[incomingDatagram]
	outbound  *ring.Ring[outgoingDatagram]
	closed    chan struct{}
	closeOnce sync.Once
	mu        sync.Mutex
	// deadline is the read deadline. deadlineChanged is closed and replaced when it is set.
	deadline        time.Time
	deadlineChanged chan struct{}
}

var _ net.PacketConn = (*virtualConn)(nil)

func newVirtualConn(local net.Addr, outbound *ring.Ring[outgoingDatagram]) *virtualConn {
	return &virtualConn{
		local: local, inbound: ring.New[incomingDatagram](ringCapacity), outbound: outbound,
		closed: make(chan struct{}), deadlineChanged: make(chan struct{}),
	}
}

// ReadFrom implements net.PacketConn.
func (c *virtualConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		c.mu.Lock()
		deadline, deadlineChanged := c.deadline, c.deadlineChanged
		c.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			expired = time.After(time.Until(deadline))
		}
		select {
		case in := <-c.inbound.Items():
			return copy(p, in.payload), in.from, nil
		case <-deadlineChanged:
		case <-expired:
			return 0, nil, os.ErrDeadlineExceeded
		case <-c.closed:
			return 0, nil, net.ErrClosed
		}
	}
}

// WriteTo implements net.PacketConn. It drops the datagram when the ring is full, as a network would.
func (c *virtualConn) WriteTo(p []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("not a UDP address")
	}
	address, err := netip.ParseAddrPort(udp.Zone)
	if err != nil {
		return 0, net.InvalidAddrError("no route address")
	}
	ip, _ := netip.AddrFromSlice(udp.IP.To4())
	caller := netip.AddrPortFrom(ip, uint16(udp.Port))
	c.outbound.TryPut(outgoingDatagram{payload: append([]byte(nil), p...), caller: caller, address: address})
	return len(p), nil
}

// Close implements net.PacketConn.
func (c *virtualConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *virtualConn) LocalAddr() net.Addr { return c.local }

// SetDeadline implements net.PacketConn.
func (c *virtualConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *virtualConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline implements net.PacketConn. Writes never block.
func (c *virtualConn) SetWriteDeadline(time.Time) error { return nil }

// idGenerator issues the connection IDs of one class. They name the agent, so that any balancer can forward a flow's datagrams.
type idGenerator struct {
	agent *Agent
	class class.Class
	nonce atomic.Uint32
}

var _ quic.ConnectionIDGenerator = (*idGenerator)(nil)

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	raw := g.agent.codec.Load().Encode(connid.ID{
		Agent:       g.agent.settings.Data,
		Service:     g.agent.settings.Service,
		Incarnation: uint16(g.agent.incarnation),
		Class:       g.class,
		Nonce:       g.nonce.Add(1),
	})
	return quic.ConnectionIDFromBytes(raw[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *idGenerator) ConnectionIDLen() int { return connid.Size }
