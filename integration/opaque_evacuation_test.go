package integration

import (
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/platform/standin"
)

var _ = Describe("The evacuation of an availability zone", func() {
	const evacuationKey, openedFlows = "op/evacuate/ambato", 30

	var d *opaqueDeployment
	var agent *opaqueProcess
	var target *standin.Target
	BeforeEach(func() {
		d = emptyOpaqueDeployment()
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
		for range 2 {
			d.addBalancer()
		}
		for range 2 {
			d.addTarget()
		}
		agent, target = d.addTargetInZone("ambato")
		d.awaitReady()
	})

	// openFlows opens flows through a balancer, and returns a caller whose flow is open at the target of the zone, if there is one.
	openFlows := func(through *opaqueProcess) (atTarget *standin.Caller) {
		GinkgoHelper()
		for range openedFlows {
			c := d.newCaller(alwaysVia(through))
			Expect(c.Open()).To(Succeed())
			if name, err := c.SendRequest("first"); err == nil && name == target.Name {
				atTarget = c
			}
		}
		return atTarget
	}
	// awaitEvacuation waits until the balancers and the agent know whether the zone is evacuated.
	awaitEvacuation := func(isEvacuated string) {
		GinkgoHelper()
		for _, p := range append([]*opaqueProcess{agent}, d.balancers...) {
			Eventually(func() bool {
				lines := strings.Split(p.logText(), "\n")
				for i := len(lines) - 1; i >= 0; i-- {
					if strings.Contains(lines[i], `"evacuated":`) {
						return strings.Contains(lines[i], `"evacuated":`+isEvacuated)
					}
				}
				return false
			}).WithTimeout(opaqueWaitLimit).Should(BeTrue(), p.ip.String())
		}
	}

	// Guards against new flows in an evacuated zone, also through a balancer that starts later, against resets of its open flows, and
	// against a zone that is not used any more after its return to service.
	It("ends its new flows and keeps the open ones", func() {
		open := openFlows(d.balancers[0])
		Expect(open).NotTo(BeNil())
		d.store.Put(evacuationKey, []byte("{}"))
		awaitEvacuation("true")
		accepted := target.AcceptedFlows()
		d.balancers[1].restart()
		Eventually(func() bool { return d.isReady(d.balancers[1]) }).WithTimeout(opaqueWaitLimit).Should(BeTrue())
		for _, p := range d.balancers {
			Expect(openFlows(p)).To(BeNil())
		}
		Expect(target.AcceptedFlows()).To(Equal(accepted))
		Expect(open.SendRequest("second")).To(Equal(target.Name))

		d.store.Delete(evacuationKey)
		awaitEvacuation("false")
		Expect(openFlows(d.balancers[0])).NotTo(BeNil())
	})

	// Guards against new flows in the zone after the restored store has lost the evacuation, until the operator writes it again.
	It("outlasts a store that is restored from an earlier copy", func() {
		backup := d.store.Copy()
		d.store.Put(evacuationKey, []byte("{}"))
		awaitEvacuation("true")
		accepted := target.AcceptedFlows()
		d.restoreStore(backup, shortestFault)
		for _, p := range d.balancers {
			Eventually(p.logText).WithTimeout(opaqueWaitLimit).Should(ContainSubstring(`"event":415`))
			Expect(openFlows(p)).To(BeNil())
		}
		d.store.Put(evacuationKey, []byte("{}"))
		Expect(openFlows(d.balancers[0])).To(BeNil())
		Expect(target.AcceptedFlows()).To(Equal(accepted))
	})

	// Guards against callers that wait although no target may accept their flows, and against a key that is not a zone's.
	It("refuses flows at once when every zone is evacuated, whatever else operators write", func() {
		d.store.Put("op/evacuate/", []byte("{}"))
		d.store.Put(evacuationKey, []byte("not JSON"))
		d.store.Put("op/evacuate/quito", nil)
		awaitEvacuation("true")
		for _, p := range d.balancers {
			Eventually(p.logText).WithTimeout(opaqueWaitLimit).Should(ContainSubstring(`"zone":"quito"`))
			Expect(p.logText()).To(ContainSubstring("evacuation refused"))
			Expect(d.newCaller(alwaysVia(p)).Open()).To(MatchError(standin.ErrReset))
			Eventually(p.logText).WithTimeout(opaqueWaitLimit).Should(ContainSubstring(`"reason":"evacuated"`))
		}
	})
})
