package integration

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/target"
)

var _ = Describe("The outcome of a request", func() {
	It("is not run when the target takes no connection", func() {
		e := startDeployment(onePoolDeployment(1, 2))
		Expect(e.Targets[0].Kill()).To(Succeed())
		r := newClient(e).send(shortRequest("a", 0))
		Expect(r.Outcome).To(Equal(callers.NotRun), "%+v", r)
		Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.RetryAfter).To(BeNumerically(">", 0))
	})

	It("is unknown when the target dies during the run, and the request is not repeated", func() {
		e := startDeployment(onePoolDeployment(1, 2))
		c := newClient(e)
		Expect(c.send(shortRequest("first", 0)).Outcome).To(Equal(callers.Done))
		request := newKeyedRequest(e, "a", time.Minute)
		result := c.sendInBackground(request)
		Eventually(func() int { return runOf(e, "a").Count }, requestWaitLimit).Should(Equal(1))
		Expect(e.Targets[0].Kill()).To(Succeed())
		Expect(e.Targets[0].Start()).To(Succeed())
		r := <-result
		Expect(r.Outcome).To(Equal(callers.Unknown), "%+v", r)
		Consistently(func() int { return countLogLines(e.Agents[0], `"request retried"`) }, "500ms").Should(BeZero())
	})

	for name, faults := range map[string]target.Faults{
		"before": {CutBeforeRun: true}, "after": {CutAfterRun: true},
	} {
		It("is unknown when the connection is closed "+name+" the run, with at most one run", func() {
			e := startDeployment(onePoolDeployment(1, 2))
			c := newClient(e)
			Expect(c.send(shortRequest("first", 0)).Outcome).To(Equal(callers.Done))
			ready := newKeyedRequest(e, "ready", 0)
			Expect(c.send(ready).Outcome).To(Equal(callers.Done))
			setTargetFaults(e, faults)
			for i := range 5 {
				request := callers.Request{
					ID: fmt.Sprint(i), Class: class.Short, IdempotencyKey: uuid.Must(uuid.NewV7()).String(),
				}
				r := c.send(request)
				Expect(r.Outcome).To(Equal(callers.Unknown), "%+v", r)
				Expect(runOf(e, request.ID).Count).To(BeNumerically("<=", 1))
			}
		})
	}

	It("is unknown for an answer whose end cannot be told", func() {
		e := startDeployment(onePoolDeployment(1, 2))
		setTargetFaults(e, target.Faults{CutUnframed: true})
		r := newClient(e).send(shortRequest("a", 0))
		Expect(r.Outcome).To(Equal(callers.Unknown), "%+v", r)
		Expect(r.Status).To(Equal(http.StatusBadGateway))
	})

	It("is a reset stream when the answer is truncated", func() {
		e := startDeployment(onePoolDeployment(1, 2))
		setTargetFaults(e, target.Faults{CutBody: true})
		r := newClient(e).send(shortRequest("a", 0))
		// The reset may arrive before the header of the answer.
		Expect(r.Outcome).To(BeElementOf(callers.Cut, callers.Unreachable), "%+v", r)
		Expect(r.Err).To(MatchError(ContainSubstring("H3_INTERNAL_ERROR")), "the stream must be reset, not ended")
	})

	It("is the answer to the request itself when answers are crossed", func() {
		e := startDeployment(onePoolDeployment(1, 2))
		setTargetFaults(e, target.Faults{Crossed: true})
		c := newClient(e)
		for i := range 10 {
			r := c.send(shortRequest(fmt.Sprint(i), 0))
			Expect(r.Outcome).To(Equal(callers.Done), "%+v", r)
		}
	})

	It("follows from one repeat of an idempotent request, within the retry budget", func() {
		e := startDeployment(onePoolDeployment(1, 2))
		c := newClient(e)
		get := func(id string) callers.Result {
			return c.send(callers.Request{ID: id, Class: class.Short, Method: http.MethodGet})
		}
		const requests = 40
		for i := range requests / 2 {
			Expect(get(fmt.Sprint("good-", i)).Outcome).To(Equal(callers.Done))
		}
		setTargetFaults(e, target.Faults{CutAfterRun: true})
		runs := 0
		for i := range requests / 2 {
			id := fmt.Sprint("bad-", i)
			Expect(get(id).Outcome).To(Equal(callers.Unknown))
			runs += runOf(e, id).Count
		}
		Expect(runs).To(BeNumerically(">", requests/2), "some requests are repeated")
		Expect(runs).To(BeNumerically("<=", requests/2+requests/10), "at most 1.1 tries for each request")
	})
})

// requestWaitLimit bounds the wait for an effect of a request.
const requestWaitLimit = 10 * time.Second

var _ = Describe("A deadline", func() {
	It("reaches the target, and cancels the run when it passes", func() {
		e := startDeployment(onePoolDeployment(1, 2))
		setTargetFaults(e, target.Faults{Hang: false})
		request := shortRequest("a", time.Minute)
		request.Deadline = 500 * time.Millisecond
		r := newClient(e).send(request)
		Expect(r.Status).To(Equal(http.StatusGatewayTimeout), "%+v", r)
		Expect(r.Outcome).To(Equal(callers.Unknown))
		Eventually(func() int { return runOf(e, "a").Cancelled }, requestWaitLimit).Should(Equal(1))
		Expect(runOf(e, "a").DeadlineMs).To(And(BeNumerically(">", 0), BeNumerically("<=", 500)))
	})

	It("ends when its caller cancels the request, which cancels the run", func() {
		e := startDeployment(onePoolDeployment(1, 2))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan callers.Result, 1)
		c := newClient(e)
		go func() { ended <- c.sendWithContext(ctx, shortRequest("a", time.Minute)) }()
		Eventually(func() int { return runOf(e, "a").Count }, requestWaitLimit).Should(Equal(1))
		cancel()
		<-ended
		Eventually(func() int { return runOf(e, "a").Cancelled }, requestWaitLimit).Should(Equal(1))
	})

	It("shorter than the predicted wait causes a refusal on arrival, with the time after which to retry", func() {
		e := startDeployment(onePoolDeployment(1, 1))
		c := newClient(e)
		Expect(c.send(shortRequest("measure", 2*time.Second)).Outcome).To(Equal(callers.Done))
		busy := c.sendInBackground(shortRequest("busy", 2*time.Second))
		Eventually(func() int { return runOf(e, "busy").Count }, requestWaitLimit).Should(Equal(1))
		request := shortRequest("late", 0)
		request.Deadline = 1500 * time.Millisecond
		r := c.send(request)
		Expect(r.Outcome).To(Equal(callers.NotRun), "%+v", r)
		Expect(r.RetryAfter).To(BeNumerically(">=", time.Second))
		Expect(busy).NotTo(Receive(), "the refusal must arrive before the slot is free")
		Expect((<-busy).Outcome).To(Equal(callers.Done))
		Expect(runOf(e, "late").Count).To(BeZero())
	})
})

var _ = Describe("An idempotency key", func() {
	It("runs once when its caller repeats it on another flow and meets another agent", func() {
		e := startDeployment(onePoolDeployment(2, 2))
		request := newKeyedRequest(e, "notice", 0)
		for i := range e.Agents {
			r := newClientAt(e, i).send(request)
			Expect(r.Outcome).To(Equal(callers.Done), "%+v", r)
		}
		Expect(runAtTarget(e, 0, "notice").Count + runAtTarget(e, 1, "notice").Count).To(Equal(1))
	})

	It("runs once when its agent dies during the run and the caller repeats it", func() {
		e := startDeployment(onePoolDeployment(3, 2))
		request := newKeyedRequest(e, "notice", 500*time.Millisecond)
		first := newClientAt(e, 0).sendInBackground(request)
		Eventually(func() int { return runOf(e, "notice").Count }, requestWaitLimit).Should(Equal(1))
		Expect(e.Agents[0].Kill()).To(Succeed())
		for range 3 {
			r := newClientAt(e, 1).send(request)
			Expect(r.Outcome).To(Equal(callers.Unknown), "%+v", r)
		}
		Expect(runAtTarget(e, 0, "notice").Count + runAtTarget(e, 1, "notice").Count + runAtTarget(e, 2, "notice").Count).
			To(Equal(1))
		Expect(e.Agents[1].Kill()).To(Succeed())
		Expect(e.Agents[2].Kill()).To(Succeed())
		<-first
	})

	It("without a creation time makes the outcome unknown, and the request is not run", func() {
		e := startDeployment(onePoolDeployment(2, 2))
		request := shortRequest("notice", 0)
		request.IdempotencyKey = "opaque"
		r := newClient(e).send(request)
		Expect(r.Outcome).To(Equal(callers.Unknown), "%+v", r)
		Expect(runAtTarget(e, 0, "notice").Count + runAtTarget(e, 1, "notice").Count).To(BeZero())
	})
})
