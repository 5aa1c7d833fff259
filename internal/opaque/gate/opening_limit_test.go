package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/gate"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
)

const rate, bound = 10, 20

var start = time.Unix(1_700_000_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// coldGate returns the gate of an agent beside the only target of a service, which has just started and has room for many flows.
func coldGate() *gate.Gate[int] {
	g := gate.New[int](resident.New(start, hop.IP{10, 1, 0, 13}, "pedidos", time.Minute))
	g.SetOpeningLimit(resident.OpeningLimit{Excess: 1.5, Slack: 5})
	g.SetColdRate(start, 1, rate)
	g.HandleHeartbeat(start, resident.Heartbeat{
		Instance: "i-1", Started: 1, Sequence: 1, Service: "pedidos", Zone: "quito", Slots: 1000, WarmupLeft: time.Minute,
	})
	return g
}

func opening(port uint16) *flow.Packet {
	return &flow.Packet{
		Source:      flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: port},
		Destination: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}, Opens: true,
	}
}

// offer sends the opening packet of a flow and reports whether it is delivered at once. The target accepts the flow.
func offer(now time.Time, g *gate.Gate[int], port uint16) bool {
	h := &hop.Header{Kind: hop.Forward, Service: uint64(desired.ServiceKeyOf("pedidos")), Objective: 5000}
	d, _, _ := g.HandleCallerPacket(now, opening(port), h, func() int { return int(port) })
	if d.Verdict == resident.Deliver {
		accept(now, g, port)
	}
	return d.Verdict == resident.Deliver
}

func accept(now time.Time, g *gate.Gate[int], port uint16) {
	p := opening(port)
	g.HandleTargetPacket(now, &flow.Packet{Source: p.Destination, Destination: p.Source, Accepts: true})
}

// deliveredBy checks the queue every 50 ms, as the sidecar does, and returns the times in milliseconds at which flows were delivered, and
// the number of flows that were refused.
func deliveredBy(g *gate.Gate[int], untilMs int) (delivered []int, refused int) {
	for ms := 50; ms <= untilMs; ms += 50 {
		for {
			released, ok := g.NextExpired(after(ms))
			if !ok {
				released, ok = g.Next(after(ms))
			}
			if !ok {
				break
			}
			if released.Decision.Verdict != resident.Deliver {
				refused++
				continue
			}
			accept(after(ms), g, uint16(released.Item))
			delivered = append(delivered, ms)
		}
	}
	return delivered, refused
}

// Guards against flows that wait at a cold target although its window has moved, and against pending or expired flows that ignore its
// limit.
func TestPendingFlowsAreDeliveredAsTheWindowMoves(t *testing.T) {
	g := NewWithT(t)
	cold := coldGate()
	var delivered []int
	for port := range uint16(50) {
		if offer(start, cold, port) {
			delivered = append(delivered, 0)
		}
	}
	g.Expect(len(delivered)).To(BeNumerically("<", rate))
	g.Expect(cold.PendingCount()).To(Equal(50 - len(delivered)))
	later, refused := deliveredBy(cold, 1500)
	g.Expect(len(later)).To(BeNumerically("~", rate*1200/1000, 1), "until the callers give up, at the rate")
	g.Expect(refused).To(Equal(50-len(delivered)-len(later)), "what has reached the wait limit")
	delivered = append(delivered, later...)
	for i := bound; i < len(delivered); i++ {
		g.Expect(delivered[i] - delivered[i-bound]).To(BeNumerically(">", 1000))
	}
}
