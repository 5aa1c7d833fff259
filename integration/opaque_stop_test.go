package integration

import (
	"fmt"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/platform/standin"
)

var _ = Describe("An agent that ends before its target", func() {
	// openServedFlow returns a caller with an open flow, and the agent and the target of that flow.
	openServedFlow := func(d *opaqueDeployment) (*standin.Caller, *opaqueProcess, *standin.Target) {
		GinkgoHelper()
		c := d.newCaller(alwaysVia(d.balancers[0]))
		Expect(c.Open()).To(Succeed())
		name, err := c.SendRequest("before")
		Expect(err).NotTo(HaveOccurred())
		for i, t := range d.targets {
			if t.Name == name {
				return c, d.agents[i], t
			}
		}
		Fail("no target is named " + name)
		return nil, nil, nil
	}

	It("serves the flows of a draining target until the target has left", func() {
		d := newOpaqueDeployment(1, 3)
		c, agent, target := openServedFlow(d)
		Expect(target.Drain()).To(Succeed())
		agent.signal(syscall.SIGTERM)
		Eventually(agent.logText).WithTimeout(opaqueWaitLimit).Should(ContainSubstring("process stopping"))
		for i := range 5 {
			name, err := c.SendRequest(fmt.Sprint("while it drains ", i))
			Expect(err).NotTo(HaveOccurred())
			Expect(name).To(Equal(target.Name))
		}
		Expect(target.Leave()).To(Succeed())
		Eventually(agent.exited).WithTimeout(opaqueWaitLimit).Should(BeClosed())
		Expect(agent.logText()).To(ContainSubstring(`"event":315,"left":true`), "the store must record that the target left")
	})

	It("tells the store first that its target has not come back after a power failure", func() {
		d := newOpaqueDeployment(1, 2)
		_, agent, target := openServedFlow(d)
		Expect(target.Drain()).To(Succeed())
		target.Crash()
		agent.restart()
		Eventually(agent.logText).WithTimeout(opaqueWaitLimit).Should(ContainSubstring("process started"))
		agent.signal(syscall.SIGTERM)
		Eventually(agent.exited).WithTimeout(opaqueWaitLimit).Should(BeClosed())
		Expect(agent.logText()).To(ContainSubstring(`"left":true`))
	})

	It("shuts down at once when its target continues", func() {
		d := newOpaqueDeployment(1, 2)
		_, agent, _ := openServedFlow(d)
		agent.signal(syscall.SIGTERM)
		Eventually(agent.exited).WithTimeout(opaqueWaitLimit).Should(BeClosed())
		Expect(agent.logText()).NotTo(ContainSubstring(`"left":true`))
	})

	It("leaves flows behind whose packets reach no other target", func() {
		d := newOpaqueDeployment(1, 4)
		c, agent, target := openServedFlow(d)
		agent.kill()
		_, err := c.SendRequest("nobody is there")
		Expect(err).To(MatchError(standin.ErrNoAnswer))
		for _, t := range d.targets {
			if t != target {
				Expect(t.UnknownFlowPackets()).To(BeZero(), t.Name)
			}
		}
		agent.start()
		Eventually(func() error {
			name, err := c.SendRequest("after")
			if err == nil {
				Expect(name).To(Equal(target.Name))
			}
			return err
		}).WithTimeout(opaqueWaitLimit).Should(Succeed())
	})
})
