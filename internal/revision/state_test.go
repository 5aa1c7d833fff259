package revision

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"gentianswitch/internal/class"
	"gentianswitch/internal/frame"
	"gentianswitch/internal/tables"
)

func poolRow() Row {
	const name = "voice"
	return Row{Table: Pools, Name: name, Pool: &tables.Pool{Name: name, Service: 2, QueueLimit: 64}}
}

func routeRow(name string, port uint16) Row {
	return Row{Table: Routes, Name: name, Route: &tables.Route{
		Name: name, Pool: "voice", Class: class.Short, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port),
	}}
}

func id(number uint64) ID {
	return ID{Number: number, ChangeID: fmt.Sprint("change-", number)}
}

func TestRevisionIsDecodedAsEncoded(t *testing.T) {
	sent := Revision{ID: id(2), Base: id(1), Rows: []Row{
		poolRow(), routeRow("voice-messages", 4433), {Table: Routes, Name: "old"},
	}}
	raw, err := msgpack.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var received Revision
	if err := frame.Decode(raw, &received); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(sent, received) {
		t.Fatalf("received %+v, expected %+v", received, sent)
	}
}

func TestStateAppliesNewerRevisionsOnly(t *testing.T) {
	full := []Row{poolRow(), routeRow("a", 1)}
	steps := []struct {
		name     string
		update   Revision
		expected Outcome
		inForce  ID
	}{
		{"first", Revision{ID: id(3), Rows: full}, Applied, id(3)},
		{"again", Revision{ID: id(3), Rows: full}, Same, id(3)},
		{"older", Revision{ID: id(2), Rows: full}, Older, id(3)},
		{"same number", Revision{ID: ID{Number: 3, ChangeID: "other"}, Rows: full}, Forked, id(3)},
		{"delta without its base", Revision{ID: id(5), Base: id(4)}, Gap, id(3)},
		{"delta on the same number", Revision{ID: id(5), Base: ID{Number: 3, ChangeID: "other"}}, Gap, id(3)},
		{"inconsistent", Revision{ID: id(5), Base: id(3), Rows: []Row{{Table: Pools, Name: "voice"}}}, Invalid, id(3)},
		{"row twice", Revision{ID: id(5), Base: id(3), Rows: []Row{full[0], full[0]}}, Invalid, id(3)},
		{"nameless", Revision{ID: id(5), Rows: []Row{{}}}, Invalid, id(3)},
		{"delta", Revision{ID: id(4), Base: id(3), Rows: []Row{routeRow("b", 2)}}, Applied, id(4)},
		{"full over a gap", Revision{ID: id(9), Rows: full}, Applied, id(9)},
	}
	s := NewState()
	for _, step := range steps {
		if outcome := s.Apply(step.update); outcome != step.expected {
			t.Fatalf("%s: outcome %s, expected %s", step.name, outcome, step.expected)
		}
		if s.ID() != step.inForce {
			t.Fatalf("%s: %s in force, expected %s", step.name, s.ID(), step.inForce)
		}
	}
}

func TestUpdateFromAnyOlderRevision(t *testing.T) {
	s := NewState()
	s.Apply(Revision{ID: id(1), Rows: []Row{poolRow()}})
	peers := []*State{NewState()}
	for n := uint64(2); n < 2*maxKeptDeltas; n++ {
		f := NewState()
		f.Apply(s.UpdateSince(f.ID()))
		peers = append(peers, f)
		rows := []Row{routeRow(fmt.Sprint("r", n), uint16(n))}
		if n > 5 {
			rows = append(rows, Row{Table: Routes, Name: fmt.Sprint("r", n-3)})
		}
		if outcome := s.Apply(Revision{ID: id(n), Base: s.ID(), Rows: rows}); outcome != Applied {
			t.Fatal(outcome)
		}
	}
	deltas := 0
	for _, f := range peers {
		update := s.UpdateSince(f.ID())
		if !update.IsFull() {
			deltas++
		}
		if outcome := f.Apply(update); outcome != Applied {
			t.Fatalf("outcome %s for a peer", outcome)
		}
		if !reflect.DeepEqual(f.Tables(), s.Tables()) {
			t.Fatal("a peer has other tables")
		}
	}
	if deltas != maxKeptDeltas {
		t.Fatalf("%d peers got a delta, expected %d", deltas, maxKeptDeltas)
	}
}

// TestIndexAgreesWithFullCheck applies random deltas, some of them inconsistent, and compares the outcome of the check by
// index with the check of the full tables.
func TestIndexAgreesWithFullCheck(t *testing.T) {
	outcomes := make(map[Outcome]int)
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.Apply(Revision{ID: id(1)})
		for range rapid.IntRange(1, 12).Draw(t, "deltas") {
			rows := drawRows(t)
			expected, err := Patch(s.Tables(), rows)
			outcome := s.Apply(Revision{ID: id(s.ID().Number + 1), Base: s.ID(), Rows: rows})
			if (err == nil) != (outcome == Applied) {
				t.Fatalf("outcome %s, error of the full check: %v", outcome, err)
			}
			if err == nil && !reflect.DeepEqual(s.Tables(), expected) {
				t.Fatalf("got %+v, expected %+v", s.Tables(), expected)
			}
			outcomes[outcome]++
		}
	})
	if outcomes[Applied] == 0 || outcomes[Invalid] == 0 {
		t.Errorf("outcomes %v", outcomes)
	}
}

// drawRows draws changes of three pools and four routes from a few service numbers and addresses, so that many conflict.
func drawRows(t *rapid.T) []Row {
	var rows []Row
	for n := range 3 {
		name := fmt.Sprint("p", n)
		switch rapid.IntRange(0, 3).Draw(t, name) {
		case 0:
			rows = append(rows, Row{Table: Pools, Name: name})
		case 1:
			service := uint16(rapid.IntRange(1, 5).Draw(t, "service"))
			rows = append(rows, Row{Table: Pools, Name: name, Pool: &tables.Pool{Name: name, Service: service}})
		}
	}
	for n := range 4 {
		name := fmt.Sprint("r", n)
		switch rapid.IntRange(0, 3).Draw(t, name) {
		case 0:
			rows = append(rows, Row{Table: Routes, Name: name})
		case 1:
			row := routeRow(name, uint16(rapid.IntRange(1, 8).Draw(t, "port")))
			row.Route.Pool = fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "pool"))
			rows = append(rows, row)
		}
	}
	return rows
}
