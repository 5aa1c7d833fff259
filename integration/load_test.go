package integration

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/emulator"
	"gentianswitch/internal/load"
	"gentianswitch/internal/report"
	"gentianswitch/internal/standin/certificates"
)

var _ = Describe("The load generator", func() {
	It("sends the steady mix of requests, which are all answered and run once", func() {
		e := startDeployment(smallDeployment())
		p := load.SteadyLoad(e, 1, 4*time.Second)
		r, err := load.Start(context.Background(), p)
		Expect(err).NotTo(HaveOccurred())
		summary := r.Wait()
		Expect(load.AuditTargets(e, r.Recorder, summary, nil)).To(Succeed())
		Expect(summary.FlowsOpened).To(Equal(60))
		Expect(summary.FlowsBroken + summary.Wrong + summary.Cut + summary.DuplicateRuns).To(BeZero())
		for _, c := range summary.Classes {
			Expect(c.Outcomes.Done).To(Equal(c.Sent), "%+v", c)
		}
		Expect(summary.Pools).To(HaveLen(2))
	})

	It("sends a load peak, whose refused requests never run and whose answers are complete", func() {
		e := startDeployment(smallDeployment())
		r, err := load.Start(context.Background(), load.PeakLoad(e, 1, 9*time.Second))
		Expect(err).NotTo(HaveOccurred())
		summary := r.Wait()
		Expect(load.AuditTargets(e, r.Recorder, summary, nil)).To(Succeed())
		GinkgoWriter.Printf("%+v\n", summary.Classes)
		Expect(summary.FlowsOpened).To(Equal(60))
		Expect(summary.FlowsBroken + summary.Wrong + summary.Cut + summary.DuplicateRuns).To(BeZero())
		Expect(summary.RanThoughNotRun).To(BeZero())
		Expect(summary.RefusedWithRetryAfter).To(Equal(summary.Refused))
	})

	It("runs as a command that writes its report as JSON", func() {
		e := startDeployment(smallDeployment())
		file := filepath.Join(GinkgoT().TempDir(), "report.json")
		route := func(port uint16) string { return e.Address(port) + "/" + e.Deployment.PoolOf(port).Name }
		command := exec.Command(filepath.Join(binDir, "gentian-standin"), "callers", "--profile", "steady", "--length", "2s",
			"--authority", e.File(certificates.AuthorityFile), "--feed", route(emulator.PortFeed),
			"--short", route(emulator.PortShort), "--long", route(emulator.PortLong), "--report", file)
		output, err := command.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
		raw, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		var written report.Report
		Expect(json.Unmarshal(raw, &written)).To(Succeed())
		Expect(written.FlowsOpened).To(Equal(60))
		Expect(written.FlowsBroken).To(BeZero())
	})
})
