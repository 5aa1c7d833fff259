package integration

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/certificates"
)

const (
	eventInterval = 100 * time.Millisecond
	stopLimit     = 20 * time.Second
	// waitLimit bounds the wait for feeds to open, and for log lines and metrics.
	waitLimit = 10 * time.Second
)

// feedGroup is a group of open feeds, each with a caller of its own.
type feedGroup struct {
	count   int
	opened  atomic.Int64
	results chan callers.Result
}

// openFeeds opens feeds of the given number of events and waits until each has received one. Their callers send nothing but
// acknowledgements.
func openFeeds(e *emulator.Emulator, count, events int) *feedGroup {
	GinkgoHelper()
	f := &feedGroup{count: count, results: make(chan callers.Result, count)}
	for i := range count {
		request := callers.Request{
			ID: fmt.Sprintf("feed-%d", i), Class: class.Feed, Events: events, Interval: eventInterval,
			OnEvent: f.countOpened,
		}
		caller := newCaller(e, emulator.PortFeed)
		caller.DisableKeepAlive()
		go func() { f.results <- sendOnFlow(e, caller, emulator.PortFeed, request) }()
	}
	Eventually(f.opened.Load, waitLimit).Should(BeEquivalentTo(count), "feeds opened")
	return f
}

// countOpened counts a feed as opened at its first event.
func (f *feedGroup) countOpened(events int) {
	if events == 1 {
		f.opened.Add(1)
	}
}

// expectComplete waits for the end of the feeds and checks that each has received every event.
func (f *feedGroup) expectComplete() {
	GinkgoHelper()
	var broken []string
	for range f.count {
		if r := <-f.results; r.Outcome != callers.Done {
			broken = append(broken, fmt.Sprintf("%s: %s after %d events: %v", r.Request, r.Outcome, r.Events, r.Err))
		}
	}
	Expect(broken).To(BeEmpty(), "%d of %d feeds broken", len(broken), f.count)
}

// arrivals sends short requests at a steady rate, each on a new flow.
type arrivals struct {
	stop    context.CancelFunc
	results chan callers.Result
	ended   chan []callers.Result
}

const arrivalInterval = 100 * time.Millisecond

func startArrivals(e *emulator.Emulator) *arrivals {
	ctx, stop := context.WithCancel(context.Background())
	a := &arrivals{stop: stop, results: make(chan callers.Result), ended: make(chan []callers.Result, 1)}
	go a.send(ctx, e)
	return a
}

func (a *arrivals) send(ctx context.Context, e *emulator.Emulator) {
	ticker := time.NewTicker(arrivalInterval)
	defer ticker.Stop()
	sent := 0
	for ctx.Err() == nil {
		request := callers.Request{
			ID: fmt.Sprintf("arrival-%d", sent), Class: class.Short, Work: time.Millisecond, Body: []byte("notice"),
		}
		go func() { a.results <- sendOnNewFlow(e, emulator.PortShort, request) }()
		sent++
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	all := make([]callers.Result, 0, sent)
	for range sent {
		all = append(all, <-a.results)
	}
	a.ended <- all
}

// expectServed stops the arrivals and checks that each request got a complete answer.
func (a *arrivals) expectServed() {
	GinkgoHelper()
	a.stop()
	all := <-a.ended
	var failed []string
	for _, r := range all {
		if r.Outcome != callers.Done {
			failed = append(failed, fmt.Sprintf("%s: %s status %d: %v", r.Request, r.Outcome, r.Status, r.Err))
		}
	}
	Expect(all).NotTo(BeEmpty())
	Expect(failed).To(BeEmpty(), "%d of %d new flows were not served", len(failed), len(all))
}

// sendOnFlow sends a request on the flow of a caller to the route at the given port.
func sendOnFlow(e *emulator.Emulator, caller *callers.Caller, port uint16, request callers.Request) callers.Result {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request.Address = e.Address(port)
	return caller.Do(ctx, request)
}

// conversations are open flows with a request every conversationInterval. The next request on a flow fails when the caller's
// datagrams no longer arrive, while a feed continues as long as the agent's datagrams arrive.
type conversations struct {
	stop   context.CancelFunc
	ended  sync.WaitGroup
	mu     sync.Mutex
	done   int
	failed []string
}

const (
	conversationCount    = 10
	conversationInterval = 200 * time.Millisecond
)

func startConversations(e *emulator.Emulator) *conversations {
	GinkgoHelper()
	ctx, stop := context.WithCancel(context.Background())
	c := &conversations{stop: stop}
	for i := range conversationCount {
		caller := newCaller(e, emulator.PortShort)
		c.ended.Go(func() { c.sendRequests(ctx, e, caller, i) })
	}
	return c
}

func (c *conversations) sendRequests(ctx context.Context, e *emulator.Emulator, caller *callers.Caller, flow int) {
	for n := 0; ctx.Err() == nil; n++ {
		c.recordResult(sendOnFlow(e, caller, emulator.PortShort, callers.Request{
			ID: fmt.Sprintf("flow-%d-%d", flow, n), Class: class.Short, Work: time.Millisecond, Body: []byte("notice"),
		}))
		select {
		case <-ctx.Done():
		case <-time.After(conversationInterval):
		}
	}
}

func (c *conversations) recordResult(r callers.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Outcome == callers.Done {
		c.done++
		return
	}
	c.failed = append(c.failed, fmt.Sprintf("%s: %s status %d: %v", r.Request, r.Outcome, r.Status, r.Err))
}

// awaitProgress waits until 2*conversationCount more requests have finished.
func (c *conversations) awaitProgress() {
	GinkgoHelper()
	before := c.count()
	Eventually(c.count, requestTimeout).Should(BeNumerically(">=", before+2*conversationCount))
}

func (c *conversations) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done + len(c.failed)
}

// expectUnbroken waits for further requests on the flows, stops the conversations and checks that every request was answered
// on its flow.
func (c *conversations) expectUnbroken() {
	GinkgoHelper()
	c.awaitProgress()
	c.stop()
	c.ended.Wait()
	Expect(c.done).To(BeNumerically(">", conversationCount))
	Expect(c.failed).To(BeEmpty(), "%d requests on open flows failed, %d were answered", len(c.failed), c.done)
}

// newCaller returns a caller of the route at the given port. It is closed at the end of the spec.
func newCaller(e *emulator.Emulator, port uint16) *callers.Caller {
	GinkgoHelper()
	caller, err := callers.New(e.File(certificates.AuthorityFile), e.Deployment.PoolOf(port).Name)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(caller.Close)
	return caller
}

// smallDeployment returns a deployment with few processes: 3 balancers, 3 targets of one service and 2 of another.
func smallDeployment() emulator.Deployment {
	d := emulator.Sierra()
	d.Name = "small"
	d.Pools[0].VMs = 3
	d.Pools[1].VMs = 2
	return d
}
