package sidecar

import (
	"context"
	"net/netip"
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/opaque/socket"
)

// receiveFrames takes the frames of balancers and agents until ctx ends.
func (s *Sidecar) receiveFrames(ctx context.Context) error {
	var header hop.Header
	return socket.Receive(ctx, s.data, func(datagram []byte, from netip.AddrPort) {
		body, err := header.Decode(datagram)
		if err != nil {
			s.counters.malformed.Inc(1)
			return
		}
		switch header.Kind {
		case hop.Forward:
			s.fromNode(&header, body)
		case hop.Ping:
			s.pong(&header, body, from)
		default:
			s.counters.malformed.Inc(1)
		}
	})
}

func (s *Sidecar) fromNode(h *hop.Header, datagram []byte) {
	p, err := s.parts.Codec.Decode(datagram)
	if err != nil {
		s.counters.malformed.Inc(1)
		return
	}
	now := time.Now()
	s.mu.Lock()
	d, displaced, isDisplaced := s.gate.HandleCallerPacket(now, &p, h, func() []byte { return hop.CopyDatagram(datagram) })
	if d.Verdict == resident.Wait {
		s.logWaits(&p, h)
	}
	s.mu.Unlock()
	if isDisplaced {
		s.carryOut(&displaced.Packet, displaced.Decision, displaced.Item)
	}
	if d.NotifyOrigin {
		s.tell(h.Origin, p.IDFromCaller())
	}
	s.carryOut(&p, d, datagram)
	if d.Verdict == resident.Wait {
		s.offerNext(now)
	}
}

// tell lets a balancer know that a flow is here.
func (s *Sidecar) tell(origin hop.IP, id flow.ID) {
	var buffer [hop.MaxTrailer]byte
	h := hop.Header{Kind: hop.FlowLocation, Service: uint64(desired.ServiceKeyOf(s.settings.Service))}
	s.write(h.Append(id.AppendTo(buffer[:0])), s.balancer(origin))
}

func (s *Sidecar) balancer(ip hop.IP) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(ip), s.settings.PeerPort)
}

// receiveFromTarget takes the packets of the target until ctx ends.
func (s *Sidecar) receiveFromTarget(ctx context.Context) error {
	return socket.Receive(ctx, s.outbound, func(datagram []byte, _ netip.AddrPort) {
		p, err := s.parts.Codec.Decode(datagram)
		if err != nil {
			s.counters.malformed.Inc(1)
			return
		}
		s.mu.Lock()
		now := time.Now()
		d := s.gate.HandleTargetPacket(now, &p)
		s.mu.Unlock()
		s.carryOut(&p, d, datagram)
		s.offerNext(now)
	})
}

func (s *Sidecar) carryOut(p *flow.Packet, d resident.Decision, datagram []byte) {
	s.counters.verdict(d.Verdict).Inc(1)
	switch d.Verdict {
	case resident.Deliver:
		s.parts.Codec.SetMark(datagram, d.Mark)
		s.write(datagram, s.settings.Target)
	case resident.SendToCaller:
		to := netip.AddrPortFrom(netip.AddrFrom4(p.Destination.IP), s.settings.Data.Port())
		s.write(datagram, to)
	case resident.ForwardNext:
		s.logPassedOn(p, d)
		s.parts.Codec.ClearMarks(datagram)
		s.write(d.Header.Append(datagram), netip.AddrPortFrom(netip.AddrFrom4(d.Next), s.settings.Data.Port()))
	case resident.ReturnToBalancer:
		s.logPassedOn(p, d)
		s.parts.Codec.ClearMarks(datagram)
		s.write(d.Header.Append(datagram), s.balancer(d.Header.Origin))
	}
}

func (s *Sidecar) write(datagram []byte, to netip.AddrPort) {
	if _, err := s.data.WriteToUDPAddrPort(datagram, to); err != nil {
		s.counters.sendFailed.Inc(1)
	}
}

func (s *Sidecar) logPassedOn(p *flow.Packet, d resident.Decision) {
	if d.Reason == resident.Forgotten {
		s.logForgotten(p, d.PreviousInstance)
	}
	if !p.Opens {
		return
	}
	next := ""
	if d.Verdict == resident.ForwardNext {
		next = netip.AddrFrom4(d.Next).String()
	}
	s.parts.Log.Emit(events.OpaqueFlowPassedOn, events.F("flow", p.IDFromCaller().String()), events.F("next", next),
		events.F("reason", d.Reason.String()), events.F("hops", d.Header.Hops),
		events.Age("heartbeat_ms", time.Now(), s.heartbeatAt()))
}

// logForgotten tells that the target no longer holds a flow that it, or the instance before it, has served.
func (s *Sidecar) logForgotten(p *flow.Packet, former string) {
	s.parts.Log.Emit(events.OpaqueFlowEnded, events.F("flow", p.IDFromCaller().String()), events.F("former", former),
		events.F("told", false))
}

// logWaits tells that an opening waits. The caller holds mu.
func (s *Sidecar) logWaits(p *flow.Packet, h *hop.Header) {
	busy, slots := s.gate.Load()
	s.parts.Log.Emit(events.OpaqueFlowWaits, events.F("flow", p.IDFromCaller().String()), events.F("copies", p.Retransmissions),
		events.F("deferral", h.PriorityOffset), events.F("waiting", s.gate.PendingCount()), events.F("busy", busy),
		events.F("slots", slots), events.Age("heartbeat_ms", time.Now(), s.heardAt))
}
