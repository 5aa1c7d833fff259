package balancer

import (
	"context"

	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
)

// serveControl serves an accepted connection of an agent, of another balancer or of gentianctl.
func (b *Balancer) serveControl(ctx context.Context, conn *control.Conn) {
	b.runSession(ctx, conn, func(s *session) { b.serveSession(ctx, s) })
}

// serveSession handles messages until the connection ends. After a Hello the connection is that of another balancer.
func (b *Balancer) serveSession(ctx context.Context, s *session) {
	for ctx.Err() == nil {
		m, err := s.conn.Receive()
		if err != nil {
			return
		}
		if m.Hello != nil {
			b.answerHello(ctx, s, m.Hello.Balancer)
			return
		}
		if err := b.handleMessage(s, m); err != nil {
			return
		}
	}
}

// answerHello answers the Hello of another balancer and serves its connection.
func (b *Balancer) answerHello(ctx context.Context, s *session, peer member.Balancer) {
	if s.conn.Send(control.Message{Hello: &control.Hello{Balancer: b.membership.peers.self}}) == nil {
		b.servePeer(ctx, s, peer, false)
	}
}

// handleMessage handles a message that may arrive on any connection. Other messages are ignored.
func (b *Balancer) handleMessage(s *session, m control.Message) error {
	conn := s.conn
	switch {
	case m.Announce != nil:
		event := member.AgentAnnounced{Target: m.Announce.Target, IsLeaving: m.Announce.IsLeaving}
		b.membership.inputs.Put(b.group.Context(), membershipInput{event: event, session: s})
		return nil
	case m.StatusRequest != nil:
		return conn.Send(control.Message{Status: b.status()})
	case m.RevisionRequest != nil:
		current := b.revisionSince(m.RevisionRequest.InForce)
		return conn.Send(control.Message{RevisionReply: &control.RevisionReply{Revision: current}})
	case m.RevisionOffer != nil:
		ack := b.handleRevisionOffer(m.RevisionOffer.Revision, conn.Peer())
		return conn.Send(control.Message{RevisionAck: &ack})
	default:
		return nil
	}
}

// status returns this balancer's view for operators.
func (b *Balancer) status() *control.Status {
	targets := b.membership.targets(b.group.Context())
	inForce := b.currentRevision()
	return &control.Status{
		Balancer: b.settings.Data, Zone: b.settings.Zone, Revision: inForce.Number, Change: inForce.ChangeID, Targets: targets,
		Balancers: b.shared.liveBalancers(),
	}
}
