package resident_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
)

// busyMachine returns the state of the agent at an address whose target has two slots and the given number of requests.
func busyMachine(g Gomega, at hop.IP, requests uint16) *resident.Machine {
	r := resident.New(start, at, "pedidos", flowLifetime)
	h := heartbeat(1)
	h.Slots = 2
	r.HandleHeartbeat(start, h)
	for port := range requests {
		mustAccept := newHeader()
		mustAccept.MustAccept = true
		g.Expect(r.HandleCallerPacket(start, openingPacket(1000+port), mustAccept).Verdict).To(Equal(resident.Deliver))
	}
	return r
}

func TestOpeningPacketSkipsBusyTarget(t *testing.T) {
	g := NewWithT(t)
	d := busyMachine(g, here, 2).HandleCallerPacket(start, openingPacket(1), newHeader(next))
	g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
	g.Expect(d.Reason).To(Equal(resident.Busy))
	g.Expect(d.Next).To(Equal(next))
	accepted := busyMachine(g, next, 1).HandleCallerPacket(start, openingPacket(1), &d.Header)
	g.Expect(accepted.Verdict).To(Equal(resident.Deliver), "one of its slots is free")
	g.Expect(accepted.NotifyOrigin).To(BeTrue(), "the balancer sends the next packet directly")
}

func TestLeastLoadedBusyTargetAcceptsOpeningPacket(t *testing.T) {
	g := NewWithT(t)
	agents := []hop.IP{here, {10, 2, 0, 1}, {10, 2, 0, 2}, {10, 2, 0, 3}, {10, 2, 0, 4}}
	requests := map[hop.IP]uint16{agents[0]: 5, agents[1]: 3, agents[2]: 6, agents[3]: 7, agents[4]: 0}
	h := newHeader(agents[1:]...)
	at := here
	var path []hop.IP
	for range 10 {
		d := busyMachine(g, at, requests[at]).HandleCallerPacket(start, openingPacket(1), h)
		path = append(path, at)
		if d.Verdict == resident.Deliver {
			break
		}
		g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
		at, h = d.Next, &d.Header
	}
	g.Expect(path).To(Equal([]hop.IP{agents[0], agents[1], agents[2], agents[3], agents[1]}),
		"after four busy targets the least loaded one must accept it")
}

func TestLastCandidateSendsOpeningPacketToLeastLoadedTarget(t *testing.T) {
	g := NewWithT(t)
	least := busyMachine(g, here, 2).HandleCallerPacket(start, openingPacket(1), newHeader(next))
	// The last candidate accepts no new flow because its target drains.
	last := resident.New(start, next, "pedidos", flowLifetime)
	last.HandleHeartbeat(start, drainingHeartbeat(1))
	d := last.HandleCallerPacket(start, openingPacket(1), &least.Header)
	g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
	g.Expect(d.Next).To(Equal(here))
	g.Expect(d.Header.MustAccept).To(BeTrue())
	g.Expect(busyMachine(g, here, 2).HandleCallerPacket(start, openingPacket(1), &d.Header).Verdict).To(Equal(resident.Deliver))

	only := busyMachine(g, here, 2).HandleCallerPacket(start, openingPacket(1), newHeader())
	g.Expect(only.Verdict).To(Equal(resident.Deliver), "there is no other candidate")
}

func TestBounceByLeastLoadedTargetIsReturnedToBalancer(t *testing.T) {
	g := NewWithT(t)
	r := busyMachine(g, here, 2)
	mustAccept := newHeader()
	mustAccept.MustAccept, mustAccept.BusyCount, mustAccept.LeastLoaded = true, 4, here
	bounced := openingPacket(1)
	bounced.Mark = r.HandleCallerPacket(start, openingPacket(1), mustAccept).Mark
	bounced.IsBounced = true
	d := r.HandleTargetPacket(start, bounced)
	g.Expect(d.Verdict).To(Equal(resident.ReturnToBalancer))
	g.Expect(d.Header.BusyCount).To(BeEquivalentTo(4), "the balancer can send it to the busy targets again")
}

func TestAbandonedHandshakesDoNotKeepTargetBusy(t *testing.T) {
	g := NewWithT(t)
	r := busyMachine(g, here, 2)
	r.HandleTargetPacket(start, acceptPacket(1000))
	g.Expect(r.HandleCallerPacket(after(90), openingPacket(1), newHeader(next)).Verdict).To(Equal(resident.ForwardNext))
	g.Expect(r.HandleCallerPacket(after(151), openingPacket(1), newHeader(next)).Verdict).To(Equal(resident.Deliver))
}

func TestPendingOpeningPacketsCountAsLoad(t *testing.T) {
	g := NewWithT(t)
	r := busyMachine(g, here, 1)
	g.Expect(r.HandleCallerPacket(start, openingPacket(1), newHeader(next)).Verdict).To(Equal(resident.Deliver))
	r = busyMachine(g, here, 1)
	r.SetPendingCount(1)
	g.Expect(r.HandleCallerPacket(start, openingPacket(1), newHeader(next)).Verdict).To(Equal(resident.ForwardNext))
}

func TestBalancerIsNotifiedOfPendingOpeningPacket(t *testing.T) {
	g := NewWithT(t)
	h := newHeader()
	h.MustAccept, h.Hops, h.PriorityOffset = true, 2, 1
	d := busyMachine(g, here, 4).HandleCallerPacket(start, openingPacket(1), h)
	g.Expect(d.Verdict).To(Equal(resident.Wait))
	g.Expect(d.NotifyOrigin).To(BeTrue(), "copies of the packet have to reach the same agent")
}

func TestCapacityIsMeasuredWhileTargetIsFull(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	g.Expect(r.Capacity(time.Second)).To(BeZero(), "not known yet")
	for port := range uint16(100) {
		mustAccept := newHeader()
		mustAccept.MustAccept = true
		r.HandleCallerPacket(start, openingPacket(port), mustAccept)
		r.HandleTargetPacket(start, acceptPacket(port))
		r.HandleCallerPacket(start, dataPacket(port, 1), newHeader())
	}
	for port := range uint16(90) {
		r.HandleTargetPacket(after(20*int(port)), answerPacket(port))
	}
	g.Expect(r.Capacity(time.Second)).To(Equal(50))
	for port := uint16(90); port < 100; port++ {
		r.HandleTargetPacket(after(20*int(port)), answerPacket(port))
	}
	r.HandleCallerPacket(after(9000), dataPacket(1, 200), newHeader())
	r.HandleTargetPacket(after(9020), answerPacket(1))
	g.Expect(r.Capacity(time.Second)).To(Equal(50), "pauses do not count while slots are free")
	r.HandleCallerPacket(after(9100), dataPacket(1, 300), newHeader())
	r.HandleTargetPacket(after(16_100), answerPacket(1))
	g.Expect(r.Capacity(time.Second)).To(BeNumerically(">=", 45), "one long run moves the mean only a little")
}

// serveOneByOne serves one flow every 100 ms with the given handshake and run times.
func serveOneByOne(r *resident.Machine, flows uint16, handshakeMS, runMS int) {
	for port := range flows {
		now := 100 * int(port)
		r.HandleCallerPacket(after(now), openingPacket(port), newHeader())
		r.HandleTargetPacket(after(now), acceptPacket(port))
		r.HandleCallerPacket(after(now+handshakeMS), dataPacket(port, 1), newHeader())
		r.HandleTargetPacket(after(now+handshakeMS+runMS), answerPacket(port))
	}
}

// With short runs and distant callers, most flows of a target are in their handshake while its slots are idle.
func TestHandshakesDoNotMakeTargetWithShortRunsBusy(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	serveOneByOne(r, 200, 40, 2)
	for port := uint16(1000); port < 1015; port++ {
		d := r.HandleCallerPacket(after(20_100), openingPacket(port), newHeader(next))
		g.Expect(d.Verdict).To(Equal(resident.Deliver), "a run of 2 ms in 42 ms uses one twentieth of a slot")
	}
	g.Expect(r.HasRoom(after(20_100))).To(BeTrue())
}

// In a surge of callers of the most urgent route, the target would serve them in order of arrival, and all of them would miss
// their objective.
func TestUrgentOpeningPacketsWaitWhenTargetCannotMeetObjective(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	serveOneByOne(r, 100, 10, 50)
	h := newHeader()
	h.Objective = 310
	delivered := 0
	for port := uint16(1000); port < 1020; port++ {
		if r.HandleCallerPacket(after(10_000), openingPacket(port), h).Verdict == resident.Deliver {
			delivered++
		}
	}
	g.Expect(delivered).To(BeNumerically("~", 6, 1), "six runs of 50 ms take 300 ms")
}
