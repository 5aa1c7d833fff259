package balancer

import (
	"net/netip"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/revision"
)

// askInterval is the time between two requests for a newer revision.
const revisionRequestInterval = 300 * time.Millisecond

// learnRevision asks a peer for its revision when that is newer than the one in force here.
func (p *peers) requestNewerRevision(s *session, offered revision.ID) {
	current := p.balancer.currentRevision()
	now := time.Now()
	if offered.Number <= current.Number || now.Sub(p.lastRequestAt) < revisionRequestInterval {
		return
	}
	p.lastRequestAt = now
	s.send(control.Message{RevisionRequest: &control.RevisionRequest{InForce: current}})
}

// spreadRevision tells every connected balancer at once of a revision that has come into force here.
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

// takeRevision puts a peer's revision in force. When its base is not known here, the whole tables are asked for.
func (b *Balancer) handleRevisionReply(s *session, peer netip.AddrPort, r revision.Revision) {
	if b.applyRevision(r, peer.String()) == revision.Gap {
		s.send(control.Message{RevisionRequest: &control.RevisionRequest{}})
	}
}
