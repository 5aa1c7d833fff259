package balancer

import (
	"context"

	"gentianswitch/internal/control"
)

func (b *Balancer) serveControl(ctx context.Context, conn *control.Conn) {
	for ctx.Err() == nil {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if err := b.handle(conn, m); err != nil {
			return
		}
	}
}

func (b *Balancer) handle(conn *control.Conn, m control.Message) error {
	switch {
	case m.Announce != nil:
		b.announce(m.Announce.Target)
		return nil
	case m.StatusRequest != nil:
		return conn.Send(control.Message{Status: b.status()})
	default:
		return nil
	}
}

func (b *Balancer) status() *control.Status {
	targets := b.state.view()
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return &control.Status{
		Balancer: b.settings.Data, Zone: b.settings.Zone, Revision: b.state.revision, Targets: targets,
	}
}
