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
func (s *soak) disturb(faults []fault) {
	begin := time.Now()
	var running sync.WaitGroup
	for _, f := range faults {
		time.Sleep(f.at - time.Since(begin))
		GinkgoWriter.Println(f)
		running.Go(func() {
			defer GinkgoRecover()
			s.carryOut(f)
		})
	}
	running.Wait()
}

func (s *soak) carryOut(f fault) {
	switch {
	case f.kind < crashTarget:
		s.disturbProcesses(f)
	case f.kind < storeBusy:
		s.disturbTarget(f)
	case f.kind < cutOneWay:
		s.disturbStore(f)
	default:
		s.disturbNetwork(f)
	}
}

func (s *soak) disturbProcesses(f fault) {
	switch f.kind {
	case killBalancer:
		s.restartAfter(f.last, syscall.SIGKILL, s.balancers[f.victim])
	case stopBalancer:
		s.restartAfter(f.last, syscall.SIGTERM, s.balancers[f.victim])
	case freezeBalancer:
		s.freeze(f.last, s.balancers[f.victim])
	case killAgent:
		s.restartAfter(f.last, syscall.SIGKILL, s.agents[f.victim])
	case freezeAgent:
		s.freeze(f.last, s.agents[f.victim])
	case killAll:
		s.restartAfter(f.last, syscall.SIGKILL, s.processes()...)
	}
}

func (s *soak) disturbTarget(f fault) {
	if f.kind == replaceTarget {
		s.replace(f.victim, f.last)
		return
	}
	s.beside[f.victim].Crash()
	time.Sleep(f.last)
	s.startBeside(f.victim)
}

func (s *soak) disturbStore(f fault) {
	switch f.kind {
	case storeCompacted:
		// Followers that do not wait at this moment miss the change, and their place in the history is gone.
		s.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
		s.store.Compact()
	case storeSlow:
		s.cut(f.last, standin.Slow, s.proxies...)
	default:
		s.store.SetFault("", map[faultKind]standin.Fault{
			storeBusy: standin.Busy, storeReset: standin.Reset, storeSilent: standin.Silent, storeLost: standin.LostAnswers,
		}[f.kind])
		time.Sleep(f.last)
		s.store.SetFault("", standin.NoFault)
	}
}

func (s *soak) disturbNetwork(f fault) {
	switch f.kind {
	case changeRoutes:
		s.configure(map[netip.AddrPort]string{opaqueAddress: "lines", soakSpare: "lines"})
		time.Sleep(f.last)
		s.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
	case lossyNetwork:
		s.setWeather(standin.LinkConditions{LossRate: 0.1, DuplicationRate: 0.1, MaxDelay: 30 * time.Millisecond})
		time.Sleep(f.last)
		s.setWeather(standin.LinkConditions{})
	case narrowNetwork:
		s.setWeather(standin.LinkConditions{BytesPerSecond: narrowCallers})
		s.cut(f.last, standin.Narrow, s.proxies...)
		s.setWeather(standin.LinkConditions{})
	default:
		cuts := map[faultKind]standin.ProxyMode{
			cutOneWay: standin.DropAnswers, cutSilent: standin.DropAll, cutRefused: standin.RefuseConnections,
		}
		s.cut(f.last, cuts[f.kind], s.proxies[f.victim])
	}
}

// narrowCallers is the rate in bytes a second at which packets of callers reach a balancer while its link is narrow: less
// than they send.
const narrowCallers = 1_000

func (s *soak) setWeather(w standin.LinkConditions) {
	for _, r := range s.relays {
		r.SetConditions(w)
	}
}

func (s *soak) cut(last time.Duration, cut standin.ProxyMode, proxies ...*standin.Proxy) {
	for _, p := range proxies {
		p.SetMode(cut)
	}
	time.Sleep(last)
	for _, p := range proxies {
		p.SetMode(standin.PassAll)
	}
}

// restartAfter ends processes by a signal and starts them again after a time.
func (s *soak) restartAfter(last time.Duration, signal syscall.Signal, processes ...*opaqueProcess) {
	s.mean(true, processes)
	for _, p := range processes {
		p.signal(signal)
	}
	time.Sleep(last)
	for _, p := range processes {
		<-p.ended
		p.start()
	}
	s.mean(false, processes)
}

func (s *soak) mean(isMeant bool, processes []*opaqueProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range processes {
		s.meant[p] = isMeant
	}
}

func (s *soak) freeze(last time.Duration, p *opaqueProcess) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(last)
	p.signal(syscall.SIGCONT)
}

// replace lets a target drain and leave, and starts another one at its address. From the acknowledgement on no flow may
// open on it.
func (s *soak) replace(victim int, last time.Duration) {
	t := s.beside[victim]
	if t.Drain() != nil {
		// Without an acknowledgement nothing was promised.
		return
	}
	// What the agent has given to the target before is on its way.
	time.Sleep(shortestFault / 2)
	before := t.FlowCount()
	opened := t.AcceptedFlows()
	time.Sleep(last)
	if after := t.AcceptedFlows(); after != opened {
		s.found("%d flows opened on %s, which drains, beside %d that it had", after-opened, t.Name, before)
	}
	if err := t.Leave(); err != nil {
		GinkgoWriter.Println(t.Name, "left without a word:", err)
	}
	s.startBeside(victim)
}

// startBeside starts another target beside an agent.
func (s *soak) startBeside(victim int) {
	// A later start tells the incarnations apart.
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beside[victim] = s.startTarget(s.agents[victim].ip, "lines")
}
