package proof

import (
	"testing"

	"pgregory.net/rapid"
)

// replaceEntry lets another writer replace the entry of a running target by bytes that cannot be decoded.
func (s *simulation) replaceEntry() {
	h := s.drawHost()
	if _, ok := s.entries[h.ip]; !ok || h.hasLeft || h.isCut {
		return
	}
	s.revision++
	s.entries[h.ip] = storedEntry{revision: s.revision, isForeign: true}
}

// sendNotices lets a balancer tell agents that the entries of their targets cannot be decoded. Some notices are lost.
func (s *simulation) sendNotices(b *balancer) {
	for _, agent := range b.directory.DueNotices(s.now) {
		h := s.hostAt(agent)
		if h == nil || h.isCut || !rapid.Bool().Draw(s.t, "the notice arrives") {
			continue
		}
		if h.writer.HandleUnreadable(s.now) {
			s.writeEntry(h)
		}
	}
}

// TestOpenFlowsOutlastEntriesOfOtherWriters checks the properties of TestOpenFlowsReachTheirTargets while another writer replaces entries
// of targets. It guards against resets by balancers that start, take the entry for one that isn't there, and so do not know the target.
func TestOpenFlowsOutlastEntriesOfOtherWriters(t *testing.T) {
	setHistoryCount(t, frequentFaultHistories)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1, 4)
		actions := s.actions()
		delete(actions, "an agent restarts") // It loses when its target joined: docs/PROOFS.md, "Not proved".
		actions["another writer replaces an entry"] = func(*rapid.T) { s.replaceEntry() }
		actions["another balancer restarts"] = func(*rapid.T) { s.restartBalancer() }
		runActions(t, s, actions)
	})
}
