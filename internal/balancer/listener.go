package balancer

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
)

// socketBufferBytes is the requested size of the kernel's receive and send buffers of a socket.
const socketBufferBytes = 4 << 20

// listener is a UDP socket: for one port of the routes, or for the envelopes of agents.
type listener struct {
	bind   netip.AddrPort
	socket *net.UDPConn
	packet *ipv4.PacketConn
	// stopped is true once stopReading was called.
	stopped atomic.Bool
	// isWildcard is true for a socket on every address of the VM.
	isWildcard bool
	// address is the address of the route that a socket on the bind IP serves. It is unused for a wildcard socket.
	address atomic.Pointer[netip.AddrPort]
	// lastUsedAt is the time of the last read or write, in Unix nanoseconds.
	lastUsedAt atomic.Int64
}

// openWildcard opens a socket for a port on every address of the VM.
func openWildcard(port uint16) (*listener, error) {
	l, err := openListener(netip.AddrPortFrom(netip.IPv4Unspecified(), port))
	if err != nil {
		return nil, err
	}
	l.isWildcard = true
	if err := l.packet.SetControlMessage(ipv4.FlagDst, true); err != nil {
		l.close()
		return nil, eris.Wrapf(err, "request destination addresses of datagrams on %s", l.bind)
	}
	return l, nil
}

// setAddress sets the address of the route that the socket serves. A wildcard socket reads the address from each datagram
// instead.
func (l *listener) setAddress(address netip.AddrPort) {
	if !l.isWildcard {
		l.address.Store(&address)
	}
}

// recordUse records that the socket is in use.
func (l *listener) recordUse(now time.Time) {
	l.lastUsedAt.Store(now.UnixNano())
}

// isIdle reports whether the socket was unused for more than listenerIdleTimeout.
func (l *listener) isIdle(now time.Time) bool {
	return now.UnixNano()-l.lastUsedAt.Load() > int64(listenerIdleTimeout)
}

// destinationOf returns the route's address to which message i of a batch was sent. It returns the zero AddrPort when that is
// unknown.
func (l *listener) destinationOf(b *batch, i int) netip.AddrPort {
	if l.isWildcard {
		ip, ok := readDestination(b.messages[i].OOB[:b.messages[i].NN])
		if !ok {
			return netip.AddrPort{}
		}
		return netip.AddrPortFrom(ip, l.bind.Port())
	}
	if address := l.address.Load(); address != nil {
		return *address
	}
	return netip.AddrPort{}
}

// openListener opens a UDP socket on the given address.
func openListener(bind netip.AddrPort) (*listener, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, eris.Wrapf(err, "bind %s", bind)
	}
	// The kernel may limit the size. A smaller buffer only drops datagrams earlier under load.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return &listener{bind: bind, socket: socket, packet: ipv4.NewPacketConn(socket)}, nil
}

// stopReading makes the current and all later reads fail. Writes work until close.
func (l *listener) stopReading() {
	l.stopped.Store(true)
	_ = l.socket.SetReadDeadline(time.Unix(1, 0))
}

func (l *listener) isStopped() bool {
	return l.stopped.Load()
}

func (l *listener) close() {
	_ = l.socket.Close()
}

// read waits for a datagram and fills b with all datagrams that have arrived, as many as fit.
func (l *listener) read(b *batch) error {
	b.prepareRead(l.isWildcard)
	n, err := l.packet.ReadBatch(b.messages, 0)
	b.count = n
	b.source = l
	l.recordUse(time.Now())
	return err
}

// write sends the datagrams of b and returns the number of datagrams that failed.
func (l *listener) write(b *batch) (failed int) {
	l.recordUse(time.Now())
	for sent := 0; sent < b.count; {
		n, err := l.packet.WriteBatch(b.messages[sent:b.count], 0)
		if err != nil || n <= 0 {
			failed++
			n = 1
		}
		sent += n
	}
	return failed
}
