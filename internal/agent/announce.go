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
	homeTimeout = 3 * time.Second
	roleHome    = "balancer"
)

// homes holds the connections to the balancers that this agent announces itself to.
type homes struct {
	agent  *Agent
	mu     sync.Mutex
	homing *member.ObserverSelector
	// ends holds for each connection the function that ends it.
	ends map[netip.AddrPort]context.CancelFunc
	// changed wakes the duty that keeps the connections.
	changed chan struct{}
}

func newHomes(a *Agent, seeds []netip.AddrPort) *homes {
	return &homes{
		agent:   a,
		homing:  member.NewObserverSelector(seeds),
		ends:    make(map[netip.AddrPort]context.CancelFunc),
		changed: make(chan struct{}, 1),
	}
}

// keep opens and closes connections as the homes change, until ctx ends.
func (h *homes) keep(ctx context.Context) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for home, own := range h.plan(ctx, time.Now()) {
			connections.Go(func() { h.announceTo(own, home) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-h.changed:
		}
	}
	return nil
}

// plan ends the connections to balancers that are homes no longer and returns the contexts of those to open.
func (h *homes) plan(ctx context.Context, now time.Time) map[netip.AddrPort]context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	connect, leave := h.homing.Plan(now)
	for _, home := range leave {
		h.homing.HandleClosed(home)
		h.ends[home]()
	}
	open := make(map[netip.AddrPort]context.Context)
	for _, home := range connect {
		if _, isUnderway := h.ends[home]; isUnderway {
			continue
		}
		own, end := context.WithCancel(ctx)
		h.ends[home] = end
		open[home] = own
	}
	return open
}

// announceTo announces the target to a home until the connection fails or ctx ends.
func (h *homes) announceTo(ctx context.Context, home netip.AddrPort) {
	defer h.forget(home)
	conn, err := control.Dial(ctx, home.String(), h.agent.credentials)
	if err != nil {
		h.fail(home)
		h.agent.log.Emit(events.PeerUnreachable, events.F("peer", home.String()), events.Err(err))
		return
	}
	h.join(home)
	h.agent.log.Emit(events.PeerConnected, events.F("peer", home.String()), events.F("role", roleHome))
	reading, stop := context.WithCancelCause(ctx)
	go h.readReplies(conn, stop)
	err = h.agent.announceOn(reading, conn)
	conn.Close()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		err = context.Cause(reading)
	}
	h.fail(home)
	h.agent.log.Emit(events.PeerLost, events.F("peer", home.String()), events.F("role", roleHome), events.Err(err))
}

// readReplies takes a home's replies until the connection fails or the home is silent for homeTimeout.
func (h *homes) readReplies(conn *control.Conn, stop context.CancelCauseFunc) {
	for {
		m, err := conn.ReceiveWithin(homeTimeout)
		if err != nil {
			stop(err)
			return
		}
		if m.AnnounceReply != nil && m.AnnounceReply.Peers != nil {
			h.agent.takePeers(m.AnnounceReply.Peers.Controls)
		}
		if m.AnnounceReply != nil && m.AnnounceReply.Policy != nil {
			h.agent.takePolicy(*m.AnnounceReply.Policy)
		}
		if m.AnnounceReply != nil && len(m.AnnounceReply.Observers) > 0 {
			h.take(*m.AnnounceReply)
		}
	}
}

func (h *homes) take(r control.AnnounceReply) {
	h.mu.Lock()
	h.homing.HandleReply(r.Observers, r.Backups)
	h.mu.Unlock()
	h.agent.raiseIncarnation(r.Incarnation)
	h.wake()
}

func (h *homes) join(home netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.homing.HandleConnected(home)
}

func (h *homes) fail(home netip.AddrPort) {
	h.mu.Lock()
	h.homing.HandleFailure(time.Now(), home)
	h.mu.Unlock()
	h.wake()
}

func (h *homes) forget(home netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends[home]()
	delete(h.ends, home)
}

func (h *homes) wake() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// announceOn announces at each interval and at each change until the connection fails or ctx ends. The last
// announcement tells of the agent's end, or that it moves to another home.
func (a *Agent) announceOn(ctx context.Context, conn *control.Conn) error {
	for {
		changed := a.lifecycle.onChange()
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
func (a *Agent) raiseIncarnation(known uint64) {
	for {
		own := a.announcedIncarnation.Load()
		if known <= own {
			return
		}
		if a.announcedIncarnation.CompareAndSwap(own, known+1) {
			a.log.Emit(events.IncarnationRaised, events.F("incarnation", known+1))
			a.lifecycle.touch()
			return
		}
	}
}
