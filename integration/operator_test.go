package integration

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/emulator"
	"gentianswitch/internal/operator"
)

// runGentianctlJSON runs a command of gentianctl with JSON output, decodes the output into report and returns the exit code.
func runGentianctlJSON(e *emulator.Emulator, report any, args ...string) operator.ExitCode {
	GinkgoHelper()
	answer, err := e.RunGentianctl(append([]string{args[0], "-o", "json"}, args[1:]...)...)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal([]byte(answer.Output), report)).To(Succeed(), answer.Output)
	return operator.ExitCode(answer.Code)
}

// targetState returns the state and the remaining work of the target at an IP address, as gentianctl status shows them.
func targetState(e *emulator.Emulator, ip string) (string, *operator.AgentStatus) {
	GinkgoHelper()
	var status operator.StatusReport
	Expect(runGentianctlJSON(e, &status, "status")).To(Equal(operator.ExitOK))
	for _, t := range status.Targets {
		if t.Agent.Addr().String() == ip {
			return t.State, t.AgentStatus
		}
	}
	return "", nil
}

var _ = Describe("The operator", func() {
	It("sees every balancer and target, drains a target, undoes the drain and forces the shutdown", func() {
		e := startOneTargetDeployment()
		agent := e.Agents[0]
		address := agent.IP + ":4400"
		var status operator.StatusReport
		Expect(runGentianctlJSON(e, &status, "status")).To(Equal(operator.ExitOK))
		Expect(status.Revision).To(BeEquivalentTo(1))
		Expect(status.Balancers).To(HaveLen(3))
		Expect(status.Targets).To(HaveLen(1))
		openFeeds(e, 1, 600)

		var drain operator.DrainReport
		Expect(runGentianctlJSON(e, &drain, "drain", "--wait", "--timeout", "1s", address)).To(Equal(operator.ExitPending))
		Expect(drain.AgentStatus.Flows).To(Equal(1))
		state, progress := targetState(e, agent.IP)
		Expect(state).To(Equal("draining"))
		Expect(progress.Flows).To(Equal(1))

		Expect(runGentianctlJSON(e, &drain, "undrain", address)).To(Equal(operator.ExitOK))
		Eventually(func() string {
			state, _ := targetState(e, agent.IP)
			return state
		}, inForceLimit).Should(Equal("ready"))

		Expect(runGentianctlJSON(e, &drain, "drain", "--force", "--wait", address)).To(Equal(operator.ExitOK))
		Expect(drain.IsComplete).To(BeTrue())
		Expect(agent.Wait(stopLimit)).To(Succeed())
		Expect(agent.ExitCode()).To(Equal(0))
	})
})
