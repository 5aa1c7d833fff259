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
	case m.RevisionRequest != nil:
		current := b.revisionSince(m.RevisionRequest.Have)
		return conn.Send(control.Message{RevisionReply: &control.RevisionReply{Revision: current}})
	case m.RevisionOffer != nil:
		ack := b.acceptOffer(m.RevisionOffer.Revision, conn.Peer())
		return conn.Send(control.Message{RevisionAck: &ack})
	default:
		return nil
	}
}

func (b *Balancer) status() *control.Status {
	_, targets := b.state.view()
	inForce := b.currentRevision()
	return &control.Status{
		Balancer: b.settings.Data, Zone: b.settings.Zone, Revision: inForce.Number, Change: inForce.Change, Targets: targets,
	}
}
