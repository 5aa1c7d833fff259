package balancer

import (
	"net/netip"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/revision"
)

// revisionRequestInterval is the minimum time between two requests for a newer revision.
const revisionRequestInterval = 300 * time.Millisecond

// requestNewerRevision asks a peer for its revision when that is newer than the one in force on this balancer.
func (p *peers) requestNewerRevision(s *session, offered revision.ID) {
	current := p.balancer.currentRevision()
	now := time.Now()
	if offered.Number <= current.Number || now.Sub(p.lastRequestAt) < revisionRequestInterval {
		return
	}
	p.lastRequestAt = now
	s.send(control.Message{RevisionRequest: &control.RevisionRequest{InForce: current}})
}

// announceRevision sends the ID of the revision in force to every connected balancer when it has changed.
func (p *peers) announceRevision() {
	inForce := p.balancer.currentRevision()
	if inForce == p.announced {
		return
	}
	p.announced = inForce
	for peer := range p.sessions {
		p.sendMessage(peer, control.Message{Gossip: &control.Gossip{Revision: inForce}})
	}
}

// handleRevisionReply applies the revision of a peer. When it is a delta from a revision that this balancer doesn't have, the
// whole tables are requested.
func (b *Balancer) handleRevisionReply(s *session, peer netip.AddrPort, r revision.Revision) {
	if b.applyRevision(r, peer.String()) == revision.Gap {
		s.send(control.Message{RevisionRequest: &control.RevisionRequest{}})
	}
}
