package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/platform/standin"
)

// Settings of a soak. The defaults are those of CI: short, with one seed.
var (
	soakSeed      = flag.Uint64("soak-seed", 1, "seed of the faults of a soak")
	soakTime      = flag.Duration("soak-time", 12*time.Second, "time for which faults come")
	soakBalancers = flag.Int("soak-balancers", 3, "balancers of a soak")
	soakTargets   = flag.Int("soak-targets", 6, "targets of a soak, each beside its agent")
	soakCallers   = flag.Int("soak-callers", 12, "callers of a soak, each with one flow at a time")
)

// soakSpare is the address of the route that changes of the configuration add and remove.
var soakSpareAddress = netip.MustParseAddrPort("198.18.0.1:9443")

// soak is a deployment under random faults, and what its callers and targets have seen.
type soak struct {
	*opaqueDeployment
	relays  []*standin.Relay
	proxies []*standin.Proxy
	// beside holds the target that runs beside each agent.
	currentTargets []*standin.Target

	mu       sync.Mutex
	rotation []int
	// asked and answered count requests.
	sent, answered int
	violations     []string
	requests       []string
	// meant are the processes that the soak has ended and that are not back.
	stopped map[*opaqueProcess]bool
}

func newSoak() *soak {
	s := &soak{opaqueDeployment: emptyOpaqueDeployment(), stopped: map[*opaqueProcess]bool{}}
	s.storeAddress = s.newStoreProxy
	s.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
	for i := range *soakBalancers {
		b := s.addBalancer()
		relay, err := standin.NewRelay(s.address(b.ip, opaquePortData), *soakSeed+uint64(i))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		s.relays = append(s.relays, relay)
	}
	for range *soakTargets {
		s.addTarget("lines")
	}
	s.currentTargets = append(s.currentTargets, s.targets...)
	s.awaitReady()
	s.pollReadiness()
	return s
}

// newProxy puts a proxy between the store and the next process, and returns its address.
func (s *soak) newStoreProxy() string {
	proxy, err := standin.NewProxy(s.store.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	s.proxies = append(s.proxies, proxy)
	return proxy.Address()
}

// found notes a broken promise.
func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// poll asks the balancers whether they are ready, as routers do. Without an answer from any, all are in rotation.
func (s *soak) pollReadiness() {
	client := http.Client{Timeout: 200 * time.Millisecond}
	var ready []int
	for i, b := range s.balancers {
		if s.probeReady(&client, b) {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		for i := range s.balancers {
			ready = append(ready, i)
		}
	}
	s.mu.Lock()
	s.rotation = ready
	s.mu.Unlock()
}

// route returns a router that spreads flows over the rotation by their number, so that most move when it changes.
func (s *soak) router(flow *int) func() netip.AddrPort {
	return func() netip.AddrPort {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.relays[s.rotation[*flow%len(s.rotation)]].Address()
	}
}

// call keeps one caller calling until done is closed. Requests are not repeated on another flow.
func (s *soak) runCaller(index int, done <-chan struct{}) {
	random := rand.New(rand.NewPCG(*soakSeed, uint64(index)+1))
	ip := netip.AddrFrom4([4]byte{127, 20, byte(GinkgoParallelProcess()), byte(index + 1)})
	number := index
	c, err := standin.NewCaller(ip, s.firstPort+opaquePortData, opaqueAddress, s.router(&number))
	if err != nil {
		s.recordViolation("caller %d: %v", index, err)
		return
	}
	defer c.Close()
	for flow := 0; ; flow++ {
		number += 7
		if c.Open() == nil {
			s.sendRequests(c, random, fmt.Sprintf("c%d-f%d", index, flow))
		}
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(100)) * time.Millisecond):
		}
	}
}

// converse sends requests on an open flow until one of them is lost.
func (s *soak) sendRequests(c *standin.Caller, random *rand.Rand, name string) {
	var served string
	for n := range 1 + random.IntN(8) {
		request := fmt.Sprintf("%s-r%d", name, n)
		s.mu.Lock()
		s.sent++
		s.requests = append(s.requests, request)
		s.mu.Unlock()
		target, err := c.SendRequest(request)
		switch {
		case err == standin.ErrReset && served != "":
			s.checkFlowEnded(c, served)
			return
		case err != nil:
			return
		case served != "" && target != served:
			s.recordViolation("flow %s was answered by %s and then by %s", c.Flow(), served, target)
		case !strings.HasPrefix(target, "i-lines-"):
			s.recordViolation("request %s was answered by %s", request, target)
		}
		served = target
		s.mu.Lock()
		s.answered++
		s.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	// A last packet that is lost leaves a flow behind, as with any caller that goes.
	_ = c.Finish()
}

// checkEnded checks that a flow that was reset lives no more. A silent agent is no excuse: a reset rests on answers.
func (s *soak) checkFlowEnded(c *standin.Caller, served string) {
	s.mu.Lock()
	targets := append([]*standin.Target(nil), s.targets...)
	s.mu.Unlock()
	for _, t := range targets {
		if t.Name == served && t.HoldsFlowOf(c.Endpoint()) {
			s.recordViolation("flow %s was reset, and %s holds it", c.Flow(), served)
		}
	}
}

// checkRuns checks that no request has run more than once.
func (s *soak) checkRunCounts() {
	for _, request := range s.requests {
		runs := 0
		for _, t := range s.targets {
			runs += t.RunCount(request)
		}
		if runs > 1 {
			s.recordViolation("request %s has run %d times", request, runs)
		}
	}
}

var appliedVersion = regexp.MustCompile(`"configuration":(\d+),"event":410`)

// checkProcesses checks that processes run unless they were ended, did not panic, and put no older version in force.
func (s *soak) checkProcesses() {
	for _, p := range s.processes() {
		select {
		case <-p.exited:
			if !s.stopped[p] {
				s.recordViolation("the process at %s has ended by itself", p.ip)
			}
		default:
		}
		for _, run := range p.runs() {
			if _, trace, isPanic := strings.Cut(run, "panic: "); isPanic {
				s.recordViolation("the process at %s panicked: %s", p.ip, trace)
			}
			version := 0
			for _, match := range appliedVersion.FindAllStringSubmatch(run, -1) {
				next, err := strconv.Atoi(match[1])
				if err != nil || next <= version {
					s.recordViolation("the process at %s went from version %d to %s", p.ip, version, match[1])
				}
				version = next
			}
		}
	}
}

// expectRecovered expects that flows open through each balancer, and that each has the last version in force.
func (s *soak) expectRecovered() {
	GinkgoHelper()
	for i, b := range s.balancers {
		c := s.newCallerTo(opaqueAddress, alwaysVia(b))
		Eventually(func() error {
			if err := c.Open(); err != nil {
				return err
			}
			_, err := c.SendRequest(fmt.Sprint("recovered ", i))
			return err
		}).WithTimeout(opaqueWaitLimit).Should(Succeed())
		Eventually(func() string { return b.logText() }).WithTimeout(opaqueWaitLimit).
			Should(ContainSubstring(fmt.Sprintf(`"configuration":%d,"event":410`, s.version)))
	}
}

var _ = Describe("A soak", func() {
	It("keeps the promises of opaque flows under random faults", func() {
		GinkgoWriter.Printf("seed %d for %s\n", *soakSeed, *soakTime)
		s := newSoak()
		done := make(chan struct{})
		var callers sync.WaitGroup
		for i := range *soakCallers {
			callers.Go(func() { s.runCaller(i, done) })
		}
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(300 * time.Millisecond):
					s.pollReadiness()
				}
			}
		})
		s.injectFaults(drawSchedule(*soakSeed, *soakTime, *soakBalancers, *soakTargets))
		close(done)
		callers.Wait()
		s.expectRecovered()
		s.checkRunCounts()
		s.checkProcesses()
		GinkgoWriter.Printf("%d of %d requests answered\n", s.answered, s.sent)
		Expect(s.violations).To(BeEmpty())
		Expect(s.answered).To(BeNumerically(">", s.sent/2), "most requests are answered between the faults")
	})
})
