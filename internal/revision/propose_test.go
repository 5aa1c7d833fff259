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

// smallLimits make snapshots, cut logs and several segments come up in short histories.
var smallLimits = limits{maxLog: 1500, keptLog: 700, maxEntry: 600, segment: 64}

func proposal(n int, planned *uint64, desired *tables.Tables) Proposal {
	return Proposal{Change: changeID(n), Author: "ana", At: time.Unix(0, 0), Planned: planned, Desired: desired}
}

// drawTables changes up to three rows of the tables.
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

// checkHeads checks that each head follows from the one before it and that no change is in the log twice.
func checkHeads(t *rapid.T, s *fakeStore) map[string]Head {
	accepted := make(map[string]Head)
	var before ID
	for _, h := range s.heads {
		last := h.Log[len(h.Log)-1]
		if h.ID != last.ID || last.Previous != before || h.ID.Number != before.Number+1 {
			t.Fatalf("head %s with entry on %s follows %s", h.ID, last.Previous, before)
		}
		if _, isTwice := accepted[h.ID.Change]; isTwice {
			t.Fatalf("change %s is in the log twice", h.ID.Change)
		}
		accepted[h.ID.Change] = h
		before = h.ID
	}
	return accepted
}

// checkResult checks what an operator was told against what the store took.
func checkResult(t *rapid.T, p *proposer, accepted map[string]Head) {
	head, isInLog := accepted[p.proposal.Change]
	switch p.result.Verdict {
	case Accepted:
		if !isInLog || head.ID != p.result.ID {
			t.Fatalf("%s was said to be accepted, but is not in the log", p.proposal.Change)
		}
	case Refused, NotAccepted, Unchanged:
		if isInLog {
			t.Fatalf("%s was said to be %s, but is in the log", p.proposal.Change, p.result.Verdict)
		}
	}
}

// TestLogUnderFaults runs histories of racing operators over a store that fails, loses answers and serves writes late.
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
			var racing []*proposer
			for racer := range rapid.IntRange(1, 3).Draw(t, "racers") {
				planned := &view.Head.ID.Number
				if rapid.Bool().Draw(t, "unplanned") {
					planned = nil
				}
				p := proposal(10*round+racer, planned, drawTables(t, base))
				racing = append(racing, newProposer(s, smallLimits, p))
			}
			runAll(t, s, faults, racing...)
			all = append(all, racing...)
			follow(t, s, reader)
		}
		s.flush()
		accepted := checkHeads(t, s)
		for _, p := range all {
			checkResult(t, p, accepted)
			verdicts[p.result.Verdict]++
		}
		follow(t, s, reader)
		if !s.view(t, smallLimits).Head.Snapshot.ID.IsZero() {
			snapshots++
		}
	})
	t.Log("verdicts", verdicts, "histories with a snapshot", snapshots)
	for _, v := range []Verdict{Accepted, Unchanged, Refused, NotAccepted, Unknown} {
		if verdicts[v] == 0 {
			t.Errorf("no history ended with %s", v)
		}
	}
}

// follow lets a reader take the head as a balancer does, and checks that it comes to the same tables.
func follow(t *rapid.T, s *fakeStore, reader *State) {
	view := s.view(t, smallLimits)
	log := &Log{kv: &client{store: s}, limits: smallLimits}
	update, err := log.Fetch(t.Context(), view.Head, reader.ID())
	if err != nil {
		t.Fatal(err)
	}
	if outcome := reader.Apply(update); outcome != Applied && outcome != Same {
		t.Fatalf("the reader's outcome is %s", outcome)
	}
	expected, err := view.Tables()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(reader.Tables(), expected) {
		t.Fatalf("the reader has %+v, expected %+v", reader.Tables(), expected)
	}
}

// TestExactlyOneOfTwoRacersIsAccepted races two operators on one row, with no faults.
func TestExactlyOneOfTwoRacersIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		start := newProposer(s, smallLimits, proposal(0, nil, tablesOf(poolRow(), routeRow("r1", 1))))
		runAll(t, s, calm, start)
		planned := uint64(1)
		a := newProposer(s, smallLimits, proposal(1, &planned, tablesOf(poolRow(), routeRow("r1", 2))))
		b := newProposer(s, smallLimits, proposal(2, &planned, tablesOf(poolRow(), routeRow("r1", 3))))
		runAll(t, s, calm, a, b)
		if a.result.Verdict != Accepted {
			a, b = b, a
		}
		if a.result.Verdict != Accepted || b.result.Verdict != Refused {
			t.Fatalf("the verdicts are %s and %s", a.result.Verdict, b.result.Verdict)
		}
		if len(b.result.Others) != 1 || b.result.Others[0].ID.Change != a.proposal.Change {
			t.Fatalf("the refused one was shown %+v", b.result.Others)
		}
	})
}

// TestRepeatingIsSafe repeats a proposal whose outcome is not known, after others have changed the tables.
func TestRepeatingIsSafe(t *testing.T) {
	unknown := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		planned := uint64(0)
		p := proposal(1, &planned, tablesOf(poolRow(), routeRow("r1", 1)))
		first := newProposer(s, smallLimits, p)
		runAll(t, s, faults, first)
		if first.result.Verdict == Unknown {
			unknown++
		}
		other := tablesOf(poolRow(), routeRow("r1", uint16(rapid.IntRange(1, 2).Draw(t, "other"))))
		between := newProposer(s, smallLimits, proposal(2, nil, other))
		runAll(t, s, calm, between)
		var repeated []*proposer
		for range 2 {
			again := newProposer(s, smallLimits, p)
			runAll(t, s, calm, again)
			repeated = append(repeated, again)
		}
		s.flush()
		accepted := checkHeads(t, s)
		for _, again := range append(repeated, first) {
			checkResult(t, again, accepted)
		}
		for _, again := range repeated {
			if again.result.Verdict == Unknown || again.result.Verdict == NotAccepted {
				t.Fatalf("a repeated proposal without faults ended with %s", again.result.Verdict)
			}
		}
	})
	if unknown == 0 {
		t.Error("no history ended with an unknown outcome")
	}
}

// TestStoreThatComesBackOlder takes the store back to an earlier head between changes. What balancers have in force
// stays, and their numbers are not used again.
func TestStoreThatComesBackOlder(t *testing.T) {
	restored := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		balancer := NewState()
		backups := []fakeStore{s.copy()}
		for round := range rapid.IntRange(2, 8).Draw(t, "rounds") {
			if rapid.IntRange(0, 2).Draw(t, "rollback") == 0 {
				*s = backups[rapid.IntRange(0, len(backups)-1).Draw(t, "to")].copy()
			}
			desired := drawTables(t, balancer.Tables())
			p := proposal(round, nil, desired)
			p.Known = balancer.ID()
			p.FetchKnown = func(context.Context) (Revision, error) { return balancer.Since(ID{}), nil }
			before := balancer.ID()
			run := newProposer(s, smallLimits, p)
			runAll(t, s, calm, run)
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
			balancer.Apply(result.Whole)
			if !reflect.DeepEqual(balancer.Tables(), Sorted(desired)) {
				t.Fatalf("in force is %+v, expected %+v", balancer.Tables(), desired)
			}
			if stored := s.view(t, smallLimits); stored.Head.ID != balancer.ID() {
				t.Fatalf("the store holds %s, the balancer %s", stored.Head.ID, balancer.ID())
			}
			backups = append(backups, s.copy())
		}
	})
	if restored == 0 {
		t.Error("no history restored the store")
	}
}
