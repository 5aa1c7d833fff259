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
	// planInterval is the time between two checks for missing observers.
	planInterval = 200 * time.Millisecond
	// observerTimeout is the silence of an observer after which the agent closes the connection. Observers send a reply at
	// least once a second.
	observerTimeout = 3 * time.Second
	// roleBalancer is the role of an observer in logs.
	roleBalancer = "balancer"
)

// observerConns manages the control connections to the agent's observers, the balancers that it announces itself to.
type observerConns struct {
	agent    *Agent
	mu       sync.Mutex
	selector *member.ObserverSelector
	// cancels holds the function that closes each connection, by the observer's control address.
	cancels map[netip.AddrPort]context.CancelFunc
	// planRequested wakes maintain before the next planInterval.
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

// maintain opens and closes connections as the observers change, until ctx is done.
func (o *observerConns) maintain(ctx context.Context) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for observer, connCtx := range o.planConnections(ctx, time.Now()) {
			connections.Go(func() { o.announceTo(connCtx, observer) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-o.planRequested:
		}
	}
	return nil
}

// planConnections closes the connections to balancers that are no longer observers. It returns the observers to connect to,
// each with the context of its connection.
func (o *observerConns) planConnections(ctx context.Context, now time.Time) map[netip.AddrPort]context.Context {
	o.mu.Lock()
	defer o.mu.Unlock()
	connect, leave := o.selector.Plan(now)
	for _, observer := range leave {
		o.selector.HandleClosed(observer)
		o.cancels[observer]()
	}
	open := make(map[netip.AddrPort]context.Context)
	for _, observer := range connect {
		if _, isOpen := o.cancels[observer]; isOpen {
			continue
		}
		connCtx, cancel := context.WithCancel(ctx)
		o.cancels[observer] = cancel
		open[observer] = connCtx
	}
	return open
}

// announceTo announces the target to an observer until the connection fails or ctx is done.
func (o *observerConns) announceTo(ctx context.Context, observer netip.AddrPort) {
	defer o.removeConnection(observer)
	conn, err := control.Dial(ctx, observer.String(), o.agent.credentials)
	if err != nil {
		o.handleFailure(observer)
		o.agent.log.Emit(events.PeerUnreachable, events.F("peer", observer.String()), events.Err(err))
		return
	}
	o.handleConnected(observer)
	o.agent.log.Emit(events.PeerConnected, events.F("peer", observer.String()), events.F("role", roleBalancer))
	sendCtx, cancel := context.WithCancelCause(ctx)
	go o.readReplies(conn, cancel)
	err = o.agent.sendAnnouncements(sendCtx, conn)
	conn.Close()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		err = context.Cause(sendCtx)
	}
	o.handleFailure(observer)
	o.agent.log.Emit(events.PeerLost, events.F("peer", observer.String()), events.F("role", roleBalancer), events.Err(err))
}

// readReplies handles the replies of an observer until the connection fails or the observer is silent for observerTimeout.
func (o *observerConns) readReplies(conn *control.Conn, cancel context.CancelCauseFunc) {
	for {
		m, err := conn.ReceiveWithin(observerTimeout)
		if err != nil {
			cancel(err)
			return
		}
		if m.AnnounceReply != nil && m.AnnounceReply.Peers != nil {
			o.agent.updatePeers(m.AnnounceReply.Peers.Controls)
		}
		if m.AnnounceReply != nil && m.AnnounceReply.Policy != nil {
			o.agent.applyPoolPolicy(*m.AnnounceReply.Policy)
		}
		if m.AnnounceReply != nil && len(m.AnnounceReply.Observers) > 0 {
			o.handleReply(*m.AnnounceReply)
		}
	}
}

// handleReply applies the observers and backups that a balancer has assigned to this agent.
func (o *observerConns) handleReply(reply control.AnnounceReply) {
	o.mu.Lock()
	o.selector.HandleReply(reply.Observers, reply.Backups)
	o.mu.Unlock()
	o.agent.raiseIncarnation(reply.Incarnation)
	o.requestPlan()
}

func (o *observerConns) handleConnected(observer netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.selector.HandleConnected(observer)
}

func (o *observerConns) handleFailure(observer netip.AddrPort) {
	o.mu.Lock()
	o.selector.HandleFailure(time.Now(), observer)
	o.mu.Unlock()
	o.requestPlan()
}

// removeConnection releases the context of a connection and allows a new connection to the observer.
func (o *observerConns) removeConnection(observer netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cancels[observer]()
	delete(o.cancels, observer)
}

// requestPlan makes maintain plan the connections at once.
func (o *observerConns) requestPlan() {
	select {
	case o.planRequested <- struct{}{}:
	default:
	}
}

// sendAnnouncements sends an announcement at each heartbeat interval and at each change of the lifecycle, until the connection
// fails or ctx is done. The last announcement reports that the agent shuts down, or that it moves to another observer.
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

// raiseIncarnation raises the announced incarnation above newest, the newest one that a balancer knows for this address, so
// that the announcements supersede those of the VM's previous agent, whose clock was ahead.
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
