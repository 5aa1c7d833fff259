package integration

import (
	"fmt"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/fabric"
)

var _ = Describe("Open feeds and new flows", func() {
	const (
		feedCount  = 30
		feedEvents = 60
	)
	var e *emulator.Emulator
	BeforeEach(func() { e = startDeployment(smallDeployment()) })

	It("survive a restart of each balancer in turn", func() {
		feeds := openFeeds(e, feedCount, feedEvents)
		openFlows := startConversations(e)
		newFlows := startArrivals(e)
		for _, b := range e.Balancers {
			Expect(b.Restart(stopLimit)).To(Succeed())
			Expect(e.AwaitBalancer(b)).To(Succeed())
		}
		newFlows.expectServed()
		openFlows.expectUnbroken()
		feeds.expectComplete()
	})

	It("send no more answers to a balancer that has stopped", func() {
		feeds := openFeeds(e, feedCount, feedEvents)
		stopped := e.Balancers[0]
		Expect(stopped.Stop(stopLimit)).To(Succeed())
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(dataAddress(stopped)))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = socket.Close() }()
		Expect(socket.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		lost := 0
		for buffer := make([]byte, 2048); ; lost++ {
			if _, err := socket.Read(buffer); err != nil {
				break
			}
		}
		Expect(lost).To(BeZero(), "datagrams sent to a balancer that has stopped")
		feeds.expectComplete()
	})

	It("survive the replacement of all balancers at once", func() {
		feeds := openFeeds(e, feedCount, feedEvents)
		openFlows := startConversations(e)
		newFlows := startArrivals(e)
		for _, b := range e.Balancers {
			Expect(b.Signal(syscall.SIGTERM)).To(Succeed())
		}
		for _, b := range e.Balancers {
			Expect(b.Wait(stopLimit)).To(Succeed())
			Expect(b.Start()).To(Succeed())
		}
		Expect(e.AwaitBalancers()).To(Succeed())
		newFlows.expectServed()
		openFlows.expectUnbroken()
		feeds.expectComplete()
	})

	It("survive the replacement of every balancer by one at another address", func() {
		feeds := openFeeds(e, feedCount, 2*feedEvents)
		openFlows := startConversations(e)
		newFlows := startArrivals(e)
		for _, previous := range append([]*emulator.Process(nil), e.Balancers...) {
			b, err := e.AddBalancer()
			Expect(err).NotTo(HaveOccurred())
			Expect(e.AwaitBalancer(b)).To(Succeed())
			Expect(e.RemoveBalancer(previous)).To(Succeed())
			Expect(previous.Stop(stopLimit)).To(Succeed())
		}
		newFlows.expectServed()
		openFlows.expectUnbroken()
		feeds.expectComplete()
	})

	It("survive tables that change all the time, so that the balancers have different revisions in force", func() {
		const changes = 12
		feeds := openFeeds(e, feedCount, feedEvents)
		openFlows := startConversations(e)
		newFlows := startArrivals(e)
		for i := range changes {
			// Every other revision moves the feeds to the other pool and adds a route.
			changed := e.Deployment
			if i%2 == 0 {
				changed.Routes = append([]emulator.Route(nil), changed.Routes...)
				changed.Routes[0].Pool = changed.Pools[1].Name
				changed.Routes = append(changed.Routes, emulator.Route{
					Name: "spare", Port: emulator.PortSpare, Pool: changed.Pools[1].Name, Class: class.Long,
				})
			}
			Expect(e.Apply(changed)).To(Succeed())
			time.Sleep(200 * time.Millisecond)
		}
		newFlows.expectServed()
		openFlows.expectUnbroken()
		feeds.expectComplete()
	})

	It("survive two balancers killed without warning", func() {
		feeds := openFeeds(e, feedCount, feedEvents)
		time.Sleep(1500 * time.Millisecond)
		for _, b := range e.Balancers[:2] {
			Expect(b.Kill()).To(Succeed())
		}
		feeds.expectComplete()
	})

	It("survive two balancers killed without warning and replaced 2 s later", func() {
		feeds := openFeeds(e, feedCount, feedEvents)
		openFlows := startConversations(e)
		newFlows := startArrivals(e)
		for _, b := range e.Balancers[:2] {
			Expect(b.Kill()).To(Succeed())
		}
		time.Sleep(2 * time.Second)
		for _, b := range e.Balancers[:2] {
			Expect(b.Start()).To(Succeed())
		}
		feeds.expectComplete()
		openFlows.expectUnbroken()
		newFlows.expectServed()
	})

	It("survive the drain of two targets, whose agents shut down by themselves", func() {
		feeds := openFeeds(e, feedCount, feedEvents)
		newFlows := startArrivals(e)
		leaving := e.Agents[:2]
		for _, a := range leaving {
			Expect(a.Signal(syscall.SIGTERM)).To(Succeed())
		}
		feeds.expectComplete()
		newFlows.expectServed()
		for _, a := range leaving {
			Expect(a.Wait(stopLimit)).To(Succeed())
			Expect(a.ExitCode()).To(BeZero())
		}
	})

	It("are served when new flows open in the very moment in which two of three targets begin to drain", func() {
		const (
			count  = 60
			spread = 30 * time.Millisecond
		)
		results := make(chan callers.Result, count)
		for i := range count {
			time.AfterFunc(spread*time.Duration(i)/count, func() {
				results <- sendOnNewFlow(e, emulator.PortShort, callers.Request{
					ID: fmt.Sprintf("moment-%d", i), Class: class.Short, Work: time.Millisecond, Body: []byte("notice"),
				})
			})
		}
		time.Sleep(spread / 3)
		for _, a := range e.Agents[:2] {
			Expect(a.Signal(syscall.SIGTERM)).To(Succeed())
		}
		var failed []string
		for range count {
			if r := <-results; r.Outcome != callers.Done {
				failed = append(failed, fmt.Sprintf("%s: %s: %v", r.Request, r.Outcome, r.Err))
			}
		}
		Expect(failed).To(BeEmpty())
	})

	DescribeTable("survive faults of the fabric", func(faults fabric.Faults) {
		Expect(e.SetFabricFaults(faults)).To(Succeed())
		feeds := openFeeds(e, feedCount, feedEvents)
		openFlows := startConversations(e)
		newFlows := startArrivals(e)
		feeds.expectComplete()
		openFlows.expectUnbroken()
		newFlows.expectServed()
	},
		Entry("loss of 5 %", fabric.Faults{Loss: 0.05}),
		Entry("reordering of 20 %", fabric.Faults{Reorder: 0.2}),
		Entry("duplication of 20 %", fabric.Faults{Duplicate: 0.2}),
		Entry("all three", fabric.Faults{Loss: 0.05, Reorder: 0.2, Duplicate: 0.2}),
	)

	It("survive an interruption of the network path for 2 s", func() {
		feeds := openFeeds(e, feedCount, feedEvents)
		openFlows := startConversations(e)
		newFlows := startArrivals(e)
		Expect(e.SetFabricFaults(fabric.Faults{Cut: true})).To(Succeed())
		time.Sleep(2 * time.Second)
		Expect(e.SetFabricFaults(fabric.Faults{})).To(Succeed())
		newFlows.expectServed()
		openFlows.expectUnbroken()
		feeds.expectComplete()
	})
})
