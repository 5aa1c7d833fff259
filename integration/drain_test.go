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

// leavingLimit is the time after which a leaving target gets no new work.
const leavingLimit = 3 * time.Second

// order sends a drain order to the agent on VM i, as gentianctl does.
func order(e *emulator.Emulator, i int, action control.DrainAction) *control.DrainStatus {
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

// flowsUntilBoth opens flows one after the other, one request each, until both agents have admitted one.
func flowsUntilBoth(e *emulator.Emulator) {
	GinkgoHelper()
	for i := 0; ; i++ {
		Expect(newClient(e).do(short(fmt.Sprint("spread-", i), 0)).Outcome).To(Equal(callers.Done))
		if countLog(e.Agents[0], "request admitted") > 0 && countLog(e.Agents[1], "request admitted") > 0 {
			return
		}
		Expect(i).To(BeNumerically("<", 100))
	}
}

// clientAt returns a client whose flow ends at agent i.
func clientAt(e *emulator.Emulator, i int) *client {
	GinkgoHelper()
	for n := range 100 {
		c := newClient(e)
		id := fmt.Sprintf("at-%d-%d", i, n)
		Expect(c.do(short(id, 0)).Outcome).To(Equal(callers.Done))
		if countLog(e.Agents[i], "request admitted", id) > 0 {
			return c
		}
	}
	Fail("no flow reached the agent")
	return nil
}

func feed(id string, events int) callers.Request {
	return callers.Request{ID: id, Class: class.Feed, Events: events, Interval: 100 * time.Millisecond}
}

var _ = Describe("A drain", func() {
	It("keeps feeds and requests whole, hands new flows on at once and ends by itself", func() {
		e := start(onePool(2, 3))
		var results []<-chan callers.Result
		for i := range 8 {
			results = append(results, newClient(e).begin(feed(fmt.Sprint("feed-", i), 50)))
		}
		flowsUntilBoth(e)
		busy := clientAt(e, 0)
		results = append(results, busy.begin(short("in-progress", 2*time.Second)))
		Eventually(func() int { return run(e, "in-progress").Count }, openLimitRequests).Should(Equal(1))

		Expect(e.Agents[0].Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() int { return countLog(e.Agents[0], "drain started") }, openLimitRequests).Should(Equal(1))
		admitted := countLog(e.Agents[0], "request admitted")
		for i := range 20 {
			r := newClient(e).do(short(fmt.Sprint("new-", i), 0))
			Expect(r.Outcome).To(Equal(callers.Done), "%+v", r)
		}
		r := busy.do(short("next-on-old-flow", 0))
		Expect(r.Outcome).To(Equal(callers.Done), "%+v", r)
		Expect(countLog(e.Agents[0], "request admitted")).To(Equal(admitted), "no new work at the leaving target")

		for _, result := range results {
			r := <-result
			Expect(r.Outcome).To(Equal(callers.Done), "%+v", r)
		}
		Expect(e.Agents[0].Wait(stopLimitDrain)).To(Succeed())
		Expect(e.Agents[0].ExitCode()).To(BeZero())
		Expect(countLog(e.Agents[0], "drain finished")).To(Equal(1))
	})

	It("ends although a caller keeps an idle flow open", func() {
		e := start(onePool(2, 3))
		idle := clientAt(e, 0)
		Expect(e.Agents[0].Stop(stopLimitDrain)).To(Succeed())
		r := idle.do(short("afterwards", 0))
		Expect(r.Outcome).To(Equal(callers.Done), "%+v", r)
	})

	It("gets no new work after 3 s on flows that were open before", func() {
		e := start(onePool(2, 3))
		c := clientAt(e, 0)
		kept := c.begin(feed("kept", 60))
		Expect(e.Agents[0].Signal(syscall.SIGTERM)).To(Succeed())
		leaving := time.Now()
		for i := 0; time.Since(leaving) < leavingLimit; i++ {
			Expect(c.do(short(fmt.Sprint("during-", i), 10*time.Millisecond)).Outcome).To(Equal(callers.Done))
		}
		admitted := countLog(e.Agents[0], "request admitted")
		for i := range 20 {
			Expect(c.do(short(fmt.Sprint("after-", i), 0)).Outcome).To(Equal(callers.Done))
		}
		Expect(countLog(e.Agents[0], "request admitted")).To(Equal(admitted))
		Expect((<-kept).Outcome).To(Equal(callers.Done))
	})

	It("is called off by the operator, and the target takes work again", func() {
		e := start(onePool(2, 3))
		hold := newClient(e)
		result := hold.begin(feed("hold", 40))
		Eventually(func() int {
			return countLog(e.Agents[0], "request admitted") + countLog(e.Agents[1], "request admitted")
		}, openLimitRequests).Should(Equal(1))
		i := 0
		if countLog(e.Agents[1], "request admitted") == 1 {
			i = 1
		}
		order(e, i, control.DrainStart)
		Eventually(func() member.State { return order(e, i, 0).State }, openLimitRequests).Should(Equal(member.Draining))
		order(e, i, control.DrainUndo)
		Eventually(func() member.State { return order(e, i, 0).State }, openLimitRequests).Should(Equal(member.Ready))
		clientAt(e, i)
		Expect((<-result).Outcome).To(Equal(callers.Done))
		Expect(e.Agents[i].IsRunning()).To(BeTrue())
	})

	It("is forced by a second signal, which counts what it cuts", func() {
		e := start(onePool(1, 3))
		cutFeed := newClient(e).begin(feed("feed", 600))
		cutRequest := newClient(e).begin(short("request", time.Minute))
		Eventually(func() int { return run(e, "request").Count }, openLimitRequests).Should(Equal(1))
		Eventually(func() int { return countLog(e.Agents[0], "request admitted") }, openLimitRequests).Should(Equal(2))
		Expect(e.Agents[0].Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() int { return countLog(e.Agents[0], "drain started") }, openLimitRequests).Should(Equal(1))
		Expect(e.Agents[0].Stop(stopLimitDrain)).To(Succeed())
		Expect(countLog(e.Agents[0], "drain forced", `"cut_feeds":1`, `"cut_requests":1`)).To(Equal(1))
		Expect((<-cutFeed).Outcome).NotTo(Equal(callers.Done))
		Expect((<-cutRequest).Outcome).NotTo(Equal(callers.Done))
	})
})

const stopLimitDrain = 20 * time.Second
