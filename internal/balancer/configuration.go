package balancer

import (
	"gentianswitch/internal/control"
	"gentianswitch/internal/events"
	"gentianswitch/internal/revision"
)

// sourceStore is the name in logs of the store as the source of a revision.
const sourceStore = "store"

// applyRevision puts a revision in force if it is newer than the current one, and returns the result. The source, for the log,
// is sourceStore or the address of a peer.
func (b *Balancer) applyRevision(r revision.Revision, source string) revision.Outcome {
	b.applyMu.Lock()
	defer b.applyMu.Unlock()
	b.shared.mu.Lock()
	outcome := b.shared.configuration.Apply(r)
	known, declared := b.shared.configuration.ID(), b.shared.configuration.Tables()
	b.shared.mu.Unlock()
	switch outcome {
	case revision.Applied:
		b.counters.revision.Update(float64(r.ID.Number))
		b.updateTables(declared)
		b.openListeners(declared)
		b.log.Emit(events.RevisionApplied, events.F("revision", r.ID.Number), events.F("change", r.ID.ChangeID),
			events.F("source", source))
	case revision.Same, revision.Gap:
	default:
		b.log.Emit(events.RevisionIgnored, events.F("revision", r.ID.Number), events.F("change", r.ID.ChangeID),
			events.F("known", known.String()), events.F("reason", outcome.String()), events.F("source", source))
	}
	return outcome
}

// currentRevision returns the revision in force.
func (b *Balancer) currentRevision() revision.ID {
	b.shared.mu.Lock()
	defer b.shared.mu.Unlock()
	return b.shared.configuration.ID()
}

// revisionSince returns the current revision for a process that has the given one in force: as a delta if possible, otherwise
// whole.
func (b *Balancer) revisionSince(have revision.ID) revision.Revision {
	b.shared.mu.Lock()
	defer b.shared.mu.Unlock()
	return b.shared.configuration.UpdateSince(have)
}

// handleRevisionOffer applies an offered revision and returns the acknowledgement for the sender.
func (b *Balancer) handleRevisionOffer(r revision.Revision, peer string) control.RevisionAck {
	outcome := b.applyRevision(r, peer)
	return control.RevisionAck{InForce: b.currentRevision(), Outcome: outcome}
}
