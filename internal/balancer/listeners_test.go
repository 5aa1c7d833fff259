package balancer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/class"
	"gentianswitch/internal/duty"
	"gentianswitch/internal/envelope"
	"gentianswitch/internal/events"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/member"
	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

// newPathBalancer returns a balancer whose data path runs until the test ends.
func newPathBalancer(t *testing.T, bindIP netip.Addr) *Balancer {
	t.Helper()
	set, err := keys.NewSet([]keys.Key{{ID: 1}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b, err := New(Settings{Data: freeAddress(t), BindIP: bindIP}, set, nil, store.NewHTTP("127.0.0.1:1"),
		events.NewDiscardLogger(), tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	if b.dataSocket, err = openListener(b.settings.Data); err != nil {
		t.Fatal(err)
	}
	b.group = duty.NewGroup(context.Background())
	b.startPath()
	t.Cleanup(func() {
		b.group.Stop()
		_ = b.group.Wait()
		b.listeners.closeAll()
		b.dataSocket.close()
	})
	return b
}

// applyRoutes puts tables in force that declare a route for each address.
func applyRoutes(b *Balancer, addresses ...netip.AddrPort) {
	declared := &tables.Tables{Pools: []tables.Pool{{Name: "p", Service: 7}}}
	for _, a := range addresses {
		declared.Routes = append(declared.Routes, tables.Route{Name: a.String(), Address: a, Pool: "p", Class: class.Short})
	}
	b.updateTables(declared)
	b.openListeners(declared)
}

// One socket serves all addresses of a port, and each answer is sent from the address to which the caller sent.
func TestOneSocketServesAllAddressesOfAPort(t *testing.T) {
	b := newPathBalancer(t, netip.Addr{})
	agent := listenLoopback(t)
	port := freeAddress(t).Port()
	addresses := []netip.AddrPort{
		netip.AddrPortFrom(netip.MustParseAddr("127.77.0.1"), port), netip.AddrPortFrom(netip.MustParseAddr("127.77.0.2"), port),
	}
	applyRoutes(b, addresses...)
	b.updateTargets(nil, []member.Target{{Agent: addressOf(agent), Service: 7, Zone: "quito", Slots: 1, State: member.Ready}})
	if n := len(*b.listeners.byPort.Load()); n != 1 {
		t.Fatalf("%d sockets for one port, expected 1", n)
	}
	for _, address := range addresses {
		caller := listenLoopback(t)
		initial := make([]byte, 1200)
		copy(initial, []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
		if _, err := caller.WriteToUDPAddrPort(initial, address); err != nil {
			t.Fatal(err)
		}
		header := receiveEnvelope(t, b, agent)
		if header.Address != address || header.Caller != addressOf(caller) {
			t.Fatalf("delivered for %v from %v, expected %v from %v", header.Address, header.Caller, address, addressOf(caller))
		}
		answer := envelope.Seal(nil, b.keys.Load(),
			envelope.Header{Kind: envelope.Return, Caller: header.Caller, Address: header.Address}, []byte("answer"))
		if _, err := agent.WriteToUDPAddrPort(answer, b.settings.Data); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, bufferBytes)
		_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, from, err := caller.ReadFromUDPAddrPort(buffer)
		if err != nil || from != address || string(buffer[:n]) != "answer" {
			t.Errorf("answer %q from %v, %v; expected it from %v", buffer[:n], from, err, address)
		}
	}
}

// receiveEnvelope returns the header of the next envelope that the agent receives.
func receiveEnvelope(t *testing.T, b *Balancer, agent *net.UDPConn) envelope.Header {
	t.Helper()
	buffer := make([]byte, bufferBytes)
	_ = agent.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := agent.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	header, _, err := envelope.Open(b.keys.Load(), buffer[:n])
	if err != nil {
		t.Fatal(err)
	}
	return header
}

func TestSocketOfRemovedRouteClosesWhenIdle(t *testing.T) {
	b := newPathBalancer(t, netip.MustParseAddr("127.0.0.1"))
	kept, removed := freeAddress(t), freeAddress(t)
	applyRoutes(b, kept, removed)
	applyRoutes(b, kept)
	now := time.Now()
	if idle := b.listeners.removeIdle(now.Add(listenerIdleTimeout / 2)); len(idle) != 0 {
		t.Errorf("%d sockets closed before they were idle", len(idle))
	}
	b.listeners.forAddress(removed).recordUse(now.Add(listenerIdleTimeout))
	if idle := b.listeners.removeIdle(now.Add(3 * listenerIdleTimeout / 2)); len(idle) != 0 {
		t.Errorf("%d sockets closed while in use", len(idle))
	}
	idle := b.listeners.removeIdle(now.Add(3 * listenerIdleTimeout))
	if len(idle) != 1 || idle[0].bind != removed {
		t.Fatalf("%d sockets closed, expected that of %v", len(idle), removed)
	}
	idle[0].stopReading()
	idle[0].close()
	applyRoutes(b, kept, removed)
	if b.listeners.forAddress(removed) == nil {
		t.Error("the socket of the declared route was not opened again")
	}
}

// A route whose address changes but whose port stays keeps its socket on the bind IP. The socket then serves the new address.
func TestBindIPSocketServesChangedRouteAddress(t *testing.T) {
	b := newPathBalancer(t, netip.MustParseAddr("127.0.0.1"))
	oldAddress := freeAddress(t)
	newAddress := netip.AddrPortFrom(netip.MustParseAddr("198.51.100.9"), oldAddress.Port())
	applyRoutes(b, oldAddress)
	socket := b.listeners.forAddress(oldAddress)
	applyRoutes(b, newAddress)
	if b.listeners.forAddress(newAddress) != socket || socket.destinationOf(newBatch(), 0) != newAddress {
		t.Errorf("the socket serves %v, expected %v", socket.destinationOf(newBatch(), 0), newAddress)
	}
}
