package balancer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/events"
	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
)

const (
	// dialInterval is the time between two checks for missing connections.
	dialInterval = 500 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay after a failed attempt to connect to a balancer.
	minRedialDelay = 500 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	// previousNeighbourTimeout is how long a connection to a balancer is kept after it has ceased to be a neighbour.
	previousNeighbourTimeout = 30 * time.Second
	// roleBalancer is the role of a peer in logs.
	roleBalancer = "balancer"
)

// peers holds the connections to other balancers. Only the membership goroutine uses it; attempts has its own lock.
type peers struct {
	balancer *Balancer
	self     member.Balancer
	// sessions maps a balancer's data address to the connections to it, the newest last.
	sessions map[netip.AddrPort][]*session
	// peerOf maps a connection to the balancer at its other end.
	peerOf map[*session]member.Balancer
	// isDialed is true for the connections that this balancer opened.
	isDialed map[*session]bool
	// lastNeighbourAt is when a balancer was last a neighbour. Opening and closing a connection set it too, so that
	// the balancer is not listed by previousNeighbours for previousNeighbourTimeout.
	lastNeighbourAt map[netip.AddrPort]time.Time
	// attempts is also used by the dialing goroutines.
	attempts dialAttempts
	// lastDialAt is when missing connections were last looked for.
	lastDialAt time.Time
	// lastRequestAt is when a peer was last asked for its revision.
	lastRequestAt time.Time
	// announced is the revision that was last announced to all connected balancers.
	announced revision.ID
}

func newPeers(b *Balancer, self member.Balancer) *peers {
	return &peers{
		balancer:        b,
		self:            self,
		sessions:        make(map[netip.AddrPort][]*session),
		peerOf:          make(map[*session]member.Balancer),
		isDialed:        make(map[*session]bool),
		lastNeighbourAt: make(map[netip.AddrPort]time.Time),
		attempts:        dialAttempts{last: make(map[netip.AddrPort]dialAttempt)},
	}
}

// addSession adds a connection to a balancer. The parameter isDialed is true when this balancer opened it.
func (p *peers) addSession(peer member.Balancer, s *session, isDialed bool) {
	p.sessions[peer.Data] = append(p.sessions[peer.Data], s)
	p.peerOf[s] = peer
	p.isDialed[s] = isDialed
	p.lastNeighbourAt[peer.Data] = time.Now()
	p.balancer.log.Emit(events.PeerConnected, events.F("peer", peer.Data.String()), events.F("role", roleBalancer))
}

// removeSession removes a connection that has ended. It returns the balancer at its other end, and whether this was the last
// connection to that balancer.
func (p *peers) removeSession(s *session) (peer netip.AddrPort, isLast bool) {
	b, ok := p.peerOf[s]
	if !ok {
		return netip.AddrPort{}, false
	}
	delete(p.peerOf, s)
	delete(p.isDialed, s)
	remaining := slices.DeleteFunc(p.sessions[b.Data], func(other *session) bool { return other == s })
	if len(remaining) > 0 {
		p.sessions[b.Data] = remaining
		return b.Data, false
	}
	delete(p.sessions, b.Data)
	delete(p.lastNeighbourAt, b.Data)
	p.balancer.log.Emit(events.PeerLost, events.F("peer", b.Data.String()), events.F("role", roleBalancer), events.Err(nil))
	return b.Data, true
}

// sendGossip queues gossip for a connected balancer.
func (p *peers) sendGossip(to netip.AddrPort, g member.Gossip) {
	p.sendMessage(to, control.Message{Gossip: &control.Gossip{Revision: p.balancer.currentRevision(), Members: g}})
}

// sendMessage queues a message on the newest connection to a balancer. It does nothing when there is no connection.
func (p *peers) sendMessage(to netip.AddrPort, m control.Message) {
	if list := p.sessions[to]; len(list) > 0 {
		list[len(list)-1].send(m)
	}
}

// dialMissing opens missing connections: to neighbours, and to the balancers in the settings while this balancer has no
// connection or does not know them by gossip.
func (p *peers) dialMissing(ctx context.Context, now time.Time, machine *member.Machine) {
	if now.Sub(p.lastDialAt) < dialInterval {
		return
	}
	p.lastDialAt = now
	for _, n := range machine.Neighbours(now) {
		p.lastNeighbourAt[n.Data] = now
		if len(p.sessions[n.Data]) == 0 {
			p.dial(ctx, now, n.Control)
		}
	}
	for _, seed := range p.balancer.settings.Peers {
		isNeeded := len(p.sessions) == 0 || !machine.HasControlAddress(seed)
		if seed != p.self.Control && isNeeded {
			p.dial(ctx, now, seed)
		}
	}
}

// previousNeighbours returns the balancers that this one has dialed and that have not been neighbours for at least
// previousNeighbourTimeout.
func (p *peers) previousNeighbours(now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	for peer, sessions := range p.sessions {
		hasDialed := slices.ContainsFunc(sessions, func(s *session) bool { return p.isDialed[s] })
		if hasDialed && now.Sub(p.lastNeighbourAt[peer]) >= previousNeighbourTimeout {
			list = append(list, peer)
		}
	}
	return list
}

// closeSessions closes the connections to a balancer after dialInterval, so that queued messages are still sent.
func (p *peers) closeSessions(peer netip.AddrPort) {
	for _, s := range p.sessions[peer] {
		time.AfterFunc(dialInterval, s.conn.Close)
	}
	p.lastNeighbourAt[peer] = time.Now()
}

// flush waits until no connection has queued messages, at most until the deadline.
func (p *peers) flush(deadline time.Time) {
	const pollInterval = 5 * time.Millisecond
	for _, list := range p.sessions {
		for _, s := range list {
			for s.outgoing.Len() > 0 && time.Now().Before(deadline) {
				time.Sleep(pollInterval)
			}
		}
	}
	time.Sleep(pollInterval)
}

// dialAttempts limits how often connections to unreachable balancers are attempted. It is safe for concurrent use.
type dialAttempts struct {
	mu   sync.Mutex
	last map[netip.AddrPort]dialAttempt
}

// dialAttempt is the last attempt to connect to a balancer: still in progress, or failed.
type dialAttempt struct {
	isUnderway bool
	// retryAt is when the next attempt may start, delay after the failure.
	retryAt time.Time
	delay   time.Duration
}

// start reports whether an attempt may start now. If so, it records that the attempt is in progress.
func (a *dialAttempts) start(now time.Time, address netip.AddrPort) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.last[address]
	if last.isUnderway || now.Before(last.retryAt) {
		return false
	}
	last.isUnderway = true
	a.last[address] = last
	return true
}

// recordOutcome records the end of an attempt. After each failure the delay before the next attempt doubles.
func (a *dialAttempts) recordOutcome(now time.Time, address netip.AddrPort, isConnected bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if isConnected {
		delete(a.last, address)
		return
	}
	delay := min(max(2*a.last[address].delay, minRedialDelay), maxRedialDelay)
	a.last[address] = dialAttempt{retryAt: now.Add(delay), delay: delay}
}

// dial connects to a balancer in a goroutine and serves the connection there.
func (p *peers) dial(ctx context.Context, now time.Time, address netip.AddrPort) {
	if !p.attempts.start(now, address) {
		return
	}
	go func() {
		conn, peer, err := p.connectTo(ctx, address)
		p.attempts.recordOutcome(time.Now(), address, err == nil)
		if err != nil {
			p.balancer.log.Emit(events.PeerUnreachable, events.F("peer", address.String()), events.Err(err))
			return
		}
		stop := context.AfterFunc(ctx, conn.Close)
		defer stop()
		p.balancer.runSession(ctx, conn, func(s *session) { p.balancer.servePeer(ctx, s, peer, true) })
	}()
}

// connectTo opens a connection and exchanges Hello messages. It returns the balancer at the other end.
func (p *peers) connectTo(ctx context.Context, address netip.AddrPort) (*control.Conn, member.Balancer, error) {
	conn, err := control.Dial(ctx, address.String(), p.balancer.credentials)
	if err != nil {
		return nil, member.Balancer{}, err
	}
	answer, err := conn.Call(control.Message{Hello: &control.Hello{Balancer: p.self}})
	if err == nil && answer.Hello == nil {
		err = control.ErrUnexpectedMessage
	}
	if err != nil {
		conn.Close()
		return nil, member.Balancer{}, err
	}
	return conn, answer.Hello.Balancer, nil
}

// servePeer handles the messages of a balancer until the connection ends.
func (b *Balancer) servePeer(ctx context.Context, s *session, peer member.Balancer, isDialed bool) {
	connected := membershipInput{event: member.PeerConnected{Peer: peer}, session: s, isDialed: isDialed}
	if !b.membership.inputs.Put(ctx, connected) {
		return
	}
	for ctx.Err() == nil {
		m, err := s.conn.Receive()
		if err != nil || !b.handlePeerMessage(ctx, s, peer.Data, m) {
			return
		}
	}
}

// handlePeerMessage handles a message of a balancer. It returns false when the connection must be closed.
func (b *Balancer) handlePeerMessage(ctx context.Context, s *session, peer netip.AddrPort, m control.Message) bool {
	switch {
	case m.Gossip != nil:
		received := member.GossipReceived{From: peer, Gossip: m.Gossip.Members}
		return b.membership.inputs.Put(ctx, membershipInput{event: received, session: s, gossip: m.Gossip})
	case m.RevisionReply != nil:
		b.handleRevisionReply(s, peer, m.RevisionReply.Revision)
		return true
	default:
		return b.handleMessage(s, m) == nil
	}
}
