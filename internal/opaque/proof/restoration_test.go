package proof

import (
	"maps"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/store"
)

// backup is a copy of the store's content.
type backup struct {
	revision store.Version
	entries  map[hop.IP]storedEntry
}

func (s *simulation) copyStore() {
	s.backup = backup{revision: s.revision, entries: maps.Clone(s.entries)}
}

// restoreStore restores the store from the last copy, or from an empty one. Revisions go back, and the era rises.
func (s *simulation) restoreStore() {
	s.revision = s.backup.revision.InEra(s.revision.Era() + 1)
	s.entries = maps.Clone(s.backup.entries)
	if s.entries == nil {
		s.entries = make(map[hop.IP]storedEntry)
	}
}

// checkEntry lets an agent read its entry and write it again if the store has lost it.
func (s *simulation) checkEntry(h *host) {
	if h.writer.HandleReport(s.now, s.revision.Era(), 0) {
		s.writeEntry(h)
	}
}

// checkAllEntries lets all agents check their entries, which settles the era of the store. An agent that has just started learns
// of its target from a heartbeat meanwhile.
func (s *simulation) checkAllEntries() {
	for _, h := range s.hosts {
		s.checkEntry(h)
		if !h.hasLeft {
			s.sendHeartbeat(h)
		}
	}
	s.settledEra = s.revision.Era()
}
