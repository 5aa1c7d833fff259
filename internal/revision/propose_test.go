package revision

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianswitch/internal/tables"
)

// smallLimits cause snapshots, truncated logs and several segments within short histories.
var smallLimits = limits{maxLogSize: 1500, truncatedLogSize: 700, maxEntrySize: 600, segmentSize: 64}

func proposal(n int, planned *uint64, desired *tables.Tables) Proposal {
	return Proposal{ChangeID: changeID(n), Author: "ana", At: time.Unix(0, 0), PlannedBase: planned, Desired: desired}
}

// drawTables returns the tables with up to three rows changed.
func drawTables(t *rapid.T, base *tables.Tables) *tables.Tables {
	rows := make(map[string]Row)
	for range rapid.IntRange(1, 3).Draw(t, "rows") {
		n := rapid.IntRange(1, 6).Draw(t, "row")
		name := fmt.Sprint("r", n)
		rows[name] = routeRow(name, uint16(n+10*rapid.IntRange(0, 5).Draw(t, "port")))
		if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			rows[name] = Row{Table: Routes, Name: name}
		}
	}
	list := []Row{poolRow()}
	for _, row := range rows {
		list = append(list, row)
	}
	patched, err := Patch(base, list)
	if err != nil {
		t.Fatal(err)
	}
	return patched
}

// checkHeads checks that each head continues the one before it and that no change is in the log twice. It returns the heads
// by the IDs of their changes.
func checkHeads(t *rapid.T, s *fakeStore) map[string]Head {
	accepted := make(map[string]Head)
	var before ID
	for _, h := range s.heads {
		last := h.Log[len(h.Log)-1]
		if h.ID != last.ID || last.Previous != before || h.ID.Number != before.Number+1 {
			t.Fatalf("head %s with entry on %s follows %s", h.ID, last.Previous, before)
		}
		if _, isTwice := accepted[h.ID.ChangeID]; isTwice {
			t.Fatalf("change %s is in the log twice", h.ID.ChangeID)
		}
		accepted[h.ID.ChangeID] = h
		before = h.ID
	}
	return accepted
}

// checkResult compares the result that an operator got with the changes in the log.
func checkResult(t *rapid.T, p *proposer, accepted map[string]Head) {
	head, isInLog := accepted[p.proposal.ChangeID]
	switch p.result.Verdict {
	case Accepted:
		if !isInLog || head.ID != p.result.ID {
			t.Fatalf("%s was reported as accepted, but is not in the log", p.proposal.ChangeID)
		}
	case Refused, NotAccepted, Unchanged:
		if isInLog {
			t.Fatalf("%s was reported as %s, but is in the log", p.proposal.ChangeID, p.result.Verdict)
		}
	}
}

// TestLogUnderFaults runs histories of concurrent proposals on a store that fails calls, loses replies and serves writes late.
func TestLogUnderFaults(t *testing.T) {
	verdicts := make(map[Verdict]int)
	snapshots := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		reader := NewState()
		var all []*proposer
		for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			view := s.view(t, smallLimits)
			base, err := view.Tables()
			if err != nil {
				t.Fatal(err)
			}
			var racers []*proposer
			for racer := range rapid.IntRange(1, 3).Draw(t, "racers") {
				planned := &view.Head.ID.Number
				if rapid.Bool().Draw(t, "unplanned") {
					planned = nil
				}
				p := proposal(10*round+racer, planned, drawTables(t, base))
				racers = append(racers, newProposer(s, smallLimits, p))
			}
			runProposers(t, s, faults, racers...)
			all = append(all, racers...)
			updateReader(t, s, reader)
		}
		s.serveLateWrites()
		accepted := checkHeads(t, s)
		for _, p := range all {
			checkResult(t, p, accepted)
			verdicts[p.result.Verdict]++
		}
		updateReader(t, s, reader)
		if !s.view(t, smallLimits).Head.Snapshot.ID.IsZero() {
			snapshots++
		}
	})
	t.Log("verdicts", verdicts, "histories with a snapshot", snapshots)
	for _, v := range []Verdict{Accepted, Unchanged, Refused, NotAccepted, Unknown} {
		if verdicts[v] == 0 {
			t.Errorf("no history has a proposal with the verdict %s", v)
		}
	}
}

// updateReader updates a reader to the head as a balancer does, and checks that it has the same tables as the log.
func updateReader(t *rapid.T, s *fakeStore, reader *State) {
	view := s.view(t, smallLimits)
	log := &Log{kv: &client{store: s}, limits: smallLimits}
	update, err := log.FetchUpdate(t.Context(), view.Head, reader.ID())
	if err != nil {
		t.Fatal(err)
	}
	if outcome := reader.Apply(update); outcome != Applied && outcome != Same {
		t.Fatalf("applying the update to the reader: %s", outcome)
	}
	expected, err := view.Tables()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(reader.Tables(), expected) {
		t.Fatalf("the reader has %+v, expected %+v", reader.Tables(), expected)
	}
}

// TestOneOfTwoConflictingProposalsIsAccepted runs two concurrent proposals for the same row, without faults.
func TestOneOfTwoConflictingProposalsIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		start := newProposer(s, smallLimits, proposal(0, nil, tablesOf(poolRow(), routeRow("r1", 1))))
		runProposers(t, s, noFaults, start)
		planned := uint64(1)
		a := newProposer(s, smallLimits, proposal(1, &planned, tablesOf(poolRow(), routeRow("r1", 2))))
		b := newProposer(s, smallLimits, proposal(2, &planned, tablesOf(poolRow(), routeRow("r1", 3))))
		runProposers(t, s, noFaults, a, b)
		if a.result.Verdict != Accepted {
			a, b = b, a
		}
		if a.result.Verdict != Accepted || b.result.Verdict != Refused {
			t.Fatalf("the verdicts are %s and %s", a.result.Verdict, b.result.Verdict)
		}
		if len(b.result.Conflicts) != 1 || b.result.Conflicts[0].ID.ChangeID != a.proposal.ChangeID {
			t.Fatalf("the refused proposal conflicts with %+v", b.result.Conflicts)
		}
	})
}

// TestRepeatedProposalIsIdempotent repeats a proposal whose outcome may be unknown, after another change of the tables.
func TestRepeatedProposalIsIdempotent(t *testing.T) {
	unknown := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		planned := uint64(0)
		p := proposal(1, &planned, tablesOf(poolRow(), routeRow("r1", 1)))
		first := newProposer(s, smallLimits, p)
		runProposers(t, s, faults, first)
		if first.result.Verdict == Unknown {
			unknown++
		}
		other := tablesOf(poolRow(), routeRow("r1", uint16(rapid.IntRange(1, 2).Draw(t, "other"))))
		between := newProposer(s, smallLimits, proposal(2, nil, other))
		runProposers(t, s, noFaults, between)
		var repeated []*proposer
		for range 2 {
			again := newProposer(s, smallLimits, p)
			runProposers(t, s, noFaults, again)
			repeated = append(repeated, again)
		}
		s.serveLateWrites()
		accepted := checkHeads(t, s)
		for _, again := range append(repeated, first) {
			checkResult(t, again, accepted)
		}
		for _, again := range repeated {
			if again.result.Verdict == Unknown || again.result.Verdict == NotAccepted {
				t.Fatalf("a repeated proposal without faults returned %s", again.result.Verdict)
			}
		}
	})
	if unknown == 0 {
		t.Error("no history has a proposal with an unknown outcome")
	}
}

// TestStoreRestoredFromBackup rolls the store back to an earlier head between changes. The revision that a balancer has in
// force must stay, and the numbers of lost revisions must not be used again.
func TestStoreRestoredFromBackup(t *testing.T) {
	restored := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		balancer := NewState()
		backups := []fakeStore{s.clone()}
		for round := range rapid.IntRange(2, 8).Draw(t, "rounds") {
			if rapid.IntRange(0, 2).Draw(t, "rollback") == 0 {
				*s = backups[rapid.IntRange(0, len(backups)-1).Draw(t, "to")].clone()
			}
			desired := drawTables(t, balancer.Tables())
			p := proposal(round, nil, desired)
			p.BalancerRevision = balancer.ID()
			p.FetchBalancerRevision = func(context.Context) (Revision, error) { return balancer.UpdateSince(ID{}), nil }
			before := balancer.ID()
			run := newProposer(s, smallLimits, p)
			runProposers(t, s, noFaults, run)
			result := run.result
			if result.Verdict != Accepted && result.Verdict != Unchanged {
				t.Fatalf("the verdict is %s: %s", result.Verdict, result.Reason)
			}
			if result.IsRestored {
				restored++
			}
			if result.Verdict == Accepted && result.ID.Number <= before.Number && result.ID != before {
				t.Fatalf("revision %s was accepted after %s", result.ID, before)
			}
			balancer.Apply(result.Full)
			if !reflect.DeepEqual(balancer.Tables(), Sorted(desired)) {
				t.Fatalf("in force is %+v, expected %+v", balancer.Tables(), desired)
			}
			if stored := s.view(t, smallLimits); stored.Head.ID != balancer.ID() {
				t.Fatalf("the store holds %s, the balancer %s", stored.Head.ID, balancer.ID())
			}
			backups = append(backups, s.clone())
		}
	})
	if restored == 0 {
		t.Error("no history restored the store")
	}
}
