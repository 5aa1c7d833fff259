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
	b.prepareRead()
	n, err := l.packet.ReadBatch(b.messages, 0)
	b.count = n
	b.source = l
	return err
}

// write sends the datagrams of b and returns the number that the kernel refused.
func (l *listener) write(b *batch) (failed int) {
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
