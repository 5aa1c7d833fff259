package resident_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/resident"
)

// tickTwoHeartbeats ticks for two heartbeat intervals.
func tickTwoHeartbeats(r *resident.Machine) {
	for range 2 * resident.TicksPerHeartbeat {
		r.Tick(start)
	}
}

func restartedHeartbeat(sequence int64) resident.Heartbeat {
	h := heartbeat(sequence)
	h.Started = 2000
	return h
}

// When an agent has shut down while its target drains, packets of the target's flows are searched for at all other targets.
func TestOnlyCompleteFlowTableDeclinesPacketsOfUnknownFlows(t *testing.T) {
	for name, test := range map[string]struct {
		setUp      func(r *resident.Machine)
		at         time.Time
		isComplete bool
	}{
		"a previous process may have carried it": {func(r *resident.Machine) {
			r.HandleHeartbeat(start, heartbeat(1))
		}, start, false},
		"a flow of that age may be discarded": {func(*resident.Machine) {}, start.Add(flowLifetime), true},
		"a slightly younger one may not":      {func(*resident.Machine) {}, start.Add(flowLifetime - 1), false},
		"no balancer knew the VM before":      {func(r *resident.Machine) { r.SetEntryCreated() }, start, true},
		"the target starts beside it": {func(r *resident.Machine) {
			tickTwoHeartbeats(r)
			r.HandleHeartbeat(start, heartbeat(1))
		}, start, true},
		"its first heartbeats may have failed": {func(r *resident.Machine) {
			tickTwoHeartbeats(r)
			r.HandleHeartbeat(start, heartbeat(2))
		}, start, false},
		"the target follows one that has lived beside it": {func(r *resident.Machine) {
			r.HandleHeartbeat(start, heartbeat(7))
			tickTwoHeartbeats(r)
			r.HandleHeartbeat(start, heartbeat(8))
			r.HandleHeartbeat(start, restartedHeartbeat(3))
			tickTwoHeartbeats(r)
			r.HandleHeartbeat(start, restartedHeartbeat(4))
		}, start, true},
		"the target follows one that has started beside it": {func(r *resident.Machine) {
			r.HandleHeartbeat(start, heartbeat(1))
			r.HandleHeartbeat(start, restartedHeartbeat(1))
		}, start, true},
		"the only heartbeat of the one before may have been late": {func(r *resident.Machine) {
			r.HandleHeartbeat(start, heartbeat(7))
			r.HandleHeartbeat(start, restartedHeartbeat(3))
			tickTwoHeartbeats(r)
			r.HandleHeartbeat(start, restartedHeartbeat(4))
		}, start, false},
		"the same target timed out and is back": {func(r *resident.Machine) {
			r.SetEntryCreated()
			timeOutAfterHeartbeat(r)
			r.HandleHeartbeat(start, heartbeat(9))
		}, start, false},
		"... and its flows may be discarded": {func(r *resident.Machine) {
			r.SetEntryCreated()
			timeOutAfterHeartbeat(r)
			r.HandleHeartbeat(start, heartbeat(9))
		}, start.Add(flowLifetime), true},
		"another target follows one that timed out": {func(r *resident.Machine) {
			timeOutAfterHeartbeat(r)
			r.HandleHeartbeat(start, restartedHeartbeat(1))
		}, start, true},
		"there were more flows than the table holds": {func(r *resident.Machine) {
			r.SetEntryCreated()
			overfillFlowTable(r)
		}, start, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := resident.New(start, here, "pedidos", flowLifetime)
			test.setUp(r)
			d := r.HandleCallerPacket(test.at, dataPacket(9, 1), newHeader(next))
			if !test.isComplete {
				g.Expect(d.Verdict).To(Equal(resident.Deliver))
				return
			}
			g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
			g.Expect(d.Reason).To(Equal(resident.FlowNotHeld))
			g.Expect(d.Next).To(Equal(next))
		})
	}
}

// timeOutAfterHeartbeat receives one heartbeat and then lets the target time out.
func timeOutAfterHeartbeat(r *resident.Machine) {
	r.HandleHeartbeat(start, heartbeat(1))
	for range maxSilentTicks {
		r.Tick(start)
	}
}

func overfillFlowTable(r *resident.Machine) {
	for port := range uint16(5000) {
		r.HandleTargetPacket(start, acceptPacket(10_000+port))
	}
}

func TestCompleteFlowTableServesItsOwnFlows(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	r.SetEntryCreated()
	openFlow(g, r, start, 1)
	g.Expect(r.HandleCallerPacket(after(10), dataPacket(1, 200), newHeader(next)).Verdict).To(Equal(resident.Deliver))
	r.HandleTargetPacket(after(10), answerPacket(1))
	g.Expect(r.HandleCallerPacket(after(10), openingPacket(2), newHeader(next)).Verdict).To(Equal(resident.Deliver),
		"a new flow is not declined")
}

func TestCompleteFlowTableRulesOutThatRetransmittedOpeningPacketIsOpen(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	r.SetEntryCreated()
	r.HandleHeartbeat(start, drainingHeartbeat(2))
	repeated := openingPacket(1)
	repeated.Retransmissions = 1
	g.Expect(r.HandleCallerPacket(after(10), repeated, newHeader(next)).Header.MayBeOpen).To(BeFalse())
}

// A restarted target may serve flows before the agent receives its first heartbeat.
func TestFlowsOfNextIncarnationSurviveItsFirstHeartbeat(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	openFlow(g, r, after(-10), 1)
	openFlow(g, r, after(10), 2)
	ended := r.HandleHeartbeat(after(20), restartedHeartbeat(1)).EndedFlows
	g.Expect(ended).To(HaveLen(1))
	g.Expect(ended[0].ID).To(Equal(dataPacket(1, 1).IDFromCaller()))
	g.Expect(r.HandleCallerPacket(after(30), dataPacket(2, 200), newHeader(next)).Verdict).To(Equal(resident.Deliver))
	g.Expect(r.HandleCallerPacket(after(30), dataPacket(1, 200), newHeader(next)).Reason).To(Equal(resident.FlowNotHeld))
}

// When a target crashes and restarts within one heartbeat interval, operators look for the instance that crashed.
func TestForgottenFlowNamesPreviousInstance(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	openFlow(g, r, after(10), 1)
	r.HandleTargetPacket(after(11), answerPacket(1))
	restarted := restartedHeartbeat(1)
	restarted.Instance = "i-2"
	g.Expect(r.HandleHeartbeat(after(20), restarted).EndedFlows).To(BeEmpty(), "it may be a flow of i-2")
	bounced := dataPacket(1, 200)
	bounced.Mark = r.HandleCallerPacket(after(30), dataPacket(1, 200), newHeader()).Mark
	bounced.IsBounced = true
	d := r.HandleTargetPacket(after(30), bounced)
	g.Expect(d.Reason).To(Equal(resident.Forgotten))
	g.Expect(d.PreviousInstance).To(Equal("i-1"))
}

func TestStoppingAgentRedirectsPendingOpeningPacket(t *testing.T) {
	g := NewWithT(t)
	d := resident.Redirect(newHeader(next), resident.Stopping)
	g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
	g.Expect(d.Reason).To(Equal(resident.Stopping))
	g.Expect(d.Next).To(Equal(next))
	g.Expect(resident.Redirect(newHeader(), resident.Stopping).Verdict).To(Equal(resident.ReturnToBalancer))
}
