package resident_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
)

// joinMS is the time in milliseconds for which a joining target accepts no flow.
var joinMS = int(registry.JoinDelay.Milliseconds())

// A balancer that does not know a new target yet may reset a flow that another balancer has placed there.
func TestTargetAcceptsNoFlowUntilBalancersKnowIt(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	g.Expect(r.HandleCallerPacket(start, openingPacket(1), newHeader(next)).Verdict).To(Equal(resident.Deliver),
		"the target may have been there before")
	r = newMachine()
	r.SetJoining(start, true)
	g.Expect(r.HandleCallerPacket(after(10_000), openingPacket(1), newHeader(next)).Reason).To(Equal(resident.Joining),
		"the store may have executed the write")
	r.SetJoining(after(10_000), false)
	d := r.HandleCallerPacket(after(10_000+joinMS-1), openingPacket(1), newHeader(next))
	g.Expect(d.Reason).To(Equal(resident.Joining))
	g.Expect(d.Next).To(Equal(next))
	r.SetJoining(after(10_000+joinMS), false)
	g.Expect(r.HandleCallerPacket(after(10_000+joinMS), openingPacket(1), newHeader(next)).Verdict).To(Equal(resident.Deliver))
}

func TestOpeningPacketWithoutOtherCandidateWaitsWhileTargetJoins(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	r.SetJoining(start, true)
	r.SetJoining(start, false)
	g.Expect(r.HandleCallerPacket(after(1), openingPacket(1), newHeader()).Verdict).To(Equal(resident.Wait))
	g.Expect(r.HasRoom(after(joinMS - 1))).To(BeFalse())
	g.Expect(r.HasRoom(after(joinMS))).To(BeTrue())
	g.Expect(r.AdmitPending(after(joinMS), openingPacket(1), newHeader()).Verdict).To(Equal(resident.Deliver))
}

func TestOpenFlowsAreServedWhileTargetJoinsAgain(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	openFlow(g, r, start, 1)
	r.SetJoining(start, true)
	g.Expect(r.HandleCallerPacket(after(1), dataPacket(1, 200), newHeader(next)).Verdict).To(Equal(resident.Deliver))
}

// A power failure interrupts a release, and VMs are removed whose targets have not come back.
func TestAgentWaitsUntilStoreHoldsTheEndOfItsTarget(t *testing.T) {
	g := NewWithT(t)
	r := resident.New(start, here, "pedidos", flowLifetime)
	timeOutWithoutHeartbeat(r)
	g.Expect(r.CanStop(start, false)).To(BeFalse())
	r.HandleHeartbeat(start, heartbeat(1))
	g.Expect(r.CanStop(start, false)).To(BeTrue(), "the next process writes the entry")
}

func TestWhenAgentMayStop(t *testing.T) {
	for name, test := range map[string]struct {
		setUp   func(r *resident.Machine)
		mayStop bool
	}{
		"it is not known whether there is a target": {func(*resident.Machine) {}, false},
		"there is no target":                        {func(r *resident.Machine) { timeOutWithoutHeartbeat(r) }, true},
		"the store has just accepted that there is none": {func(r *resident.Machine) {
			timeOutWithoutHeartbeat(r)
			r.SetLeft(after(-1299))
		}, false},
		"balancers know that there is none": {func(r *resident.Machine) {
			timeOutWithoutHeartbeat(r)
			r.SetLeft(after(-1300))
		}, true},
		"the target continues": {func(r *resident.Machine) {
			r.HandleHeartbeat(start, heartbeat(1))
		}, true},
		"the target drains": {func(r *resident.Machine) {
			r.HandleHeartbeat(start, drainingHeartbeat(1))
		}, false},
		"the target has left": {func(r *resident.Machine) {
			r.HandleHeartbeat(start, drainingHeartbeat(1))
			r.HandleLeave("i-1")
		}, true},
		"the target is silent": {func(r *resident.Machine) {
			timeOutAfterHeartbeat(r)
			r.Tick(start)
		}, true},
		"the target joins":      {func(r *resident.Machine) { r.SetJoining(start, true) }, false},
		"the target has joined": {func(r *resident.Machine) { r.SetJoining(start, true); r.SetJoining(start, false) }, false},
		"the target joined before": {func(r *resident.Machine) {
			r.HandleHeartbeat(start, heartbeat(1))
			r.SetJoining(after(-joinMS), true)
			r.SetJoining(after(-joinMS), false)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := resident.New(start, here, "pedidos", flowLifetime)
			test.setUp(r)
			NewWithT(t).Expect(r.CanStop(start, true)).To(Equal(test.mayStop))
		})
	}
}

// timeOutWithoutHeartbeat ticks until an agent that receives no heartbeat concludes that there is no target.
func timeOutWithoutHeartbeat(r *resident.Machine) {
	for range maxSilentTicks {
		r.Tick(start)
	}
}
