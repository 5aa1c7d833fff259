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
	dialInterval   = 500 * time.Millisecond
	minRedialDelay = 500 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	// surplusTimeout is how long a connection to a balancer that is no neighbour any more is kept.
	previousNeighbourTimeout = 30 * time.Second
	roleBalancer             = "balancer"
)

// peers holds the connections to other balancers. It belongs to the membership duty but for what attempts guards.
type peers struct {
	balancer *Balancer
	self     member.Balancer
	// sessions holds the connections to each balancer, the newest last.
	sessions map[netip.AddrPort][]*session
	peerOf   map[*session]member.Balancer
	isDialed map[*session]bool
	// wantedAt is when a balancer was last a neighbour.
	lastNeighbourAt map[netip.AddrPort]time.Time
	// attempts is used by the dialing goroutines too.
	attempts      dialAttempts
	lastConnectAt time.Time
	lastRequestAt time.Time
	announced     revision.ID
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

func (p *peers) addSession(peer member.Balancer, s *session, isDialed bool) {
	p.sessions[peer.Data] = append(p.sessions[peer.Data], s)
	p.peerOf[s] = peer
	p.isDialed[s] = isDialed
	p.lastNeighbourAt[peer.Data] = time.Now()
	p.balancer.log.Emit(events.PeerConnected, events.F("peer", peer.Data.String()), events.F("role", roleBalancer))
}

// remove forgets a connection. It returns its balancer, and whether no connection to that is left.
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

// send queues gossip for a connected balancer.
func (p *peers) sendGossip(to netip.AddrPort, g member.Gossip) {
	p.sendMessage(to, control.Message{Gossip: &control.Gossip{Revision: p.balancer.currentRevision(), Members: g}})
}

func (p *peers) sendMessage(to netip.AddrPort, m control.Message) {
	if list := p.sessions[to]; len(list) > 0 {
		list[len(list)-1].send(m)
	}
}

// connect opens the connections that are missing: to neighbours, and to seeds that no neighbour has told of.
func (p *peers) dialMissing(ctx context.Context, now time.Time, machine *member.Machine) {
	if now.Sub(p.lastConnectAt) < dialInterval {
		return
	}
	p.lastConnectAt = now
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

// surplus returns the balancers that this one has connected to and that are no neighbours any more.
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

// drop closes the connections to a balancer once their messages are sent.
func (p *peers) closeSessions(peer netip.AddrPort) {
	for _, s := range p.sessions[peer] {
		time.AfterFunc(dialInterval, s.conn.Close)
	}
	p.lastNeighbourAt[peer] = time.Now()
}

// drain waits until the messages of all connections have been taken for sending, but not past end.
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

// attempts bounds how often balancers that cannot be reached are tried.
type dialAttempts struct {
	mu   sync.Mutex
	last map[netip.AddrPort]dialAttempt
}

type dialAttempt struct {
	isUnderway bool
	retryAt    time.Time
	delay      time.Duration
}

// begin reports whether a balancer may be tried now.
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

// end notes the outcome of a try. After a failure the wait doubles.
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

// dial connects to a balancer in the background.
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

// greet opens a connection and exchanges Hello.
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

// servePeer passes on what a balancer sends until the connection ends.
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
