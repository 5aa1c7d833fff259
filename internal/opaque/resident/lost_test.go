package resident_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/resident"
)

// interval is the interval of the target's heartbeats.
const interval = 1200 * time.Millisecond

// serve lets a caller send a request that the target answers.
func serve(r *resident.Machine, ms int, port uint16, sequence uint32) {
	r.HandleCallerPacket(after(ms), dataPacket(port, sequence), newHeader(next))
	r.HandleTargetPacket(after(ms), answerPacket(port))
}

// openServed opens a flow whose first two requests, which must not run twice, the target answers.
func openServed(g Gomega, r *resident.Machine, ms int, port uint16) {
	h := newHeader()
	h.RunsOnce = true
	g.Expect(r.HandleCallerPacket(after(ms), openingPacket(port), h).Verdict).To(Equal(resident.Deliver))
	r.HandleTargetPacket(after(ms), acceptPacket(port))
	serve(r, ms, port, 1)
	serve(r, ms, port, 60)
}

// bounce delivers a packet that the target bounces at once, and returns the ports of the flows that end.
func bounce(r *resident.Machine, ms int, p *flow.Packet) []uint16 {
	p.Mark, p.IsBounced = r.HandleCallerPacket(after(ms), p, newHeader(next)).Mark, true
	return handleBounce(r, ms, p)
}

func handleBounce(r *resident.Machine, ms int, p *flow.Packet) []uint16 {
	r.HandleTargetPacket(after(ms), p)
	return portsOf(r.TakeEndedFlows())
}

func portsOf(outcome resident.Outcome) (ports []uint16) {
	for _, e := range outcome.EndedFlows {
		ports = append(ports, e.ID.Caller.Port)
	}
	return ports
}

// Each case guards against the failure that its line names. Flows 1 and 2 are opened and served at 10 and 20 ms, and flow 2 again at 100 ms.
func TestBounceOfAServedFlowEndsTheFlowsOfItsIncarnation(t *testing.T) {
	for name, test := range map[string]struct {
		run   func(g Gomega, r *resident.Machine) []uint16
		ended []uint16
	}{
		"idle flows are reset only after 2.5 heartbeats": {func(_ Gomega, r *resident.Machine) []uint16 {
			return bounce(r, 200, dataPacket(2, 300))
		}, []uint16{1}},
		"an old answer counts: the target may have closed the idle flow": {func(_ Gomega, r *resident.Machine) []uint16 {
			return bounce(r, 5200, dataPacket(2, 300))
		}, nil},
		"a flow counts that the target has discarded for its age": {func(_ Gomega, r *resident.Machine) []uint16 {
			lifetime := int(flowLifetime.Milliseconds())
			serve(r, lifetime-100, 2, 300)
			return bounce(r, lifetime, dataPacket(2, 400))
		}, nil},
		"a flow counts that is older than the agent knows: it has seen only a late copy of the opening packet": {
			func(_ Gomega, r *resident.Machine) []uint16 {
				lifetime := int(flowLifetime.Milliseconds())
				serve(r, lifetime-2100, 2, 300)
				return bounce(r, lifetime-2000, dataPacket(2, 400))
			}, nil,
		},
		"the flows of a lost target stay open because another one is old, but younger than its lifetime": {
			func(_ Gomega, r *resident.Machine) []uint16 {
				lifetime := int(flowLifetime.Milliseconds())
				serve(r, lifetime-5100, 2, 300)
				return bounce(r, lifetime-5000, dataPacket(2, 400))
			}, []uint16{1},
		},
		"the bounced opening packet of a new flow with the same port counts": {func(_ Gomega, r *resident.Machine) []uint16 {
			return bounce(r, 200, openingPacket(2))
		}, nil},
		"a packet without data counts: a target may bounce it after it has closed the flow": {func(_ Gomega, r *resident.Machine) []uint16 {
			p := dataPacket(2, 300)
			p.Payload = 0
			return bounce(r, 200, p)
		}, nil},
		"the last data of a caller counts": {func(_ Gomega, r *resident.Machine) []uint16 {
			p := dataPacket(2, 300)
			p.Finishes = true
			return bounce(r, 200, p)
		}, nil},
		"a flow counts that the target has finished": {func(_ Gomega, r *resident.Machine) []uint16 {
			p := answerPacket(2)
			p.Finishes = true
			r.HandleTargetPacket(after(150), p)
			return bounce(r, 200, dataPacket(2, 300))
		}, nil},
		"a flow counts that its caller has reset": {func(_ Gomega, r *resident.Machine) []uint16 {
			p := dataPacket(2, 300)
			p.Resets, p.Payload = true, 0
			r.HandleCallerPacket(after(150), p, newHeader())
			return bounce(r, 200, dataPacket(2, 300))
		}, nil},
		"a flow counts that the target has not served": {func(g Gomega, r *resident.Machine) []uint16 {
			openFlow(g, r, after(150), 3)
			return bounce(r, 200, dataPacket(3, 300))
		}, nil},
		"a packet of an earlier flow of the same port counts": {func(_ Gomega, r *resident.Machine) []uint16 {
			p := dataPacket(2, 300)
			p.Acknowledged = 2_000_000_000
			return bounce(r, 200, p)
		}, nil},
		"a bounce counts that arrives late, of a packet from before the flow was accepted": {func(g Gomega, r *resident.Machine) []uint16 {
			p := dataPacket(3, 1)
			p.Mark, p.IsBounced = r.HandleCallerPacket(after(140), p, newHeader(next)).Mark, true
			openServed(g, r, 150, 3)
			return handleBounce(r, 200, p)
		}, nil},
		"a bounce counts that arrives after an answer of the flow": {func(_ Gomega, r *resident.Machine) []uint16 {
			p := dataPacket(2, 300)
			p.Mark, p.IsBounced = r.HandleCallerPacket(after(140), p, newHeader(next)).Mark, true
			r.HandleTargetPacket(after(150), answerPacket(2))
			return handleBounce(r, 200, p)
		}, nil},
		"a bounce without a mark counts": {func(_ Gomega, r *resident.Machine) []uint16 {
			p := dataPacket(2, 300)
			r.HandleCallerPacket(after(140), p, newHeader(next))
			p.IsBounced = true
			return handleBounce(r, 200, p)
		}, nil},
		"a doubled bounce counts after the flow was opened again": {func(g Gomega, r *resident.Machine) []uint16 {
			p := dataPacket(2, 300)
			bounce(r, 200, p)
			openServed(g, r, 250, 1)
			openServed(g, r, 250, 2)
			return handleBounce(r, 300, p)
		}, nil},
		"a flow ends that the next incarnation may have accepted": {func(g Gomega, r *resident.Machine) []uint16 {
			openServed(g, r, 150, 3)
			return bounce(r, 200, dataPacket(2, 300))
		}, []uint16{1}},
		"a flow ends that was accepted again": {func(_ Gomega, r *resident.Machine) []uint16 {
			r.HandleTargetPacket(after(150), acceptPacket(1))
			return bounce(r, 200, dataPacket(2, 300))
		}, nil},
		"a flow ends on which the target sends after the delivery of the bounced packet": {func(_ Gomega, r *resident.Machine) []uint16 {
			p := dataPacket(2, 300)
			p.Mark, p.IsBounced = r.HandleCallerPacket(after(140), p, newHeader(next)).Mark, true
			r.HandleTargetPacket(after(150), answerPacket(1))
			return handleBounce(r, 200, p)
		}, nil},
		"a half-open flow is reset that another target holds": {func(_ Gomega, r *resident.Machine) []uint16 {
			r.HandleCallerPacket(after(90), openingPacket(3), newHeader())
			r.HandleTargetPacket(after(90), acceptPacket(3))
			r.HandleCallerPacket(after(95), dataPacket(3, 1), newHeader(next))
			return bounce(r, 200, dataPacket(2, 300))
		}, []uint16{1}},
		"flows stay open that an answer on an older flow shows to be of the lost incarnation": {func(g Gomega, r *resident.Machine) []uint16 {
			openServed(g, r, 150, 3)
			serve(r, 160, 1, 300)
			return bounce(r, 200, dataPacket(2, 300))
		}, []uint16{1, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newMachine()
			openServed(g, r, 10, 1)
			openServed(g, r, 20, 2)
			serve(r, 100, 2, 200)
			g.Expect(test.run(g, r)).To(ConsistOf(test.ended))
			g.Expect(r.TakeEndedFlows()).To(Equal(resident.Outcome{}), "each flow is reset once")
		})
	}
}

// Guards against a bounce that ends flows and is itself lost, or that names the wrong instance.
func TestBounceThatEndsFlowsGoesToTheNextCandidate(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	openServed(g, r, 10, 1)
	openServed(g, r, 20, 2)
	p := dataPacket(2, 200)
	p.Mark, p.IsBounced = r.HandleCallerPacket(after(50), p, newHeader(next)).Mark, true
	d := r.HandleTargetPacket(after(50), p)
	g.Expect([]any{d.Verdict, d.Reason, d.Next}).To(Equal([]any{resident.ForwardNext, resident.Forgotten, next}))
	outcome := r.TakeEndedFlows()
	g.Expect(outcome.PreviousInstance).To(Equal("i-1"))
	g.Expect(outcome.EndedFlows).To(Equal([]resident.EndedFlow{
		{ID: dataPacket(1, 1).IDFromCaller(), Acknowledged: 5000, AcceptedAt: after(10)},
	}))
}

// Each case guards against the failure that its line names. The last heartbeat came at 0 ms, and flow 1 was served at 10 ms.
func TestRefusedConnectionEndsFlowsOfASilentTarget(t *testing.T) {
	for name, test := range map[string]struct {
		setUp func(g Gomega, r *resident.Machine)
		// startMS is when the agent would start a probe, and isStarted whether it does.
		startMS   int
		isStarted bool
		// during happens between the start of the probe and its result.
		during  func(g Gomega, r *resident.Machine)
		isOther bool
		ended   []uint16
	}{
		"the flows of a silent target are reset only after 2.5 heartbeats": {startMS: 1500, isStarted: true, ended: []uint16{1}},
		"a target is probed whose heartbeat is not overdue":                {startMS: 1499},
		"a target is probed that sends packets": {
			setUp:   func(_ Gomega, r *resident.Machine) { serve(r, 1300, 1, 300) },
			startMS: 1500,
		},
		"a target is probed without flows": {
			setUp: func(_ Gomega, r *resident.Machine) {
				p := dataPacket(1, 300)
				p.Resets = true
				r.HandleCallerPacket(after(20), p, newHeader())
			},
			startMS: 1500,
		},
		"a target is probed whose flows end at no loss: callers repeat their requests": {
			setUp: func(g Gomega, r *resident.Machine) {
				p := dataPacket(1, 300)
				p.Resets = true
				r.HandleCallerPacket(after(20), p, newHeader())
				openFlow(g, r, after(20), 2)
				serve(r, 20, 2, 100)
				serve(r, 20, 2, 200)
			},
			startMS: 1500,
		},
		"a draining target is probed, which may have closed its health port": {
			setUp:   func(_ Gomega, r *resident.Machine) { r.HandleHeartbeat(start, drainingHeartbeat(2)) },
			startMS: 1500,
		},
		"a target that has left is probed": {
			setUp:   func(_ Gomega, r *resident.Machine) { r.HandleLeave("i-1") },
			startMS: 1500,
		},
		"a success or a timeout ends flows": {startMS: 1500, isStarted: true, isOther: true},
		"a flow of the next incarnation ends": {startMS: 1500, isStarted: true, during: func(g Gomega, r *resident.Machine) {
			openServed(g, r, 1501, 2)
		}},
		"the flows end of a target that is only late": {startMS: 1500, isStarted: true, during: func(_ Gomega, r *resident.Machine) {
			r.HandleHeartbeat(after(1501), heartbeat(2))
		}},
		"a half-open flow is reset that another target holds": {
			setUp:   func(g Gomega, r *resident.Machine) { openFlow(g, r, after(20), 2) },
			startMS: 1500, isStarted: true, ended: []uint16{1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newMachine()
			openServed(g, r, 10, 1)
			if test.setUp != nil {
				test.setUp(g, r)
			}
			g.Expect(r.StartProbe(after(test.startMS), interval)).To(Equal(test.isStarted))
			if !test.isStarted {
				return
			}
			if test.during != nil {
				test.during(g, r)
			}
			g.Expect(portsOf(r.HandleProbeResult(!test.isOther))).To(ConsistOf(test.ended))
		})
	}
}

// Guards against connections that cost money: more than one in half an interval, at the same time, or after a refusal in one silence.
func TestProbesAreFewAndOncePerSilence(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	openServed(g, r, 10, 1)
	g.Expect(r.StartProbe(after(1500), interval)).To(BeTrue())
	g.Expect(r.StartProbe(after(2200), interval)).To(BeFalse(), "one is running")
	r.HandleProbeResult(false)
	g.Expect(r.StartProbe(after(2099), interval)).To(BeFalse())
	g.Expect(r.StartProbe(after(2100), interval)).To(BeTrue(), "a timeout is no proof")
	g.Expect(portsOf(r.HandleProbeResult(true))).To(ConsistOf(uint16(1)))
	g.Expect(r.StartProbe(after(2800), interval)).To(BeFalse(), "the flows have ended")

	openServed(g, r, 2900, 2)
	g.Expect(r.StartProbe(after(3300), interval)).To(BeTrue(), "the target has given a sign of life since")
}

// Guards against resets that come later than they must: 23 idle flows and one that sends a request every 100 ms, whose target is gone
// from 500 ms after its last heartbeat. Before, the resets came with the first heartbeat of the next incarnation or after 2.5 intervals.
func TestTimeOfTheResetsAfterTheEndOfATarget(t *testing.T) {
	const goneMS, idleFlows, sending = 500, 23, 24
	newLost := func(g Gomega) *resident.Machine {
		r := newMachine()
		for port := range uint16(sending) {
			openServed(g, r, 10+int(port), port+1)
		}
		for ms := 100; ms < goneMS; ms += 100 {
			serve(r, ms, sending, uint32(ms))
		}
		return r
	}
	t.Run("heartbeats", func(t *testing.T) {
		g := NewWithT(t)
		r := newLost(g)
		for ms := 600; ms <= 3000; ms += 600 {
			want := 0
			if ms == 3000 {
				want = idleFlows + 1
			}
			g.Expect(r.Tick(after(ms)).EndedFlows).To(HaveLen(want), "2,500 ms after the end")
		}
	})
	t.Run("bounce", func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(bounce(newLost(g), goneMS, dataPacket(sending, goneMS))).To(HaveLen(idleFlows), "with the first request after the end")
	})
	t.Run("refused connection", func(t *testing.T) {
		g := NewWithT(t)
		r := newLost(g)
		g.Expect(r.StartProbe(after(1499), interval)).To(BeFalse())
		g.Expect(r.StartProbe(after(1500), interval)).To(BeTrue())
		g.Expect(r.HandleProbeResult(true).EndedFlows).To(HaveLen(idleFlows+1), "1,000 ms after the end, without any request")
	})
}

// Guards against allocations for the packets of open flows.
func TestPacketsOfOpenFlowsAllocateNothing(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	openServed(g, r, 10, 1)
	request, answer, header := dataPacket(1, 200), answerPacket(1), newHeader()
	g.Expect(testing.AllocsPerRun(100, func() {
		r.HandleCallerPacket(after(20), request, header)
		r.HandleTargetPacket(after(20), answer)
	})).To(BeZero())
}
