package resident_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
)

// absentTicks are two heartbeats and a half.
const absentTicks = 5 * resident.TicksPerHeartbeat / 2

// almostAbsent lets all ticks but one pass without a sign of the target, and returns the outcome of the last one.
func almostAbsent(r *resident.Machine) (last resident.Outcome) {
	for range absentTicks - 1 {
		last = r.Tick(start)
	}
	return last
}

// The pattern is a target that crashes without a word while its agent runs on: packets that are given to it vanish, also
// those of flows of other targets that are looked for here.
func TestASilentTargetIsGone(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	g.Expect(almostAbsent(r)).To(Equal(resident.Outcome{}))
	g.Expect(r.HandleCallerPacket(start, data(2, 1), frame(next)).Verdict).To(Equal(resident.Deliver))

	gone := r.Tick(start)
	g.Expect(gone.HasChanged).To(BeTrue())
	g.Expect(gone.PreviousInstance).To(Equal("i-1"))
	g.Expect(gone.Ended).To(HaveLen(1), "the callers of its open flows are told")
	g.Expect(gone.Ended[0].ID).To(Equal(data(1, 1).IDFromCaller()))
	g.Expect(r.Entry().HasLeft).To(BeTrue())
	g.Expect(r.Tick(start)).To(Equal(resident.Outcome{}), "once")

	lookedFor := r.HandleCallerPacket(start, data(2, 1), frame(next))
	g.Expect(lookedFor.Verdict).To(Equal(resident.ForwardNext))
	g.Expect(lookedFor.Reason).To(Equal(resident.Absent))
	g.Expect(r.HandleCallerPacket(start, data(1, 200), frame()).Verdict).To(Equal(resident.ReturnToBalancer), "its flow has ended")
	g.Expect(r.HandleCallerPacket(start, opening(3), frame(next)).Reason).To(Equal(resident.Absent))

	back := r.HandleHeartbeat(start, heartbeat(2))
	g.Expect(back.HasChanged).To(BeTrue())
	g.Expect(r.Entry().HasLeft).To(BeFalse())
	g.Expect(r.HandleCallerPacket(start, opening(3), frame(next)).Verdict).To(Equal(resident.Deliver))
}

func TestWhatCountsAsASignOfTheTarget(t *testing.T) {
	bounced := data(2, 1)
	bounced.IsBounced = true
	reset := answer(1)
	reset.Payload, reset.Resets = 0, true
	for name, test := range map[string]struct {
		give   func(r *resident.Machine)
		isSign bool
	}{
		"heartbeat":                     {func(r *resident.Machine) { r.HandleHeartbeat(start, heartbeat(2)) }, true},
		"answer":                        {func(r *resident.Machine) { r.HandleTargetPacket(start, answer(1)) }, true},
		"bounce, which needs no target": {func(r *resident.Machine) { r.HandleTargetPacket(start, bounced) }, false},
		"reset, which needs no target":  {func(r *resident.Machine) { r.HandleTargetPacket(start, reset) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := beside()
			open(g, r, start, 1)
			almostAbsent(r)
			test.give(r)
			almostAbsent(r)
			g.Expect(r.Entry().HasLeft).To(Equal(!test.isSign))
		})
	}
}

// The pattern is a release that a loss of power interrupts: the targets that drained do not start again, their agents do,
// and no agent hears a target. Their entries stayed, and walks ended at VMs that were taken away.
func TestAnAgentThatNeverHearsATargetSaysSo(t *testing.T) {
	g := NewWithT(t)
	r := resident.New(start, here, "pedidos", flowLifetime)
	g.Expect(almostAbsent(r)).To(Equal(resident.Outcome{}))
	g.Expect(r.Entry()).To(Equal(registry.Entry{}))
	g.Expect(r.Tick(start).HasChanged).To(BeTrue())
	g.Expect(r.Entry()).To(Equal(registry.Entry{Service: "pedidos", HasLeft: true}))
	g.Expect(r.HandleHeartbeat(start, heartbeat(1)).HasChanged).To(BeTrue())
	g.Expect(r.Entry().HasLeft).To(BeFalse())
}

func TestATargetThatHasLeftEndsNoFlowByItself(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, start, 1)
	r.HandleLeave("i-1")
	g.Expect(r.Tick(start)).To(Equal(resident.Outcome{}), "it may still be sending its last answers")
	g.Expect(r.HandleCallerPacket(start, data(1, 200), frame(next)).Verdict).To(Equal(resident.Deliver))
	g.Expect(r.HandleCallerPacket(start, data(2, 1), frame(next)).Reason).To(Equal(resident.Absent), "a flow that it never held")
}
