package forwarder

import (
	"context"
	"math"
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

// receivePackets forwards the packets of callers until ctx ends. Before the configuration and the targets are known, packets
// wait in the socket's receive buffer.
func (f *Forwarder) receivePackets(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-f.initialized:
	}
	return socket.Receive(ctx, f.data, func(datagram []byte, _ netip.AddrPort) {
		f.handleCallerPacket(datagram)
	})
}

// handleCallerPacket decides on a packet of a caller and applies the decision.
func (f *Forwarder) handleCallerPacket(datagram []byte) {
	p, err := f.deps.Codec.Decode(datagram)
	if err != nil {
		f.counters.malformed.Inc(1)
		return
	}
	now := time.Now()
	f.mu.Lock()
	d := f.steer.Decide(now, &p)
	f.recordUse(now, &p, &d)
	f.mu.Unlock()
	f.applyDecision(&p, d, datagram)
}

// recordUse records which agents a packet is sent to, so that they are pinged. When a caller retransmits an opening packet, one
// of its candidates may be gone, so they are pinged at once. The caller holds mu.
func (f *Forwarder) recordUse(now time.Time, p *flow.Packet, d *steer.Decision) {
	if d.Verdict != steer.Forward {
		return
	}
	candidates := d.Header.Candidates[:d.Header.CandidateCount]
	f.directory.RecordUse(now, d.Agent, candidates...)
	if !p.Opens || p.Retransmissions == 0 {
		return
	}
	f.directory.RequestPing(now, d.Agent)
	for _, agent := range candidates {
		f.directory.RequestPing(now, agent)
	}
}

// applyDecision counts a decision, and forwards the packet, resets its flow, drops it or queues it for a revalidation.
func (f *Forwarder) applyDecision(p *flow.Packet, d steer.Decision, datagram []byte) {
	f.counters.verdict(d.Verdict).Inc(1)
	switch d.Verdict {
	case steer.Forward:
		if p.Opens {
			f.logPlaced(p, d)
		}
		if d.HasSkipped {
			// The skipped agent does not answer pings, but its target may hold the flow: it gets a copy.
			h := d.SkippedHeader()
			f.sendToAgent(d.Skipped, h.Append(datagram))
		}
		f.sendToAgent(d.Agent, d.Header.Append(datagram))
	case steer.Reset:
		f.sendReset(p, d)
	case steer.Drop:
		f.logDropped(p, d)
	case steer.Revalidate:
		f.decideOrRevalidate(p, &d.Header, datagram)
	case steer.ConfirmTable:
		f.pendingPackets.TryPut(pendingPacket{datagram: hop.CopyDatagram(datagram), header: d.Header, needsTable: true})
	}
}

func (f *Forwarder) sendToAgent(agent hop.IP, frame []byte) {
	f.sendFrame(netip.AddrPortFrom(netip.AddrFrom4(agent), f.settings.Data.Port()), frame)
}

// peerAt returns the address at which another balancer receives frames and serves its state.
func (f *Forwarder) peerAt(ip hop.IP) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(ip), f.settings.Peer.Port())
}

func (f *Forwarder) sendFrame(to netip.AddrPort, frame []byte) {
	if _, err := f.peer.WriteToUDPAddrPort(frame, to); err != nil {
		f.counters.sendFailed.Inc(1)
	}
}

// sendReset sends the caller a reset, because its flow is not served.
func (f *Forwarder) sendReset(p *flow.Packet, d steer.Decision) {
	id := p.IDFromCaller()
	f.mu.Lock()
	tableSince, viewReadAt := f.steer.TableSince(), f.freshness.readStartedAt()
	f.mu.Unlock()
	f.deps.Log.Emit(events.OpaqueFlowReset, events.F("flow", id.String()), events.F("opens", p.Opens),
		events.F("route", routeName(d)), events.F("reason", d.Reason.String()),
		events.F("configuration", f.configurationVersion()), events.Age("table_ms", time.Now(), tableSince),
		events.F("targets", f.targetCount()), events.F("view_ms", bootAge(viewReadAt)))
	var buffer [64]byte
	f.sendToCaller(id, f.deps.Codec.AppendReset(buffer[:0], id, p.Acknowledged))
}

func (f *Forwarder) sendToCaller(id flow.ID, packet []byte) {
	to := netip.AddrPortFrom(netip.AddrFrom4(id.Caller.IP), f.settings.Data.Port())
	if _, err := f.data.WriteToUDPAddrPort(packet, to); err != nil {
		f.counters.sendFailed.Inc(1)
	}
}

// receiveFrames handles the frames of agents and other balancers until ctx ends.
func (f *Forwarder) receiveFrames(ctx context.Context) error {
	var header hop.Header
	return socket.Receive(ctx, f.peer, func(datagram []byte, from netip.AddrPort) {
		body, err := header.Decode(datagram)
		if err != nil {
			f.counters.malformed.Inc(1)
			return
		}
		f.handleFrame(&header, body, hop.IP(from.Addr().Unmap().As4()))
	})
}

// handleFrame handles a frame of an agent or of another balancer.
func (f *Forwarder) handleFrame(h *hop.Header, body []byte, agent hop.IP) {
	now := time.Now()
	switch h.Kind {
	case hop.Returned:
		f.handleReturned(now, h, body, func(p *flow.Packet) steer.Decision { return f.steer.HandleReturned(now, p, h) })
	case hop.Refused:
		f.handleReturned(now, h, body, func(p *flow.Packet) steer.Decision { return f.steer.HandleRefused(p, h) })
	case hop.FlowLocation:
		f.handleFlowLocation(now, body, agent, desired.ServiceKey(h.Service))
	case hop.RevisionRequest, hop.TableRequest:
		f.handleReaderRequest(h.Kind, h.Sequence, agent)
	case hop.RevisionReply, hop.TableReply:
		f.handleReaderReply(h.Kind, h.Sequence, body)
	case hop.Pong, hop.GroupStatusNotice:
		f.handleGroupStatus(now, h, body, agent)
	default:
		f.counters.malformed.Inc(1)
	}
}

// handleGroupStatus handles the status of the group that an agent sends, in a Pong or unsolicited in a GroupStatusNotice.
func (f *Forwarder) handleGroupStatus(now time.Time, h *hop.Header, body []byte, agent hop.IP) {
	status, err := hop.DecodeGroupStatus(body)
	if err != nil {
		f.counters.malformed.Inc(1)
		return
	}
	if h.Kind == hop.Pong {
		f.handlePong(now, agent, h.Sequence, status.Uptime)
	}
	f.applyGroupStatus(now, agent, status)
}

func (f *Forwarder) handlePong(now time.Time, agent hop.IP, sequence uint16, uptime time.Duration) {
	f.mu.Lock()
	f.directory.SetAgentStart(agent, now.Add(-uptime))
	change, hasChanged := f.directory.HandlePong(now, agent, sequence)
	f.updateView()
	f.mu.Unlock()
	if hasChanged {
		f.logTarget(change)
	}
}

// handleReturned decides again on a packet that an agent has returned to this balancer. It calls decide with mu held.
func (f *Forwarder) handleReturned(
	now time.Time, h *hop.Header, datagram []byte, decide func(*flow.Packet) steer.Decision,
) {
	p, err := f.deps.Codec.Decode(datagram)
	if err != nil {
		f.counters.malformed.Inc(1)
		return
	}
	f.mu.Lock()
	f.counters.candidatesTried.RecordValue(float64(h.CandidatesTried))
	d := decide(&p)
	f.recordUse(now, &p, &d)
	f.mu.Unlock()
	f.applyDecision(&p, d, datagram)
}

// handleFlowLocation records which agent's target holds a flow.
func (f *Forwarder) handleFlowLocation(now time.Time, body []byte, agent hop.IP, service desired.ServiceKey) {
	id, opening, ok := flow.DecodeLocation(body)
	if !ok {
		f.counters.malformed.Inc(1)
		return
	}
	f.mu.Lock()
	f.steer.SetLocation(now, id, opening, agent, service)
	f.mu.Unlock()
	f.counters.located.Inc(1)
	f.deps.Log.Emit(events.OpaqueFlowLocated, events.F("flow", id.String()), events.F("agent", ipText(agent)))
}

// checkAgents updates this balancer's role in its group and pings agents, until ctx ends.
func (f *Forwarder) checkAgents(ctx context.Context) error {
	duty.Every(ctx, directory.TickInterval, f.tick)
	return nil
}

// tick updates this balancer's role and sends the pings that are due. A ping to a hub carries the full status of this balancer,
// any other ping only the versions of its configuration and of its view, by which an agent notices a restored store.
func (f *Forwarder) tick(now time.Time) {
	f.updateRole(now)
	f.expireEvacuations()
	f.mu.Lock()
	pings, changes := f.directory.Tick(now)
	unreadable := f.directory.DueNotices(now)
	f.updateView()
	f.mu.Unlock()
	for _, agent := range unreadable {
		h := hop.Header{Kind: hop.EntryUnreadable, Origin: f.self}
		f.sendToAgent(agent, h.Append(nil))
	}
	for _, change := range changes {
		f.logTarget(change)
	}
	var buffer [hop.MaxGroupStatusFrame]byte
	hubStatus := f.balancerStatus(now)
	// The rates are read after the version of the configuration, so that agents never keep a rate of an older one for that version.
	statuses := make([]hop.BalancerStatus, len(pings))
	f.mu.Lock()
	for i, ping := range pings {
		statuses[i] = f.statusFor(ping, hubStatus)
	}
	f.mu.Unlock()
	for i, ping := range pings {
		h := hop.Header{Kind: hop.Ping, Origin: f.self, Sequence: ping.Sequence}
		f.sendToAgent(ping.Agent, h.Append(statuses[i].Append(buffer[:0])))
	}
}

// statusFor returns the status that a ping carries: what concerns the target, and for a hub the full status of this balancer. The caller
// holds mu.
func (f *Forwarder) statusFor(ping directory.Ping, hubStatus hop.BalancerStatus) hop.BalancerStatus {
	status := hubStatus
	if !ping.IsToHub {
		status = hop.BalancerStatus{Configuration: hubStatus.Configuration, Revision: hubStatus.Revision}
	}
	evacuation := f.evacuationOf(ping.Agent)
	status.Evacuation, status.IsEvacuated = uint64(evacuation.Version), evacuation.IsEvacuated
	status.ColdRate = f.coldRateOf(ping.Agent)
	return status
}

// coldRateOf returns the number of requests per second that a cold target of an agent's service can handle, or 0 if there is no limit. A
// fraction is cut off, because agents must not exceed the bound that follows from the configured rate. The caller holds mu.
func (f *Forwarder) coldRateOf(agent hop.IP) uint16 {
	target, isKnown := f.directory.Lookup(agent)
	table := f.steer.Table()
	if !isKnown || table == nil {
		return 0
	}
	rate := table.ColdRate(desired.ServiceKeyOf(target.Entry.Service))
	if rate <= 0 {
		return 0
	}
	return uint16(min(max(rate, 1), math.MaxUint16))
}

// updateView passes the current view of the targets to the state machine steer. The caller holds mu.
func (f *Forwarder) updateView() { f.steer.SetView(f.directory.View()) }
