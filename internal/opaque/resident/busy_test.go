package resident_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
)

// busy returns the state at an address beside a target of two slots with requests that run or wait.
func busy(g Gomega, at hop.IP, requests uint16) *resident.Machine {
	r := resident.New(start, at, "pedidos", flowLifetime)
	h := heartbeat(1)
	h.Slots = 2
	r.HandleHeartbeat(start, h)
	for port := range requests {
		settled := frame()
		settled.MustAccept = true
		g.Expect(r.HandleCallerPacket(start, opening(1000+port), settled).Verdict).To(Equal(resident.Deliver))
	}
	return r
}

func TestAnOpeningPassesABusyTargetOver(t *testing.T) {
	g := NewWithT(t)
	d := busy(g, here, 2).HandleCallerPacket(start, opening(1), frame(next))
	g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
	g.Expect(d.Reason).To(Equal(resident.Busy))
	g.Expect(d.Next).To(Equal(next))
	taken := busy(g, next, 1).HandleCallerPacket(start, opening(1), &d.Header)
	g.Expect(taken.Verdict).To(Equal(resident.Deliver), "one of its slots is free")
	g.Expect(taken.NotifyOrigin).To(BeTrue(), "the next packet goes straight there")
}

func TestTheLeastLoadedOfTheBusyTargetsTakesAnOpening(t *testing.T) {
	g := NewWithT(t)
	agents := []hop.IP{here, {10, 2, 0, 1}, {10, 2, 0, 2}, {10, 2, 0, 3}, {10, 2, 0, 4}}
	requests := map[hop.IP]uint16{agents[0]: 5, agents[1]: 3, agents[2]: 6, agents[3]: 7, agents[4]: 0}
	h := frame(agents[1:]...)
	at := here
	var path []hop.IP
	for range 10 {
		d := busy(g, at, requests[at]).HandleCallerPacket(start, opening(1), h)
		path = append(path, at)
		if d.Verdict == resident.Deliver {
			break
		}
		g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
		at, h = d.Next, &d.Header
	}
	g.Expect(path).To(Equal([]hop.IP{agents[0], agents[1], agents[2], agents[3], agents[1]}), "after four it settles")
}

func TestTheLastCandidateSettlesAnOpening(t *testing.T) {
	g := NewWithT(t)
	least := busy(g, here, 2).HandleCallerPacket(start, opening(1), frame(next))
	// The last candidate takes no flow: its target drains.
	drains := resident.New(start, next, "pedidos", flowLifetime)
	drains.HandleHeartbeat(start, draining(1))
	d := drains.HandleCallerPacket(start, opening(1), &least.Header)
	g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
	g.Expect(d.Next).To(Equal(here))
	g.Expect(d.Header.MustAccept).To(BeTrue())
	g.Expect(busy(g, here, 2).HandleCallerPacket(start, opening(1), &d.Header).Verdict).To(Equal(resident.Deliver))

	alone := busy(g, here, 2).HandleCallerPacket(start, opening(1), frame())
	g.Expect(alone.Verdict).To(Equal(resident.Deliver), "there is no other")
}

func TestABounceAtTheLeastLoadedTargetGoesBackToTheBalancer(t *testing.T) {
	g := NewWithT(t)
	r := busy(g, here, 2)
	settled := frame()
	settled.MustAccept, settled.Busy, settled.LeastLoaded = true, 4, here
	bounced := opening(1)
	bounced.Mark = r.HandleCallerPacket(start, opening(1), settled).Mark
	bounced.IsBounced = true
	d := r.HandleTargetPacket(start, bounced)
	g.Expect(d.Verdict).To(Equal(resident.ReturnToBalancer))
	g.Expect(d.Header.Busy).To(BeEquivalentTo(4), "the balancer offers it to the busy ones once more")
}

func TestHandshakesThatAreNotCompletedDoNotMakeATargetBusy(t *testing.T) {
	g := NewWithT(t)
	r := busy(g, here, 2)
	r.HandleTargetPacket(start, accept(1000))
	g.Expect(r.HandleCallerPacket(after(90), opening(1), frame(next)).Verdict).To(Equal(resident.ForwardNext))
	g.Expect(r.HandleCallerPacket(after(151), opening(1), frame(next)).Verdict).To(Equal(resident.Deliver))
}

func TestOpeningsThatWaitCountAsLoad(t *testing.T) {
	g := NewWithT(t)
	r := busy(g, here, 1)
	g.Expect(r.HandleCallerPacket(start, opening(1), frame(next)).Verdict).To(Equal(resident.Deliver))
	r = busy(g, here, 1)
	r.SetQueued(1)
	g.Expect(r.HandleCallerPacket(start, opening(1), frame(next)).Verdict).To(Equal(resident.ForwardNext))
}

func TestAWaitingOpeningIsMadeKnownToItsBalancer(t *testing.T) {
	g := NewWithT(t)
	h := frame()
	h.MustAccept, h.Hops, h.PriorityOffset = true, 2, 1
	d := busy(g, here, 4).HandleCallerPacket(start, opening(1), h)
	g.Expect(d.Verdict).To(Equal(resident.Wait))
	g.Expect(d.NotifyOrigin).To(BeTrue(), "copies shall find it")
}

func TestCapacityFollowsThePaceOfTheTargetWhileItIsFull(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	g.Expect(r.Capacity(time.Second)).To(BeZero(), "not known yet")
	for port := range uint16(100) {
		settled := frame()
		settled.MustAccept = true
		r.HandleCallerPacket(start, opening(port), settled)
		r.HandleTargetPacket(start, accept(port))
		r.HandleCallerPacket(start, data(port, 1), frame())
	}
	for port := range uint16(90) {
		r.HandleTargetPacket(after(20*int(port)), answer(port))
	}
	g.Expect(r.Capacity(time.Second)).To(Equal(50))
	for port := uint16(90); port < 100; port++ {
		r.HandleTargetPacket(after(20*int(port)), answer(port))
	}
	r.HandleCallerPacket(after(9000), data(1, 200), frame())
	r.HandleTargetPacket(after(9020), answer(1))
	g.Expect(r.Capacity(time.Second)).To(Equal(50), "pauses of a target that is not full do not count")
	r.HandleCallerPacket(after(9100), data(1, 300), frame())
	r.HandleTargetPacket(after(16_100), answer(1))
	g.Expect(r.Capacity(time.Second)).To(BeNumerically(">=", 45), "one run that hangs says little of the others")
}

// serveInTurn serves a flow each 100 ms, which opens and is answered in the given times.
func serveInTurn(r *resident.Machine, flows uint16, handshakeMS, runMS int) {
	for port := range flows {
		now := 100 * int(port)
		r.HandleCallerPacket(after(now), opening(port), frame())
		r.HandleTargetPacket(after(now), accept(port))
		r.HandleCallerPacket(after(now+handshakeMS), data(port, 1), frame())
		r.HandleTargetPacket(after(now+handshakeMS+runMS), answer(port))
	}
}

// The pattern is a target of short runs whose callers are far away: most of its flows are opening, and its slots are idle.
func TestFlowsThatOpenDoNotMakeATargetOfShortRunsBusy(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	serveInTurn(r, 200, 40, 2)
	for port := uint16(1000); port < 1015; port++ {
		d := r.HandleCallerPacket(after(20_100), opening(port), frame(next))
		g.Expect(d.Verdict).To(Equal(resident.Deliver), "a run of 2 ms in 42 ms uses a twentieth of the slot")
	}
	g.Expect(r.HasRoom(after(20_100))).To(BeTrue())
}

// The pattern is a crowd of the most urgent callers: at the target they would wait in the order of arrival, and all of them for
// longer than their objective.
func TestUrgentOpeningsWaitWhenTheTargetCannotAnswerInTime(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	serveInTurn(r, 100, 10, 50)
	h := frame()
	h.Objective = 310
	taken := 0
	for port := uint16(1000); port < 1020; port++ {
		if r.HandleCallerPacket(after(10_000), opening(port), h).Verdict == resident.Deliver {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically("~", 6, 1), "six runs of 50 ms are done in 300 ms")
}
