package integration

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/record"
)

var _ = Describe("The record of persistent flows", func() {
	// Guards against requests that are lost after a power loss: callers send them on flows that no process and no target knows any more.
	// The request must not run twice, so its caller cannot send it again.
	It("resets the flows of a target and an agent that have both lost them, and no flow of a target that goes on", func() {
		d := newOpaqueDeployment(1, 2)
		opened := make(map[string]int)
		for range 12 {
			c := d.newCaller(alwaysVia(d.balancers[0]))
			Expect(c.Open()).To(Succeed())
			var name string
			for n := range 3 {
				var err error
				name, err = c.SendRequest(fmt.Sprint("request-", n))
				Expect(err).NotTo(HaveOccurred())
			}
			opened[name]++
		}
		for i, agent := range d.agents {
			Expect(opened[d.targets[i].Name]).To(BeNumerically(">", 0))
			Eventually(func() int {
				r, err := record.Decode(d.store.Value(record.Key(hop.IP(agent.ip.As4()))))
				if err != nil {
					return 0
				}
				return len(r.Flows)
			}).WithTimeout(opaqueWaitLimit).Should(Equal(opened[d.targets[i].Name]), agent.ip.String())
		}
		lost, kept := d.agents[0], d.agents[1]
		lost.kill()
		kept.kill()
		d.targets[0].Crash()
		// A later start time distinguishes the incarnations.
		time.Sleep(5 * time.Millisecond)
		lost.start()
		kept.start()
		d.startTarget(lost.ip, "lines")
		Eventually(lost.logText).WithTimeout(opaqueWaitLimit).
			Should(ContainSubstring(fmt.Sprintf(`"flows":%d,"former":"%s"`, opened[d.targets[0].Name], d.targets[0].Name)))
		Eventually(kept.logText).WithTimeout(opaqueWaitLimit).Should(ContainSubstring(`"event":312`))
		Consistently(kept.logText).WithTimeout(3 * time.Second).ShouldNot(ContainSubstring(`"event":224`))
	})
})
