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
	// maxDatagramBytes bounds a datagram with its envelope.
	maxDatagramBytes = 2048
)

// receiveDatagrams receives envelopes on the data socket and handles them until ctx is done.
func (a *Agent) receiveDatagrams(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = a.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
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
			a.datagramCounters.badEnvelope.Inc(1)
			continue
		}
		a.handleDatagram(header, payload)
	}
}

// handleDatagram handles an opened envelope. Each one shows that its balancer can return datagrams to callers, except Leave,
// with which the balancer announces that it shuts down, and Return, which agents send and don't accept.
func (a *Agent) handleDatagram(header envelope.Header, payload []byte) {
	if header.Kind == envelope.Return {
		a.datagramCounters.badEnvelope.Inc(1)
		return
	}
	switch header.Kind {
	case envelope.Leave:
		a.returnRotation.remove(header.Balancer)
		return
	case envelope.Heartbeat:
		a.returnRotation.recordDatagram(header.Balancer)
		return
	default:
		a.returnRotation.recordDatagram(header.Balancer)
	}
	parsed, err := packet.Parse(payload, connid.Size)
	if err != nil {
		a.datagramCounters.malformed.Inc(1)
		return
	}
	id, err := a.codec.Load().Decode(parsed.DestinationID)
	switch {
	case err == nil:
		a.handleFlowDatagram(id, parsed, header, payload)
	case parsed.OpensFlow:
		a.handleFirstDatagram(header, payload, parsed.DestinationID)
	default:
		a.datagramCounters.unknownFlow.Inc(1)
	}
}

// handleFlowDatagram handles a datagram whose connection ID an agent has issued. It drops a datagram for another service or
// address: the VM's address belonged to another agent when the flow was opened. A flow of a previous incarnation of this agent
// no longer exists, so the agent answers its datagrams with stateless resets. A connection ID carries only the low 16 bits of
// the incarnation.
func (a *Agent) handleFlowDatagram(id connid.ID, parsed packet.Header, header envelope.Header, payload []byte) {
	if id.Service != a.settings.Service || id.Agent != a.settings.Data {
		a.datagramCounters.otherService.Inc(1)
		return
	}
	if id.Incarnation == uint16(a.incarnation) {
		a.deliverDatagram(id.Class, header, payload)
		return
	}
	a.datagramCounters.previousIncarnation.Inc(1)
	if parsed.HasShortHeader {
		a.sendStatelessResets(parsed.DestinationID, header, len(payload))
	}
}

// redirectDatagram sends a datagram of a new flow to the second candidate, in an envelope that allows no further redirect.
func (a *Agent) redirectDatagram(header envelope.Header, payload []byte, second netip.AddrPort, reason string) {
	header.Kind = envelope.Redirect
	header.SecondCandidate = netip.AddrPort{}
	sealed := envelope.Seal(nil, a.keys.Load(), header, payload)
	a.datagramCounters.redirected.Inc(1)
	if _, err := a.socket.WriteToUDPAddrPort(sealed, second); err != nil {
		a.datagramCounters.sendFailed.Inc(1)
		return
	}
	a.log.Emit(events.FlowRedirected, events.F("caller", header.Caller.String()),
		events.F("second", second.String()), events.F("reason", reason))
}

// deliverDatagram queues a datagram for the virtual connection of its class.
func (a *Agent) deliverDatagram(c class.Class, header envelope.Header, payload []byte) {
	conn := a.conns[c]
	if conn == nil {
		a.datagramCounters.malformed.Inc(1)
		return
	}
	ip := header.Caller.Addr().As4()
	from := &net.UDPAddr{IP: ip[:], Port: int(header.Caller.Port()), Zone: header.Address.String()}
	if !conn.inbound.TryPut(incomingDatagram{payload: append([]byte(nil), payload...), from: from}) {
		a.datagramCounters.ringFull.Inc(1)
	}
}

// sendDatagrams seals the datagrams for callers in envelopes and sends them through the balancers of the rotation, until ctx is
// done.
func (a *Agent) sendDatagrams(ctx context.Context) error {
	buffer := make([]byte, 0, maxDatagramBytes)
	for {
		out, ok := a.outbound.Get(ctx)
		if !ok {
			return nil
		}
		balancer, ok := a.returnRotation.nextBalancer()
		if !ok {
			a.datagramCounters.noBalancer.Inc(1)
			continue
		}
		header := envelope.Header{Kind: envelope.Return, Caller: out.caller, Address: out.address}
		buffer = envelope.Seal(buffer[:0], a.keys.Load(), header, out.payload)
		if _, err := a.socket.WriteToUDPAddrPort(buffer, balancer); err != nil {
			a.datagramCounters.sendFailed.Inc(1)
		}
	}
}
