package integration

import (
	"net/netip"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"gentianswitch/platform/standin"
)

// disturb carries out the faults of a schedule.
func (s *soak) injectFaults(faults []fault) {
	begin := time.Now()
	var running sync.WaitGroup
	for _, f := range faults {
		time.Sleep(f.at - time.Since(begin))
		GinkgoWriter.Println(f)
		running.Go(func() {
			defer GinkgoRecover()
			s.inject(f)
		})
	}
	running.Wait()
}

func (s *soak) inject(f fault) {
	switch {
	case f.kind < crashTarget:
		s.injectProcessFault(f)
	case f.kind < storeBusy:
		s.injectTargetFault(f)
	case f.kind < storeAnswersDropped:
		s.injectStoreFault(f)
	default:
		s.injectNetworkFault(f)
	}
}

func (s *soak) injectProcessFault(f fault) {
	switch f.kind {
	case killBalancer:
		s.restartAfter(f.duration, syscall.SIGKILL, s.balancers[f.victim])
	case stopBalancer:
		s.restartAfter(f.duration, syscall.SIGTERM, s.balancers[f.victim])
	case pauseBalancer:
		s.pauseFor(f.duration, s.balancers[f.victim])
	case killAgent:
		s.restartAfter(f.duration, syscall.SIGKILL, s.agents[f.victim])
	case pauseAgent:
		s.pauseFor(f.duration, s.agents[f.victim])
	case killAll:
		s.restartAfter(f.duration, syscall.SIGKILL, s.processes()...)
	}
}

func (s *soak) injectTargetFault(f fault) {
	if f.kind == replaceTarget {
		s.drainAndReplace(f.victim, f.duration)
		return
	}
	s.currentTargets[f.victim].Crash()
	time.Sleep(f.duration)
	s.startTargetBeside(f.victim)
}

func (s *soak) injectStoreFault(f fault) {
	switch f.kind {
	case storeCompacted:
		// Followers that do not wait at this moment miss the change, and their place in the history is gone.
		s.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
		s.store.Compact()
	case storeSlow:
		s.setModeFor(f.duration, standin.Slow, s.proxies...)
	default:
		s.store.SetFault("", map[faultKind]standin.Fault{
			storeBusy: standin.Busy, storeResets: standin.Reset, storeSilent: standin.Silent, storeLosesAnswers: standin.LostAnswers,
		}[f.kind])
		time.Sleep(f.duration)
		s.store.SetFault("", standin.NoFault)
	}
}

func (s *soak) injectNetworkFault(f fault) {
	switch f.kind {
	case changeRoutes:
		s.configure(map[netip.AddrPort]string{opaqueAddress: "lines", soakSpareAddress: "lines"})
		time.Sleep(f.duration)
		s.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
	case lossyNetwork:
		s.setLinkConditions(standin.LinkConditions{LossRate: 0.1, DuplicationRate: 0.1, MaxDelay: 30 * time.Millisecond})
		time.Sleep(f.duration)
		s.setLinkConditions(standin.LinkConditions{})
	case narrowNetwork:
		s.setLinkConditions(standin.LinkConditions{BytesPerSecond: narrowLinkRate})
		s.setModeFor(f.duration, standin.Narrow, s.proxies...)
		s.setLinkConditions(standin.LinkConditions{})
	default:
		modes := map[faultKind]standin.ProxyMode{
			storeAnswersDropped: standin.DropAnswers, storeTrafficDropped: standin.DropAll, storeConnectionsRefused: standin.RefuseConnections,
		}
		s.setModeFor(f.duration, modes[f.kind], s.proxies[f.victim])
	}
}

// narrowCallers is the rate in bytes a second at which packets of callers reach a balancer while its link is narrow: less
// than they send.
const narrowLinkRate = 1_000

func (s *soak) setLinkConditions(conditions standin.LinkConditions) {
	for _, r := range s.relays {
		r.SetConditions(conditions)
	}
}

func (s *soak) setModeFor(duration time.Duration, mode standin.ProxyMode, proxies ...*standin.Proxy) {
	for _, p := range proxies {
		p.SetMode(mode)
	}
	time.Sleep(duration)
	for _, p := range proxies {
		p.SetMode(standin.PassAll)
	}
}

// restartAfter ends processes by a signal and starts them again after a time.
func (s *soak) restartAfter(duration time.Duration, signal syscall.Signal, processes ...*opaqueProcess) {
	s.setStopped(true, processes)
	for _, p := range processes {
		p.signal(signal)
	}
	time.Sleep(duration)
	for _, p := range processes {
		<-p.exited
		p.start()
	}
	s.setStopped(false, processes)
}

func (s *soak) setStopped(isMeant bool, processes []*opaqueProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range processes {
		s.stopped[p] = isMeant
	}
}

func (s *soak) pauseFor(duration time.Duration, p *opaqueProcess) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

// replace lets a target drain and leave, and starts another one at its address. From the acknowledgement on no flow may
// open on it.
func (s *soak) drainAndReplace(victim int, duration time.Duration) {
	t := s.currentTargets[victim]
	if t.Drain() != nil {
		// Without an acknowledgement nothing was promised.
		return
	}
	// What the agent has given to the target before is on its way.
	time.Sleep(shortestFault / 2)
	before := t.FlowCount()
	opened := t.AcceptedFlows()
	time.Sleep(duration)
	if after := t.AcceptedFlows(); after != opened {
		s.recordViolation("%d flows opened on %s, which drains, beside %d that it had", after-opened, t.Name, before)
	}
	if err := t.Leave(); err != nil {
		GinkgoWriter.Println(t.Name, "left without a word:", err)
	}
	s.startTargetBeside(victim)
}

// startBeside starts another target beside an agent.
func (s *soak) startTargetBeside(victim int) {
	// A later start tells the incarnations apart.
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentTargets[victim] = s.startTarget(s.agents[victim].ip, "lines")
}
