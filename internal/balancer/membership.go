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
	// arrivalCapacity is the number of control messages that may wait for the membership duty.
	arrivalCapacity = 1024
	// agentReplyInterval is the time between two replies to an agent, by which it knows that its home lives.
	agentReplyInterval = time.Second
	leaveTimeout       = 500 * time.Millisecond
)

// arrival is an input of the membership duty.
type arrival struct {
	// event goes to the state machine.
	event member.Event
	// query reads the state machine in place of an event.
	query func(machine *member.Machine)
	// session is the connection on which the event arose, or that has ended when event and query are nil.
	session *session
	// gossip is the message that event was made of, or nil.
	gossip *control.Gossip
	// isDialed is true when this balancer opened the connection.
	isDialed bool
	// done is closed once the arrival has been handled, or nil.
	done chan<- struct{}
}

// membership runs the state machine of package member. All fields belong to its duty but arrivals.
type membership struct {
	balancer *Balancer
	machine  *member.Machine
	arrivals *ring.Ring[arrival]
	agents   map[netip.AddrPort]*session
	agentOf  map[*session]netip.AddrPort
	peers    *peers
	// servicePeers tells agents of others of the same service.
	servicePeers *servicePeers
	// policyTold is the revision of the policy that each agent was told last.
	policyTold map[*session]uint64
	// repliedAt is when the agents were last told that this balancer lives.
	repliedAt time.Time
	isChanged bool
}

func newMembership(b *Balancer, now time.Time) *membership {
	self := member.Balancer{
		Data: b.settings.Data, Control: b.settings.Control, Zone: b.settings.Zone,
		Incarnation: uint64(now.UnixMicro()), State: member.Ready,
	}
	return &membership{
		balancer:     b,
		machine:      member.New(member.Settings{Self: self, Detection: b.settings.Detection, Seed: self.Incarnation}),
		arrivals:     ring.New[arrival](arrivalCapacity),
		agents:       make(map[netip.AddrPort]*session),
		agentOf:      make(map[*session]netip.AddrPort),
		policyTold:   make(map[*session]uint64),
		peers:        newPeers(b, self),
		servicePeers: newServicePeers(),
	}
}

// run feeds the state machine with arrivals and ticks until ctx ends.
func (m *membership) run(ctx context.Context) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-m.arrivals.Items():
			m.take(a)
		case now := <-ticker.C:
			m.tick(ctx, now)
		}
	}
}

func (m *membership) take(a arrival) {
	now := time.Now()
	switch e := a.event.(type) {
	case nil:
		m.takeOther(now, a)
	case member.AgentAnnounced:
		m.agents[e.Target.Agent] = a.session
		e.IsFirst = m.agentOf[a.session] != e.Target.Agent
		m.agentOf[a.session] = e.Target.Agent
		m.handle(now, e)
	case member.PeerConnected:
		m.peers.add(e.Peer, a.session, a.isDialed)
		m.handle(now, e)
	case member.GossipReceived:
		m.peers.learnRevision(a.session, a.gossip.Revision)
		m.handle(now, e)
	case member.Stopping:
		m.handle(now, e)
		m.peers.drain(now.Add(leaveTimeout))
	default:
		m.handle(now, e)
	}
	if a.done != nil {
		close(a.done)
	}
}

// takeOther answers a query or forgets a connection that has ended.
func (m *membership) takeOther(now time.Time, a arrival) {
	if a.query != nil {
		a.query(m.machine)
		return
	}
	m.end(now, a.session)
}

// end forgets a connection that has ended.
func (m *membership) end(now time.Time, s *session) {
	m.servicePeers.forget(s)
	delete(m.policyTold, s)
	if agent, ok := m.agentOf[s]; ok {
		delete(m.agentOf, s)
		if m.agents[agent] == s {
			delete(m.agents, agent)
		}
	}
	if peer, isLast := m.peers.remove(s); isLast {
		m.handle(now, member.PeerDisconnected{Peer: peer})
	}
}

func (m *membership) tick(ctx context.Context, now time.Time) {
	m.handle(now, member.Tick{})
	m.peers.spreadRevision()
	m.peers.connect(ctx, now, m.machine)
	for _, peer := range m.peers.surplus(now) {
		m.handle(now, member.PeerDropped{Peer: peer})
		m.peers.drop(peer)
	}
	if now.Sub(m.repliedAt) >= agentReplyInterval {
		m.repliedAt = now
		for agent, s := range m.agents {
			s.send(control.Message{AnnounceReply: &control.AnnounceReply{
				Peers: m.servicePeers.news(agent, s, m.machine), Policy: m.newPolicy(agent, s),
			}})
		}
	}
}

// handle gives an event to the state machine and carries out its actions.
func (m *membership) handle(now time.Time, e member.Event) {
	var changed []member.TargetChanged
	for _, action := range m.machine.Handle(now, e) {
		switch x := action.(type) {
		case member.Send:
			m.peers.send(x.To, x.Gossip)
		case member.Reply:
			m.reply(x)
		case member.TargetChanged:
			changed = append(changed, x)
			m.balancer.logTarget(x.Target, x.Reason.String())
		case member.BalancerChanged:
			m.isChanged = true
			m.balancer.logBalancer(x)
		case member.HeartbeatRecipientsChanged:
			m.balancer.state.setReturns(x.Agents)
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
	if m.isChanged {
		m.isChanged = false
		m.balancer.state.setBalancers(m.machine.LiveBalancers())
	}
}

// netChanges returns the records that the first change of each agent replaced and those that its last change left.
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

// targets asks the membership duty for the targets in the view. It returns none when ctx ends first.
func (m *membership) targets(ctx context.Context) []member.Target {
	var list []member.Target
	done := make(chan struct{})
	query := func(machine *member.Machine) { list = machine.Targets() }
	if !m.arrivals.Put(ctx, arrival{query: query, done: done}) {
		return nil
	}
	select {
	case <-done:
		return list
	case <-ctx.Done():
		return nil
	}
}

func (m *membership) reply(r member.Reply) {
	if s := m.agents[r.Agent]; s != nil {
		s.send(control.Message{AnnounceReply: &control.AnnounceReply{
			Homes: r.Observers, Spares: r.Backups, Incarnation: r.Incarnation, Policy: m.newPolicy(r.Agent, s),
		}})
	}
}

// leave tells the peers that this balancer ends, and waits until that is sent.
func (b *Balancer) leave(ctx context.Context) {
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(ctx, 2*leaveTimeout)
	defer cancel()
	if !b.membership.arrivals.Put(ctx, arrival{event: member.Stopping{}, done: done}) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (b *Balancer) logTarget(t member.Target, reason string) {
	b.log.Emit(events.TargetChanged, events.F("agent", t.Agent.String()), events.F("service", t.Service),
		events.F("zone", t.Zone), events.F("state", t.State.String()), events.F("incarnation", t.Incarnation),
		events.F("reason", reason))
}

func (b *Balancer) logBalancer(c member.BalancerChanged) {
	event := events.BalancerLost
	if c.IsLive {
		event = events.BalancerFound
	}
	b.log.Emit(event, events.F("balancer", c.Balancer.Data.String()), events.F("zone", c.Balancer.Zone),
		events.F("state", c.Balancer.State.String()), events.F("incarnation", c.Balancer.Incarnation))
}

// sendHeartbeats tells agents that this balancer carries returns, or that it leaves.
func (b *Balancer) sendHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.heartbeat()
		}
	}
}

func (b *Balancer) heartbeat() {
	header := envelope.Header{Kind: envelope.Heartbeat, Balancer: b.settings.Data}
	if b.isLeaving.Load() {
		header.Kind = envelope.Leave
	}
	out := b.takeBatch()
	out.source = b.fabric
	for _, agent := range b.state.returnTargets() {
		if out.isFull() {
			b.put(b.toAgents, out)
			out = b.takeBatch()
			out.source = b.fabric
		}
		out.add(envelope.Seal(out.next(), b.keys.Load(), header, nil), agent)
	}
	b.put(b.toAgents, out)
}
