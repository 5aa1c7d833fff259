package integration

import (
	"context"
	"fmt"
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

// newWorkLimit is the time after which a draining target gets no new work.
const newWorkLimit = 3 * time.Second

// sendDrainRequest sends a drain request to the agent on VM i, as gentianctl does, and returns the status in its answer. Action
// 0 is not a known action, so the agent changes nothing and only answers with its status.
func sendDrainRequest(e *emulator.Emulator, i int, action control.DrainAction) *control.DrainStatus {
	GinkgoHelper()
	credentials, err := control.LoadCredentials(control.Files{
		Certificate: e.File(certificates.CertificateFile),
		Key:         e.File(certificates.KeyFile),
		Authority:   e.File(certificates.AuthorityFile),
	})
	Expect(err).NotTo(HaveOccurred())
	conn, err := control.Dial(context.Background(), e.Agents[i].IP+":4401", credentials)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	answer, err := conn.Call(control.Message{DrainRequest: &control.DrainRequest{Action: action}})
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.DrainStatus).NotTo(BeNil())
	return answer.DrainStatus
}

// openFlowsAtBothAgents opens flows one after the other and sends one request on each, until both agents have admitted one.
func openFlowsAtBothAgents(e *emulator.Emulator) {
	GinkgoHelper()
	for i := 0; ; i++ {
		Expect(newClient(e).send(shortRequest(fmt.Sprint("spread-", i), 0)).Outcome).To(Equal(callers.Done))
		if countLogLines(e.Agents[0], "request admitted") > 0 && countLogLines(e.Agents[1], "request admitted") > 0 {
			return
		}
		Expect(i).To(BeNumerically("<", 100))
	}
}

// newClientAt returns a client whose flow leads to agent i.
func newClientAt(e *emulator.Emulator, i int) *client {
	GinkgoHelper()
	for n := range 100 {
		c := newClient(e)
		id := fmt.Sprintf("at-%d-%d", i, n)
		Expect(c.send(shortRequest(id, 0)).Outcome).To(Equal(callers.Done))
		if countLogLines(e.Agents[i], "request admitted", id) > 0 {
			return c
		}
	}
	Fail("no flow reached the agent")
	return nil
}

// feedRequest returns a request for a feed of the given number of events, one every 100 ms.
func feedRequest(id string, events int) callers.Request {
	return callers.Request{ID: id, Class: class.Feed, Events: events, Interval: 100 * time.Millisecond}
}

var _ = Describe("A drain", func() {
	It("keeps feeds and requests complete, redirects new flows at once and finishes by itself", func() {
		e := startDeployment(onePoolDeployment(2, 3))
		var results []<-chan callers.Result
		for i := range 8 {
			results = append(results, newClient(e).sendInBackground(feedRequest(fmt.Sprint("feed-", i), 50)))
		}
		openFlowsAtBothAgents(e)
		busy := newClientAt(e, 0)
		results = append(results, busy.sendInBackground(shortRequest("in-progress", 2*time.Second)))
		Eventually(func() int { return runOf(e, "in-progress").Count }, requestWaitLimit).Should(Equal(1))

		Expect(e.Agents[0].Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() int { return countLogLines(e.Agents[0], "drain started") }, requestWaitLimit).Should(Equal(1))
		admitted := countLogLines(e.Agents[0], "request admitted")
		for i := range 20 {
			r := newClient(e).send(shortRequest(fmt.Sprint("new-", i), 0))
			Expect(r.Outcome).To(Equal(callers.Done), "%+v", r)
		}
		r := busy.send(shortRequest("next-on-old-flow", 0))
		Expect(r.Outcome).To(Equal(callers.Done), "%+v", r)
		Expect(countLogLines(e.Agents[0], "request admitted")).To(Equal(admitted), "the draining target gets no new work")

		for _, result := range results {
			r := <-result
			Expect(r.Outcome).To(Equal(callers.Done), "%+v", r)
		}
		Expect(e.Agents[0].Wait(drainStopLimit)).To(Succeed())
		Expect(e.Agents[0].ExitCode()).To(BeZero())
		Expect(countLogLines(e.Agents[0], "drain finished")).To(Equal(1))
	})

	It("finishes although a caller keeps an idle flow open", func() {
		e := startDeployment(onePoolDeployment(2, 3))
		idle := newClientAt(e, 0)
		Expect(e.Agents[0].Stop(drainStopLimit)).To(Succeed())
		r := idle.send(shortRequest("afterwards", 0))
		Expect(r.Outcome).To(Equal(callers.Done), "%+v", r)
	})

	It("sends the target no new work after 3 s on flows that were open before", func() {
		e := startDeployment(onePoolDeployment(2, 3))
		c := newClientAt(e, 0)
		kept := c.sendInBackground(feedRequest("kept", 60))
		Expect(e.Agents[0].Signal(syscall.SIGTERM)).To(Succeed())
		drainStart := time.Now()
		for i := 0; time.Since(drainStart) < newWorkLimit; i++ {
			Expect(c.send(shortRequest(fmt.Sprint("during-", i), 10*time.Millisecond)).Outcome).To(Equal(callers.Done))
		}
		admitted := countLogLines(e.Agents[0], "request admitted")
		for i := range 20 {
			Expect(c.send(shortRequest(fmt.Sprint("after-", i), 0)).Outcome).To(Equal(callers.Done))
		}
		Expect(countLogLines(e.Agents[0], "request admitted")).To(Equal(admitted))
		Expect((<-kept).Outcome).To(Equal(callers.Done))
	})

	It("is undone by the operator, and the target gets new work again", func() {
		e := startDeployment(onePoolDeployment(2, 3))
		holder := newClient(e)
		result := holder.sendInBackground(feedRequest("hold", 40))
		Eventually(func() int {
			return countLogLines(e.Agents[0], "request admitted") + countLogLines(e.Agents[1], "request admitted")
		}, requestWaitLimit).Should(Equal(1))
		i := 0
		if countLogLines(e.Agents[1], "request admitted") == 1 {
			i = 1
		}
		sendDrainRequest(e, i, control.DrainStart)
		Eventually(func() member.State { return sendDrainRequest(e, i, 0).State }, requestWaitLimit).Should(Equal(member.Draining))
		sendDrainRequest(e, i, control.DrainUndo)
		Eventually(func() member.State { return sendDrainRequest(e, i, 0).State }, requestWaitLimit).Should(Equal(member.Ready))
		newClientAt(e, i)
		Expect((<-result).Outcome).To(Equal(callers.Done))
		Expect(e.Agents[i].IsRunning()).To(BeTrue())
	})

	It("is forced by a second signal, and the agent counts the feeds and requests that it cuts", func() {
		e := startDeployment(onePoolDeployment(1, 3))
		cutFeed := newClient(e).sendInBackground(feedRequest("feed", 600))
		cutRequest := newClient(e).sendInBackground(shortRequest("request", time.Minute))
		Eventually(func() int { return runOf(e, "request").Count }, requestWaitLimit).Should(Equal(1))
		Eventually(func() int { return countLogLines(e.Agents[0], "request admitted") }, requestWaitLimit).Should(Equal(2))
		Expect(e.Agents[0].Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() int { return countLogLines(e.Agents[0], "drain started") }, requestWaitLimit).Should(Equal(1))
		Expect(e.Agents[0].Stop(drainStopLimit)).To(Succeed())
		Expect(countLogLines(e.Agents[0], "drain forced", `"cut_feeds":1`, `"cut_requests":1`)).To(Equal(1))
		Expect((<-cutFeed).Outcome).NotTo(Equal(callers.Done))
		Expect((<-cutRequest).Outcome).NotTo(Equal(callers.Done))
	})
})

// drainStopLimit bounds the wait for the shutdown of an agent whose target drains.
const drainStopLimit = 20 * time.Second
