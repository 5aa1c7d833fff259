package control

import (
	"bytes"
	"net/netip"
	"testing"

	"gentianswitch/internal/frame"
	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
)

func frameBytes(b *testing.B, m Message) float64 {
	b.Helper()
	var out bytes.Buffer
	if err := frame.Write(&out, m); err != nil {
		b.Fatal(err)
	}
	return float64(out.Len())
}

// BenchmarkFrameSizes reports the sizes in bytes of the frames that are sent periodically while nothing changes, without TLS
// and TCP.
func BenchmarkFrameSizes(b *testing.B) {
	address := netip.MustParseAddrPort("10.1.2.3:4400")
	target := member.Target{
		Agent: address, Control: address, Service: 700, Zone: "quito", Slots: 5,
		Incarnation: 1796354449641, Sequence: 3, State: member.Ready,
	}
	inForce := revision.ID{Number: 44_000, ChangeID: "0e3a4f9c-6c1d-4d4e-9d38-5f0f6d1b7a11"}
	for range b.N {
		b.ReportMetric(frameBytes(b, Message{Announce: &Announce{Target: target}}), "B/announcement")
		b.ReportMetric(frameBytes(b, Message{AnnounceReply: &AnnounceReply{}}), "B/reply")
		b.ReportMetric(frameBytes(b, Message{Gossip: &Gossip{Revision: inForce}}), "B/heartbeat")
	}
}
