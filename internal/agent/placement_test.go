package agent

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/class"
	"gentianswitch/internal/envelope"
	"gentianswitch/internal/events"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/member"
)

// received is what became of the first datagram of a flow.
type received struct {
	here     bool
	handedOn bool
}

// placing is an agent without duties, and the socket of the second candidate.
type placing struct {
	agent  *Agent
	conn   *virtualConn
	second *net.UDPConn
	keys   *keys.Set
}

func newPlacing(t *testing.T, settings Settings) *placing {
	t.Helper()
	set, err := keys.NewSet([]keys.Key{{ID: 1}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	settings.Service, settings.Slots = 1, 1
	a, err := New(settings, set, nil, events.NewDiscardLogger(), tally.NoopScope, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	p := &placing{agent: a, second: listen(t), keys: set}
	a.socket = listen(t)
	p.conn = newVirtualConn(a.socket.LocalAddr(), a.outbound)
	a.conns[class.Short] = p.conn
	a.lifecycle.set(member.Ready)
	return p
}

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// open gives the agent the first datagram of the flow with the given ID, in an envelope of the given kind.
func (p *placing) open(t *testing.T, kind envelope.Kind, flow string) received {
	t.Helper()
	caller := netip.MustParseAddrPort("10.9.9.9:50000")
	second := p.second.LocalAddr().(*net.UDPAddr).AddrPort()
	header := envelope.Header{Kind: kind, Class: class.Short, Service: 1, Caller: caller, Address: caller}
	if kind == envelope.Deliver {
		header.Second = netip.AddrPortFrom(second.Addr().Unmap(), second.Port())
	}
	p.agent.openFlow(header, []byte("datagram"), []byte(flow))
	_, isHere := p.conn.inbound.TryGet()
	return received{here: isHere, handedOn: p.handedOn(t)}
}

// handedOn reports whether the second candidate has received the datagram in an envelope that forbids another hand-on.
func (p *placing) handedOn(t *testing.T) bool {
	t.Helper()
	buffer := make([]byte, datagramBytes)
	_ = p.second.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	n, _, err := p.second.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return false
	}
	header, _, err := envelope.Open(p.keys, buffer[:n])
	if err != nil || header.Kind != envelope.HandOn || header.Second.IsValid() {
		t.Fatalf("the second candidate got %+v, %v", header, err)
	}
	return true
}

// No balancer takes part in these decisions: an agent that leaves gets no new flow, whatever balancers believe.
func TestANewFlowIsServedHereOrHandedOnOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
		state    member.State
		kind     envelope.Kind
		want     received
	}{
		{"ready", Settings{Connections: 1}, member.Ready, envelope.Deliver, received{here: true}},
		{"draining", Settings{Connections: 1}, member.Draining, envelope.Deliver, received{handedOn: true}},
		{"draining and already handed on", Settings{Connections: 1}, member.Draining, envelope.HandOn, received{}},
		{"ended", Settings{Connections: 1}, member.Gone, envelope.Deliver, received{handedOn: true}},
		{"too many flows", Settings{}, member.Ready, envelope.Deliver, received{handedOn: true}},
		{"too many flows and already handed on", Settings{}, member.Ready, envelope.HandOn, received{here: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlacing(t, c.settings)
			p.agent.lifecycle.set(c.state)
			if got := p.open(t, c.kind, "flow"); got != c.want {
				t.Errorf("got %+v, expected %+v", got, c.want)
			}
		})
	}
}

func TestTheDatagramsOfOneHandshakeStayTogether(t *testing.T) {
	p := newPlacing(t, Settings{Connections: 1})
	if got := p.open(t, envelope.Deliver, "before"); !got.here {
		t.Fatalf("got %+v, expected the flow here", got)
	}
	p.agent.lifecycle.set(member.Draining)
	if got := p.open(t, envelope.Deliver, "before"); !got.here {
		t.Errorf("got %+v, expected the second datagram of the flow here", got)
	}
	if got := p.open(t, envelope.Deliver, "after"); !got.handedOn {
		t.Errorf("got %+v, expected the new flow to be handed on", got)
	}
}
