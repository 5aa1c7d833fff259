package resident_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
)

// joinMS is the time for which a target that joins takes no flow, in milliseconds.
var joinMS = int(registry.JoinDelay.Milliseconds())

// The pattern is a target that is added: a balancer that has not heard of it may reset a flow that another one has placed there.
func TestATargetTakesNoFlowUntilBalancersKnowIt(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	g.Expect(r.HandleCallerPacket(start, opening(1), frame(next)).Verdict).To(Equal(resident.Deliver), "it may have been there before")
	r = beside()
	r.SetJoining(start, true)
	g.Expect(r.HandleCallerPacket(after(10_000), opening(1), frame(next)).Reason).To(Equal(resident.Joining), "the call may have been executed")
	r.SetJoining(after(10_000), false)
	d := r.HandleCallerPacket(after(10_000+joinMS-1), opening(1), frame(next))
	g.Expect(d.Reason).To(Equal(resident.Joining))
	g.Expect(d.Next).To(Equal(next))
	r.SetJoining(after(10_000+joinMS), false)
	g.Expect(r.HandleCallerPacket(after(10_000+joinMS), opening(1), frame(next)).Verdict).To(Equal(resident.Deliver))
}

func TestAnOpeningThatNobodyElseCanTakeWaitsForATargetThatJoins(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	r.SetJoining(start, true)
	r.SetJoining(start, false)
	g.Expect(r.HandleCallerPacket(after(1), opening(1), frame()).Verdict).To(Equal(resident.Wait))
	g.Expect(r.HasRoom(after(joinMS - 1))).To(BeFalse())
	g.Expect(r.HasRoom(after(joinMS))).To(BeTrue())
	g.Expect(r.AdmitPending(after(joinMS), opening(1).IDFromCaller(), frame()).Verdict).To(Equal(resident.Deliver))
}

func TestOpenFlowsAreServedWhileATargetJoinsAnew(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	r.SetJoining(start, true)
	g.Expect(r.HandleCallerPacket(after(1), data(1, 200), frame(next)).Verdict).To(Equal(resident.Deliver))
}

// The pattern is a release that a loss of power interrupts: VMs are taken away whose targets have not come back.
func TestAnAgentStaysUntilTheStoreHoldsTheEndOfItsTarget(t *testing.T) {
	g := NewWithT(t)
	r := resident.New(start, here, "pedidos", flowLifetime)
	never(r)
	g.Expect(r.CanStop(start, false)).To(BeFalse())
	r.HandleHeartbeat(start, heartbeat(1))
	g.Expect(r.CanStop(start, false)).To(BeTrue(), "the next process writes that it is here")
}

func TestWhenAnAgentMayStop(t *testing.T) {
	for name, test := range map[string]struct {
		give    func(r *resident.Machine)
		mayStop bool
	}{
		"it is not known whether there is one": {func(*resident.Machine) {}, false},
		"there is none":                        {func(r *resident.Machine) { never(r) }, true},
		"the store has just been told so":      {func(r *resident.Machine) { never(r); r.SetLeft(after(-1299)) }, false},
		"balancers know that it has left":      {func(r *resident.Machine) { never(r); r.SetLeft(after(-1300)) }, true},
		"the target goes on":                   {func(r *resident.Machine) { r.HandleHeartbeat(start, heartbeat(1)) }, true},
		"the target leaves":                    {func(r *resident.Machine) { r.HandleHeartbeat(start, draining(1)) }, false},
		"the target has left":                  {func(r *resident.Machine) { r.HandleHeartbeat(start, draining(1)); r.HandleLeave("i-1") }, true},
		"the target leaves and is silent": {func(r *resident.Machine) {
			giveUp(r)
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
			test.give(r)
			NewWithT(t).Expect(r.CanStop(start, true)).To(Equal(test.mayStop))
		})
	}
}

// never lets the time pass in which an agent hears its target, if there is one.
func never(r *resident.Machine) {
	for range absentTicks {
		r.Tick(start)
	}
}
