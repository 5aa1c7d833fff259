package agent

import (
	"context"
	"net/netip"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/events"
)

const (
	announceInterval  = 500 * time.Millisecond
	announceRedialGap = 500 * time.Millisecond
)

// announceTo keeps a control connection to a balancer and announces the target on it.
func (a *Agent) announceTo(ctx context.Context, balancer netip.AddrPort) error {
	for ctx.Err() == nil {
		conn, err := control.Dial(ctx, balancer.String(), a.credentials)
		if err == nil {
			a.log.Emit(events.PeerConnected, events.F("peer", balancer.String()), events.F("role", "balancer"))
			err = a.announceOn(ctx, conn)
			conn.Close()
			a.log.Emit(events.PeerLost, events.F("peer", balancer.String()), events.F("role", "balancer"), events.Err(err))
		}
		sleep(ctx, announceRedialGap)
	}
	return nil
}

// announceOn announces at each interval and at each change until the connection fails or ctx ends.
func (a *Agent) announceOn(ctx context.Context, conn *control.Conn) error {
	for {
		changed := a.lifecycle.onChange()
		m := control.Message{Announce: &control.Announce{Target: a.announcement()}}
		if err := conn.Send(m); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(announceInterval):
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
