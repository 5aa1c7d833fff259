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

var _ = Describe("A route that moves to another service", func() {
	// Guards against resets of open flows by balancers that start after the move: the services that a route named before are only
	// in the memory of balancers.
	It("keeps its open flows, also through balancers that start later", func() {
		d := emptyOpaqueDeployment()
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
		for range 2 {
			d.addBalancer()
		}
		d.addTarget()
		ip := d.newIP()
		d.agents = append(d.agents, d.startAgent(ip, "archive"))
		d.startTarget(ip, "archive")
		d.awaitReady()
		router := d.balancers[0]
		c := d.newCaller(func() *opaqueProcess { return router })
		Expect(c.Open()).To(Succeed())
		Expect(c.SendRequest("before")).To(Equal(d.targets[0].Name))
		d.configure(map[netip.AddrPort]string{opaqueAddress: "archive"})
		for _, p := range d.balancers {
			Eventually(p.logText).WithTimeout(opaqueWaitLimit).Should(ContainSubstring(`"moved":1`))
		}
		for _, p := range d.balancers {
			p.restart()
			Eventually(func() bool { return d.isReady(p) }).WithTimeout(opaqueWaitLimit).Should(BeTrue())
			router = p
			Expect(c.SendRequest("through " + p.ip.String())).To(Equal(d.targets[0].Name))
		}
		opened := d.newCaller(func() *opaqueProcess { return router })
		Expect(opened.Open()).To(Succeed())
		Expect(opened.SendRequest("after")).To(Equal(d.targets[1].Name), "new flows go to the new service")
	})

	// Guards against balancers that never learn which services the routes named before they started.
	It("is known to a balancer that starts later and reads its state from the store", func() {
		d := newOpaqueDeployment(2, 1)
		first := d.version
		d.configure(map[netip.AddrPort]string{opaqueAddress: "archive"})
		Eventually(d.balancers[0].logText).WithTimeout(opaqueWaitLimit).Should(ContainSubstring(`"moved":1`))
		last := d.balancers[1]
		last.restart()
		Eventually(last.logText).WithTimeout(opaqueWaitLimit).Should(ContainSubstring(fmt.Sprintf(`"known_from":%d`, first)))
	})
})

var _ = Describe("A route that is removed", func() {
	otherRoute := map[netip.AddrPort]string{netip.MustParseAddrPort("198.18.0.9:443"): "lines"}

	// Guards against resets of open flows by a balancer that is behind: its table has lacked the route for a while, and it does not have
	// the one yet that adds the route again.
	It("and added again keeps the flows opened since, also through a balancer that is behind", func() {
		d := newOpaqueDeployment(2, 1)
		router, behind := d.balancers[0], d.balancers[1]
		d.configure(otherRoute)
		d.expectInForce(d.balancers...)
		behind.signal(syscall.SIGSTOP)
		time.Sleep(1200 * time.Millisecond)
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
		c := d.newCaller(func() *opaqueProcess { return router })
		Eventually(c.Open).WithTimeout(opaqueWaitLimit).Should(Succeed())
		Expect(c.SendRequest("through the first balancer")).To(Equal(d.targets[0].Name))
		router = behind
		time.AfterFunc(100*time.Millisecond, func() { behind.signal(syscall.SIGCONT) })
		Expect(c.SendRequest("through the one that is behind")).To(Equal(d.targets[0].Name))
	})

	// Guards against callers who wait for their deadline because a balancer has not seen the removal itself.
	It("ends its open flows with a reset, also by a balancer that has started since", func() {
		d := newOpaqueDeployment(1, 1)
		c, later := d.newCaller(alwaysVia(d.balancers[0])), d.newCaller(alwaysVia(d.balancers[0]))
		Expect(c.Open()).To(Succeed())
		Expect(later.Open()).To(Succeed())
		d.configure(otherRoute)
		d.expectInForce(d.balancers...)
		_, err := c.SendRequest("after the removal")
		Expect(err).To(MatchError(standin.ErrReset))
		d.balancers[0].restart()
		Eventually(func() bool { return d.isReady(d.balancers[0]) }).WithTimeout(opaqueWaitLimit).Should(BeTrue())
		_, err = later.SendRequest("after the start")
		Expect(err).To(MatchError(standin.ErrReset))
	})
})
