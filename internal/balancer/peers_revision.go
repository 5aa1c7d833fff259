package balancer

import (
	"net/netip"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/revision"
)

// askInterval is the time between two requests for a newer revision.
const askInterval = 300 * time.Millisecond

// learnRevision asks a peer for its revision when that is newer than the one in force here.
func (p *peers) learnRevision(s *session, theirs revision.ID) {
	have := p.balancer.currentRevision()
	now := time.Now()
	if theirs.Number <= have.Number || now.Sub(p.askedAt) < askInterval {
		return
	}
	p.askedAt = now
	s.send(control.Message{RevisionRequest: &control.RevisionRequest{Have: have}})
}

// spreadRevision tells every connected balancer at once of a revision that has come into force here.
func (p *peers) spreadRevision() {
	inForce := p.balancer.currentRevision()
	if inForce == p.told {
		return
	}
	p.told = inForce
	for peer := range p.sessions {
		p.sendMessage(peer, control.Message{Gossip: &control.Gossip{Revision: inForce}})
	}
}

// takeRevision puts a peer's revision in force. When its base is not known here, the whole tables are asked for.
func (b *Balancer) takeRevision(s *session, peer netip.AddrPort, r revision.Revision) {
	if b.applyRevision(r, peer.String()) == revision.Gap {
		s.send(control.Message{RevisionRequest: &control.RevisionRequest{}})
	}
}
