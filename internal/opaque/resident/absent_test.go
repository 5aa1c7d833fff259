package resident_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
)

// maxSilentTicks is the number of silent ticks after which a target counts as gone: two and a half heartbeat intervals.
const maxSilentTicks = 5 * resident.TicksPerHeartbeat / 2

// tickUntilAlmostTimedOut ticks until one tick before a silent target counts as gone, and returns the last outcome.
func tickUntilAlmostTimedOut(r *resident.Machine) (last resident.Outcome) {
	for range maxSilentTicks - 1 {
		last = r.Tick(start)
	}
	return last
}

// A target crashes without a last message while its agent continues to run. Packets that are delivered to it are lost, also
// packets of other targets' flows that are searched for here.
func TestSilentTargetCountsAsGone(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	openFlow(g, r, start, 1)
	g.Expect(tickUntilAlmostTimedOut(r)).To(Equal(resident.Outcome{}))
	g.Expect(r.HandleCallerPacket(start, dataPacket(2, 1), newHeader(next)).Verdict).To(Equal(resident.Deliver))

	gone := r.Tick(start)
	g.Expect(gone.HasChanged).To(BeTrue())
	g.Expect(gone.PreviousInstance).To(Equal("i-1"))
	g.Expect(gone.EndedFlows).To(HaveLen(1), "the callers of its open flows get a reset")
	g.Expect(gone.EndedFlows[0].ID).To(Equal(dataPacket(1, 1).IDFromCaller()))
	g.Expect(r.Entry().HasLeft).To(BeTrue())
	g.Expect(r.Tick(start)).To(Equal(resident.Outcome{}), "once")

	searched := r.HandleCallerPacket(start, dataPacket(2, 1), newHeader(next))
	g.Expect(searched.Verdict).To(Equal(resident.ForwardNext))
	g.Expect(searched.Reason).To(Equal(resident.Absent))
	g.Expect(r.HandleCallerPacket(start, dataPacket(1, 200), newHeader()).Verdict).To(Equal(resident.ReturnToBalancer),
		"its flow is lost")
	g.Expect(r.HandleCallerPacket(start, openingPacket(3), newHeader(next)).Reason).To(Equal(resident.Absent))

	returned := r.HandleHeartbeat(start, heartbeat(2))
	g.Expect(returned.HasChanged).To(BeTrue())
	g.Expect(r.Entry().HasLeft).To(BeFalse())
	g.Expect(r.HandleCallerPacket(start, openingPacket(3), newHeader(next)).Verdict).To(Equal(resident.Deliver))
}

func TestSignsOfLifeOfTheTarget(t *testing.T) {
	bounced := dataPacket(2, 1)
	bounced.IsBounced = true
	reset := answerPacket(1)
	reset.Payload, reset.Resets = 0, true
	for name, test := range map[string]struct {
		setUp  func(r *resident.Machine)
		isSign bool
	}{
		"heartbeat":                     {func(r *resident.Machine) { r.HandleHeartbeat(start, heartbeat(2)) }, true},
		"answer":                        {func(r *resident.Machine) { r.HandleTargetPacket(start, answerPacket(1)) }, true},
		"bounce, which needs no target": {func(r *resident.Machine) { r.HandleTargetPacket(start, bounced) }, false},
		"reset, which needs no target":  {func(r *resident.Machine) { r.HandleTargetPacket(start, reset) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newMachine()
			openFlow(g, r, start, 1)
			tickUntilAlmostTimedOut(r)
			test.setUp(r)
			tickUntilAlmostTimedOut(r)
			g.Expect(r.Entry().HasLeft).To(Equal(!test.isSign))
		})
	}
}

// A power failure interrupts a release: the targets that were draining do not start again, but their agents do. Without a
// report of the agents, their entries stay in the store, and candidate searches end at VMs that were removed.
func TestAgentThatNeverHearsItsTargetReportsThatItHasLeft(t *testing.T) {
	g := NewWithT(t)
	r := resident.New(start, here, "pedidos", flowLifetime)
	g.Expect(tickUntilAlmostTimedOut(r)).To(Equal(resident.Outcome{}))
	g.Expect(r.Entry()).To(Equal(registry.Entry{}))
	g.Expect(r.Tick(start).HasChanged).To(BeTrue())
	g.Expect(r.Entry()).To(Equal(registry.Entry{Service: "pedidos", HasLeft: true}))
	g.Expect(r.HandleHeartbeat(start, heartbeat(1)).HasChanged).To(BeTrue())
	g.Expect(r.Entry().HasLeft).To(BeFalse())
}

func TestFlowsOfATargetThatHasLeftContinue(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	openFlow(g, r, start, 1)
	r.HandleLeave("i-1")
	g.Expect(r.Tick(start)).To(Equal(resident.Outcome{}), "it may still be sending its last answers")
	g.Expect(r.HandleCallerPacket(start, dataPacket(1, 200), newHeader(next)).Verdict).To(Equal(resident.Deliver))
	g.Expect(r.HandleCallerPacket(start, dataPacket(2, 1), newHeader(next)).Reason).To(Equal(resident.Absent),
		"it never held this flow")
}
