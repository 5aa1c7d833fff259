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
	g.Expect(r.FromNode(start, opening(1), frame(next)).Verdict).To(Equal(resident.Deliver), "it may have been there before")
	r = beside()
	r.SetJoining(start, true)
	g.Expect(r.FromNode(after(10_000), opening(1), frame(next)).Reason).To(Equal(resident.Joining), "the call may have been executed")
	r.SetJoining(after(10_000), false)
	d := r.FromNode(after(10_000+joinMS-1), opening(1), frame(next))
	g.Expect(d.Reason).To(Equal(resident.Joining))
	g.Expect(d.Next).To(Equal(next))
	r.SetJoining(after(10_000+joinMS), false)
	g.Expect(r.FromNode(after(10_000+joinMS), opening(1), frame(next)).Verdict).To(Equal(resident.Deliver))
}

func TestAnOpeningThatNobodyElseCanTakeWaitsForATargetThatJoins(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	r.SetJoining(start, true)
	r.SetJoining(start, false)
	g.Expect(r.FromNode(after(1), opening(1), frame()).Verdict).To(Equal(resident.Wait))
	g.Expect(r.HasRoom(after(joinMS - 1))).To(BeFalse())
	g.Expect(r.HasRoom(after(joinMS))).To(BeTrue())
	g.Expect(r.Offer(after(joinMS), opening(1).FromCaller(), frame()).Verdict).To(Equal(resident.Deliver))
}

func TestOpenFlowsAreServedWhileATargetJoinsAnew(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	r.SetJoining(start, true)
	g.Expect(r.FromNode(after(1), data(1, 200), frame(next)).Verdict).To(Equal(resident.Deliver))
}

func TestWhenAnAgentMayStop(t *testing.T) {
	for name, test := range map[string]struct {
		give    func(r *resident.Resident)
		mayStop bool
	}{
		"nothing is known of the target": {func(*resident.Resident) {}, true},
		"the target goes on":             {func(r *resident.Resident) { r.Heartbeat(start, heartbeat(1)) }, true},
		"the target leaves":              {func(r *resident.Resident) { r.Heartbeat(start, draining(1)) }, false},
		"the target has left":            {func(r *resident.Resident) { r.Heartbeat(start, draining(1)); r.Leave("i-1") }, true},
		"the target leaves and is silent": {func(r *resident.Resident) {
			giveUp(r)
			r.Tick(start)
		}, true},
		"the target joins":         {func(r *resident.Resident) { r.SetJoining(start, true) }, false},
		"the target has joined":    {func(r *resident.Resident) { r.SetJoining(start, true); r.SetJoining(start, false) }, false},
		"the target joined before": {func(r *resident.Resident) { r.SetJoining(after(-joinMS), true); r.SetJoining(after(-joinMS), false) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := resident.New(start, here, "pedidos", flowLifetime)
			test.give(r)
			NewWithT(t).Expect(r.MayStop(start)).To(Equal(test.mayStop))
		})
	}
}
