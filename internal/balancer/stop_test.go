package balancer

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/control"
	"gentianswitch/internal/envelope"
	"gentianswitch/internal/events"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/standin/certificates"
	"gentianswitch/internal/store"

	"github.com/uber-go/tally/v4"
)

// stopTestDatagrams is the number of datagrams in each direction, one in each batch.
const stopTestDatagrams = 40

// A balancer that is stopped must still send the datagrams that it has received. The test fills the first ring of each
// direction, as if the datagrams had just been received, and runs a balancer whose context has already ended.
func TestStopSendsWhatWasRead(t *testing.T) {
	set, err := keys.NewSet([]keys.Key{{ID: 1}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	agent := listenLoopback(t)
	caller := listenLoopback(t)
	scope := tally.NewTestScope("", nil)
	dir := t.TempDir()
	if err := certificates.Write(dir); err != nil {
		t.Fatal(err)
	}
	credentials, err := control.LoadCredentials(control.Files{
		Certificate: filepath.Join(dir, certificates.CertificateFile),
		Key:         filepath.Join(dir, certificates.KeyFile),
		Authority:   filepath.Join(dir, certificates.AuthorityFile),
	})
	if err != nil {
		t.Fatal(err)
	}
	b, err := New(Settings{Data: freeAddress(t), Control: freeControlAddress(t)}, set, credentials, store.NewHTTP("127.0.0.1:1"),
		events.NewDiscardLogger(), scope)
	if err != nil {
		t.Fatal(err)
	}
	front, err := openListener(freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	b.listeners.addListener(front.bind, front)
	fillFromCallers(t, b, front, addressOf(agent))
	fillFromAgents(b, front, addressOf(caller))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := b.Run(ctx); err != nil {
		t.Fatal(err)
	}
	for name, counter := range scope.Snapshot().Counters() {
		if counter.Value() > 0 {
			t.Logf("%s %d", name, counter.Value())
		}
	}
	if n := countDatagrams(agent, stopTestDatagrams); n != stopTestDatagrams {
		t.Errorf("the agent received %d of %d datagrams", n, stopTestDatagrams)
	}
	if n := countDatagrams(caller, stopTestDatagrams); n != stopTestDatagrams {
		t.Errorf("the caller received %d of %d datagrams", n, stopTestDatagrams)
	}
}

// An agent gets one leave notice for many answers. One notice for each answer would fill the ring through which callers'
// datagrams are sent.
func TestLeaveNoticesTakeNoRoomFromCallers(t *testing.T) {
	set, err := keys.NewSet([]keys.Key{{ID: 1}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b, err := New(Settings{Data: freeAddress(t)}, set, nil, nil, events.NewDiscardLogger(), tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	front, err := openListener(freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	defer front.close()
	b.listeners.addListener(front.bind, front)
	fillFromAgents(b, front, anyLoopbackAddress)
	b.isLeaving.Store(true)
	drainRing(b.fromAgents, b.returnBatch)
	if n := b.toAgents.Len(); n != 1 {
		t.Errorf("%d batches tell one agent of the leave, expected 1", n)
	}
}

// fillFromCallers fills the ring of datagrams from callers with datagrams of an open flow at the agent.
func fillFromCallers(t *testing.T, b *Balancer, front *listener, agent netip.AddrPort) {
	t.Helper()
	codec, err := connid.NewCodec(b.keys.Load())
	if err != nil {
		t.Fatal(err)
	}
	id := codec.Encode(connid.ID{Agent: agent, Service: 1, Class: class.Feed})
	datagram := append([]byte{0x40}, id[:]...)
	for range stopTestDatagrams {
		received := newBatch()
		received.source = front
		received.appendDatagram(append(received.nextBuffer(), datagram...), anyLoopbackAddress)
		received.messages[0].N = len(datagram)
		b.fromCallers.TryPut(received)
	}
}

// fillFromAgents fills the ring of datagrams from agents with answers to the caller.
func fillFromAgents(b *Balancer, front *listener, caller netip.AddrPort) {
	header := envelope.Header{Kind: envelope.Return, Caller: caller, Address: front.bind}
	for range stopTestDatagrams {
		received := newBatch()
		sealed := envelope.Seal(received.nextBuffer(), b.keys.Load(), header, []byte("answer"))
		received.appendDatagram(sealed, anyLoopbackAddress)
		received.messages[0].N = len(sealed)
		b.fromAgents.TryPut(received)
	}
}

// anyLoopbackAddress is an address that receives nothing in these tests.
var anyLoopbackAddress = netip.MustParseAddrPort("127.0.0.1:9")

func listenLoopback(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func addressOf(socket *net.UDPConn) netip.AddrPort {
	a := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return addressOf(socket)
}

// freeControlAddress returns an address at which a TCP listener can be opened. A free UDP port may be in use by a TCP
// connection of another process, so the address is on a loopback IP that only this process uses.
func freeControlAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	pid := os.Getpid()
	loopback := netip.AddrFrom4([4]byte{127, 30, byte(pid >> 8), byte(pid)})
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// Wait limits of countDatagrams.
const (
	// expectedDatagramWait is longer than any pause of the process: a read fails once its deadline has passed, even if a
	// datagram has arrived.
	expectedDatagramWait = 10 * time.Second
	extraDatagramWait    = 100 * time.Millisecond
)

// countDatagrams counts the datagrams that arrive at a socket. It waits long for the expected number and briefly for more.
func countDatagrams(socket *net.UDPConn, expected int) int {
	buffer := make([]byte, bufferBytes)
	count := 0
	for {
		limit := expectedDatagramWait
		if count >= expected {
			limit = extraDatagramWait
		}
		_ = socket.SetReadDeadline(time.Now().Add(limit))
		if _, _, err := socket.ReadFromUDPAddrPort(buffer); err != nil {
			return count
		}
		count++
	}
}
