package integration

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/platform/standin"
)

var _ = Describe("Opaque flows", func() {
	// targetServing sends a request and returns the name of the target that answered it.
	targetServing := func(c *standin.Caller, request string) string {
		GinkgoHelper()
		name, err := c.SendRequest(request)
		Expect(err).NotTo(HaveOccurred())
		return name
	}
	expectOpen := func(c *standin.Caller) {
		GinkgoHelper()
		Expect(c.Open()).To(Succeed())
	}

	It("stay on their target whichever balancer receives their packets", func() {
		d := newOpaqueDeployment(3, 4)
		turn := 0
		c := d.newCaller(func() *opaqueProcess {
			turn++
			return d.balancers[turn%3]
		})
		expectOpen(c)
		first := targetServing(c, "request 0")
		for i := 1; i < 20; i++ {
			Expect(targetServing(c, fmt.Sprintf("request %d", i))).To(Equal(first))
		}
	})

	It("open on a target with a free slot", func() {
		d := newOpaqueDeployment(1, 2)
		running := func(t *standin.Target) (count int) {
			for i := range 2 * standin.Slots {
				count += t.RunCount(fmt.Sprint(standin.StalledPrefix, i))
			}
			return count
		}
		for i := range 2 * standin.Slots {
			c := d.newCaller(alwaysVia(d.balancers[0]))
			expectOpen(c)
			go func() { _, _ = c.SendRequest(fmt.Sprint(standin.StalledPrefix, i)) }()
			Eventually(func() int { return running(d.targets[0]) + running(d.targets[1]) }).
				WithTimeout(opaqueWaitLimit).Should(Equal(i + 1))
		}
		Expect(running(d.targets[0])).To(Equal(standin.Slots), "the hash alone does not distribute the flows evenly")
	})

	It("survive the kill of every balancer", func() {
		d := newOpaqueDeployment(2, 3)
		c := d.newCaller(alwaysVia(d.balancers[0]))
		expectOpen(c)
		first := targetServing(c, "before")
		for _, p := range d.balancers {
			p.restart()
		}
		d.awaitReady()
		Expect(targetServing(c, "after")).To(Equal(first))
	})

	It("survive the restart of the agent beside their target", func() {
		d := newOpaqueDeployment(1, 3)
		c := d.newCaller(alwaysVia(d.balancers[0]))
		expectOpen(c)
		first := targetServing(c, "before")
		for _, p := range d.agents {
			p.restart()
		}
		Eventually(func() error {
			_, err := c.SendRequest("after")
			return err
		}).WithTimeout(opaqueWaitLimit).Should(Succeed())
		Expect(targetServing(c, "again")).To(Equal(first))
	})

	It("are found behind targets that joined after they opened", func() {
		d := newOpaqueDeployment(1, 2)
		c := d.newCaller(alwaysVia(d.balancers[0]))
		expectOpen(c)
		first := targetServing(c, "before")
		for range 6 {
			d.addTarget()
		}
		d.awaitReady()
		for i := range 5 {
			Expect(targetServing(c, fmt.Sprintf("after %d", i))).To(Equal(first))
		}
	})

	It("go to no target that drains, once the drain is acknowledged", func() {
		d := newOpaqueDeployment(1, 3)
		keptCaller := d.newCaller(alwaysVia(d.balancers[0]))
		expectOpen(keptCaller)
		first := targetServing(keptCaller, "kept 0")
		// The balancers do not learn of the drain, so the agent alone must decline new flows.
		d.store.SetFault("", standin.Busy)
		var leaving *standin.Target
		for _, t := range d.targets {
			if t.Name == first {
				leaving = t
			}
		}
		Expect(leaving.Drain()).To(Succeed())
		before := leaving.OpeningPackets()
		for i := range 30 {
			c := d.newCaller(alwaysVia(d.balancers[0]))
			expectOpen(c)
			Expect(targetServing(c, fmt.Sprintf("new %d", i))).NotTo(Equal(first))
			c.Close()
		}
		Expect(leaving.OpeningPackets()).To(Equal(before))
		Expect(targetServing(keptCaller, "kept 1")).To(Equal(first))
	})

	It("of a target that crashed end with a reset once it is back", func() {
		d := newOpaqueDeployment(1, 1)
		c := d.newCaller(alwaysVia(d.balancers[0]))
		expectOpen(c)
		targetServing(c, "before")
		d.targets[0].Crash()
		time.Sleep(5 * time.Millisecond) // a later start time distinguishes the incarnations
		d.startTarget(d.agents[0].ip, "lines")
		_, err := c.SendRequest("after")
		Expect(err).To(MatchError(standin.ErrReset))
		expectOpen(c)
		targetServing(c, "again")
	})

	It("never reach another service that has taken over an address", func() {
		d := newOpaqueDeployment(1, 1)
		c := d.newCaller(alwaysVia(d.balancers[0]))
		expectOpen(c)
		targetServing(c, "before")
		// The balancer does not learn of the change and continues to send to the address.
		d.store.SetFault("", standin.Busy)
		d.targets[0].Crash()
		d.agents[0].kill()
		d.agents = append(d.agents, d.startAgent(d.agents[0].ip, "archive"))
		other := d.startTarget(d.agents[0].ip, "archive")
		Eventually(func() error { return other.Drain() }).WithTimeout(opaqueWaitLimit).Should(Succeed())
		_, err := c.SendRequest("after")
		Expect(err).To(HaveOccurred())
		Expect(c.Open()).NotTo(Succeed())
		Expect(other.OpeningPackets()).To(BeZero())
		Expect(other.RunCount("after")).To(BeZero())
	})

	It("follow the operator's routes while the store serves only some balancers", func() {
		d := newOpaqueDeployment(2, 1)
		disconnected := d.balancers[1]
		// The calls of all processes come from 127.0.0.1, so the store cannot fail for one of them. The second balancer is
		// restarted while the store is down instead, and gets the configuration from the first.
		d.store.SetFault("", standin.Reset)
		disconnected.restart()
		Eventually(func() bool { return d.isReady(disconnected) }).WithTimeout(opaqueWaitLimit).Should(BeTrue())
		c := d.newCaller(alwaysVia(disconnected))
		expectOpen(c)
		targetServing(c, "in the outage")
		Expect(disconnected.logText()).To(ContainSubstring(`"source":"` + d.vmAddress(d.balancers[0].ip, opaquePortPeer).String()))
	})

	It("to a removed route are refused at once, and those to an added route are served", func() {
		d := newOpaqueDeployment(1, 1)
		c := d.newCaller(alwaysVia(d.balancers[0]))
		d.configure(map[netip.AddrPort]string{netip.MustParseAddrPort("198.18.0.9:443"): "lines"})
		Eventually(c.Open).WithTimeout(opaqueWaitLimit).Should(MatchError(standin.ErrReset))
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
		Eventually(c.Open).WithTimeout(opaqueWaitLimit).Should(Succeed())
	})

	It("continue through a planned stop of their balancer until routers have noticed it", func() {
		d := newOpaqueDeployment(1, 1)
		c := d.newCaller(alwaysVia(d.balancers[0]))
		expectOpen(c)
		d.balancers[0].signal(syscall.SIGTERM)
		Eventually(func() bool { return d.isReady(d.balancers[0]) }).WithTimeout(opaqueWaitLimit).Should(BeFalse())
		Expect(d.balancers[0].command.ProcessState).To(BeNil(), "the balancer continues to forward for the linger time")
		targetServing(c, "during the stop")
		Eventually(d.balancers[0].exited).WithTimeout(opaqueWaitLimit).Should(BeClosed())
	})

	It("are not sent to a target that left while the store was unavailable", func() {
		d := newOpaqueDeployment(1, 2)
		key := "gentian/targets/" + d.agents[0].ip.String()
		before := d.store.Value(key)
		d.store.SetFault("", standin.Reset)
		Expect(d.targets[0].Drain()).To(Succeed())
		Expect(d.targets[0].Leave()).To(Succeed())
		d.store.SetFault("", standin.NoFault)
		d.agents[0].signal(syscall.SIGTERM)
		Eventually(d.agents[0].exited).WithTimeout(opaqueWaitLimit).Should(BeClosed())
		Expect(d.store.Value(key)).NotTo(Equal(before))
		for i := range 10 {
			c := d.newCaller(alwaysVia(d.balancers[0]))
			expectOpen(c)
			Expect(targetServing(c, fmt.Sprint("request ", i))).To(Equal(d.targets[1].Name))
			c.Close()
		}
	})

	It("are reset when no target is left to accept them", func() {
		d := newOpaqueDeployment(1, 1)
		Expect(d.targets[0].Drain()).To(Succeed())
		c := d.newCaller(alwaysVia(d.balancers[0]))
		Expect(c.Open()).To(MatchError(standin.ErrReset))
	})
})
