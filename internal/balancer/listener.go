package balancer

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
)

const socketBufferBytes = 4 << 20

// listener is the socket for one port of the routes.
type listener struct {
	bind    netip.AddrPort
	socket  *net.UDPConn
	packet  *ipv4.PacketConn
	stopped atomic.Bool
	// isWildcard is true for a socket on every address of the VM.
	isWildcard bool
	// address is the route's address that a socket serves which is no wildcard.
	address atomic.Pointer[netip.AddrPort]
	// usedAt is when the socket last carried a datagram, in Unix nanoseconds.
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
		return nil, eris.Wrapf(err, "ask for the destinations on %s", l.bind)
	}
	return l, nil
}

// serve names the route's address for which the socket receives.
func (l *listener) setAddress(address netip.AddrPort) {
	if !l.isWildcard {
		l.address.Store(&address)
	}
}

func (l *listener) recordUse(now time.Time) {
	l.lastUsedAt.Store(now.UnixNano())
}

func (l *listener) isIdle(now time.Time) bool {
	return now.UnixNano()-l.lastUsedAt.Load() > int64(listenerIdleTimeout)
}

// receiverOf returns the route's address to which message i of a batch was sent, or the zero AddrPort.
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

func openListener(bind netip.AddrPort) (*listener, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, eris.Wrapf(err, "bind %s", bind)
	}
	// The kernel caps the size; a smaller buffer only drops earlier.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return &listener{bind: bind, socket: socket, packet: ipv4.NewPacketConn(socket)}, nil
}

// stopReading makes the present and every later read fail. Writes go on until close.
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

// read fills b with the datagrams that wait, at least one.
func (l *listener) read(b *batch) error {
	b.prepareRead(l.isWildcard)
	n, err := l.packet.ReadBatch(b.messages, 0)
	b.count = n
	b.source = l
	l.recordUse(time.Now())
	return err
}

// write sends the datagrams of b and returns the number that the kernel refused.
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
