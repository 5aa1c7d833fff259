package integration

import (
	"context"
	"os"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/control"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/member"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/certificates"
)

const (
	// detectionLimit is the time after which a failed target gets no new flow.
	detectionLimit = 3 * time.Second
	// revisionLimit is the time after which a revision is in force on every balancer.
	revisionLimit = 4 * time.Second
	pollInterval  = 50 * time.Millisecond
	newFlowCount  = 20
)

// statusOf returns the status that a balancer reports, or the zero Status when it does not answer.
func statusOf(e *emulator.Emulator, balancer int) control.Status {
	credentials, err := control.LoadCredentials(control.Files{
		Certificate: e.File(certificates.CertificateFile), Key: e.File(certificates.KeyFile),
		Authority: e.File(certificates.AuthorityFile),
	})
	Expect(err).NotTo(HaveOccurred())
	conn, err := control.Dial(context.Background(), e.ControlAddresses()[balancer], credentials)
	if err != nil {
		return control.Status{}
	}
	defer conn.Close()
	answer, err := conn.Call(control.Message{StatusRequest: &control.StatusRequest{}})
	if err != nil || answer.Status == nil {
		return control.Status{}
	}
	return *answer.Status
}

// targetInView returns the record of an agent in a balancer's view, or the zero Target.
func targetInView(e *emulator.Emulator, balancer, agent int) member.Target {
	for _, t := range statusOf(e, balancer).Targets {
		if t.Agent.Addr().String() == e.Agents[agent].IP {
			return t
		}
	}
	return member.Target{}
}

// expectTargetState waits until each of the balancers has an agent in the given state.
func expectTargetState(e *emulator.Emulator, agent int, state member.State, balancers ...int) {
	GinkgoHelper()
	for _, b := range balancers {
		Eventually(func() member.State { return targetInView(e, b, agent).State }).
			WithTimeout(detectionLimit).WithPolling(pollInterval).Should(Equal(state), "agent %d at balancer %d", agent, b)
	}
}

// expectNewFlowsServed opens newFlowCount flows and expects the request on each to be answered.
func expectNewFlowsServed(e *emulator.Emulator) {
	GinkgoHelper()
	for range newFlowCount {
		result := sendOnNewFlow(e, emulator.PortShort, callers.Request{ID: "new", Class: class.Short, Work: time.Millisecond})
		Expect(result.Outcome).To(Equal(callers.Done), "%+v", result)
	}
}

// countHomeConnections returns the number of connections that an agent has opened to its homes, the balancers to
// which it announces itself.
func countHomeConnections(e *emulator.Emulator, agent int) int {
	log, err := os.ReadFile(e.Agents[agent].LogFile())
	Expect(err).NotTo(HaveOccurred())
	return strings.Count(string(log), `"msg":"peer connected"`)
}

// restartAgent kills an agent, starts it again and waits until every balancer has its new incarnation in the state ready.
func restartAgent(e *emulator.Emulator, agent int) {
	GinkgoHelper()
	before := targetInView(e, 2, agent)
	Expect(e.Agents[agent].Kill()).To(Succeed())
	Expect(e.Agents[agent].Start()).To(Succeed())
	for b := range e.Balancers {
		Eventually(func() bool {
			now := targetInView(e, b, agent)
			return now.State == member.Ready && now.Incarnation > before.Incarnation
		}).WithTimeout(detectionLimit).WithPolling(pollInterval).Should(BeTrue(), "balancer %d", b)
	}
}

var _ = Describe("Membership", func() {
	It("takes a killed agent out of every view", func() {
		e := startDeployment(emulator.Sierra())
		Expect(e.Agents[1].Kill()).To(Succeed())
		expectTargetState(e, 1, member.Failed, 0, 1, 2)
		expectNewFlowsServed(e)
	})

	It("takes a paused agent out and back with its incarnation", func() {
		e := startDeployment(emulator.Sierra())
		before := targetInView(e, 0, 1)
		Expect(e.Agents[1].Signal(syscall.SIGSTOP)).To(Succeed())
		expectTargetState(e, 1, member.Failed, 0, 1, 2)
		Expect(e.Agents[1].Signal(syscall.SIGCONT)).To(Succeed())
		expectTargetState(e, 1, member.Ready, 0, 1, 2)
		Expect(targetInView(e, 0, 1).Incarnation).To(Equal(before.Incarnation))
		expectNewFlowsServed(e)
	})

	It("recognizes a restarted agent by its new incarnation", func() {
		e := startDeployment(emulator.Sierra())
		restartAgent(e, 1)
		expectNewFlowsServed(e)
	})

	It("moves an address to the service of its new agent", func() {
		e := startDeployment(emulator.Sierra())
		Expect(e.Agents[1].Kill()).To(Succeed())
		e.Agents[1].SetFlag("--service", "2")
		Expect(e.Agents[1].Start()).To(Succeed())
		for b := range 3 {
			Eventually(func() uint16 { return targetInView(e, b, 1).Service }).
				WithTimeout(detectionLimit).WithPolling(pollInterval).Should(Equal(uint16(2)), "balancer %d", b)
		}
		Consistently(func() uint16 { return targetInView(e, 0, 1).Service }).
			WithTimeout(detectionLimit).WithPolling(pollInterval).Should(Equal(uint16(2)))
	})

	It("loses a zone in one report of each balancer", func() {
		e := startDeployment(emulator.Sierra())
		var lost []int
		for i := 0; i < len(e.Agents); i += len(e.Deployment.Zones) {
			lost = append(lost, i)
			Expect(e.Agents[i].Signal(syscall.SIGKILL)).To(Succeed())
			Expect(e.Targets[i].Signal(syscall.SIGKILL)).To(Succeed())
		}
		Expect(e.Balancers[0].Kill()).To(Succeed())
		for _, i := range lost {
			expectTargetState(e, i, member.Failed, 1, 2)
		}
		for _, b := range e.Balancers[1:] {
			log, err := os.ReadFile(b.LogFile())
			Expect(err).NotTo(HaveOccurred())
			Expect(strings.Count(string(log), `"msg":"zone changed"`)).To(Equal(1))
		}
		expectNewFlowsServed(e)
	})

	It("gives a balancer that starts during a store outage the revision in force and every target", func() {
		e := startDeployment(emulator.Sierra())
		inForce := statusOf(e, 0).InForce()
		Expect(e.Balancers[2].Stop(detectionLimit)).To(Succeed())
		Expect(e.Store.Kill()).To(Succeed())
		Expect(e.Balancers[2].Start()).To(Succeed())
		Eventually(func() any { return statusOf(e, 2).InForce() }).
			WithTimeout(revisionLimit).WithPolling(pollInterval).Should(Equal(inForce))
		for i := range e.Agents {
			expectTargetState(e, i, member.Ready, 2)
		}
		Expect(e.AwaitBalancer(e.Balancers[2])).To(Succeed())
		expectNewFlowsServed(e)
	})

	It("brings a revision to a balancer that is cut from the store", func() {
		e := startDeployment(emulator.Sierra())
		Expect(e.Balancers[2].Stop(detectionLimit)).To(Succeed())
		e.Balancers[2].SetFlag("--store", "127.0.0.1:1")
		Expect(e.Balancers[2].Start()).To(Succeed())
		Eventually(func() any { return statusOf(e, 2).InForce() }).
			WithTimeout(revisionLimit).WithPolling(pollInterval).Should(Equal(statusOf(e, 0).InForce()))
		before := statusOf(e, 2).InForce()
		changeTables(e)
		for b := range 3 {
			Eventually(func() uint64 { return statusOf(e, b).InForce().Number }).
				WithTimeout(revisionLimit).WithPolling(pollInterval).Should(BeNumerically(">", before.Number), "balancer %d", b)
		}
	})

	It("finds other homes for an agent whose only seed balancer has died", func() {
		e := startDeployment(emulator.Sierra())
		e.Agents[1].SetFlag("--balancers", e.ControlAddresses()[0])
		before := countHomeConnections(e, 1)
		restartAgent(e, 1)
		Eventually(func() int { return countHomeConnections(e, 1) - before }).
			WithTimeout(detectionLimit).WithPolling(pollInterval).Should(Equal(3))
		Expect(e.Balancers[0].Kill()).To(Succeed())
		Consistently(func() member.State { return targetInView(e, 1, 1).State }).
			WithTimeout(2 * detectionLimit).WithPolling(pollInterval).Should(Equal(member.Ready))
	})

	It("announces the planned stop of a balancer", func() {
		e := startDeployment(emulator.Sierra())
		Eventually(func() int { return len(statusOf(e, 1).Balancers) }).
			WithTimeout(detectionLimit).WithPolling(pollInterval).Should(Equal(3))
		Expect(e.Balancers[0].Stop(detectionLimit)).To(Succeed())
		Eventually(func() int { return len(statusOf(e, 1).Balancers) }).
			WithTimeout(time.Second).WithPolling(pollInterval).Should(Equal(2))
	})
})

// changeTables applies the tables with an additional route.
func changeTables(e *emulator.Emulator) {
	GinkgoHelper()
	raw, err := os.ReadFile(e.TablesFile())
	Expect(err).NotTo(HaveOccurred())
	added := "  - name: added\n    address: " + e.Address(4499) + "\n    pool: requests\n    class: short\n"
	text := strings.Replace(string(raw), "pools:\n", added+"pools:\n", 1)
	Expect(os.WriteFile(e.TablesFile(), []byte(text), 0o600)).To(Succeed())
	Expect(e.RequireGentianctl("apply", "--store", e.StoreAddress(), "--file", e.TablesFile())).To(Succeed())
}
