package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/events"
	"gentianswitch/internal/member"
)

const (
	// planInterval is the time between two looks at which homes are missing.
	planInterval = 200 * time.Millisecond
	// homeTimeout is the silence of a home after which its connection is given up. Homes speak once a second.
	observerTimeout = 3 * time.Second
	roleBalancer    = "balancer"
)

// homes holds the connections to the balancers that this agent announces itself to.
type observerConns struct {
	agent    *Agent
	mu       sync.Mutex
	selector *member.ObserverSelector
	// ends holds for each connection the function that ends it.
	cancels map[netip.AddrPort]context.CancelFunc
	// changed wakes the duty that keeps the connections.
	planRequested chan struct{}
}

func newObserverConns(a *Agent, seeds []netip.AddrPort) *observerConns {
	return &observerConns{
		agent:         a,
		selector:      member.NewObserverSelector(seeds),
		cancels:       make(map[netip.AddrPort]context.CancelFunc),
		planRequested: make(chan struct{}, 1),
	}
}

// keep opens and closes connections as the homes change, until ctx ends.
func (h *observerConns) maintain(ctx context.Context) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for observer, connCtx := range h.planConnections(ctx, time.Now()) {
			connections.Go(func() { h.announceTo(connCtx, observer) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-h.planRequested:
		}
	}
	return nil
}

// plan ends the connections to balancers that are homes no longer and returns the contexts of those to open.
func (h *observerConns) planConnections(ctx context.Context, now time.Time) map[netip.AddrPort]context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	connect, leave := h.selector.Plan(now)
	for _, observer := range leave {
		h.selector.HandleClosed(observer)
		h.cancels[observer]()
	}
	open := make(map[netip.AddrPort]context.Context)
	for _, observer := range connect {
		if _, isUnderway := h.cancels[observer]; isUnderway {
			continue
		}
		connCtx, cancel := context.WithCancel(ctx)
		h.cancels[observer] = cancel
		open[observer] = connCtx
	}
	return open
}

// announceTo announces the target to a home until the connection fails or ctx ends.
func (h *observerConns) announceTo(ctx context.Context, observer netip.AddrPort) {
	defer h.removeConnection(observer)
	conn, err := control.Dial(ctx, observer.String(), h.agent.credentials)
	if err != nil {
		h.handleFailure(observer)
		h.agent.log.Emit(events.PeerUnreachable, events.F("peer", observer.String()), events.Err(err))
		return
	}
	h.handleConnected(observer)
	h.agent.log.Emit(events.PeerConnected, events.F("peer", observer.String()), events.F("role", roleBalancer))
	sendCtx, cancel := context.WithCancelCause(ctx)
	go h.readReplies(conn, cancel)
	err = h.agent.sendAnnouncements(sendCtx, conn)
	conn.Close()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		err = context.Cause(sendCtx)
	}
	h.handleFailure(observer)
	h.agent.log.Emit(events.PeerLost, events.F("peer", observer.String()), events.F("role", roleBalancer), events.Err(err))
}

// readReplies takes a home's replies until the connection fails or the home is silent for homeTimeout.
func (h *observerConns) readReplies(conn *control.Conn, cancel context.CancelCauseFunc) {
	for {
		m, err := conn.ReceiveWithin(observerTimeout)
		if err != nil {
			cancel(err)
			return
		}
		if m.AnnounceReply != nil && m.AnnounceReply.Peers != nil {
			h.agent.updatePeers(m.AnnounceReply.Peers.Controls)
		}
		if m.AnnounceReply != nil && m.AnnounceReply.Policy != nil {
			h.agent.applyPolicy(*m.AnnounceReply.Policy)
		}
		if m.AnnounceReply != nil && len(m.AnnounceReply.Homes) > 0 {
			h.handleReply(*m.AnnounceReply)
		}
	}
}

func (h *observerConns) handleReply(reply control.AnnounceReply) {
	h.mu.Lock()
	h.selector.HandleReply(reply.Homes, reply.Spares)
	h.mu.Unlock()
	h.agent.raiseIncarnation(reply.Incarnation)
	h.requestPlan()
}

func (h *observerConns) handleConnected(observer netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.selector.HandleConnected(observer)
}

func (h *observerConns) handleFailure(observer netip.AddrPort) {
	h.mu.Lock()
	h.selector.HandleFailure(time.Now(), observer)
	h.mu.Unlock()
	h.requestPlan()
}

func (h *observerConns) removeConnection(observer netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancels[observer]()
	delete(h.cancels, observer)
}

func (h *observerConns) requestPlan() {
	select {
	case h.planRequested <- struct{}{}:
	default:
	}
}

// announceOn announces at each interval and at each change until the connection fails or ctx ends. The last
// announcement tells of the agent's end, or that it moves to another home.
func (a *Agent) sendAnnouncements(ctx context.Context, conn *control.Conn) error {
	for {
		changed := a.lifecycle.nextChange()
		if err := conn.Send(control.Message{Announce: &control.Announce{Target: a.announcement()}}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			target := a.announcement()
			last := control.Announce{Target: target, IsLeaving: target.State != member.Gone}
			return conn.Send(control.Message{Announce: &last})
		case <-changed:
		case <-time.After(member.HeartbeatInterval):
		}
	}
}

// raiseIncarnation makes the announcements supersede those of the VM's former agent, whose clock was ahead.
func (a *Agent) raiseIncarnation(newest uint64) {
	for {
		own := a.announcedIncarnation.Load()
		if newest <= own {
			return
		}
		if a.announcedIncarnation.CompareAndSwap(own, newest+1) {
			a.log.Emit(events.IncarnationRaised, events.F("incarnation", newest+1))
			a.lifecycle.announceAgain()
			return
		}
	}
}
