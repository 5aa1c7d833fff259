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

// placementOutcome is what the agent did with the first datagram of a flow.
type placementOutcome struct {
	isDelivered  bool
	isRedirected bool
}

// placementTest is an agent that isn't running, and the socket of the second candidate.
type placementTest struct {
	agent  *Agent
	conn   *virtualConn
	second *net.UDPConn
	keys   *keys.Set
}

func newPlacementTest(t *testing.T, settings Settings) *placementTest {
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
	p := &placementTest{agent: a, second: listen(t), keys: set}
	a.socket = listen(t)
	p.conn = newVirtualConn(a.socket.LocalAddr(), a.outbound)
	a.conns[class.Short] = p.conn
	a.lifecycle.setState(member.Ready)
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

// sendFirstDatagram passes the first datagram of the flow with the given ID to the agent, in an envelope of the given kind.
func (p *placementTest) sendFirstDatagram(t *testing.T, kind envelope.Kind, flow string) placementOutcome {
	t.Helper()
	caller := netip.MustParseAddrPort("10.9.9.9:50000")
	second := p.second.LocalAddr().(*net.UDPAddr).AddrPort()
	header := envelope.Header{Kind: kind, Class: class.Short, Service: 1, Caller: caller, Address: caller}
	if kind == envelope.Deliver {
		header.SecondCandidate = netip.AddrPortFrom(second.Addr().Unmap(), second.Port())
	}
	p.agent.handleFirstDatagram(header, []byte("datagram"), []byte(flow))
	_, isDelivered := p.conn.inbound.TryGet()
	return placementOutcome{isDelivered: isDelivered, isRedirected: p.isRedirected(t)}
}

// isRedirected reports whether the second candidate has received the datagram, in an envelope that forbids another redirect.
func (p *placementTest) isRedirected(t *testing.T) bool {
	t.Helper()
	buffer := make([]byte, maxDatagramBytes)
	_ = p.second.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	n, _, err := p.second.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return false
	}
	header, _, err := envelope.Open(p.keys, buffer[:n])
	if err != nil || header.Kind != envelope.Redirect || header.SecondCandidate.IsValid() {
		t.Fatalf("the second candidate received %+v, %v", header, err)
	}
	return true
}

// The agent decides by its own state, so that it redirects new flows even while balancers still consider its target ready.
func TestNewFlowIsServedHereOrRedirectedOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
		state    member.State
		kind     envelope.Kind
		want     placementOutcome
	}{
		{"ready", Settings{MaxFlows: 1}, member.Ready, envelope.Deliver, placementOutcome{isDelivered: true}},
		{"draining", Settings{MaxFlows: 1}, member.Draining, envelope.Deliver, placementOutcome{isRedirected: true}},
		{"draining, redirected before", Settings{MaxFlows: 1}, member.Draining, envelope.Redirect, placementOutcome{}},
		{"ended", Settings{MaxFlows: 1}, member.Gone, envelope.Deliver, placementOutcome{isRedirected: true}},
		{"flow limit reached", Settings{}, member.Ready, envelope.Deliver, placementOutcome{isRedirected: true}},
		{"limit reached, redirected before", Settings{}, member.Ready, envelope.Redirect, placementOutcome{isDelivered: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlacementTest(t, c.settings)
			p.agent.lifecycle.setState(c.state)
			if got := p.sendFirstDatagram(t, c.kind, "flow"); got != c.want {
				t.Errorf("got %+v, expected %+v", got, c.want)
			}
		})
	}
}

// A drain must not separate the datagrams of a handshake that began before it.
func TestDatagramsOfOneHandshakeReachOneAgent(t *testing.T) {
	p := newPlacementTest(t, Settings{MaxFlows: 1})
	if got := p.sendFirstDatagram(t, envelope.Deliver, "before"); !got.isDelivered {
		t.Fatalf("got %+v, expected the first datagram of the flow to be delivered", got)
	}
	p.agent.lifecycle.setState(member.Draining)
	if got := p.sendFirstDatagram(t, envelope.Deliver, "before"); !got.isDelivered {
		t.Errorf("got %+v, expected the second datagram of the flow to be delivered", got)
	}
	if got := p.sendFirstDatagram(t, envelope.Deliver, "after"); !got.isRedirected {
		t.Errorf("got %+v, expected the new flow to be redirected", got)
	}
}
