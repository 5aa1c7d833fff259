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

	"gentianswitch/internal/opaque/registry"
	"gentianswitch/platform/standin"
)

// Flags of a soak. The defaults are those of CI: a short run with one seed.
var (
	soakSeed      = flag.Uint64("soak-seed", 1, "seed of the faults of a soak")
	soakTime      = flag.Duration("soak-time", 12*time.Second, "time during which faults are injected")
	soakBalancers = flag.Int("soak-balancers", 3, "balancers of a soak")
	soakTargets   = flag.Int("soak-targets", 6, "targets of a soak, each beside its agent")
	soakCallers   = flag.Int("soak-callers", 12, "callers of a soak, each with one flow at a time")
)

// soakSpareAddress is the address of the route that the fault changeRoutes adds and removes.
var soakSpareAddress = netip.MustParseAddrPort("198.18.0.1:9443")

// soak is a deployment under random faults, and a record of what its callers have observed.
type soak struct {
	*opaqueDeployment
	relays  []*standin.Relay
	proxies []*standin.Proxy
	// currentTargets holds the target beside each agent. The targets that have left or crashed are in targets only.
	currentTargets []*standin.Target

	mu sync.Mutex
	// rotation holds the indices of the balancers to which callers send.
	rotation []int
	// sent and answered count requests.
	sent, answered int
	violations     []string
	requests       []string
	// copies are copies of the store's content, oldest first.
	copies []standin.Copy
	// stopped holds the processes that the soak has stopped itself and has not started again.
	stopped map[*opaqueProcess]bool
}

func newSoak() *soak {
	s := &soak{opaqueDeployment: emptyOpaqueDeployment(), stopped: map[*opaqueProcess]bool{}}
	s.storeAddress = s.newStoreProxy
	s.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
	s.copyStore()
	for i := range *soakBalancers {
		b := s.addBalancer()
		relay, err := standin.NewRelay(s.vmAddress(b.ip, opaquePortData), *soakSeed+uint64(i))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		s.relays = append(s.relays, relay)
	}
	for i := range *soakTargets {
		s.addTargetInZone(soakZone(i))
	}
	s.currentTargets = append(s.currentTargets, s.targets...)
	s.awaitReady()
	s.pollReadiness()
	return s
}

// soakEvacuationKey is the key that evacuates the zone of every third target.
const soakEvacuationKey = "op/evacuate/ambato"

// soakZone returns the availability zone of a target.
func soakZone(target int) string {
	if target%3 == 2 {
		return "ambato"
	}
	return "quito"
}

// newStoreProxy starts a proxy between the store and the next process that is added, and returns its address.
func (s *soak) newStoreProxy() string {
	proxy, err := standin.NewProxy(s.store.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	s.proxies = append(s.proxies, proxy)
	return proxy.Address()
}

// recordViolation records that a guarantee did not hold. The soak then fails at its end.
func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// pollReadiness puts the balancers that report to be ready into rotation, as routers do. When none does, all are in rotation.
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

// router returns a function that chooses the balancer of a flow by the flow's number, so that most flows move to another
// balancer when the rotation changes.
func (s *soak) router(flowNumber *int) func() netip.AddrPort {
	return func() netip.AddrPort {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.relays[s.rotation[*flowNumber%len(s.rotation)]].Address()
	}
}

// runCaller opens one flow after the other and sends requests on it until done is closed. Requests are not repeated on another
// flow.
func (s *soak) runCaller(index int, done <-chan struct{}) {
	random := rand.New(rand.NewPCG(*soakSeed, uint64(index)+1))
	ip := netip.AddrFrom4([4]byte{127, 20, byte(GinkgoParallelProcess()), byte(index + 1)})
	flowNumber := index
	c, err := standin.NewCaller(ip, s.firstPort+opaquePortData, opaqueAddress, s.router(&flowNumber))
	if err != nil {
		s.recordViolation("caller %d: %v", index, err)
		return
	}
	defer c.Close()
	for flow := 0; ; flow++ {
		flowNumber += 7
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

// sendRequests sends up to 8 requests on an open flow and stops early when one of them fails.
func (s *soak) sendRequests(c *standin.Caller, random *rand.Rand, name string) {
	var servedBy string
	for n := range 1 + random.IntN(8) {
		request := fmt.Sprintf("%s-r%d", name, n)
		s.mu.Lock()
		s.sent++
		s.requests = append(s.requests, request)
		s.mu.Unlock()
		target, err := c.SendRequest(request)
		switch {
		case err == standin.ErrReset && servedBy != "":
			s.checkFlowEnded(c, servedBy)
			return
		case err != nil:
			return
		case servedBy != "" && target != servedBy:
			s.recordViolation("flow %s was answered by %s and then by %s", c.Flow(), servedBy, target)
		case !strings.HasPrefix(target, "i-lines-"):
			s.recordViolation("request %s was answered by %s", request, target)
		}
		servedBy = target
		s.mu.Lock()
		s.answered++
		s.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	// If the last packet is lost, the flow stays open at the target, as it does when a caller disappears.
	_ = c.Finish()
}

// checkFlowEnded checks that the target no longer holds a flow that was reset. This must hold also while its agent is silent:
// a balancer may reset a flow only on the answers of agents.
func (s *soak) checkFlowEnded(c *standin.Caller, servedBy string) {
	s.mu.Lock()
	targets := append([]*standin.Target(nil), s.targets...)
	s.mu.Unlock()
	for _, t := range targets {
		if t.Name == servedBy && t.HoldsFlowOf(c.Endpoint()) {
			s.recordViolation("flow %s was reset although %s holds it", c.Flow(), servedBy)
		}
	}
}

// checkRunCounts checks that no request ran more than once.
func (s *soak) checkRunCounts() {
	for _, request := range s.requests {
		runs := 0
		for _, t := range s.targets {
			runs += t.RunCount(request)
		}
		if runs > 1 {
			s.recordViolation("request %s ran %d times", request, runs)
		}
	}
}

// appliedVersion matches the log line of a configuration that a balancer put in force (event 410).
var appliedVersion = regexp.MustCompile(`"configuration":(\d+),"event":410`)

// checkProcesses checks that every process runs unless the soak stopped it, did not panic, and put configurations in force in
// rising order.
func (s *soak) checkProcesses() {
	for _, p := range s.processes() {
		select {
		case <-p.exited:
			if !s.stopped[p] {
				s.recordViolation("the process at %s exited although the soak did not stop it", p.ip)
			}
		default:
		}
		for _, log := range p.runLogs() {
			if _, trace, isPanic := strings.Cut(log, "panic: "); isPanic {
				s.recordViolation("the process at %s panicked: %s", p.ip, trace)
			}
			version := 0
			for _, match := range appliedVersion.FindAllStringSubmatch(log, -1) {
				next, err := strconv.Atoi(match[1])
				if err != nil || next <= version {
					s.recordViolation("the process at %s went from version %d to %s", p.ip, version, match[1])
				}
				version = next
			}
		}
	}
}

// expectRecovered waits until flows open through each balancer and each has the last version of the configuration in force.
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
		s.expectInForce(b)
	}
}

// evacuationBound is the time from the evacuation of a zone in which its targets may still accept new flows.
const evacuationBound = 5 * time.Second

// checkEvacuation evacuates the zone after the last fault, and checks that its targets accept no new flows after the bound, and accept
// new flows once the zone is in service again.
func (s *soak) checkEvacuation() {
	GinkgoHelper()
	accepted := func() (flows int) {
		for i, t := range s.currentTargets {
			if soakZone(i) == "ambato" {
				flows += t.AcceptedFlows()
			}
		}
		return flows
	}
	s.store.Put(soakEvacuationKey, []byte("{}"))
	time.Sleep(evacuationBound)
	before := accepted()
	time.Sleep(evacuationBound / 5)
	if after := accepted(); after != before {
		s.recordViolation("%d flows opened in the evacuated zone", after-before)
	}
	s.store.Delete(soakEvacuationKey)
	Eventually(accepted).WithTimeout(opaqueWaitLimit).Should(BeNumerically(">", before), "the zone is in service again")
}

// expectEntries waits until the store holds the entry of every target.
func (s *soak) expectEntries() {
	GinkgoHelper()
	for _, agent := range s.agents {
		Eventually(func() (registry.Entry, error) { return s.decodeStoredEntry(agent) }).WithTimeout(opaqueWaitLimit).
			Should(And(HaveField("Service", "lines"), HaveField("IsDraining", false), HaveField("HasLeft", false)), agent.ip.String())
	}
}

var _ = Describe("A soak", func() {
	It("keeps the guarantees for opaque flows under random faults", func() {
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
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(copyInterval):
					s.copyStore()
				}
			}
		})
		faults := drawSchedule(*soakSeed, *soakTime, *soakBalancers, *soakTargets)
		faults = addRestorations(faults, *soakSeed, *soakTime)
		faults = addForeignEntries(faults, *soakSeed, *soakTime, *soakTargets)
		s.injectFaults(addEvacuations(faults, *soakSeed, *soakTime))
		s.checkEvacuation()
		close(done)
		callers.Wait()
		s.expectRecovered()
		s.expectEntries()
		s.checkRunCounts()
		s.checkProcesses()
		GinkgoWriter.Printf("%d of %d requests answered\n", s.answered, s.sent)
		Expect(s.violations).To(BeEmpty())
		Expect(s.answered).To(BeNumerically(">", s.sent/2), "most requests must be answered between the faults")
	})
})
