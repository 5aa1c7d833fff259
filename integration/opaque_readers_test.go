package integration

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Readers of the store", func() {
	// rests reports whether a balancer leaves the store to others of its group.
	rests := func(p *opaqueProcess) bool {
		text := p.logText()
		return strings.LastIndex(text, `"reading":false`) > strings.LastIndex(text, `"reading":true`)
	}
	resting := func(d *opaqueDeployment) (all []*opaqueProcess) {
		for _, p := range d.balancers {
			if rests(p) {
				all = append(all, p)
			}
		}
		return all
	}
	expectInForce := func(d *opaqueDeployment, balancers ...*opaqueProcess) {
		GinkgoHelper()
		for _, p := range balancers {
			Eventually(p.logText).WithTimeout(patience).
				Should(ContainSubstring(fmt.Sprintf(`"configuration":%d,"event":410`, d.version)))
		}
	}

	It("are two of a group, and tell the others of changes", func() {
		d := newOpaqueDeployment(5, 3)
		Eventually(func() int { return len(resting(d)) }).WithTimeout(patience).Should(Equal(3))
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines", opaqueDeferred: "lines"})
		expectInForce(d, d.balancers...)
		before := d.store.Calls()
		const calm = 3 * time.Second
		time.Sleep(calm)
		Expect(d.store.Calls()-before).To(BeNumerically("<=", 2*4+2), "a call a second of each reader, whatever the balancers")
		Expect(resting(d)).To(HaveLen(3))
	})

	It("are followed by others when they are killed", func() {
		d := newOpaqueDeployment(5, 3)
		Eventually(func() int { return len(resting(d)) }).WithTimeout(patience).Should(Equal(3))
		others := resting(d)
		for _, p := range d.balancers {
			if !rests(p) {
				p.kill()
			}
		}
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines", opaqueDeferred: "lines"})
		expectInForce(d, others...)
	})
})
