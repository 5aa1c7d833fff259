package sidecar

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
)

// deliveredAtOnce sends the opening packets of 200 flows at one time and returns how many are delivered. The target accepts each flow.
func deliveredAtOnce(s *Sidecar, now time.Time, firstPort uint16) (delivered int) {
	for port := firstPort; port < firstPort+200; port++ {
		from := flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: port}
		to := flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
		h := &hop.Header{Kind: hop.Forward, Service: uint64(desired.ServiceKeyOf("pedidos")), CandidateCount: 1}
		d, _, _ := s.gate.HandleCallerPacket(now, &flow.Packet{Source: from, Destination: to, Opens: true}, h, func() []byte { return nil })
		if d.Verdict == resident.Deliver {
			s.gate.HandleTargetPacket(now, &flow.Packet{Source: to, Destination: from, Accepts: true})
			delivered++
		}
	}
	return delivered
}

// Guards against an agent that does not use the limit of its settings and the rate in pings, and against a zone whose warm targets receive
// all new flows at once when its evacuation ends.
func TestPingsSetTheRateAndStartTheRamp(t *testing.T) {
	g := NewWithT(t)
	s := New(Settings{
		Data: netip.MustParseAddrPort("127.0.0.1:1"), Service: "pedidos", FlowLifetime: time.Minute,
		OpeningLimit: resident.OpeningLimit{Excess: 1.5, Slack: 5},
	}, Dependencies{Log: events.NewDiscardLogger(), Scope: tally.NoopScope})
	now := time.Now()
	s.gate.HandleHeartbeat(now, resident.Heartbeat{Instance: "i-1", Started: 1, Sequence: 1, Service: "pedidos", Slots: 10_000})
	status := hop.BalancerStatus{Configuration: hop.ConfigurationSource{Version: 1}, ColdRate: 40}
	s.handleColdRate(now, status)
	g.Expect(deliveredAtOnce(s, now, 1)).To(Equal(200), "the target is warm")
	status.Evacuation, status.IsEvacuated = 1, true
	s.handleEvacuation(now, status)
	g.Expect(deliveredAtOnce(s, now, 1000)).To(BeZero())
	status.Evacuation, status.IsEvacuated = 2, false
	now = time.Now().Add(3 * time.Second)
	s.handleEvacuation(now, status)
	g.Expect(deliveredAtOnce(s, now, 2000)).To(And(BeNumerically(">", 0), BeNumerically("<", 65)), "ramp")
	g.Expect(deliveredAtOnce(s, now.Add(2*time.Second), 3000)).To(Equal(200), "the ramp has ended")
}

// Guards against operators who do not see that cold targets are skipped.
func TestSkippedOpeningsOfColdTargetsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	s := New(Settings{Data: netip.MustParseAddrPort("127.0.0.1:1")}, Dependencies{Log: events.NewDiscardLogger(), Scope: scope})
	s.applyDecision(&flow.Packet{Opens: true}, resident.Decision{Verdict: resident.Drop, Reason: resident.Cold}, nil)
	s.applyDecision(&flow.Packet{Opens: true}, resident.Decision{Verdict: resident.Drop, Reason: resident.Busy}, nil)
	NewWithT(t).Expect(scope.Snapshot().Counters()["opaque_cold_skipped+"].Value()).To(BeEquivalentTo(1))
}
