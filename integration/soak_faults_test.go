package integration

import (
	"net/netip"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/platform/standin"
)

// injectFaults injects the faults of a schedule at their times and waits until all have ended.
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

// inject injects a fault and returns when it has ended.
func (s *soak) inject(f fault) {
	switch {
	case f.kind == storeRestored:
		s.injectRestoration(f)
	case f.kind == evacuateZone:
		s.store.Put(soakEvacuationKey, []byte("{}"))
		time.Sleep(f.duration)
		s.store.Delete(soakEvacuationKey)
	case f.kind == replaceEntry:
		s.store.Put(registry.Key(hop.IP(s.agents[f.victim].ip.As4())), []byte("bytes of another writer"))
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
		// A balancer that is not watching the store at this time misses the change, and the revision from which it would
		// resume its watch is no longer in the history.
		s.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
		s.store.Compact()
	case storeSlow:
		s.setModeFor(f.duration, standin.Slow, s.proxies...)
	default:
		s.store.SetFault("", map[faultKind]standin.Fault{
			storeBusy: standin.Busy, storeResets: standin.Reset, storeSilent: standin.Silent,
			storeLosesAnswers: standin.LostAnswers,
		}[f.kind])
		time.Sleep(f.duration)
		s.store.SetFault("", standin.NoFault)
	}
}

// injectRestoration restores the store from one of the last copies after an outage. Two changes of the routes and whatever the
// agents have written since the copy are lost.
func (s *soak) injectRestoration(f fault) {
	s.mu.Lock()
	backup := s.copies[max(len(s.copies)-1-f.victim, 0)]
	s.mu.Unlock()
	s.configure(map[netip.AddrPort]string{opaqueAddress: "lines", soakSpareAddress: "lines"})
	s.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
	s.restoreStore(backup, f.duration)
	s.configure(map[netip.AddrPort]string{opaqueAddress: "lines", soakSpareAddress: "lines"})
}

// copyStore adds a copy of the store's content to those from which it is restored.
func (s *soak) copyStore() {
	backup := s.store.Copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, backup)
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
			storeAnswersDropped: standin.DropAnswers, storeTrafficDropped: standin.DropAll,
			storeConnectionsRefused: standin.RefuseConnections,
		}
		s.setModeFor(f.duration, modes[f.kind], s.proxies[f.victim])
	}
}

// narrowLinkRate is the rate in bytes a second at which callers' packets reach a balancer while its link is narrow. The
// callers send more than that.
const narrowLinkRate = 1_000

// setLinkConditions sets the conditions of the links between callers and all balancers.
func (s *soak) setLinkConditions(conditions standin.LinkConditions) {
	for _, r := range s.relays {
		r.SetConditions(conditions)
	}
}

// setModeFor sets the mode of proxies for the given duration.
func (s *soak) setModeFor(duration time.Duration, mode standin.ProxyMode, proxies ...*standin.Proxy) {
	for _, p := range proxies {
		p.SetMode(mode)
	}
	time.Sleep(duration)
	for _, p := range proxies {
		p.SetMode(standin.PassAll)
	}
}

// restartAfter stops processes by a signal and starts them again after the given duration.
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

// setStopped records whether the soak has stopped the processes itself.
func (s *soak) setStopped(isStopped bool, processes []*opaqueProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range processes {
		s.stopped[p] = isStopped
	}
}

// pauseFor suspends a process for the given duration.
func (s *soak) pauseFor(duration time.Duration, p *opaqueProcess) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

// drainAndReplace drains a target, stops it and starts another one at its address. Once the drain is acknowledged, no flow may
// open on the target.
func (s *soak) drainAndReplace(victim int, duration time.Duration) {
	t := s.currentTargets[victim]
	if t.Drain() != nil {
		// Without an acknowledgement new flows may still open on the target.
		return
	}
	// Packets that the agent forwarded before the acknowledgement may still be in transit.
	time.Sleep(shortestFault / 2)
	heldFlows := t.FlowCount()
	acceptedBefore := t.AcceptedFlows()
	time.Sleep(duration)
	if acceptedAfter := t.AcceptedFlows(); acceptedAfter != acceptedBefore {
		s.recordViolation("%d flows opened on draining target %s, which held %d flows",
			acceptedAfter-acceptedBefore, t.Name, heldFlows)
	}
	if err := t.Leave(); err != nil {
		GinkgoWriter.Println(t.Name, "left without an acknowledgement:", err)
	}
	s.startTargetBeside(victim)
}

// startTargetBeside starts a new target beside an agent.
func (s *soak) startTargetBeside(victim int) {
	// A later start time distinguishes the incarnations.
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentTargets[victim] = s.startTargetInZone(soakZone(victim), s.agents[victim].ip, "lines")
}
