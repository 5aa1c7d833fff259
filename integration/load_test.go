package integration

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/load"
)

var _ = Describe("The load generator", func() {
	It("sends the steady mix, whose requests are all answered and run once", func() {
		e := start(small())
		p := load.Steady(e, 1, 4*time.Second)
		r, err := load.Start(context.Background(), p)
		Expect(err).NotTo(HaveOccurred())
		summary := r.Wait()
		Expect(load.Audit(e, r.Recorder, summary, nil)).To(Succeed())
		Expect(summary.FlowsOpened).To(Equal(60))
		Expect(summary.FlowsBroken + summary.Wrong + summary.Cut + summary.DuplicateRuns).To(BeZero())
		for _, c := range summary.Classes {
			Expect(c.Outcomes.Done).To(Equal(c.Sent), "%+v", c)
		}
		Expect(summary.Pools).To(HaveLen(2))
	})
})
