package resident_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/resident"
)

// newFlowPacket returns the opening packet of another flow from port 1, which was used before.
func newFlowPacket(copies uint32) *flow.Packet {
	p := openingPacket(1)
	p.Sequence, p.Retransmissions = 70_000, copies
	return p
}

// unusedSince is when the flow of port 1 was last used in the tests, in ms, and usedAgain when its port is used again.
const unusedSince, usedAgain = 100, 20_000

// newServedMachine returns an agent whose target has served a flow of port 1, which neither end has finished.
func newServedMachine(g Gomega) *resident.Machine {
	r := newMachine()
	openServed(g, r, unusedSince, 1)
	r.HandleHeartbeat(after(usedAgain-10), heartbeat(2))
	return r
}

// Each case guards against a new flow that passes a gate of its target because its port was used before, so that its opening packet
// counts as a copy of one that the target has.
func TestNewFlowOfAPortUsedAgainPassesNoGateAsACopy(t *testing.T) {
	for name, test := range map[string]struct {
		close  func(r *resident.Machine)
		reason resident.Reason
	}{
		"the target drains": {
			func(r *resident.Machine) { r.HandleHeartbeat(after(usedAgain-5), drainingHeartbeat(3)) }, resident.Draining,
		},
		"the zone of the target is evacuated": {func(r *resident.Machine) { r.SetEvacuation(1, true) }, resident.Evacuated},
		"the target has left":                 {func(r *resident.Machine) { r.HandleLeave("i-1") }, resident.Absent},
		"the target is cold and at the limit of its opening packets": {func(r *resident.Machine) {
			r.SetOpeningLimit(resident.OpeningLimit{Excess: 1})
			r.SetColdRate(after(usedAgain-5), 1, 1)
			r.HandleHeartbeat(after(usedAgain-5), manySlots(3, flowLifetime))
			r.HandleCallerPacket(after(usedAgain-4), openingPacket(2), newHeader())
			r.HandleTargetPacket(after(usedAgain-4), acceptPacket(2))
		}, resident.Cold},
		"the target has no free slot": {func(r *resident.Machine) {
			openFlow(NewWithT(t), r, after(usedAgain-5), 2)
		}, resident.Busy},
	} {
		t.Run(name, func(t *testing.T) {
			for _, copies := range []uint32{0, 1} {
				g := NewWithT(t)
				r := newServedMachine(g)
				test.close(r)
				d := r.HandleCallerPacket(after(usedAgain), newFlowPacket(copies), newHeader(next))
				g.Expect([]any{d.Verdict, d.Reason}).To(Equal([]any{resident.ForwardNext, test.reason}))
			}
		})
	}
}

// Guards against copies that count as new flows, and are sent to another target than the first one.
func TestCopyOfAnOpeningPacketIsDeliveredBehindAClosedGate(t *testing.T) {
	g := NewWithT(t)
	r := newServedMachine(g)
	g.Expect(r.HandleCallerPacket(after(usedAgain), newFlowPacket(0), newHeader(next)).Verdict).To(Equal(resident.Deliver))
	r.HandleHeartbeat(after(usedAgain+5), drainingHeartbeat(3))
	g.Expect(r.HandleCallerPacket(after(usedAgain+200), newFlowPacket(1), newHeader(next)).Verdict).To(Equal(resident.Deliver),
		"the target has not accepted the new flow yet")
	r.HandleTargetPacket(after(usedAgain+210), acceptPacket(1))
	g.Expect(r.HandleCallerPacket(after(usedAgain+600), newFlowPacket(2), newHeader(next)).Verdict).To(Equal(resident.Deliver))
	g.Expect(r.HandleCallerPacket(after(usedAgain+600), openingPacket(1), newHeader(next)).Verdict).To(Equal(resident.ForwardNext),
		"a copy of the earlier flow's packet is later than callers repeat it")
}

// Guards against a late copy of an opening packet that ends the agent's knowledge of the open flow with the same ends: its later packets
// would be declined, and the flow would be reset.
func TestLateOpeningPacketLeavesTheFlowThatTheTargetHolds(t *testing.T) {
	g := NewWithT(t)
	r := newServedMachine(g)
	r.SetEntryCreated()
	late := newFlowPacket(0)
	late.Mark, late.IsBounced = r.HandleCallerPacket(after(usedAgain), late, newHeader(next)).Mark, true
	g.Expect(r.HandleTargetPacket(after(usedAgain), late).Reason).To(Equal(resident.Bounced))
	g.Expect(r.HandleCallerPacket(after(usedAgain+1), dataPacket(1, 500), newHeader(next)).Reason).To(Equal(resident.FlowHeld))
	g.Expect(r.HandleCallerPacket(after(usedAgain+2), dataPacket(5, 500), newHeader(next)).Reason).To(Equal(resident.FlowNotHeld),
		"the table is complete")
	r.HandleHeartbeat(after(usedAgain+5), drainingHeartbeat(3))
	inUse := r.HandleCallerPacket(after(usedAgain+10), newFlowPacket(0), newHeader(next))
	g.Expect([]any{inUse.Verdict, inUse.Reason}).To(Equal([]any{resident.Drop, resident.Draining}), "the port is in use")
}

// Guards against a new flow that inherits the state of the earlier one with its ends: how old it is, what was served, what is expected.
func TestAcceptedFlowOfAPortUsedAgainReplacesTheEarlierOne(t *testing.T) {
	g := NewWithT(t)
	r := newServedMachine(g)
	g.Expect(persistentPorts(r)).To(ConsistOf(uint16(1)))
	h := newHeader()
	h.Hops = 1
	d := r.HandleCallerPacket(after(usedAgain), newFlowPacket(0), h)
	g.Expect(d.NotifyOrigin).To(BeTrue())
	g.Expect(d.Opening).To(Equal(newFlowPacket(0).Opening()))
	g.Expect(persistentPorts(r)).To(ConsistOf(uint16(1)), "the target may not accept it")
	r.HandleTargetPacket(after(usedAgain+1), acceptPacket(1))
	g.Expect(persistentPorts(r)).To(BeEmpty())
	g.Expect(r.FlowCount()).To(Equal(1))
}

func persistentPorts(r *resident.Machine) (ports []uint16) {
	for _, f := range r.AppendPersistentFlows(nil) {
		ports = append(ports, f.ID.Caller.Port)
	}
	return ports
}
