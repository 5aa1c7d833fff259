package integration

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/standin/callers"
)

const (
	otherServiceMetric = "gentian_agent_dropped_other_service"
	formerFlowMetric   = "gentian_agent_dropped_former_flow"
)

// openFlow opens a flow with a short request and returns its caller and the number of the VM whose target ran the request.
func openFlow(e *emulator.Emulator, id string) (caller *callers.Caller, host int) {
	GinkgoHelper()
	caller = newCaller(e, emulator.PortShort)
	first := callers.Request{ID: id, Class: class.Short, Body: []byte("notice")}
	Expect(sendOnFlow(e, caller, emulator.PortShort, first).Outcome).To(Equal(callers.Done))
	for _, host := range e.VMsOf(e.Deployment.PoolOf(emulator.PortShort).Name) {
		if countRuns(e, host, id) > 0 {
			return caller, host
		}
	}
	Fail("no target has run " + id)
	return nil, 0
}

// countRuns returns how often the target on a VM has run a request.
func countRuns(e *emulator.Emulator, host int, id string) int {
	GinkgoHelper()
	runs, err := e.Runs(host)
	Expect(err).NotTo(HaveOccurred())
	for _, r := range runs {
		if r.Request == id {
			return r.Count
		}
	}
	return 0
}

// metricGetter returns a function that reads a metric of a process, or 0 when it cannot be read.
func metricGetter(e *emulator.Emulator, p *emulator.Process, name string) func() float64 {
	return func() float64 {
		value, err := e.Metric(p, name)
		if err != nil {
			return 0
		}
		return value
	}
}

var _ = Describe("A packet never reaches another service", func() {
	var e *emulator.Emulator
	BeforeEach(func() { e = startDeployment(smallDeployment()) })

	It("when the VM of an open flow is given to a target of another service", func() {
		caller, host := openFlow(e, "before")
		Expect(e.ReplaceVM(host, e.Deployment.Pools[1])).To(Succeed())
		Expect(e.AwaitBalancers()).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		late := callers.Request{
			ID: "after", Class: class.Short, Address: e.Address(emulator.PortShort), Body: []byte("notice"),
		}
		Expect(caller.Do(ctx, late).Outcome).To(Equal(callers.Unreachable))
		Expect(countRuns(e, host, "after")).To(BeZero())
		Eventually(metricGetter(e, e.Agents[host], otherServiceMetric), waitLimit).Should(BeNumerically(">", 0))
		newFlow := sendOnNewFlow(e, emulator.PortShort, callers.Request{ID: "fresh", Class: class.Short, Body: []byte("notice")})
		Expect(newFlow.Outcome).To(Equal(callers.Done))
	})

	It("and a flow whose agent died without warning is reset at once", func() {
		caller, host := openFlow(e, "before")
		Expect(e.ReplaceVM(host, e.Deployment.Pools[0])).To(Succeed())
		Expect(e.AwaitBalancers()).To(Succeed())
		late := sendOnFlow(e, caller, emulator.PortShort,
			callers.Request{ID: "after", Class: class.Short, Body: []byte("notice")})
		Expect(late.Outcome).To(Equal(callers.Unreachable))
		Expect(late.Err).To(MatchError(ContainSubstring("stateless reset")))
		Expect(late.Duration).To(BeNumerically("<", 3*time.Second))
		Expect(countRuns(e, host, "after")).To(BeZero())
		Eventually(metricGetter(e, e.Agents[host], formerFlowMetric), waitLimit).Should(BeNumerically(">", 0))
		newFlow := sendOnFlow(e, caller, emulator.PortShort, callers.Request{ID: "fresh", Class: class.Short, Body: []byte("notice")})
		Expect(newFlow.Outcome).To(Equal(callers.Done))
	})

	It("when the tables swap two pools while flows are open", func() {
		feeds := openFeeds(e, 12, 30)
		caller, host := openFlow(e, "before")
		swapped := e.Deployment
		swapped.Routes = append([]emulator.Route(nil), swapped.Routes...)
		for i, r := range swapped.Routes {
			swapped.Routes[i].Pool = e.Deployment.PoolOf(emulator.PortLong).Name
			if r.Port == emulator.PortLong {
				swapped.Routes[i].Pool = e.Deployment.PoolOf(emulator.PortShort).Name
			}
		}
		Expect(e.Apply(swapped)).To(Succeed())
		for _, b := range e.Balancers {
			Expect(e.AwaitRevision(b, 2)).To(Succeed())
		}
		old := sendOnFlow(e, caller, emulator.PortShort, callers.Request{ID: "old", Class: class.Short, Body: []byte("notice")})
		Expect(old.Outcome).To(Equal(callers.Done))
		Expect(countRuns(e, host, "old")).To(Equal(1))
		e.Deployment = swapped
		newFlow := sendOnNewFlow(e, emulator.PortShort, callers.Request{ID: "fresh", Class: class.Short, Body: []byte("notice")})
		Expect(newFlow.Outcome).To(Equal(callers.Done))
		feeds.expectComplete()
	})
})
