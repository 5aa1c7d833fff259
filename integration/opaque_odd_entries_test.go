package integration

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
)

// deeplyNested is a msgpack value with 100,000 levels of nesting.
var deeplyNested = bytes.Repeat([]byte{0x91}, 100_000)

// oddEntry returns the value of an entry with unusual fields.
func oddEntry(fields map[string]any) []byte {
	GinkgoHelper()
	raw, err := msgpack.Marshal(fields)
	Expect(err).NotTo(HaveOccurred())
	return raw
}

// oddEntries returns entries of another writer that name no target.
func oddEntries() map[string][]byte {
	valid := oddEntry(map[string]any{"service": "lines", "slots": 5})
	return map[string][]byte{
		"10.9.0.1":        deeplyNested,
		"10.9.0.2":        []byte(strings.Repeat("[", 100_000)),
		"10.9.0.3":        oddEntry(map[string]any{"service": "lines", "slots": uint64(1) << 63}),
		"10.9.0.4":        oddEntry(map[string]any{"service": "lines", "slots": 1e308}),
		"10.9.0.5":        oddEntry(map[string]any{"service": "lines", "slots": -1}),
		"10.9.0.6":        oddEntry(map[string]any{"service": strings.Repeat("s", 800_000), "slots": 5}),
		"10.9.0.7":        nil,
		"10.9.0.8:99999":  valid,
		"999.1.1.1":       valid,
		"0.0.0.0":         valid,
		"255.255.255.255": valid,
		"224.0.0.1":       valid,
		"":                valid,
	}
}

var _ = Describe("An odd entry of another writer", func() {
	// Guards against balancers that end, or stop following the store, because one entry among those of the targets is odd.
	It("changes nothing, before balancers start and while they run", func() {
		d := emptyOpaqueDeployment()
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
		put := func() {
			for key, value := range oddEntries() {
				d.store.Put(registry.Prefix+key, value)
			}
		}
		put()
		for range 4 {
			d.addBalancer()
		}
		d.addTarget()
		d.awaitReady()
		put()
		d.addTarget()
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines", opaqueLessUrgent: "lines"})
		d.addBalancer()
		d.awaitReady()
		d.expectInForce(d.balancers...)
		for _, p := range d.balancers {
			for range 8 {
				c := d.newCaller(alwaysVia(p))
				Expect(c.Open()).To(Succeed())
				Expect(c.SendRequest("through " + p.ip.String())).To(HavePrefix("i-lines"))
			}
			Expect(p.exited).NotTo(BeClosed())
			for key := range oddEntries() {
				Expect(p.logText()).NotTo(ContainSubstring(`"agent":"`+key+`"`), "it names no target")
			}
		}
	})

	// Guards against a living target that a list of the store removes, because another writer has made its entry unreadable.
	It("takes the place of a target's entry, and the target keeps its flows", func() {
		d := newOpaqueDeployment(2, 1)
		c := openFlowAt(d, d.targets[0])
		d.store.Put(registry.Key(hop.IP(d.agents[0].ip.As4())), deeplyNested)
		d.store.Compact()
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines", opaqueLessUrgent: "lines"})
		d.expectInForce(d.balancers...)
		Expect(c.SendRequest("after")).To(Equal(d.targets[0].Name))
	})

	// Guards against resets by balancers that start and take the entry for one that is not there, and against an agent that leaves it as
	// it is while its target is in use.
	It("is replaced by the agent, and balancers that start reset no flow of the target", func() {
		d := newOpaqueDeployment(2, 1)
		c := openFlowAt(d, d.targets[0])
		key := registry.Key(hop.IP(d.agents[0].ip.As4()))
		// Before that, balancers that start reset no flow in any case.
		Eventually(func() []byte { return d.store.Value(registry.EraKey) }).WithTimeout(opaqueWaitLimit).ShouldNot(BeEmpty())
		d.agents[0].signal(syscall.SIGSTOP)
		d.store.Put(key, deeplyNested)
		for _, p := range d.balancers {
			p.restart()
			Eventually(func() bool { return d.isReady(p) }).WithTimeout(opaqueWaitLimit).Should(BeTrue())
		}
		// The agent cannot write its entry again before the balancers have started.
		time.AfterFunc(300*time.Millisecond, func() { d.agents[0].signal(syscall.SIGCONT) })
		Eventually(func() (string, error) { return c.SendRequest("after") }).WithTimeout(opaqueWaitLimit).Should(Equal(d.targets[0].Name))
		Expect(d.storedEntry(d.agents[0]).Service).To(Equal("lines"))
		for _, p := range d.balancers {
			Expect(p.logText()).NotTo(ContainSubstring(`"msg":"opaque flow reset"`))
		}
	})

	// Guards against a target that balancers cannot use, because its agent has acknowledged a heartbeat that no entry can hold.
	It("is not made of a heartbeat with fields out of range", func() {
		d := newOpaqueDeployment(1, 1)
		target, agent := d.targets[0], d.agents[0]
		send := func(slots int, zone string) int {
			body := fmt.Sprintf(`{"service":"lines","address":"%s","zone":"%s","max_concurrency":%d,"state":"ready","sequence":1000,"born":%d}`,
				d.vmAddress(agent.ip, opaquePortTarget), zone, slots, target.Started)
			request, err := http.NewRequest(http.MethodPut,
				"http://"+d.vmAddress(agent.ip, opaquePortAnnounce).String()+"/v1/instances/"+target.Name, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			answer, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Body.Close()).To(Succeed())
			return answer.StatusCode
		}
		Expect(send(1_000_000_000, "quito")).To(Equal(http.StatusBadRequest))
		Expect(send(-1, "quito")).To(Equal(http.StatusBadRequest))
		Expect(send(5, strings.Repeat("z", 2000))).To(Equal(http.StatusBadRequest))
		Expect(agent.logText()).To(ContainSubstring(`invalid target entry`))
		d.balancers[0].restart()
		Eventually(func() bool { return d.isReady(d.balancers[0]) }).WithTimeout(opaqueWaitLimit).Should(BeTrue())
		c := openFlowAt(d, target)
		Expect(c.SendRequest("after")).To(Equal(target.Name))
	})
})
