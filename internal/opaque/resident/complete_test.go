package resident_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/resident"
)

// quiet lets two intervals of heartbeats pass.
func quiet(r *resident.Machine) {
	for range 2 * resident.TicksPerHeartbeat {
		r.Tick(start)
	}
}

func restarted(sequence int64) resident.Heartbeat {
	h := heartbeat(sequence)
	h.Started = 2000
	return h
}

// The pattern is a target whose agent has ended while it drains: the packets of its flows are looked for at all others.
func TestAPacketOfAnotherTargetsFlowIsDeclinedOnlyByACompleteTable(t *testing.T) {
	for name, test := range map[string]struct {
		give       func(r *resident.Machine)
		at         time.Time
		isComplete bool
	}{
		"a former process may have carried it": {func(r *resident.Machine) { r.HandleHeartbeat(start, heartbeat(1)) }, start, false},
		"a flow as old may be discarded":       {func(*resident.Machine) {}, start.Add(flowLifetime), true},
		"one just younger may not":             {func(*resident.Machine) {}, start.Add(flowLifetime - 1), false},
		"no balancer knew the VM before":       {func(r *resident.Machine) { r.SetEntryCreated() }, start, true},
		"the target starts beside it":          {func(r *resident.Machine) { quiet(r); r.HandleHeartbeat(start, heartbeat(1)) }, start, true},
		"its first calls may have failed":      {func(r *resident.Machine) { quiet(r); r.HandleHeartbeat(start, heartbeat(2)) }, start, false},
		"the target follows one that was known": {func(r *resident.Machine) {
			r.HandleHeartbeat(start, heartbeat(7))
			r.HandleHeartbeat(start, restarted(3))
		}, start, true},
		"the same target was given up and is back":     {func(r *resident.Machine) { r.SetEntryCreated(); giveUp(r); r.HandleHeartbeat(start, heartbeat(9)) }, start, false},
		"... and its flows may be discarded":           {func(r *resident.Machine) { r.SetEntryCreated(); giveUp(r); r.HandleHeartbeat(start, heartbeat(9)) }, start.Add(flowLifetime), true},
		"another target follows one that was given up": {func(r *resident.Machine) { giveUp(r); r.HandleHeartbeat(start, restarted(1)) }, start, true},
		"there were more flows than it has room for":   {func(r *resident.Machine) { r.SetEntryCreated(); overfill(r) }, start, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := resident.New(start, here, "pedidos", flowLifetime)
			test.give(r)
			d := r.HandleCallerPacket(test.at, data(9, 1), frame(next))
			if !test.isComplete {
				g.Expect(d.Verdict).To(Equal(resident.Deliver))
				return
			}
			g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
			g.Expect(d.Reason).To(Equal(resident.NotHeld))
			g.Expect(d.Next).To(Equal(next))
		})
	}
}

// giveUp takes a heartbeat and lets the target fall silent.
func giveUp(r *resident.Machine) {
	r.HandleHeartbeat(start, heartbeat(1))
	for range absentTicks {
		r.Tick(start)
	}
}

func overfill(r *resident.Machine) {
	for port := range uint16(5000) {
		r.HandleTargetPacket(start, accept(10_000+port))
	}
}

func TestACompleteTableServesItsOwnFlows(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	r.SetEntryCreated()
	open(g, r, start, 1)
	g.Expect(r.HandleCallerPacket(after(10), data(1, 200), frame(next)).Verdict).To(Equal(resident.Deliver))
	r.HandleTargetPacket(after(10), answer(1))
	g.Expect(r.HandleCallerPacket(after(10), opening(2), frame(next)).Verdict).To(Equal(resident.Deliver), "a new flow is no stray")
}

func TestACompleteTableTellsWhetherARepeatedOpeningIsOpen(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	r.SetEntryCreated()
	r.HandleHeartbeat(start, draining(2))
	repeated := opening(1)
	repeated.Retransmissions = 1
	g.Expect(r.HandleCallerPacket(after(10), repeated, frame(next)).Header.MayBeOpen).To(BeFalse())
}

// The pattern is a target that restarts and serves before its first heartbeat has been taken.
func TestFlowsOfTheNextIncarnationOutliveTheFormerOne(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, after(-10), 1)
	open(g, r, after(10), 2)
	ended := r.HandleHeartbeat(after(20), restarted(1)).Ended
	g.Expect(ended).To(HaveLen(1))
	g.Expect(ended[0].ID).To(Equal(data(1, 1).IDFromCaller()))
	g.Expect(r.HandleCallerPacket(after(30), data(2, 200), frame(next)).Verdict).To(Equal(resident.Deliver))
	g.Expect(r.HandleCallerPacket(after(30), data(1, 200), frame(next)).Reason).To(Equal(resident.NotHeld))
}

// The pattern is a target that crashes and restarts within an interval of its heartbeats: operators look for the instance that died.
func TestAFlowThatEndedWithAFormerInstanceNamesIt(t *testing.T) {
	g := NewWithT(t)
	r := beside()
	open(g, r, after(10), 1)
	r.HandleTargetPacket(after(11), answer(1))
	next := restarted(1)
	next.Instance = "i-2"
	g.Expect(r.HandleHeartbeat(after(20), next).Ended).To(BeEmpty(), "it may be a flow of i-2")
	bounced := data(1, 200)
	bounced.Mark = r.HandleCallerPacket(after(30), data(1, 200), frame()).Mark
	bounced.IsBounced = true
	d := r.HandleTargetPacket(after(30), bounced)
	g.Expect(d.Reason).To(Equal(resident.Forgotten))
	g.Expect(d.PreviousInstance).To(Equal("i-1"))
}

func TestAnOpeningThatWaitsAtAnAgentThatEndsGoesToTheNextCandidate(t *testing.T) {
	g := NewWithT(t)
	d := resident.Redirect(frame(next))
	g.Expect(d.Verdict).To(Equal(resident.ForwardNext))
	g.Expect(d.Reason).To(Equal(resident.Stopping))
	g.Expect(d.Next).To(Equal(next))
	g.Expect(resident.Redirect(frame()).Verdict).To(Equal(resident.ReturnToBalancer))
}
