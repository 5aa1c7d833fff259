package resident_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/resident"
)

// Guards against records of flows that carry one request only, which would be written all the time for nothing, and of flows that have
// ended. A request of several packets, and retransmissions, count once.
//
// The flow of a route whose requests may be repeated is not listed: its record would cost calls and save none of them.
func TestFlowsWithTwoAnsweredRequestsArePersistent(t *testing.T) {
	g := NewWithT(t)
	r := newMachine()
	h := newHeader()
	h.RunsOnce = true
	r.HandleCallerPacket(start, openingPacket(1), h)
	r.HandleTargetPacket(start, acceptPacket(1))
	r.HandleCallerPacket(start, dataPacket(1, 1), newHeader())
	openFlow(g, r, start, 2)
	exchange := func(sequence uint32) {
		for _, at := range []uint32{sequence, sequence + 100, sequence} {
			r.HandleCallerPacket(after(10), dataPacket(1, at), newHeader())
		}
		r.HandleTargetPacket(after(20), answerPacket(1))
		r.HandleTargetPacket(after(20), answerPacket(1))
		r.HandleCallerPacket(after(10), dataPacket(2, sequence), newHeader())
		r.HandleTargetPacket(after(20), answerPacket(2))
	}
	exchange(1000)
	g.Expect(r.AppendPersistentFlows(nil)).To(BeEmpty())
	exchange(1200)
	id := openingPacket(1).IDFromCaller()
	g.Expect(r.AppendPersistentFlows(nil)).To(Equal([]resident.PersistentFlow{
		{ID: id, AcceptedAt: start, UsedAt: after(20), Acknowledged: 5000},
	}))
	for n := range uint32(300) {
		exchange(1400 + 200*n)
	}
	g.Expect(r.AppendPersistentFlows(nil)).To(HaveLen(1), "the count does not wrap around")
	g.Expect(r.HasFlow(id)).To(BeTrue())
	finished := dataPacket(1, 100_000)
	finished.Finishes = true
	r.HandleCallerPacket(after(30), finished, newHeader())
	g.Expect(r.AppendPersistentFlows(nil)).To(BeEmpty(), "the caller sends no more requests")
}

// Guards against work for the garbage collector in each check of a full table.
func TestListingPersistentFlowsReusesItsBuffer(t *testing.T) {
	r := newMachine()
	buffer := make([]resident.PersistentFlow, 0, 10)
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() { buffer = r.AppendPersistentFlows(buffer[:0]) })).To(BeZero())
}
