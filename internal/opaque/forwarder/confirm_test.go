package forwarder

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/registry"
)

// The pattern is a common return: after a loss of power each caller's next packet is one of a flow that has ended.
func TestAConfirmationServesThePacketsThatFollow(t *testing.T) {
	g := NewWithT(t)
	var c confirmation
	g.Expect(c.holds(time.Hour)).To(BeFalse(), "nothing has been read")
	c.take(time.Hour)
	g.Expect(c.holds(time.Hour + registry.JoinDelay - 1)).To(BeTrue())
	g.Expect(c.holds(time.Hour+registry.JoinDelay)).To(BeFalse(), "a target may have joined unseen, and serve")
	c.take(time.Minute)
	g.Expect(c.holds(time.Hour+registry.JoinDelay-1)).To(BeTrue(), "an answer that comes late takes nothing back")
}

func TestARecentReadingServesOthers(t *testing.T) {
	g := NewWithT(t)
	now, runs := time.Hour, 0
	r := rounds[int]{
		clock: func() (time.Duration, error) { return now, nil },
		read:  func(context.Context) (int, error) { runs++; now += time.Second; return runs, nil },
	}
	first, err := r.wait(context.Background(), time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(Equal(reading[int]{value: 1, began: time.Hour}), "it tells when it began, not when it ended")
	g.Expect(r.wait(context.Background(), time.Minute)).To(Equal(first))
	now = time.Hour + time.Minute + 1
	g.Expect(value(r.wait(context.Background(), time.Minute))).To(Equal(2), "the VM may have been suspended meanwhile")
}

func TestTheBootClockRuns(t *testing.T) {
	g := NewWithT(t)
	before, err := bootTime()
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(time.Millisecond)
	g.Expect(bootTime()).To(BeNumerically(">=", before+time.Millisecond))
}
