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
	connectInterval = 500 * time.Millisecond
	redialMin       = 500 * time.Millisecond
	redialMax       = 5 * time.Second
	// surplusTimeout is how long a connection to a balancer that is no neighbour any more is kept.
	surplusTimeout = 30 * time.Second
	rolePeer       = "balancer"
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
	wantedAt map[netip.AddrPort]time.Time
	// attempts is used by the dialing goroutines too.
	attempts    attempts
	connectedAt time.Time
	askedAt     time.Time
	told        revision.ID
}

func newPeers(b *Balancer, self member.Balancer) *peers {
	return &peers{
		balancer: b,
		self:     self,
		sessions: make(map[netip.AddrPort][]*session),
		peerOf:   make(map[*session]member.Balancer),
		isDialed: make(map[*session]bool),
		wantedAt: make(map[netip.AddrPort]time.Time),
		attempts: attempts{next: make(map[netip.AddrPort]attempt)},
	}
}

func (p *peers) add(peer member.Balancer, s *session, isDialed bool) {
	p.sessions[peer.Data] = append(p.sessions[peer.Data], s)
	p.peerOf[s] = peer
	p.isDialed[s] = isDialed
	p.wantedAt[peer.Data] = time.Now()
	p.balancer.log.Emit(events.PeerConnected, events.F("peer", peer.Data.String()), events.F("role", rolePeer))
}

// remove forgets a connection. It returns its balancer, and whether no connection to that is left.
func (p *peers) remove(s *session) (peer netip.AddrPort, isLast bool) {
	b, ok := p.peerOf[s]
	if !ok {
		return netip.AddrPort{}, false
	}
	delete(p.peerOf, s)
	delete(p.isDialed, s)
	left := slices.DeleteFunc(p.sessions[b.Data], func(other *session) bool { return other == s })
	if len(left) > 0 {
		p.sessions[b.Data] = left
		return b.Data, false
	}
	delete(p.sessions, b.Data)
	delete(p.wantedAt, b.Data)
	p.balancer.log.Emit(events.PeerLost, events.F("peer", b.Data.String()), events.F("role", rolePeer), events.Err(nil))
	return b.Data, true
}

// send queues gossip for a connected balancer.
func (p *peers) send(to netip.AddrPort, g member.Gossip) {
	p.sendMessage(to, control.Message{Gossip: &control.Gossip{Revision: p.balancer.currentRevision(), Members: g}})
}

func (p *peers) sendMessage(to netip.AddrPort, m control.Message) {
	if list := p.sessions[to]; len(list) > 0 {
		list[len(list)-1].send(m)
	}
}

// connect opens the connections that are missing: to neighbours, and to seeds that no neighbour has told of.
func (p *peers) connect(ctx context.Context, now time.Time, machine *member.Machine) {
	if now.Sub(p.connectedAt) < connectInterval {
		return
	}
	p.connectedAt = now
	for _, n := range machine.Neighbours(now) {
		p.wantedAt[n.Data] = now
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
func (p *peers) surplus(now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	for peer, sessions := range p.sessions {
		isOwn := slices.ContainsFunc(sessions, func(s *session) bool { return p.isDialed[s] })
		if isOwn && now.Sub(p.wantedAt[peer]) >= surplusTimeout {
			list = append(list, peer)
		}
	}
	return list
}

// drop closes the connections to a balancer once their messages are sent.
func (p *peers) drop(peer netip.AddrPort) {
	for _, s := range p.sessions[peer] {
		time.AfterFunc(connectInterval, s.conn.Close)
	}
	p.wantedAt[peer] = time.Now()
}

// drain waits until the messages of all connections have been taken for sending, but not past end.
func (p *peers) drain(end time.Time) {
	const pollInterval = 5 * time.Millisecond
	for _, list := range p.sessions {
		for _, s := range list {
			for s.out.Len() > 0 && time.Now().Before(end) {
				time.Sleep(pollInterval)
			}
		}
	}
	time.Sleep(pollInterval)
}

// attempts bounds how often balancers that cannot be reached are tried.
type attempts struct {
	mu   sync.Mutex
	next map[netip.AddrPort]attempt
}

type attempt struct {
	isUnderway bool
	at         time.Time
	wait       time.Duration
}

// begin reports whether a balancer may be tried now.
func (a *attempts) begin(now time.Time, address netip.AddrPort) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.next[address]
	if known.isUnderway || now.Before(known.at) {
		return false
	}
	known.isUnderway = true
	a.next[address] = known
	return true
}

// end notes the outcome of a try. After a failure the wait doubles.
func (a *attempts) end(now time.Time, address netip.AddrPort, isConnected bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if isConnected {
		delete(a.next, address)
		return
	}
	wait := min(max(2*a.next[address].wait, redialMin), redialMax)
	a.next[address] = attempt{at: now.Add(wait), wait: wait}
}

// dial connects to a balancer in the background.
func (p *peers) dial(ctx context.Context, now time.Time, address netip.AddrPort) {
	if !p.attempts.begin(now, address) {
		return
	}
	go func() {
		conn, peer, err := p.greet(ctx, address)
		p.attempts.end(time.Now(), address, err == nil)
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
func (p *peers) greet(ctx context.Context, address netip.AddrPort) (*control.Conn, member.Balancer, error) {
	conn, err := control.Dial(ctx, address.String(), p.balancer.credentials)
	if err != nil {
		return nil, member.Balancer{}, err
	}
	answer, err := conn.Call(control.Message{Hello: &control.Hello{Balancer: p.self}})
	if err == nil && answer.Hello == nil {
		err = control.ErrUnexpected
	}
	if err != nil {
		conn.Close()
		return nil, member.Balancer{}, err
	}
	return conn, answer.Hello.Balancer, nil
}

// servePeer passes on what a balancer sends until the connection ends.
func (b *Balancer) servePeer(ctx context.Context, s *session, peer member.Balancer, isDialed bool) {
	joined := arrival{event: member.PeerConnected{Peer: peer}, session: s, isDialed: isDialed}
	if !b.membership.arrivals.Put(ctx, joined) {
		return
	}
	for ctx.Err() == nil {
		m, err := s.conn.Receive()
		if err != nil || !b.takeFromPeer(ctx, s, peer.Data, m) {
			return
		}
	}
}

func (b *Balancer) takeFromPeer(ctx context.Context, s *session, peer netip.AddrPort, m control.Message) bool {
	switch {
	case m.Gossip != nil:
		received := member.GossipReceived{From: peer, Gossip: m.Gossip.Members}
		return b.membership.arrivals.Put(ctx, arrival{event: received, session: s, gossip: m.Gossip})
	case m.RevisionReply != nil:
		b.takeRevision(s, peer, m.RevisionReply.Revision)
		return true
	default:
		return b.handle(s, m) == nil
	}
}
