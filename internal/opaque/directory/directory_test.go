package directory_test

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/rendezvous"
	"gentianswitch/internal/store"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	service = desired.ServiceKeyOf("pedidos")
)

// self is the address of the balancer.
var self = hop.IP{10, 9, 0, 1}

func agent(n byte) hop.IP { return hop.IP{10, 1, 0, n} }

// newEntry returns the entry of a target with five slots in a zone.
func newEntry(zone string) registry.Entry {
	return registry.Entry{Service: "pedidos", Zone: zone, Slots: 5}
}

// newDirectory returns the directory of a balancer in the zone quito with count targets in that zone.
func newDirectory(count byte) *directory.Directory {
	d := directory.New(self, "quito")
	for n := byte(1); n <= count; n++ {
		d.HandleEntry(start, agent(n), newEntry("quito"), store.Version(n))
	}
	return d
}

// candidates returns the agents that the first frame of an opening packet or of a later packet of a flow holds.
func candidates(d *directory.Directory, flow uint64, opens bool) []hop.IP {
	kind := directory.OpenFlowPacket
	if opens {
		kind = directory.OpeningPacket
	}
	out, _ := d.View().CandidateOrder(service, flow, kind, 0, make([]hop.IP, 0, hop.MaxCandidates))
	return out
}

func TestOrderHoldsEachTargetOnce(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(7)
	for flow := range uint64(50) {
		g.Expect(candidates(d, flow, true)).To(ConsistOf(
			agent(1), agent(2), agent(3), agent(4), agent(5), agent(6), agent(7)))
	}
}

func TestNextFrameContinuesTheOrder(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(200)
	whole, count := d.View().CandidateOrder(service, 42, directory.OpenFlowPacket, 0, make([]hop.IP, 0, 200))
	g.Expect(count).To(Equal(len(whole)))
	g.Expect(count).To(BeNumerically(">", 2*hop.MaxCandidates))
	var all []hop.IP
	for skip := 0; skip < count; skip += hop.MaxCandidates {
		part, total := d.View().CandidateOrder(service, 42, directory.OpenFlowPacket, skip, make([]hop.IP, 0, hop.MaxCandidates))
		g.Expect(total).To(Equal(count))
		all = append(all, part...)
	}
	g.Expect(all).To(Equal(whole))
}

func TestLeavingTargetMovesNoFlowsOfOtherTargets(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(7)
	before := make([]hop.IP, 200)
	for flow := range before {
		before[flow] = candidates(d, uint64(flow), false)[0]
	}
	left := newEntry("quito")
	left.HasLeft = true
	d.HandleEntry(start, agent(3), left, 100)
	for flow, first := range before {
		if first != agent(3) {
			g.Expect(candidates(d, uint64(flow), false)[0]).To(Equal(first))
		}
	}
}

func TestDrainingTargetKeepsItsFlowsAndGetsNoNewOnes(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(3)
	draining := newEntry("quito")
	draining.IsDraining = true
	open := candidates(d, 42, false)
	d.HandleEntry(start, open[0], draining, 100)
	g.Expect(candidates(d, 42, false)).To(Equal(open))
	g.Expect(candidates(d, 42, true)).To(Equal(open[1:]))
	order, _ := d.View().CandidateOrder(service, 42, directory.RetransmittedOpeningPacket, 0, make([]hop.IP, 0, hop.MaxCandidates))
	g.Expect(order).To(Equal([]hop.IP{open[1], open[2], open[0]}), "the flow may already be open on the draining target")
}

func TestFlowsAreSplitBySlotsAndZone(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(self, "quito")
	d.HandleEntry(start, agent(1), newEntry("quito"), 1)
	d.HandleEntry(start, agent(2), newEntry("cuenca"), 2)
	large := newEntry("cuenca")
	large.Slots = 10
	d.HandleEntry(start, agent(3), large, 3)
	counts := make(map[hop.IP]float64)
	const flows = 20_000
	for flow := range uint64(flows) {
		counts[candidates(d, flow, true)[0]]++
	}
	// The weights are 10 for 5 slots in the balancer's own zone, which count twice, and 5 and 10 in the other zone.
	g.Expect(counts[agent(1)] / flows).To(BeNumerically("~", 0.4, 0.02))
	g.Expect(counts[agent(2)] / flows).To(BeNumerically("~", 0.2, 0.02))
	g.Expect(counts[agent(3)] / flows).To(BeNumerically("~", 0.4, 0.02))
}

func TestOlderRevisionsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(1)
	d.HandleEntry(start, agent(1), newEntry("quito"), 50)
	draining := newEntry("quito")
	draining.IsDraining = true
	_, hasChanged := d.HandleEntry(start, agent(1), draining, 49)
	g.Expect(hasChanged).To(BeFalse())
	_, hasChanged = d.HandleRemoval(agent(1), 50)
	g.Expect(hasChanged).To(BeFalse())
	g.Expect(candidates(d, 1, true)).To(HaveLen(1))
}

func TestReusedAddressBelongsToNewService(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(2)
	other := registry.Entry{Service: "mensajes-voz", Zone: "quito", Slots: 5}
	d.HandleEntry(start, agent(1), other, 100)
	g.Expect(candidates(d, 1, false)).To(Equal([]hop.IP{agent(2)}))
	g.Expect(d.View().Pool(desired.ServiceKeyOf("mensajes-voz"))).To(HaveLen(1))
}

func TestRetainRemovesTargetsThatStoreNoLongerLists(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(3)
	d.HandleEntry(start, agent(9), newEntry("quito"), 200)
	changes := d.Retain(map[hop.IP]struct{}{agent(1): {}}, 150)
	g.Expect(changes).To(HaveLen(2))
	g.Expect(candidates(d, 1, true)).To(ConsistOf(agent(1), agent(9)), "target 9 joined after the list was read")
}

// run calls Tick from a time on for a length of time, and answers the pings of the agents for which answers returns true. It
// returns the time at which it ended.
func run(d *directory.Directory, from time.Time, length time.Duration, answers func(hop.IP) bool) time.Time {
	now := from
	for ; now.Sub(from) < length; now = now.Add(75 * time.Millisecond) {
		pings, _ := d.Tick(now)
		for _, p := range pings {
			if answers(p.Agent) {
				d.HandlePong(now.Add(time.Millisecond), p.Agent, p.Sequence)
			}
		}
	}
	return now
}

func allAnswer(hop.IP) bool { return true }

// recordUseOfAll records that a packet is sent to each agent.
func recordUseOfAll(d *directory.Directory, now time.Time) {
	for _, t := range d.Targets() {
		d.RecordUse(now, t.Agent)
	}
}

// isDead reports whether an agent is dead or gone.
func isDead(d *directory.Directory, agent hop.IP) bool {
	known, _ := d.Lookup(agent)
	return known.State >= directory.Dead
}

func TestSilentAgentIsTriedLastAndThenLeftOut(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(3)
	now := run(d, start, 3*time.Second, allAnswer)
	first := candidates(d, 42, true)[0]
	others := func(a hop.IP) bool { return a != first }
	now = run(d, now, 1500*time.Millisecond, others)
	g.Expect(candidates(d, 42, true)).To(HaveLen(3))
	g.Expect(candidates(d, 42, true)[2]).To(Equal(first))
	now = run(d, now, 3*time.Second, others)
	g.Expect(candidates(d, 42, true)).To(HaveLen(2))
	g.Expect(isDead(d, first)).To(BeTrue())
	run(d, now, 2*time.Second, allAnswer)
	g.Expect(candidates(d, 42, true)[0]).To(Equal(first), "it is back at its place when it answers again")
}

func TestRequestedPingDetectsSilenceBeforeNextCopyOfOpeningPacket(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(3)
	now := run(d, start, 3*time.Second, allAnswer)
	first := candidates(d, 42, true)[0]
	d.RequestPing(now, first)
	run(d, now, 400*time.Millisecond, func(a hop.IP) bool { return a != first })
	g.Expect(candidates(d, 42, true)[0]).NotTo(Equal(first), "callers repeat an opening packet after 200 ms and 600 ms")
}

func TestSingleLostPongChangesNoState(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(1)
	now := start
	lost, sent := false, 0
	for ; now.Sub(start) < 5*time.Second; now = now.Add(75 * time.Millisecond) {
		pings, changes := d.Tick(now)
		g.Expect(changes).To(BeEmpty())
		for _, p := range pings {
			if sent++; sent == 3 {
				lost = true
				continue
			}
			d.HandlePong(now, p.Agent, p.Sequence)
		}
	}
	g.Expect(lost).To(BeTrue())
}

func TestAnsweringAgentIsPingedOncePerSecond(t *testing.T) {
	g := NewWithT(t)
	const hubCount = 3
	d := newDirectory(20)
	hubPings, otherPings := 0, map[hop.IP]int{}
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(75 * time.Millisecond) {
		recordUseOfAll(d, now)
		pings, _ := d.Tick(now)
		for _, p := range pings {
			if p.IsToHub {
				hubPings++
			} else {
				otherPings[p.Agent]++
			}
			d.HandlePong(now, p.Agent, p.Sequence)
		}
	}
	g.Expect(hubPings).To(BeNumerically("<=", 21*hubCount), "hubs are pinged twice per second")
	g.Expect(otherPings).To(HaveLen(20 - hubCount))
	for _, count := range otherPings {
		g.Expect(count).To(BeNumerically("<=", 11))
	}
}

func TestAnswerToOldPingDoesNotReviveAgent(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(2)
	run(d, start, 5*time.Second, func(a hop.IP) bool { return a == agent(2) })
	g.Expect(isDead(d, agent(1))).To(BeTrue())
	_, hasChanged := d.HandlePong(start.Add(5*time.Second), agent(1), 1)
	g.Expect(hasChanged).To(BeFalse())
}

func TestFrozenBalancerMarksNoAgentDead(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(3)
	now := run(d, start, 3*time.Second, allAnswer)
	for n := byte(1); n <= 3; n++ {
		d.RequestPing(now, agent(n))
	}
	pings, _ := d.Tick(now)
	g.Expect(pings).To(HaveLen(3))
	// The pongs arrive while the process is suspended. When it resumes, it calls Tick before it reads them.
	_, changes := d.Tick(now.Add(5 * time.Second))
	for _, c := range changes {
		g.Expect(c.Target.State).NotTo(Equal(directory.Dead))
	}
}

func TestBalancerThatHearsNoAgentTriesAll(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(3)
	now := run(d, start, 2*time.Second, allAnswer)
	now = run(d, now, 10*time.Second, func(hop.IP) bool { return false })
	g.Expect(candidates(d, 42, false)).To(HaveLen(3), "the balancer itself is more likely cut off, and must not reset flows")
	run(d, now, 4*time.Second, func(a hop.IP) bool { return a == agent(1) })
	g.Expect(candidates(d, 42, true)).To(Equal([]hop.IP{agent(1)}), "the others get no new flows")
	g.Expect(candidates(d, 42, false)).To(HaveLen(3), "but may hold open flows")
	g.Expect(candidates(d, 42, false)[0]).To(Equal(agent(1)))
}

func TestLookupReturnsTimesOfEntryAndLastAnswer(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(1)
	_, isKnown := d.Lookup(agent(2))
	g.Expect(isKnown).To(BeFalse())
	known, _ := d.Lookup(agent(1))
	g.Expect(known.EntryReceivedAt).To(Equal(start))
	g.Expect(known.AnsweredAt.IsZero()).To(BeTrue())
	g.Expect(known.Revision).To(BeEquivalentTo(1))
	pings, _ := d.Tick(start.Add(time.Second))
	d.HandlePong(start.Add(1010*time.Millisecond), agent(1), pings[0].Sequence)
	known, _ = d.Lookup(agent(1))
	g.Expect(known.AnsweredAt).To(Equal(start.Add(1010 * time.Millisecond)))
}

// A release takes VMs away one after the other. A packet of a flow that has ended is sent to every candidate, and was lost at
// the VM that had just been removed.
func TestOpenFlowPacketSkipsSilentAgentFarDown(t *testing.T) {
	g := NewWithT(t)
	// No target joined before the first one, so only the silence of its agent can exclude it from a search.
	const targets, first = 200, 1
	d := newDirectory(targets)
	healthy := newDirectory(targets)
	makeSuspect(d, agent(first))
	rank := func(flow uint64) int {
		pool := slices.Clone(healthy.View().Pool(service))
		score := func(c directory.Candidate) float64 { return rendezvous.Score(flow, c.Seed, c.Weight) }
		slices.SortFunc(pool, func(a, b directory.Candidate) int { return cmp.Compare(score(b), score(a)) })
		return slices.IndexFunc(pool, func(c directory.Candidate) bool { return c.Agent == agent(first) })
	}
	highRanked, lowRanked := 0, 0
	for flow := range uint64(2000) {
		healthyOrder, _ := healthy.View().CandidateOrder(service, flow, directory.OpenFlowPacket, 0, make([]hop.IP, 0, targets))
		tried, total := d.View().CandidateOrder(service, flow, directory.OpenFlowPacket, 0, make([]hop.IP, 0, targets))
		g.Expect(total).To(Equal(len(tried)))
		if slices.Contains(healthyOrder, agent(first)) && rank(flow) < 2*hop.MaxCandidates {
			g.Expect(tried).To(ConsistOf(healthyOrder))
			g.Expect(tried[total-1]).To(Equal(agent(first)), "the flow may be there, so the agent is tried last")
			highRanked++
			continue
		}
		g.Expect(tried).NotTo(ContainElement(agent(first)))
		lowRanked++
	}
	g.Expect(lowRanked).To(BeNumerically(">", 4*highRanked))
}

// makeSuspect leaves the pings of an agent unanswered until the agent is suspect.
func makeSuspect(d *directory.Directory, silent hop.IP) {
	now := start
	for known, _ := d.Lookup(silent); known.State == directory.Reachable; known, _ = d.Lookup(silent) {
		now = now.Add(75 * time.Millisecond)
		d.RecordUse(now, silent)
		pings, _ := d.Tick(now)
		for _, ping := range pings {
			if ping.Agent != silent {
				d.HandlePong(now, ping.Agent, ping.Sequence)
			}
		}
	}
}

func TestOnlyAgentsInUseArePinged(t *testing.T) {
	g := NewWithT(t)
	const agents, used, seconds = 200, 5, 10
	d := newDirectory(agents)
	pinged := map[hop.IP]int{}
	for now := start; now.Sub(start) < seconds*time.Second; now = now.Add(75 * time.Millisecond) {
		for n := byte(1); n <= used; n++ {
			d.RecordUse(now, agent(n))
		}
		pings, _ := d.Tick(now)
		for _, p := range pings {
			pinged[p.Agent]++
			d.HandlePong(now, p.Agent, p.Sequence)
		}
	}
	total := 0
	for _, count := range pinged {
		total += count
	}
	g.Expect(total).To(BeNumerically("<=", (used+2*3)*(seconds+1)), "the number of pings does not grow with the number of agents")
	for n := byte(1); n <= used; n++ {
		g.Expect(pinged[agent(n)]).To(BeNumerically(">=", seconds-1))
	}
	g.Expect(len(pinged)).To(BeNumerically(">=", 3), "hubs are pinged by a balancer without flows too")
}

func TestAgentIsPingedAsSoonAsItIsUsed(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(200)
	now := run(d, start, 3*time.Second, allAnswer)
	pinged := func() (list []hop.IP) {
		pings, _ := d.Tick(now)
		for _, p := range pings {
			list = append(list, p.Agent)
		}
		return list
	}
	unused := agent(1)
	for _, hub := range pinged() {
		if hub == unused {
			unused = agent(2)
		}
	}
	d.RecordUse(now, unused)
	g.Expect(pinged()).To(ContainElement(unused))
}

// A balancer that is cut off has packets for some agents only. Agents that it has never pinged must not make it mark the others
// dead.
func TestIsolatedBalancerMarksNoUsedAgentDead(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(50)
	now := run(d, start, 3*time.Second, allAnswer)
	for from := now; now.Sub(from) < 10*time.Second; now = now.Add(75 * time.Millisecond) {
		for n := byte(1); n <= 10; n++ {
			d.RecordUse(now, agent(n))
		}
		d.Tick(now)
		for n := byte(1); n <= 10; n++ {
			g.Expect(isDead(d, agent(n))).To(BeFalse())
		}
	}
	var pings []directory.Ping
	for from := now; now.Sub(from) < 4*time.Second; now = now.Add(75 * time.Millisecond) {
		d.RecordUse(now, agent(1), agent(20))
		pings, _ = d.Tick(now)
		for _, p := range pings {
			if p.Agent == agent(20) {
				d.HandlePong(now, agent(20), p.Sequence)
			}
		}
	}
	g.Expect(isDead(d, agent(1))).To(BeTrue(), "the balancer is not cut off, since agent 20 answers")
}

func TestDeadAgentsArePingedLessAndLessOften(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(4)
	now := run(d, start, 10*time.Second, func(a hop.IP) bool { return a != agent(1) })
	for range 60 {
		d.RecordUse(now, agent(1))
		now = now.Add(time.Second)
		run(d, now, 75*time.Millisecond, func(a hop.IP) bool { return a != agent(1) })
	}
	count := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(75 * time.Millisecond) {
		pings, _ := d.Tick(now)
		for _, p := range pings {
			if p.Agent == agent(1) {
				count++
				continue
			}
			d.HandlePong(now, p.Agent, p.Sequence)
		}
	}
	g.Expect(count).To(BeNumerically("<=", 13))
	g.Expect(count).To(BeNumerically(">=", 10), "its return is detected within seconds")
}

// A balancer catches up through another one, which does not know yet that a target has left.
func TestRemovedTargetDoesNotComeBackThroughOldEntry(t *testing.T) {
	for name, remove := range map[string]func(d *directory.Directory){
		"entry is marked as left": func(d *directory.Directory) {
			d.HandleEntry(start, agent(2), registry.Entry{Service: "pedidos", HasLeft: true}, 50)
		},
		"entry is deleted":    func(d *directory.Directory) { d.HandleRemoval(agent(2), 50) },
		"entry is not listed": func(d *directory.Directory) { d.Retain(map[hop.IP]struct{}{agent(1): {}}, 50) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := newDirectory(2)
			remove(d)
			_, hasChanged := d.HandleEntry(start, agent(2), newEntry("quito"), 40)
			g.Expect(hasChanged).To(BeFalse())
			g.Expect(candidates(d, 1, false)).To(Equal([]hop.IP{agent(1)}))
			d.HandleEntry(start, agent(2), newEntry("quito"), 60)
			g.Expect(candidates(d, 1, false)).To(HaveLen(2), "a newer entry belongs to a new target")
		})
	}
}

// With little traffic, a packet of an open flow has to pass the second candidate, whose VM has disappeared without notice, to
// reach its target, the third one. No other packet makes the balancer ping that VM.
func TestCandidatesBehindTheFirstArePinged(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(200)
	now := run(d, start, 3*time.Second, allAnswer)
	frame := candidates(d, 42, false)
	gone := frame[1]
	for repeated := range 3 {
		// A caller repeats its packet after 200 ms and 400 ms more.
		d.RecordUse(now, frame[0], frame[1:]...)
		now = run(d, now, time.Duration(200<<repeated)*time.Millisecond, func(a hop.IP) bool { return a != gone })
	}
	g.Expect(slices.Index(candidates(d, 42, false), gone)).NotTo(Equal(1), "the agent is tried last or not at all")
}

// runWithDelay calls Tick from a time on for a length of time, during which all agents are in use. Answers arrive after a
// delay, except those for which isLost returns true. It returns the changes of reachability.
func runWithDelay(d *directory.Directory, from time.Time, length, delay time.Duration, isLost func() bool) []directory.Change {
	type pong struct {
		at   time.Time
		ping directory.Ping
	}
	var inFlight []pong
	var all []directory.Change
	for now := from; now.Sub(from) < length; now = now.Add(75 * time.Millisecond) {
		for len(inFlight) > 0 && !inFlight[0].at.After(now) {
			d.HandlePong(now, inFlight[0].ping.Agent, inFlight[0].ping.Sequence)
			inFlight = inFlight[1:]
		}
		recordUseOfAll(d, now)
		pings, changes := d.Tick(now)
		all = append(all, changes...)
		for _, p := range pings {
			if !isLost() {
				inFlight = append(inFlight, pong{at: now.Add(delay), ping: p})
			}
		}
	}
	return all
}

// On a congested link the answers of all agents are queued behind the packets of callers.
func TestLateAnswersOfAllAgentsMakeNoneSuspect(t *testing.T) {
	for _, delay := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		g := NewWithT(t)
		d := newDirectory(14)
		now := run(d, start, 3*time.Second, allAnswer)
		changes := runWithDelay(d, now, 20*time.Second, delay, func() bool { return false })
		g.Expect(changes).To(BeEmpty(), "answers take %s", delay)
	}
}

// A congested link drops most packets. Agents that do not answer may be alive, so the candidate search for an open flow must
// include them.
func TestOpenFlowIsSearchedAtAgentsThatDoNotAnswer(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(12)
	now := run(d, start, 3*time.Second, allAnswer)
	answered := 0
	runWithDelay(d, now, 20*time.Second, 300*time.Millisecond, func() bool {
		answered++
		return answered%10 != 0
	})
	for flow := range uint64(200) {
		all, _ := d.View().CandidateOrder(service, flow, directory.OpenFlowPacket, 0, make([]hop.IP, 0, 12))
		g.Expect(all).To(HaveLen(12))
	}
}

// All agents but one are silent.
func TestDeadAgentIsTriedLastForOpenFlows(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(3)
	now := run(d, start, 3*time.Second, allAnswer)
	before := candidates(d, 42, false)
	run(d, now, 10*time.Second, func(a hop.IP) bool { return a == before[2] })
	g.Expect(isDead(d, before[0])).To(BeTrue(), "the agent is dead but not gone, since most agents are silent")
	g.Expect(candidates(d, 42, false)).To(Equal([]hop.IP{before[2], before[0], before[1]}))
	g.Expect(candidates(d, 42, true)).To(Equal([]hop.IP{before[2]}))
	skipped, hasSkipped := d.View().SkippedCandidate(service, 42)
	g.Expect(hasSkipped).To(BeTrue())
	g.Expect(skipped).To(Equal(before[0]))
}

// A candidate search leaves out silent agents that rank low. This is safe because flows are placed only on leading candidates,
// for the balancers of every availability zone and whatever the states of the agents.
func TestCandidateSearchCoversPlacementsByOtherZones(t *testing.T) {
	g := NewWithT(t)
	zones := []string{"quito", "ambato", "cuenca"}
	balancers := make([]*directory.Directory, len(zones))
	for z, zone := range zones {
		balancers[z] = directory.New(self, zone)
		for n := byte(1); n <= 60; n++ {
			balancers[z].HandleEntry(start, agent(n), newEntry(zones[n%3]), store.Version(n))
		}
	}
	now := run(balancers[0], start, 3*time.Second, allAnswer)
	run(balancers[0], now, 10*time.Second, func(a hop.IP) bool { return a[3]%4 == 0 })
	// Balancers of other zones, to which other agents are silent, search for the flows that the first balancer has placed.
	for _, searcher := range balancers[1:] {
		from := run(searcher, start, 3*time.Second, allAnswer)
		for n := byte(1); n <= 60; n++ {
			searcher.RecordUse(from, agent(n))
		}
		run(searcher, from, 1500*time.Millisecond, func(a hop.IP) bool { return a[3]%4 != 0 })
		for flow := range uint64(2000) {
			all, _ := searcher.View().CandidateOrder(service, flow, directory.OpenFlowPacket, 0, make([]hop.IP, 0, 60))
			g.Expect(all).To(ContainElements(candidates(balancers[0], flow, true)))
		}
	}
}

// An agent that answers is pinged together with a silent one. Its answer shows that the link is not congested.
func TestSilentAgentIsDetectedWhenNoOtherIsPinged(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(30)
	now := run(d, start, 3*time.Second, allAnswer)
	gone := candidates(d, 42, true)[0]
	d.RequestPing(now, gone)
	run(d, now, 600*time.Millisecond, func(a hop.IP) bool { return a != gone })
	known, _ := d.Lookup(gone)
	g.Expect(known.State).To(Equal(directory.Suspect))
}

// The number of candidates tried grows only with the logarithm of the number of targets.
func TestCandidateSearchIsBounded(t *testing.T) {
	for _, size := range []int{100, 500, 2000} {
		g := NewWithT(t)
		d := directory.New(self, "quito")
		for n := range size {
			at := hop.IP{10, 1, byte(n >> 8), byte(n)}
			d.HandleEntry(start, at, newEntry([]string{"quito", "ambato", "cuenca"}[n%3]), store.Version(n+1))
		}
		const flows = 50
		tried := 0
		for flow := range uint64(flows) {
			_, total := d.View().CandidateOrder(service, flow, directory.OpenFlowPacket, 0, make([]hop.IP, 0, hop.MaxCandidates))
			tried += total
		}
		// Twice the expected number for one order, for the orders of other availability zones.
		bound := 2 * 12 * (1 + math.Log(float64(size)/12))
		g.Expect(float64(tried)/flows).To(BeNumerically("<", bound), "%d targets", size)
	}
}

// A service grows while flows are open. The flows that were placed when it was small must still be found.
func TestCandidateSearchCoversPlacementsOfEarlierViews(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(self, "quito")
	placed := make([][]hop.IP, 300)
	for n := byte(1); n <= 240; n++ {
		d.HandleEntry(start, agent(n), newEntry([]string{"quito", "ambato"}[n%2]), store.Version(n))
		for flow := range placed {
			if int(n)%20 == flow%20 {
				placed[flow] = append(placed[flow], candidates(d, uint64(flow), true)...)
			}
		}
	}
	for flow, agents := range placed {
		all, _ := d.View().CandidateOrder(service, uint64(flow), directory.OpenFlowPacket, 0, make([]hop.IP, 0, 240))
		for _, a := range agents {
			g.Expect(all).To(ContainElement(a))
		}
	}
}

func isGone(d *directory.Directory, agent hop.IP) bool {
	known, _ := d.Lookup(agent)
	return known.State == directory.Gone
}

// A VM has disappeared without notice while all other agents answer in time. Packets of the flows that it held, or may have
// held, must not be sent there, where they would be lost, so that the callers are sent resets.
func TestGoneAgentIsLeftOutOfCandidateSearch(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(12)
	now := run(d, start, 3*time.Second, allAnswer)
	gone := candidates(d, 42, false)[0]
	answers := func(a hop.IP) bool { return a != gone }
	useAllFor := func(length time.Duration) {
		for end := now.Add(length); now.Before(end); {
			recordUseOfAll(d, now)
			now = run(d, now, 75*time.Millisecond, answers)
		}
	}
	useAllFor(3 * time.Second)
	g.Expect(isDead(d, gone)).To(BeTrue())
	g.Expect(isGone(d, gone)).To(BeFalse(), "a VM that is suspended for three seconds keeps its flows")
	kept, _ := d.View().CandidateOrder(service, 42, directory.OpenFlowPacket, 0, make([]hop.IP, 0, 12))
	g.Expect(kept).To(ContainElement(gone))
	useAllFor(3 * time.Second)
	g.Expect(isGone(d, gone)).To(BeTrue())
	all, total := d.View().CandidateOrder(service, 42, directory.OpenFlowPacket, 0, make([]hop.IP, 0, 12))
	g.Expect(total).To(Equal(11))
	g.Expect(all).NotTo(ContainElement(gone))
	answers = allAnswer
	useAllFor(6 * time.Second)
	known, _ := d.Lookup(gone)
	g.Expect(known.State).To(Equal(directory.Reachable), "the agent is reachable when it answers again")
}

// When answers are lost on the balancer's own link, no agent is gone.
func TestNoAgentIsGoneWhilePathIsBad(t *testing.T) {
	for share, isLost := range map[string]func(n int) bool{
		"half lost": func(n int) bool { return n%2 == 0 }, "a quarter lost": func(n int) bool { return n%4 == 0 },
		"nine of ten lost": func(n int) bool { return n%10 != 0 }, "all lost": func(int) bool { return true },
	} {
		t.Run(share, func(t *testing.T) {
			g := NewWithT(t)
			d := newDirectory(12)
			now := run(d, start, 3*time.Second, allAnswer)
			gone, sent := agent(5), 0
			for from := now; now.Sub(from) < 30*time.Second; now = now.Add(75 * time.Millisecond) {
				recordUseOfAll(d, now)
				pings, _ := d.Tick(now)
				for _, p := range pings {
					if sent++; p.Agent != gone && !isLost(sent) {
						d.HandlePong(now.Add(time.Millisecond), p.Agent, p.Sequence)
					}
				}
			}
			for _, target := range d.Targets() {
				g.Expect(target.State).NotTo(Equal(directory.Gone), "agent %v", target.Agent)
			}
		})
	}
}

// A balancer that receives answers from only one agent is more likely cut off itself.
func TestNoAgentIsGoneWhenMostAreSilent(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(12)
	now := run(d, start, 3*time.Second, allAnswer)
	for from := now; now.Sub(from) < 30*time.Second; {
		recordUseOfAll(d, now)
		now = run(d, now, 75*time.Millisecond, func(a hop.IP) bool { return a == agent(7) })
	}
	for _, target := range d.Targets() {
		g.Expect(target.State).NotTo(Equal(directory.Gone))
	}
}

// A balancer starts while the VM of an agent is suspended, or after a power failure of all VMs.
func TestAgentThatNeverAnsweredIsGoneSoonerInMassRestart(t *testing.T) {
	for name, uptime := range map[string]time.Duration{
		"others have run for long": time.Hour, "all have just started": time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := newDirectory(12)
			silent, now := agent(5), start
			for ; now.Sub(start) < 3*time.Second; now = now.Add(75 * time.Millisecond) {
				recordUseOfAll(d, now)
				pings, _ := d.Tick(now)
				for _, p := range pings {
					if p.Agent != silent {
						d.SetAgentStart(p.Agent, now.Add(-uptime))
						d.HandlePong(now.Add(time.Millisecond), p.Agent, p.Sequence)
					}
				}
			}
			g.Expect(isDead(d, silent)).To(BeTrue())
			g.Expect(isGone(d, silent)).To(Equal(uptime < time.Minute))
		})
	}
}
