package balancer

import (
	"context"
	"net/netip"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/envelope"
	"gentianswitch/internal/events"
	"gentianswitch/internal/member"
	"gentianswitch/internal/ring"
)

const (
	// inputCapacity is the maximum number of inputs that wait for the membership goroutine.
	inputCapacity = 1024
	// agentReplyInterval is the time between two periodic replies to an agent. They show the agent that its observer is alive.
	agentReplyInterval = time.Second
	// leaveFlushTimeout bounds the time for sending the queued messages to peers when this balancer shuts down.
	leaveFlushTimeout = 500 * time.Millisecond
)

// membershipInput is an input of the membership goroutine: an event, a query, or the end of a connection.
type membershipInput struct {
	// event is passed to the state machine.
	event member.Event
	// query, when event is nil, reads from the state machine.
	query func(machine *member.Machine)
	// session is the connection on which the event occurred. When event and query are nil, it is a connection that has ended.
	session *session
	// gossip is the message from which a GossipReceived event was made, otherwise nil.
	gossip *control.Gossip
	// isDialed is true when this balancer opened the connection.
	isDialed bool
	// handled, if not nil, is closed once the input has been handled.
	handled chan<- struct{}
}

// membership runs the state machine of package member in one goroutine. Other goroutines use only inputs.
type membership struct {
	balancer *Balancer
	machine  *member.Machine
	inputs   *ring.Ring[membershipInput]
	// sessionOf maps an agent to its newest connection.
	sessionOf map[netip.AddrPort]*session
	// agentOf maps a connection to the agent that announces on it.
	agentOf map[*session]netip.AddrPort
	peers   *peers
	// servicePeers selects the other agents of the same service that an agent is notified of.
	servicePeers *servicePeers
	// sentPolicyRevision is the revision of the policy that was last sent on each connection.
	sentPolicyRevision map[*session]uint64
	// lastReplyAt is the time of the last periodic reply to all agents.
	lastReplyAt time.Time
	// hasBalancerChange is true when the live balancers have changed since they were last published.
	hasBalancerChange bool
}

func newMembership(b *Balancer, now time.Time) *membership {
	self := member.Balancer{
		Data: b.settings.Data, Control: b.settings.Control, Zone: b.settings.Zone,
		Incarnation: uint64(now.UnixMicro()), State: member.Ready,
	}
	return &membership{
		balancer:           b,
		machine:            member.New(member.Settings{Self: self, Detection: b.settings.Detection, Seed: self.Incarnation}),
		inputs:             ring.New[membershipInput](inputCapacity),
		sessionOf:          make(map[netip.AddrPort]*session),
		agentOf:            make(map[*session]netip.AddrPort),
		sentPolicyRevision: make(map[*session]uint64),
		peers:              newPeers(b, self),
		servicePeers:       newServicePeers(),
	}
}

// run passes inputs and ticks to the state machine until ctx ends.
func (m *membership) run(ctx context.Context) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-m.inputs.Items():
			m.handleInput(in)
		case now := <-ticker.C:
			m.tick(ctx, now)
		}
	}
}

// handleInput handles an input and closes its handled channel.
func (m *membership) handleInput(in membershipInput) {
	now := time.Now()
	switch e := in.event.(type) {
	case nil:
		m.handleQueryOrClose(now, in)
	case member.AgentAnnounced:
		m.sessionOf[e.Target.Agent] = in.session
		e.IsFirst = m.agentOf[in.session] != e.Target.Agent
		m.agentOf[in.session] = e.Target.Agent
		m.handleEvent(now, e)
	case member.PeerConnected:
		m.peers.addSession(e.Peer, in.session, in.isDialed)
		m.handleEvent(now, e)
	case member.GossipReceived:
		m.peers.requestNewerRevision(in.session, in.gossip.Revision)
		m.handleEvent(now, e)
	case member.Stopping:
		m.handleEvent(now, e)
		m.peers.flush(now.Add(leaveFlushTimeout))
	default:
		m.handleEvent(now, e)
	}
	if in.handled != nil {
		close(in.handled)
	}
}

// handleQueryOrClose handles an input without an event: it answers a query or removes a connection that has ended.
func (m *membership) handleQueryOrClose(now time.Time, in membershipInput) {
	if in.query != nil {
		in.query(m.machine)
		return
	}
	m.removeSession(now, in.session)
}

// removeSession removes a connection that has ended.
func (m *membership) removeSession(now time.Time, s *session) {
	m.servicePeers.removeSession(s)
	delete(m.sentPolicyRevision, s)
	if agent, ok := m.agentOf[s]; ok {
		delete(m.agentOf, s)
		if m.sessionOf[agent] == s {
			delete(m.sessionOf, agent)
		}
	}
	if peer, isLast := m.peers.removeSession(s); isLast {
		m.handleEvent(now, member.PeerDisconnected{Peer: peer})
	}
}

// tick advances the state machine and does the periodic work for peers and agents.
func (m *membership) tick(ctx context.Context, now time.Time) {
	m.handleEvent(now, member.Tick{})
	m.peers.announceRevision()
	m.peers.dialMissing(ctx, now, m.machine)
	for _, peer := range m.peers.previousNeighbours(now) {
		m.handleEvent(now, member.PeerDropped{Peer: peer})
		m.peers.closeSessions(peer)
	}
	if now.Sub(m.lastReplyAt) >= agentReplyInterval {
		m.lastReplyAt = now
		for agent, s := range m.sessionOf {
			s.send(control.Message{AnnounceReply: &control.AnnounceReply{
				Peers: m.servicePeers.changedPeers(agent, s, m.machine), Policy: m.changedPolicy(agent, s),
			}})
		}
	}
}

// handleEvent passes an event to the state machine and executes the resulting actions.
func (m *membership) handleEvent(now time.Time, e member.Event) {
	var changed []member.TargetChanged
	for _, action := range m.machine.Step(now, e) {
		switch x := action.(type) {
		case member.Send:
			m.peers.sendGossip(x.To, x.Gossip)
		case member.Reply:
			m.sendReply(x)
		case member.TargetChanged:
			changed = append(changed, x)
			m.balancer.logTargetChange(x.Target, x.Reason.String())
		case member.BalancerChanged:
			m.hasBalancerChange = true
			m.balancer.logBalancerChange(x)
		case member.HeartbeatRecipientsChanged:
			m.balancer.shared.setHeartbeatRecipients(x.Agents)
		case member.ZoneChanged:
			m.balancer.log.Emit(events.ZoneChanged, events.F("zone", x.Zone), events.F("is_lost", x.IsLost),
				events.F("subjects", x.SubjectCount))
		}
	}
	if len(changed) > 0 {
		removed, added := netChanges(changed)
		m.servicePeers.update(removed, added)
		m.balancer.updateTargets(removed, added)
	}
	if m.hasBalancerChange {
		m.hasBalancerChange = false
		m.balancer.shared.setLiveBalancers(m.machine.LiveBalancers())
	}
}

// netChanges reduces several changes of an agent to one. It returns the records that the first change of each agent has
// replaced, and the records that the last change of each agent has set.
func netChanges(changes []member.TargetChanged) (removed, added []member.Target) {
	last := make(map[netip.AddrPort]int, len(changes))
	for i, c := range changes {
		if _, isLater := last[c.Target.Agent]; !isLater && c.Previous.State != 0 {
			removed = append(removed, c.Previous)
		}
		last[c.Target.Agent] = i
	}
	for i, c := range changes {
		if last[c.Target.Agent] == i {
			added = append(added, c.Target)
		}
	}
	return removed, added
}

// targets queries the membership goroutine for the targets in its view. It returns nil when ctx ends first.
func (m *membership) targets(ctx context.Context) []member.Target {
	var list []member.Target
	handled := make(chan struct{})
	query := func(machine *member.Machine) { list = machine.Targets() }
	if !m.inputs.Put(ctx, membershipInput{query: query, handled: handled}) {
		return nil
	}
	select {
	case <-handled:
		return list
	case <-ctx.Done():
		return nil
	}
}

// sendReply sends the reply to an agent's announcement.
func (m *membership) sendReply(r member.Reply) {
	if s := m.sessionOf[r.Agent]; s != nil {
		s.send(control.Message{AnnounceReply: &control.AnnounceReply{
			Observers: r.Observers, Backups: r.Backups, Incarnation: r.Incarnation, Policy: m.changedPolicy(r.Agent, s),
		}})
	}
}

// leaveMembership notifies the connected balancers that this balancer shuts down, and waits until the messages have been sent.
func (b *Balancer) leaveMembership(ctx context.Context) {
	handled := make(chan struct{})
	ctx, cancel := context.WithTimeout(ctx, 2*leaveFlushTimeout)
	defer cancel()
	if !b.membership.inputs.Put(ctx, membershipInput{event: member.Stopping{}, handled: handled}) {
		return
	}
	select {
	case <-handled:
	case <-ctx.Done():
	}
}

func (b *Balancer) logTargetChange(t member.Target, reason string) {
	b.log.Emit(events.TargetChanged, events.F("agent", t.Agent.String()), events.F("service", t.Service),
		events.F("zone", t.Zone), events.F("state", t.State.String()), events.F("incarnation", t.Incarnation),
		events.F("reason", reason))
}

func (b *Balancer) logBalancerChange(c member.BalancerChanged) {
	event := events.BalancerLost
	if c.IsLive {
		event = events.BalancerFound
	}
	b.log.Emit(event, events.F("balancer", c.Balancer.Data.String()), events.F("zone", c.Balancer.Zone),
		events.F("state", c.Balancer.State.String()), events.F("incarnation", c.Balancer.Incarnation))
}

// sendHeartbeats sends heartbeats to agents periodically until ctx ends.
func (b *Balancer) sendHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.sendHeartbeatsOnce()
		}
	}
}

// sendHeartbeatsOnce sends a heartbeat to each recipient on the data path. It means that the agent can send answers through
// this balancer. Once the balancer is shutting down, it sends a Leave instead, so that the agent stops doing so.
func (b *Balancer) sendHeartbeatsOnce() {
	header := envelope.Header{Kind: envelope.Heartbeat, Balancer: b.settings.Data}
	if b.isLeaving.Load() {
		header.Kind = envelope.Leave
	}
	out := b.acquireBatch()
	out.source = b.dataSocket
	for _, agent := range b.shared.heartbeatRecipients() {
		if out.isFull() {
			b.enqueue(b.toAgents, out)
			out = b.acquireBatch()
			out.source = b.dataSocket
		}
		out.appendDatagram(envelope.Seal(out.nextBuffer(), b.keys.Load(), header, nil), agent)
	}
	b.enqueue(b.toAgents, out)
}
