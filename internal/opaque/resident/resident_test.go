package resident_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	service = desired.ServiceKeyOf("pedidos")
	caller  = flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001}
	address = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func heartbeat(sequence int64) resident.Heartbeat {
	return resident.Heartbeat{
		Instance: "i-1", Started: 1000, Sequence: sequence, Service: "pedidos", Zone: "quito", Slots: 1,
	}
}

func draining(sequence int64) resident.Heartbeat {
	h := heartbeat(sequence)
	h.IsDraining = true
	return h
}

// beside returns the state beside a target that has announced itself.
func beside() *resident.Machine {
	r := resident.New(start, here, "pedidos", flowLifetime)
	r.HandleHeartbeat(start, heartbeat(1))
	return r
}

func frame(candidates ...hop.IP) *hop.Header {
	h := &hop.Header{Kind: hop.Forward, Service: uint64(service), Origin: hop.IP{10, 1, 0, 10}}
	h.Count = uint8(copy(h.Candidates[:], candidates))
	return h
}

func opening(port uint16) *flow.Packet {
	from := caller
	from.Port = port
	return &flow.Packet{Source: from, Destination: address, Opens: true}
}

func data(port uint16, sequence uint32) *flow.Packet {
	p := opening(port)
	p.Opens, p.Payload, p.Sequence, p.Acknowledged = false, 100, sequence, 5000
	return p
}

func answer(port uint16) *flow.Packet {
	return &flow.Packet{Source: address, Destination: opening(port).Source, Payload: 50}
}

func accept(port uint16) *flow.Packet {
	p := answer(port)
	p.Payload, p.Accepts = 0, true
	return p
}

// open brings a flow to the point where the target works on its first request.
func open(g Gomega, r *resident.Machine, now time.Time, port uint16) {
	g.Expect(r.HandleCallerPacket(now, opening(port), frame()).Verdict).To(Equal(resident.Deliver))
	g.Expect(r.HandleTargetPacket(now, accept(port)).Verdict).To(Equal(resident.SendToCaller))
	g.Expect(r.HandleCallerPacket(now, data(port, 1), frame()).Verdict).To(Equal(resident.Deliver))
}

// flowLifetime is the age from which on flows may be discarded.
const flowLifetime = time.Minute

var here, next = hop.IP{10, 1, 0, 1}, hop.IP{10, 2, 0, 9}

func TestAPacketForAnotherServiceIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	h := frame(next)
	h.Service++
	for _, p := range []*flow.Packet{opening(1), data(1, 1)} {
		d := r.HandleCallerPacket(start, p, h)
		g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
		g.Expect(d.Reason).To(Equal(resident.OtherService))
		g.Expect(d.Next).To(Equal(next))
	}
}

func TestABouncedPacketGoesToTheNextCandidateAndThenBack(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	d := r.HandleCallerPacket(start, data(1, 1), frame(next))
	g.Expect(d.Verdict).To(Equal(resident.Deliver))
	bounced := data(1, 1)
	bounced.IsBounced, bounced.Mark = true, d.Mark
	passed := r.HandleTargetPacket(start, bounced)
	g.Expect(passed.Verdict).To(Equal(resident.ForwardNext))
	g.Expect(passed.Next).To(Equal(next))
	g.Expect(passed.Header.Hops).To(BeEquivalentTo(1))

	bounced.Mark = r.HandleCallerPacket(start, data(1, 1), frame()).Mark
	back := r.HandleTargetPacket(start, bounced)
	g.Expect(back.Verdict).To(Equal(resident.ReturnToBalancer))
	g.Expect(back.Header.Kind).To(Equal(hop.Returned))
	g.Expect(back.Header.Origin).To(Equal(hop.IP{10, 1, 0, 10}))
}

func TestABounceWithAnUnknownMarkIsDropped(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	bounced := data(1, 1)
	bounced.IsBounced = true
	for _, mark := range []uint32{0, 1, 4097} {
		bounced.Mark = mark
		g.Expect(r.HandleTargetPacket(start, bounced).Verdict).To(Equal(resident.Drop))
	}
	bounced.Mark = r.HandleCallerPacket(start, data(1, 1), frame(next)).Mark
	g.Expect(r.HandleTargetPacket(start, bounced).Verdict).To(Equal(resident.ForwardNext))
	g.Expect(r.HandleTargetPacket(start, bounced).Verdict).To(Equal(resident.Drop), "a mark is used once")
}

func TestADrainingTargetGetsNoNewFlowFromTheFirstMoment(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	r.HandleHeartbeat(start, draining(2))
	d := r.HandleCallerPacket(after(11), opening(2), frame(next))
	g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
	g.Expect(d.Reason).To(Equal(resident.Draining))
	g.Expect(r.HandleCallerPacket(after(11), data(1, 200), frame(next)).Verdict).To(Equal(resident.Deliver), "open flows stay")
	g.Expect(r.HandleCallerPacket(after(11), opening(1), frame(next)).Verdict).To(Equal(resident.Deliver),
		"a late copy of the opening of a flow that is open here must not wander and end in a reset")
}

func TestATargetThatLeftGetsNothingNew(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	g.Expect(r.HandleLeave("i-other")).To(BeFalse())
	g.Expect(r.HandleCallerPacket(start, opening(1), frame(next)).Verdict).To(Equal(resident.Deliver))
	g.Expect(r.HandleLeave("i-1")).To(BeTrue())
	g.Expect(r.HandleCallerPacket(start, opening(2), frame(next)).Reason).To(Equal(resident.Absent))
	g.Expect(r.Entry().HasLeft).To(BeTrue())
}

func TestAnAgentThatHasJustStartedServesBeforeTheFirstHeartbeat(t *testing.T) {
	g := NewWithT(t)
	r := resident.New(start, here, "pedidos", flowLifetime)
	g.Expect(r.HandleCallerPacket(start, opening(1), frame(next)).Verdict).To(Equal(resident.Deliver))
	g.Expect(r.HandleCallerPacket(start, data(2, 1), frame(next)).Verdict).To(Equal(resident.Deliver),
		"its target may hold flows from before")
	g.Expect(r.Entry()).To(Equal(registry.Entry{}))
}

func TestASilentTargetIsPassedByUntilItIsHeard(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	g.Expect(r.HandleCallerPacket(start, opening(1), frame(next)).Verdict).To(Equal(resident.Deliver))
	g.Expect(r.HandleCallerPacket(after(100), opening(2), frame(next)).Reason).To(Equal(resident.Silent))
	r.HandleTargetPacket(after(110), accept(1))
	g.Expect(r.HandleCallerPacket(after(120), opening(3), frame(next)).Verdict).To(Equal(resident.Deliver))
}

func TestASilentTargetIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	r.HandleCallerPacket(start, opening(1), frame(next))
	g.Expect(r.HandleCallerPacket(after(299), opening(2), frame(next)).Reason).To(Equal(resident.Silent))
	g.Expect(r.HandleCallerPacket(after(300), opening(2), frame(next)).Verdict).To(Equal(resident.Deliver))
}

func TestHeartbeatsOfEarlierIncarnationsAndOvertakenOnesChangeNothing(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	r.HandleHeartbeat(start, draining(5))
	before := r.Entry()
	late := heartbeat(4)
	g.Expect(r.HandleHeartbeat(start, late).IsStale).To(BeTrue())
	former := heartbeat(900)
	former.Instance, former.Started = "i-0", 500
	g.Expect(r.HandleHeartbeat(start, former).IsStale).To(BeTrue())
	g.Expect(r.Entry()).To(Equal(before))
}

func TestANewIncarnationUnderTheSameInstanceStartsItsCountAnew(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	r.HandleHeartbeat(start, draining(50))
	again := heartbeat(1)
	again.Started = 2000
	outcome := r.HandleHeartbeat(start, again)
	g.Expect(outcome.IsStale).To(BeFalse())
	g.Expect(outcome.HasChanged).To(BeTrue())
	g.Expect(r.Entry().IsDraining).To(BeFalse())
}

func TestCallersOfATargetThatStartedAgainAreTold(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	r.HandleCallerPacket(start, opening(2), frame())
	again := heartbeat(1)
	again.Instance, again.Started = "i-2", 2000
	ended := r.HandleHeartbeat(start, again).Ended
	g.Expect(ended).To(HaveLen(1), "the second flow was not open")
	g.Expect(ended[0].ID.Caller.Port).To(BeEquivalentTo(1))
	g.Expect(ended[0].Acknowledged).To(BeEquivalentTo(5000))
	g.Expect(r.FlowCount()).To(BeZero())
}

func TestTheBalancerLearnsWhereAFlowIsThatWasPassedOn(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	h := frame()
	g.Expect(r.HandleCallerPacket(start, data(1, 100), h).NotifyOrigin).To(BeFalse(), "it came straight")
	h.Hops = 2
	g.Expect(r.HandleCallerPacket(start, data(1, 200), h).NotifyOrigin).To(BeTrue())
	g.Expect(r.HandleCallerPacket(after(1), data(1, 300), h).NotifyOrigin).To(BeFalse(), "not for every packet")
	g.Expect(r.HandleCallerPacket(after(200), data(1, 400), h).NotifyOrigin).To(BeTrue(), "the hint may have been lost")
}

func TestLessUrgentOpeningsWaitWhileTheTargetIsBusy(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	open(g, r, start, 2)
	deferred := frame(next)
	deferred.PriorityOffset, deferred.MustAccept = 1, true
	g.Expect(r.HandleCallerPacket(start, opening(3), deferred).Verdict).To(Equal(resident.Wait))
	urgent := frame(next)
	urgent.MustAccept = true
	g.Expect(r.HandleCallerPacket(start, opening(4), urgent).Verdict).To(Equal(resident.Deliver), "urgent ones do not")
	r.HandleTargetPacket(start, answer(1))
	r.HandleTargetPacket(start, answer(2))
	r.HandleTargetPacket(start, answer(4))
	g.Expect(r.HasRoom(start)).To(BeTrue())
	g.Expect(r.HandleCallerPacket(start, opening(3), deferred).Verdict).To(Equal(resident.Deliver))
}

func TestDataSentAgainDoesNotMakeAnAnsweredFlowWait(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	open(g, r, start, 2)
	r.HandleTargetPacket(start, answer(1))
	r.HandleTargetPacket(start, answer(2))
	r.HandleCallerPacket(start, data(1, 1), frame())
	r.HandleCallerPacket(start, data(2, 1), frame())
	g.Expect(r.HasRoom(start)).To(BeTrue())
}

func TestCallersThatLeaveTakeNoRoom(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	for port := range uint16(2) {
		r.HandleCallerPacket(start, opening(port), frame())
		r.HandleTargetPacket(start, accept(port))
	}
	g.Expect(r.HasRoom(start)).To(BeFalse())
	r.Sweep(after(101))
	g.Expect(r.HasRoom(start)).To(BeTrue(), "they have not completed the handshake")

	open(g, r, after(200), 7)
	open(g, r, after(200), 8)
	reset := data(7, 1)
	reset.Resets, reset.Payload = true, 0
	r.HandleCallerPacket(after(210), reset, frame())
	g.Expect(r.HasRoom(start)).To(BeTrue())
	r.Sweep(after(2300))
	open(g, r, after(2300), 9)
	g.Expect(r.HasRoom(start)).To(BeTrue(), "flow 8 has been silent for two seconds")
}

func TestFlowsThatEndedAreForgotten(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	last := answer(1)
	last.Finishes = true
	r.HandleTargetPacket(start, last)
	finish := data(1, 500)
	finish.Payload, finish.Finishes = 0, true
	r.HandleCallerPacket(start, finish, frame())
	r.Sweep(after(1900))
	g.Expect(r.FlowCount()).To(Equal(1), "its last packets may be repeated")
	r.Sweep(after(2100))
	g.Expect(r.FlowCount()).To(BeZero())

	open(g, r, after(3000), 2)
	r.Sweep(after(62_999))
	g.Expect(r.FlowCount()).To(Equal(1), "its target may hold it")
	r.Sweep(after(63_001))
	g.Expect(r.FlowCount()).To(BeZero(), "it may be discarded")
}

func TestAnOpeningThatWaitedInVainGoesBackWithoutAWalk(t *testing.T) {
	g := NewWithT(t)
	d := beside().HandleWaitExpired(frame(next), false)
	g.Expect(d.Verdict).To(Equal(resident.ReturnToBalancer))
	g.Expect(d.Header.Count).To(BeZero())
	g.Expect(d.Header.Kind).To(Equal(hop.Refused))
	g.Expect(d.Header.MayBeOpen).To(BeFalse())
	g.Expect(beside().HandleWaitExpired(frame(), true).Header.MayBeOpen).To(BeTrue(), "a copy may be open elsewhere")
}

func TestAnOpeningDoesNotOvertakeThoseThatWait(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	r.SetQueued(1)
	h := frame()
	h.PriorityOffset, h.MustAccept = 1, true
	g.Expect(r.HandleCallerPacket(start, opening(1), h).Verdict).To(Equal(resident.Wait))
	h.PriorityOffset = 0
	g.Expect(r.HandleCallerPacket(start, opening(2), h).Verdict).To(Equal(resident.Deliver))
}

func TestTheFlowTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	for port := range uint16(10_000) {
		r.HandleTargetPacket(start, accept(port))
	}
	g.Expect(r.FlowCount()).To(Equal(4096))
}

func TestAFlowThatItsTargetForgotIsToldFromOneThatItNeverHeld(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	r.HandleTargetPacket(start, answer(1))
	bounced := data(1, 100)
	bounced.Mark = r.HandleCallerPacket(start, data(1, 100), frame(next)).Mark
	bounced.IsBounced = true
	g.Expect(r.HandleTargetPacket(start, bounced).Reason).To(Equal(resident.Forgotten))

	r.HandleCallerPacket(start, opening(2), frame(next))
	r.HandleTargetPacket(start, accept(2))
	elsewhere := data(2, 1)
	elsewhere.Mark = r.HandleCallerPacket(start, data(2, 1), frame(next)).Mark
	elsewhere.IsBounced = true
	g.Expect(r.HandleTargetPacket(start, elsewhere).Reason).To(Equal(resident.Bounced), "its caller chose another target")
}

func TestAnAgentThatHasJustStartedCannotRuleOutThatARepeatedOpeningIsOpen(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	r.HandleHeartbeat(start, draining(2))
	repeated := opening(1)
	repeated.Retransmissions = 1
	g.Expect(r.HandleCallerPacket(after(10), repeated, frame(next)).Header.MayBeOpen).To(BeTrue())
	g.Expect(r.HandleCallerPacket(after(10), opening(2), frame(next)).Header.MayBeOpen).To(BeFalse(), "the first copy opens nothing twice")
	g.Expect(r.HandleCallerPacket(after(2000), repeated, frame(next)).Header.MayBeOpen).To(BeFalse(), "its table would hold the flow")
}

func TestACopyIsDeliveredButNeverPassedOn(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	copied := frame()
	copied.IsDuplicate, copied.Hops = true, 1
	other := frame()
	other.IsDuplicate, other.Service = true, uint64(desired.ServiceKeyOf("mensajes-voz"))
	g.Expect(r.HandleCallerPacket(start, data(1, 1), other).Verdict).To(Equal(resident.Drop))
	d := r.HandleCallerPacket(start, data(1, 1), copied)
	g.Expect(d.Verdict).To(Equal(resident.Deliver))
	bounced := data(1, 1)
	bounced.IsBounced, bounced.Mark = true, d.Mark
	g.Expect(r.HandleTargetPacket(start, bounced).Verdict).To(Equal(resident.Drop), "the walk goes on elsewhere")
}

func TestACopyThatFindsItsFlowTellsWhereItIs(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	r.HandleCallerPacket(start, opening(1), frame())
	r.HandleTargetPacket(start, &flow.Packet{Source: address, Destination: opening(1).Source, Accepts: true})
	copied := frame()
	copied.IsDuplicate, copied.Hops = true, 1
	d := r.HandleCallerPacket(after(10), data(1, 1), copied)
	g.Expect(d.Verdict).To(Equal(resident.Deliver))
	g.Expect(d.NotifyOrigin).To(BeTrue())
}
