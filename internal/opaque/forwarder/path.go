package forwarder

import (
	"context"
	"net/netip"
	"time"

	"gentianswitch/internal/duty"
	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/socket"
	"gentianswitch/internal/opaque/steer"
)

// receiveAll forwards the packets of callers until ctx ends. Before the routes and targets are known, packets wait in the
// buffer of the socket.
func (f *Forwarder) receiveAll(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-f.informed:
	}
	return socket.Receive(ctx, f.data, func(datagram []byte, _ netip.AddrPort) {
		f.fromCaller(datagram)
	})
}

func (f *Forwarder) fromCaller(datagram []byte) {
	p, err := f.parts.Codec.Decode(datagram)
	if err != nil {
		f.counters.malformed.Inc(1)
		return
	}
	now := time.Now()
	f.mu.Lock()
	d := f.steer.Decide(now, &p)
	f.used(now, &p, &d)
	f.mu.Unlock()
	f.carryOut(&p, d, datagram)
}

// used notes which agent gets a packet. When a caller repeats an opening, one of those that had it may be gone. The caller
// holds mu.
func (f *Forwarder) used(now time.Time, p *flow.Packet, d *steer.Decision) {
	if d.Verdict != steer.Forward {
		return
	}
	candidates := d.Header.Candidates[:d.Header.Count]
	f.directory.RecordUse(now, d.Agent, candidates...)
	if !p.Opens || p.Retransmissions == 0 {
		return
	}
	f.directory.RequestPing(now, d.Agent)
	for _, agent := range candidates {
		f.directory.RequestPing(now, agent)
	}
}

func (f *Forwarder) carryOut(p *flow.Packet, d steer.Decision, datagram []byte) {
	f.counters.verdict(d.Verdict).Inc(1)
	switch d.Verdict {
	case steer.Forward:
		if p.Opens {
			f.logPlaced(p, d)
		}
		if d.HasSkipped {
			h := d.CopyHeader()
			f.send(d.Skipped, h.Append(datagram))
		}
		f.send(d.Agent, d.Header.Append(datagram))
	case steer.Reset:
		f.reset(p, d)
	case steer.Drop:
		f.logDropped(p, d)
	case steer.Revalidate:
		f.confirmOrHold(p, &d.Header, datagram)
	}
}

// send sends a frame to an agent.
func (f *Forwarder) send(agent hop.IP, frame []byte) {
	f.sendTo(netip.AddrPortFrom(netip.AddrFrom4(agent), f.settings.Data.Port()), frame)
}

// peerAt returns where the balancer at an IP receives frames and answers other balancers.
func (f *Forwarder) peerAt(ip hop.IP) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(ip), f.settings.Peer.Port())
}

func (f *Forwarder) sendTo(to netip.AddrPort, frame []byte) {
	if _, err := f.peer.WriteToUDPAddrPort(frame, to); err != nil {
		f.counters.sendFailed.Inc(1)
	}
}

func (f *Forwarder) reset(p *flow.Packet, d steer.Decision) {
	id := p.IDFromCaller()
	f.parts.Log.Emit(events.OpaqueFlowReset, events.F("flow", id.String()), events.F("opens", p.Opens),
		events.F("route", routeName(d)), events.F("reason", d.Reason.String()), events.F("configuration", f.version()),
		events.F("targets", f.targets()))
	var buffer [64]byte
	f.answer(id, f.parts.Codec.AppendReset(buffer[:0], id, p.Acknowledged))
}

// answer sends a packet to a caller.
func (f *Forwarder) answer(id flow.ID, packet []byte) {
	to := netip.AddrPortFrom(netip.AddrFrom4(id.Caller.IP), f.settings.Data.Port())
	if _, err := f.data.WriteToUDPAddrPort(packet, to); err != nil {
		f.counters.sendFailed.Inc(1)
	}
}

// receiveFrames takes the frames of agents until ctx ends.
func (f *Forwarder) receiveFrames(ctx context.Context) error {
	var header hop.Header
	return socket.Receive(ctx, f.peer, func(datagram []byte, from netip.AddrPort) {
		body, err := header.Decode(datagram)
		if err != nil {
			f.counters.malformed.Inc(1)
			return
		}
		f.fromAgent(&header, body, hop.IP(from.Addr().Unmap().As4()))
	})
}

func (f *Forwarder) fromAgent(h *hop.Header, body []byte, agent hop.IP) {
	now := time.Now()
	switch h.Kind {
	case hop.Returned:
		f.returned(now, h, body, func(p *flow.Packet) steer.Decision { return f.steer.HandleReturned(now, p, h) })
	case hop.Refused:
		f.returned(now, h, body, func(p *flow.Packet) steer.Decision { return f.steer.HandleRefused(p, h) })
	case hop.FlowLocation:
		f.located(now, body, agent, desired.ServiceKey(h.Service))
	case hop.RevisionRequest:
		f.answerAsk(h.Sequence, agent)
	case hop.RevisionReply:
		f.takeTold(h.Sequence, body)
	case hop.Pong, hop.Notice:
		f.bulletin(now, h, body, agent)
	default:
		f.counters.malformed.Inc(1)
	}
}

// bulletin takes what an agent tells, in answer to a ping or by itself.
func (f *Forwarder) bulletin(now time.Time, h *hop.Header, body []byte, agent hop.IP) {
	b, err := hop.DecodeGroupStatus(body)
	if err != nil {
		f.counters.malformed.Inc(1)
		return
	}
	if h.Kind == hop.Pong {
		f.pong(now, agent, h.Sequence, b.Uptime)
	}
	f.takeBulletin(now, agent, b)
}

func (f *Forwarder) pong(now time.Time, agent hop.IP, sequence uint16, uptime time.Duration) {
	f.mu.Lock()
	f.directory.SetAgentStart(agent, now.Add(-uptime))
	change, hasChanged := f.directory.HandlePong(now, agent, sequence)
	f.refresh()
	f.mu.Unlock()
	if hasChanged {
		f.logTarget(change)
	}
}

// returned decides anew on a packet that an agent gave back.
func (f *Forwarder) returned(
	now time.Time, h *hop.Header, datagram []byte, decide func(*flow.Packet) steer.Decision,
) {
	p, err := f.parts.Codec.Decode(datagram)
	if err != nil {
		f.counters.malformed.Inc(1)
		return
	}
	f.mu.Lock()
	f.counters.walk.RecordValue(float64(h.CandidatesTried))
	d := decide(&p)
	f.used(now, &p, &d)
	f.mu.Unlock()
	f.carryOut(&p, d, datagram)
}

func (f *Forwarder) located(now time.Time, body []byte, agent hop.IP, service desired.ServiceKey) {
	id, ok := flow.DecodeID(body)
	if !ok {
		f.counters.malformed.Inc(1)
		return
	}
	f.mu.Lock()
	f.steer.SetLocation(now, id, agent, service)
	f.mu.Unlock()
	f.counters.located.Inc(1)
	f.parts.Log.Emit(events.OpaqueFlowLocated, events.F("flow", id.String()), events.F("agent", ipText(agent)))
}

// checkAll pings agents until ctx ends.
func (f *Forwarder) checkAll(ctx context.Context) error {
	duty.Every(ctx, directory.TickInterval, f.check)
	return nil
}

func (f *Forwarder) check(now time.Time) {
	f.keepRole(now)
	f.mu.Lock()
	pings, changes := f.directory.Tick(now)
	f.refresh()
	f.mu.Unlock()
	for _, change := range changes {
		f.logTarget(change)
	}
	var buffer [hop.MaxGroupStatusFrame]byte
	meeting := f.report(now)
	for _, ping := range pings {
		report := meeting
		if !ping.IsToHub {
			report = hop.BalancerStatus{Configuration: meeting.Configuration}
		}
		h := hop.Header{Kind: hop.Ping, Origin: f.self, Sequence: ping.Sequence}
		f.send(ping.Agent, h.Append(report.Append(buffer[:0])))
	}
}

// refresh hands the view to the decisions. The caller holds mu.
func (f *Forwarder) refresh() { f.steer.SetView(f.directory.View()) }
