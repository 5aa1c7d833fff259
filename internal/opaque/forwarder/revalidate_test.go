package forwarder

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/registry"
)

// After a power failure the next packet of each caller belongs to a flow that has ended. One store read must serve all of them
// that arrive within the join delay.
func TestFreshnessLastsForTheJoinDelayAfterARead(t *testing.T) {
	g := NewWithT(t)
	var v viewFreshness
	g.Expect(v.isFreshAt(time.Hour)).To(BeFalse(), "nothing has been read")
	v.extend(time.Hour)
	g.Expect(v.isFreshAt(time.Hour + registry.JoinDelay - 1)).To(BeTrue())
	g.Expect(v.isFreshAt(time.Hour+registry.JoinDelay)).To(BeFalse(), "a target may have joined since, and may hold flows")
	v.extend(time.Minute)
	g.Expect(v.isFreshAt(time.Hour+registry.JoinDelay-1)).To(BeTrue(), "a late answer does not shorten the freshness")
}

func TestRecentReadServesLaterCallers(t *testing.T) {
	g := NewWithT(t)
	now, runs := time.Hour, 0
	r := readCoalescer[int]{
		clock: func() (time.Duration, error) { return now, nil },
		read:  func(context.Context) (int, error) { runs++; now += time.Second; return runs, nil },
	}
	first, err := r.get(context.Background(), time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(Equal(readResult[int]{value: 1, startedAt: time.Hour}), "the start of the read, not its end")
	g.Expect(r.get(context.Background(), time.Minute)).To(Equal(first))
	now = time.Hour + time.Minute + 1
	g.Expect(value(r.get(context.Background(), time.Minute))).To(Equal(2), "the VM may have been suspended meanwhile")
}

func TestBootTimeAdvances(t *testing.T) {
	g := NewWithT(t)
	before, err := bootTime()
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(time.Millisecond)
	g.Expect(bootTime()).To(BeNumerically(">=", before+time.Millisecond))
}
