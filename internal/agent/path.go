package agent

import (
	"context"
	"net"
	"net/netip"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/envelope"
	"gentianswitch/internal/events"
	"gentianswitch/internal/packet"
)

const (
	socketBufferBytes = 4 << 20
	datagramBytes     = 2048
)

// receiveAll opens the envelopes that arrive and passes the payloads to the connections of the classes.
func (a *Agent) receiveAll(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = a.socket.Close() })
	defer stop()
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := a.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		header, payload, err := envelope.Open(a.keys.Load(), buffer[:n])
		if err != nil {
			a.counters.badEnvelope.Inc(1)
			continue
		}
		a.receive(header, payload)
	}
}

func (a *Agent) receive(header envelope.Header, payload []byte) {
	if header.Kind == envelope.Return {
		a.counters.badEnvelope.Inc(1)
		return
	}
	switch header.Kind {
	case envelope.Leave:
		a.returns.left(header.Balancer)
		return
	case envelope.Heartbeat:
		a.returns.heard(header.Balancer)
		return
	default:
		a.returns.heard(header.Balancer)
	}
	parsed, err := packet.Parse(payload, connid.Size)
	if err != nil {
		a.counters.malformed.Inc(1)
		return
	}
	id, err := a.codec.Load().Decode(parsed.DestinationID)
	switch {
	case err == nil:
		a.continueFlow(id, parsed, header, payload)
	case parsed.OpensFlow:
		a.openFlow(header, payload, parsed.DestinationID)
	default:
		a.counters.unknownFlow.Inc(1)
	}
}

// continueFlow passes on a datagram of an open flow. A datagram for another service or address is dropped: the VM's
// address belonged to another agent when the flow was opened. A flow of a former incarnation of this agent has ended,
// and its caller is told so.
func (a *Agent) continueFlow(id connid.ID, parsed packet.Header, header envelope.Header, payload []byte) {
	if id.Service != a.settings.Service || id.Agent != a.settings.Data {
		a.counters.otherService.Inc(1)
		return
	}
	if id.Incarnation == uint16(a.incarnation) {
		a.deliver(id.Class, header, payload)
		return
	}
	a.counters.formerFlow.Inc(1)
	if parsed.IsShort {
		a.resetFlow(parsed.DestinationID, header, len(payload))
	}
}

func (a *Agent) handOn(header envelope.Header, payload []byte, second netip.AddrPort, reason string) {
	header.Kind = envelope.HandOn
	header.Second = netip.AddrPort{}
	sealed := envelope.Seal(nil, a.keys.Load(), header, payload)
	a.counters.handedOn.Inc(1)
	if _, err := a.socket.WriteToUDPAddrPort(sealed, second); err != nil {
		a.counters.sendFailed.Inc(1)
		return
	}
	a.log.Emit(events.FlowHandedOn, events.F("caller", header.Caller.String()),
		events.F("second", second.String()), events.F("reason", reason))
}

func (a *Agent) deliver(c class.Class, header envelope.Header, payload []byte) {
	conn := a.conns[c]
	if conn == nil {
		a.counters.malformed.Inc(1)
		return
	}
	ip := header.Caller.Addr().As4()
	from := &net.UDPAddr{IP: ip[:], Port: int(header.Caller.Port()), Zone: header.Address.String()}
	if !conn.inbound.TryPut(incoming{payload: append([]byte(nil), payload...), from: from}) {
		a.counters.ringFull.Inc(1)
	}
}

// sendAll wraps outgoing datagrams and sends them through the balancers in turn.
func (a *Agent) sendAll(ctx context.Context) error {
	buffer := make([]byte, 0, datagramBytes)
	for {
		out, ok := a.outbound.Get(ctx)
		if !ok {
			return nil
		}
		balancer, ok := a.returns.next()
		if !ok {
			a.counters.noBalancer.Inc(1)
			continue
		}
		header := envelope.Header{Kind: envelope.Return, Caller: out.caller, Address: out.address}
		buffer = envelope.Seal(buffer[:0], a.keys.Load(), header, out.payload)
		if _, err := a.socket.WriteToUDPAddrPort(buffer, balancer); err != nil {
			a.counters.sendFailed.Inc(1)
		}
	}
}
