package revision

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/internal/class"
	"gentianswitch/internal/tables"
)

// benchSizes are numbers of routes. The largest is the number of addresses that is expected in two years.
var benchSizes = []int{1_000, 8_000, 33_000, 66_000}

func benchRoute(i, version int) Row {
	ip := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	name := fmt.Sprintf("customer-%05d", i)
	return Row{Table: Routes, Name: name, Route: &tables.Route{
		Name: name, Address: netip.AddrPortFrom(ip, uint16(443+version)), Pool: "voice", Class: class.Short,
	}}
}

func benchState(b *testing.B, routes int) *State {
	rows := []Row{poolRow()}
	for i := range routes {
		rows = append(rows, benchRoute(i, 0))
	}
	s := NewState()
	if outcome := s.Apply(Revision{ID: id(1), Rows: rows}); outcome != Applied {
		b.Fatal(outcome)
	}
	return s
}

// BenchmarkApplyDelta applies a change of one row. It also reports the encoded sizes of the delta and of the full tables.
func BenchmarkApplyDelta(b *testing.B) {
	for _, routes := range benchSizes {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			s := benchState(b, routes)
			full, _ := msgpack.Marshal(s.UpdateSince(ID{}))
			n := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				n++
				delta := Revision{ID: id(n), Base: s.ID(), Rows: []Row{benchRoute(int(n)%routes, int(n)%1000)}}
				if outcome := s.Apply(delta); outcome != Applied {
					b.Fatal(outcome)
				}
			}
			delta, _ := msgpack.Marshal(s.UpdateSince(s.deltas[len(s.deltas)-1].Base))
			b.ReportMetric(float64(len(delta)), "bytes/delta")
			b.ReportMetric(float64(len(full)), "bytes/whole")
		})
	}
}

// BenchmarkAcceptedChanges appends changes of one row to the log. It reports the mean size of the head, which every
// reader of the store receives for each change, and the calls to the store.
func BenchmarkAcceptedChanges(b *testing.B) {
	for _, routes := range benchSizes {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			s := newFakeStore()
			calls := 0
			log := NewLog(&client{store: s, callCount: &calls})
			desired := benchState(b, routes).Tables()
			n, headBytes := 0, 0
			for b.Loop() {
				next, err := Patch(desired, []Row{benchRoute(n%routes, n%1000+1)})
				if err != nil {
					b.Fatal(err)
				}
				desired = next
				result := log.Propose(context.Background(), Proposal{
					ChangeID: fmt.Sprintf("1b4e28ba-2fa1-11d2-883f-%012d", n), Author: "ana", At: time.Unix(0, 0), Desired: desired,
				})
				if result.Verdict != Accepted {
					b.Fatal(result.Verdict, result.Reason)
				}
				n++
				headBytes += len(s.entries[HeadKey].Value)
			}
			b.ReportMetric(float64(headBytes)/float64(n), "bytes/head")
			b.ReportMetric(float64(calls)/float64(n), "calls/change")
		})
	}
}
