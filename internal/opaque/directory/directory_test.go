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

func ready(zone string) registry.Entry {
	return registry.Entry{Service: "pedidos", Zone: zone, Slots: 5}
}

func filled(count byte) *directory.Directory {
	d := directory.New(self, "quito")
	for n := byte(1); n <= count; n++ {
		d.HandleEntry(start, agent(n), ready("quito"), store.Version(n))
	}
	return d
}

func order(d *directory.Directory, flow uint64, opens bool) []hop.IP {
	to := directory.OpenFlowPacket
	if opens {
		to = directory.OpeningPacket
	}
	out, _ := d.View().CandidateOrder(service, flow, to, 0, make([]hop.IP, 0, hop.MaxCandidates))
	return out
}

func TestOrderHoldsEveryTargetOnce(t *testing.T) {
	g := NewWithT(t)
	d := filled(7)
	for flow := range uint64(50) {
		g.Expect(order(d, flow, true)).To(ConsistOf(
			agent(1), agent(2), agent(3), agent(4), agent(5), agent(6), agent(7)))
	}
}

func TestOrderGoesOnWhereAFrameEnded(t *testing.T) {
	g := NewWithT(t)
	d := filled(200)
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

func TestALeavingTargetMovesNoFlowOfAnother(t *testing.T) {
	g := NewWithT(t)
	d := filled(7)
	before := make([]hop.IP, 200)
	for flow := range before {
		before[flow] = order(d, uint64(flow), false)[0]
	}
	left := ready("quito")
	left.HasLeft = true
	d.HandleEntry(start, agent(3), left, 100)
	for flow, first := range before {
		if first != agent(3) {
			g.Expect(order(d, uint64(flow), false)[0]).To(Equal(first))
		}
	}
}

func TestADrainingTargetKeepsItsFlowsAndGetsNoNewOne(t *testing.T) {
	g := NewWithT(t)
	d := filled(3)
	draining := ready("quito")
	draining.IsDraining = true
	open := order(d, 42, false)
	d.HandleEntry(start, open[0], draining, 100)
	g.Expect(order(d, 42, false)).To(Equal(open))
	g.Expect(order(d, 42, true)).To(Equal(open[1:]))
	repeated, _ := d.View().CandidateOrder(service, 42, directory.RepeatedOpeningPacket, 0, make([]hop.IP, 0, hop.MaxCandidates))
	g.Expect(repeated).To(Equal([]hop.IP{open[1], open[2], open[0]}), "the flow may be open there already")
}

func TestSharesFollowSlotsAndTheZone(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(self, "quito")
	d.HandleEntry(start, agent(1), ready("quito"), 1)
	d.HandleEntry(start, agent(2), ready("cuenca"), 2)
	large := ready("cuenca")
	large.Slots = 10
	d.HandleEntry(start, agent(3), large, 3)
	counts := make(map[hop.IP]float64)
	const flows = 20_000
	for flow := range uint64(flows) {
		counts[order(d, flow, true)[0]]++
	}
	// The weights are 5 slots in the own zone, which weighs twice, 5 slots and 10 slots elsewhere.
	g.Expect(counts[agent(1)] / flows).To(BeNumerically("~", 0.4, 0.02))
	g.Expect(counts[agent(2)] / flows).To(BeNumerically("~", 0.2, 0.02))
	g.Expect(counts[agent(3)] / flows).To(BeNumerically("~", 0.4, 0.02))
}

func TestOlderRevisionsChangeNothing(t *testing.T) {
	g := NewWithT(t)
	d := filled(1)
	d.HandleEntry(start, agent(1), ready("quito"), 50)
	draining := ready("quito")
	draining.IsDraining = true
	_, hasChanged := d.HandleEntry(start, agent(1), draining, 49)
	g.Expect(hasChanged).To(BeFalse())
	_, hasChanged = d.HandleRemoval(agent(1), 50)
	g.Expect(hasChanged).To(BeFalse())
	g.Expect(order(d, 1, true)).To(HaveLen(1))
}

func TestAReusedAddressBelongsToItsNewService(t *testing.T) {
	g := NewWithT(t)
	d := filled(2)
	other := registry.Entry{Service: "mensajes-voz", Zone: "quito", Slots: 5}
	d.HandleEntry(start, agent(1), other, 100)
	g.Expect(order(d, 1, false)).To(Equal([]hop.IP{agent(2)}))
	g.Expect(d.View().Pool(desired.ServiceKeyOf("mensajes-voz"))).To(HaveLen(1))
}

func TestRetainRemovesWhatTheStoreNoLongerLists(t *testing.T) {
	g := NewWithT(t)
	d := filled(3)
	d.HandleEntry(start, agent(9), ready("quito"), 200)
	changes := d.Retain(map[hop.IP]struct{}{agent(1): {}}, 150)
	g.Expect(changes).To(HaveLen(2))
	g.Expect(order(d, 1, true)).To(ConsistOf(agent(1), agent(9)), "agent 9 came after the list was read")
}

// run advances the clock in steps and answers the pings of the agents that live.
func run(d *directory.Directory, from time.Time, length time.Duration, lives func(hop.IP) bool) time.Time {
	now := from
	for ; now.Sub(from) < length; now = now.Add(75 * time.Millisecond) {
		pings, _ := d.Tick(now)
		for _, p := range pings {
			if lives(p.Agent) {
				d.HandlePong(now.Add(time.Millisecond), p.Agent, p.Sequence)
			}
		}
	}
	return now
}

func everyone(hop.IP) bool { return true }

// useAll notes a packet to each agent.
func useAll(d *directory.Directory, now time.Time) {
	for _, t := range d.Targets() {
		d.RecordUse(now, t.Agent)
	}
}

func isDead(d *directory.Directory, agent hop.IP) bool {
	known, _ := d.Lookup(agent)
	return known.State >= directory.Dead
}

func TestAnAgentThatFallsSilentIsTriedLastAndThenLeftOut(t *testing.T) {
	g := NewWithT(t)
	d := filled(3)
	now := run(d, start, 3*time.Second, everyone)
	first := order(d, 42, true)[0]
	others := func(a hop.IP) bool { return a != first }
	now = run(d, now, 1500*time.Millisecond, others)
	g.Expect(order(d, 42, true)).To(HaveLen(3))
	g.Expect(order(d, 42, true)[2]).To(Equal(first))
	now = run(d, now, 3*time.Second, others)
	g.Expect(order(d, 42, true)).To(HaveLen(2))
	g.Expect(isDead(d, first)).To(BeTrue())
	run(d, now, 2*time.Second, everyone)
	g.Expect(order(d, 42, true)[0]).To(Equal(first), "its place comes back with its answers")
}

func TestASuspectedAgentIsFoundWithinTheSecondCopyOfAnOpening(t *testing.T) {
	g := NewWithT(t)
	d := filled(3)
	now := run(d, start, 3*time.Second, everyone)
	first := order(d, 42, true)[0]
	d.RequestPing(now, first)
	run(d, now, 400*time.Millisecond, func(a hop.IP) bool { return a != first })
	g.Expect(order(d, 42, true)[0]).NotTo(Equal(first), "callers repeat an opening after 200 ms and 600 ms")
}

func TestASingleLostPongChangesNothing(t *testing.T) {
	g := NewWithT(t)
	d := filled(1)
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

func TestPingsOfAnAnsweringAgentAreASecondApart(t *testing.T) {
	g := NewWithT(t)
	const meetingPoints = 3
	d := filled(20)
	meeting, other := 0, map[hop.IP]int{}
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(75 * time.Millisecond) {
		useAll(d, now)
		pings, _ := d.Tick(now)
		for _, p := range pings {
			if p.IsToHub {
				meeting++
			} else {
				other[p.Agent]++
			}
			d.HandlePong(now, p.Agent, p.Sequence)
		}
	}
	g.Expect(meeting).To(BeNumerically("<=", 21*meetingPoints), "twice a second where the group meets")
	g.Expect(other).To(HaveLen(20 - meetingPoints))
	for _, count := range other {
		g.Expect(count).To(BeNumerically("<=", 11))
	}
}

func TestAnswersToOldPingsDoNotRevive(t *testing.T) {
	g := NewWithT(t)
	d := filled(2)
	run(d, start, 5*time.Second, func(a hop.IP) bool { return a == agent(2) })
	g.Expect(isDead(d, agent(1))).To(BeTrue())
	_, hasChanged := d.HandlePong(start.Add(5*time.Second), agent(1), 1)
	g.Expect(hasChanged).To(BeFalse())
}

func TestABalancerThatWasFrozenBelievesNoAgentDead(t *testing.T) {
	g := NewWithT(t)
	d := filled(3)
	now := run(d, start, 3*time.Second, everyone)
	for n := byte(1); n <= 3; n++ {
		d.RequestPing(now, agent(n))
	}
	pings, _ := d.Tick(now)
	g.Expect(pings).To(HaveLen(3))
	// The pongs arrive while the process stands still, and are read after the clock has been looked at.
	_, changes := d.Tick(now.Add(5 * time.Second))
	for _, c := range changes {
		g.Expect(c.Target.State).NotTo(Equal(directory.Dead))
	}
}

func TestABalancerThatHearsNoAgentTriesAllOfThem(t *testing.T) {
	g := NewWithT(t)
	d := filled(3)
	now := run(d, start, 2*time.Second, everyone)
	now = run(d, now, 10*time.Second, func(hop.IP) bool { return false })
	g.Expect(order(d, 42, false)).To(HaveLen(3), "it is rather cut off itself, and flows must not be reset for that")
	run(d, now, 4*time.Second, func(a hop.IP) bool { return a == agent(1) })
	g.Expect(order(d, 42, true)).To(Equal([]hop.IP{agent(1)}), "the others get no new flows")
	g.Expect(order(d, 42, false)).To(HaveLen(3), "and may hold open ones")
	g.Expect(order(d, 42, false)[0]).To(Equal(agent(1)))
}

func TestTheAgesOfABeliefAreKnown(t *testing.T) {
	g := NewWithT(t)
	d := filled(1)
	_, isKnown := d.Lookup(agent(2))
	g.Expect(isKnown).To(BeFalse())
	known, _ := d.Lookup(agent(1))
	g.Expect(known.EnteredAt).To(Equal(start))
	g.Expect(known.AnsweredAt.IsZero()).To(BeTrue())
	g.Expect(known.Revision).To(BeEquivalentTo(1))
	pings, _ := d.Tick(start.Add(time.Second))
	d.HandlePong(start.Add(1010*time.Millisecond), agent(1), pings[0].Sequence)
	known, _ = d.Lookup(agent(1))
	g.Expect(known.AnsweredAt).To(Equal(start.Add(1010 * time.Millisecond)))
}

// The pattern is a release whose VMs are taken away one after the other: a packet of a flow that has ended is offered to
// every target, and vanished at the VM that had just gone.
func TestAFlowIsNotLookedForAtASilentAgentThatIsFarDown(t *testing.T) {
	g := NewWithT(t)
	// The first target may hold any flow, as far as the order in which targets have joined tells.
	const silent, first = 200, 1
	d := filled(silent)
	quiet := filled(silent)
	silence(d, agent(first))
	rank := func(flow uint64) int {
		pool := slices.Clone(quiet.View().Pool(service))
		score := func(c directory.Candidate) float64 { return rendezvous.Score(flow, c.Seed, c.Weight) }
		slices.SortFunc(pool, func(a, b directory.Candidate) int { return cmp.Compare(score(b), score(a)) })
		return slices.IndexFunc(pool, func(c directory.Candidate) bool { return c.Agent == agent(first) })
	}
	near, far := 0, 0
	for flow := range uint64(2000) {
		natural, _ := quiet.View().CandidateOrder(service, flow, directory.OpenFlowPacket, 0, make([]hop.IP, 0, silent))
		asked, total := d.View().CandidateOrder(service, flow, directory.OpenFlowPacket, 0, make([]hop.IP, 0, silent))
		g.Expect(total).To(Equal(len(asked)))
		if slices.Contains(natural, agent(first)) && rank(flow) < 2*hop.MaxCandidates {
			g.Expect(asked).To(ConsistOf(natural))
			g.Expect(asked[total-1]).To(Equal(agent(first)), "it may be there: asked last")
			near++
			continue
		}
		g.Expect(asked).NotTo(ContainElement(agent(first)))
		far++
	}
	g.Expect(far).To(BeNumerically(">", 4*near))
}

// silence lets an agent become suspect.
func silence(d *directory.Directory, silent hop.IP) {
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
	d := filled(agents)
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
	g.Expect(total).To(BeNumerically("<=", (used+2*3)*(seconds+1)), "what is sent does not grow with the number of agents")
	for n := byte(1); n <= used; n++ {
		g.Expect(pinged[agent(n)]).To(BeNumerically(">=", seconds-1))
	}
	g.Expect(len(pinged)).To(BeNumerically(">=", 3), "some answer to a balancer without flows")
}

func TestAnAgentIsAskedAsSoonAsItIsUsed(t *testing.T) {
	g := NewWithT(t)
	d := filled(200)
	now := run(d, start, 3*time.Second, everyone)
	asked := func() (list []hop.IP) {
		pings, _ := d.Tick(now)
		for _, p := range pings {
			list = append(list, p.Agent)
		}
		return list
	}
	unused := agent(1)
	for _, taken := range asked() {
		if taken == unused {
			unused = agent(2)
		}
	}
	d.RecordUse(now, unused)
	g.Expect(asked()).To(ContainElement(unused))
}

// The pattern is a balancer that is cut off: it has packets for some agents only, and those that it never asked must not
// make it believe that the others are dead.
func TestAnIsolatedBalancerBelievesNoAgentDeadThatItUses(t *testing.T) {
	g := NewWithT(t)
	d := filled(50)
	now := run(d, start, 3*time.Second, everyone)
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
	g.Expect(isDead(d, agent(1))).To(BeTrue(), "it is not cut off: agent 20 answers")
}

func TestDeadAgentsArePingedLessAndLess(t *testing.T) {
	g := NewWithT(t)
	d := filled(4)
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
	g.Expect(count).To(BeNumerically(">=", 10), "it is found within seconds when it comes back")
}

// The pattern is a balancer that catches up by way of another one, which has not yet heard that a target has left.
func TestARemovedTargetDoesNotComeBackByAnOldEntry(t *testing.T) {
	for name, remove := range map[string]func(d *directory.Directory){
		"its entry says that it has left": func(d *directory.Directory) {
			d.HandleEntry(start, agent(2), registry.Entry{Service: "pedidos", HasLeft: true}, 50)
		},
		"its entry is gone":       func(d *directory.Directory) { d.HandleRemoval(agent(2), 50) },
		"no list has it any more": func(d *directory.Directory) { d.Retain(map[hop.IP]struct{}{agent(1): {}}, 50) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := filled(2)
			remove(d)
			_, hasChanged := d.HandleEntry(start, agent(2), ready("quito"), 40)
			g.Expect(hasChanged).To(BeFalse())
			g.Expect(order(d, 1, false)).To(Equal([]hop.IP{agent(1)}))
			d.HandleEntry(start, agent(2), ready("quito"), 60)
			g.Expect(order(d, 1, false)).To(HaveLen(2), "a newer entry is another target")
		})
	}
}

// The pattern is a packet of an open flow in a calm hour: its target is the third in the order, and the VM of the second is
// gone without a word. Nobody asks that VM but for this packet.
func TestCandidatesBehindTheFirstAreAskedAsWell(t *testing.T) {
	g := NewWithT(t)
	d := filled(200)
	now := run(d, start, 3*time.Second, everyone)
	path := order(d, 42, false)
	gone := path[1]
	for repeated := range 3 {
		// A caller repeats its packet after 200 ms and 400 ms more.
		d.RecordUse(now, path[0], path[1:]...)
		now = run(d, now, time.Duration(200<<repeated)*time.Millisecond, func(a hop.IP) bool { return a != gone })
	}
	g.Expect(slices.Index(order(d, 42, false), gone)).NotTo(Equal(1), "it is tried last, or not at all")
}

// delayed plays a link on which each answer takes a time and some are lost, and lets the agents be used all the while. It
// returns the changes of belief.
func delayed(d *directory.Directory, from time.Time, length, delay time.Duration, isLost func() bool) []directory.Change {
	type pong struct {
		at   time.Time
		ping directory.Ping
	}
	var under []pong
	var all []directory.Change
	for now := from; now.Sub(from) < length; now = now.Add(75 * time.Millisecond) {
		for len(under) > 0 && !under[0].at.After(now) {
			d.HandlePong(now, under[0].ping.Agent, under[0].ping.Sequence)
			under = under[1:]
		}
		useAll(d, now)
		pings, changes := d.Tick(now)
		all = append(all, changes...)
		for _, p := range pings {
			if !isLost() {
				under = append(under, pong{at: now.Add(delay), ping: p})
			}
		}
	}
	return all
}

// The pattern is a full link: the answers of all agents wait behind the packets of callers.
func TestLateAnswersOfAllAgentsMakeNoneSuspect(t *testing.T) {
	for _, delay := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		g := NewWithT(t)
		d := filled(14)
		now := run(d, start, 3*time.Second, everyone)
		changes := delayed(d, now, 20*time.Second, delay, func() bool { return false })
		g.Expect(changes).To(BeEmpty(), "answers take %s", delay)
	}
}

// The pattern is a full link that drops most packets: silence is no knowledge, and a walk through the candidates of an open
// flow must not end without asking them.
func TestAnOpenFlowIsLookedForAtAgentsThatDoNotAnswer(t *testing.T) {
	g := NewWithT(t)
	d := filled(12)
	now := run(d, start, 3*time.Second, everyone)
	answered := 0
	delayed(d, now, 20*time.Second, 300*time.Millisecond, func() bool {
		answered++
		return answered%10 != 0
	})
	for flow := range uint64(200) {
		all, _ := d.View().CandidateOrder(service, flow, directory.OpenFlowPacket, 0, make([]hop.IP, 0, 12))
		g.Expect(all).To(HaveLen(12))
	}
}

// The pattern is a view in which every agent is silent but one.
func TestADeadAgentIsAskedLastForOpenFlows(t *testing.T) {
	g := NewWithT(t)
	d := filled(3)
	now := run(d, start, 3*time.Second, everyone)
	natural := order(d, 42, false)
	run(d, now, 10*time.Second, func(a hop.IP) bool { return a == natural[2] })
	g.Expect(isDead(d, natural[0])).To(BeTrue(), "but not gone: most agents are silent")
	g.Expect(order(d, 42, false)).To(Equal([]hop.IP{natural[2], natural[0], natural[1]}))
	g.Expect(order(d, 42, true)).To(Equal([]hop.IP{natural[2]}))
	passed, hasPassed := d.View().SkippedCandidate(service, 42)
	g.Expect(hasPassed).To(BeTrue())
	g.Expect(passed).To(Equal(natural[0]))
}

// What lets a walk leave out silent agents that are far down: a flow is placed among the first of its order only, for the
// balancers of every availability zone and whatever the states of the agents.
func TestFlowsArePlacedWhereTheyAreLookedFor(t *testing.T) {
	g := NewWithT(t)
	zones := []string{"quito", "ambato", "cuenca"}
	balancers := make([]*directory.Directory, len(zones))
	for z, zone := range zones {
		balancers[z] = directory.New(self, zone)
		for n := byte(1); n <= 60; n++ {
			balancers[z].HandleEntry(start, agent(n), ready(zones[n%3]), store.Version(n))
		}
	}
	now := run(balancers[0], start, 3*time.Second, everyone)
	run(balancers[0], now, 10*time.Second, func(a hop.IP) bool { return a[3]%4 == 0 })
	// Another balancer sees other agents silent, and looks for what the first one has placed.
	for _, looking := range balancers[1:] {
		from := run(looking, start, 3*time.Second, everyone)
		for n := byte(1); n <= 60; n++ {
			looking.RecordUse(from, agent(n))
		}
		run(looking, from, 1500*time.Millisecond, func(a hop.IP) bool { return a[3]%4 != 0 })
		for flow := range uint64(2000) {
			all, _ := looking.View().CandidateOrder(service, flow, directory.OpenFlowPacket, 0, make([]hop.IP, 0, 60))
			g.Expect(all).To(ContainElements(order(balancers[0], flow, true)))
		}
	}
}

// A ping of an agent that answers goes with those of agents that do not, so that their silence can be told from a full link.
func TestAnAgentInDoubtIsFoundSilentWhenNothingElseIsAsked(t *testing.T) {
	g := NewWithT(t)
	d := filled(30)
	now := run(d, start, 3*time.Second, everyone)
	gone := order(d, 42, true)[0]
	d.RequestPing(now, gone)
	run(d, now, 600*time.Millisecond, func(a hop.IP) bool { return a != gone })
	known, _ := d.Lookup(gone)
	g.Expect(known.State).To(Equal(directory.Suspect))
}

// The bound of a walk does not know the size of the service, but for a logarithm.
func TestAWalkIsBounded(t *testing.T) {
	for _, size := range []int{100, 500, 2000} {
		g := NewWithT(t)
		d := directory.New(self, "quito")
		for n := range size {
			at := hop.IP{10, 1, byte(n >> 8), byte(n)}
			d.HandleEntry(start, at, ready([]string{"quito", "ambato", "cuenca"}[n%3]), store.Version(n+1))
		}
		const flows = 50
		asked := 0
		for flow := range uint64(flows) {
			_, total := d.View().CandidateOrder(service, flow, directory.OpenFlowPacket, 0, make([]hop.IP, 0, hop.MaxCandidates))
			asked += total
		}
		// Twice the expected number for one order, for the orders of other availability zones.
		bound := 2 * 12 * (1 + math.Log(float64(size)/12))
		g.Expect(float64(asked)/flows).To(BeNumerically("<", bound), "%d targets", size)
	}
}

// The pattern is a service that grows while flows are open: what was placed when it was small is still asked for.
func TestAWalkAsksWhereAnEarlierViewHasPlacedFlows(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(self, "quito")
	placed := make([][]hop.IP, 300)
	for n := byte(1); n <= 240; n++ {
		d.HandleEntry(start, agent(n), ready([]string{"quito", "ambato"}[n%2]), store.Version(n))
		for flow := range placed {
			if int(n)%20 == flow%20 {
				placed[flow] = append(placed[flow], order(d, uint64(flow), true)...)
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

// The pattern is a VM that went without a word while the path of all other answers is good: callers of its flows, and of all
// flows that it might hold, have to be told.
func TestAnAgentThatIsGoneEndsNoWalk(t *testing.T) {
	g := NewWithT(t)
	d := filled(12)
	now := run(d, start, 3*time.Second, everyone)
	gone := order(d, 42, false)[0]
	answers := func(a hop.IP) bool { return a != gone }
	use := func(length time.Duration) {
		for end := now.Add(length); now.Before(end); {
			useAll(d, now)
			now = run(d, now, 75*time.Millisecond, answers)
		}
	}
	use(3 * time.Second)
	g.Expect(isDead(d, gone)).To(BeTrue())
	g.Expect(isGone(d, gone)).To(BeFalse(), "a VM that stands still for three seconds keeps its flows")
	kept, _ := d.View().CandidateOrder(service, 42, directory.OpenFlowPacket, 0, make([]hop.IP, 0, 12))
	g.Expect(kept).To(ContainElement(gone))
	use(3 * time.Second)
	g.Expect(isGone(d, gone)).To(BeTrue())
	all, total := d.View().CandidateOrder(service, 42, directory.OpenFlowPacket, 0, make([]hop.IP, 0, 12))
	g.Expect(total).To(Equal(11))
	g.Expect(all).NotTo(ContainElement(gone))
	answers = everyone
	use(6 * time.Second)
	known, _ := d.Lookup(gone)
	g.Expect(known.State).To(Equal(directory.Reachable), "it comes back with its answers")
}

// The pattern is a full link once more: whatever is lost or late on the balancer's own path, no agent is gone.
func TestNoAgentIsGoneWhileThePathIsBad(t *testing.T) {
	for share, isLost := range map[string]func(n int) bool{
		"half lost": func(n int) bool { return n%2 == 0 }, "a quarter lost": func(n int) bool { return n%4 == 0 },
		"nine of ten lost": func(n int) bool { return n%10 != 0 }, "all lost": func(int) bool { return true },
	} {
		t.Run(share, func(t *testing.T) {
			g := NewWithT(t)
			d := filled(12)
			now := run(d, start, 3*time.Second, everyone)
			gone, sent := agent(5), 0
			for from := now; now.Sub(from) < 30*time.Second; now = now.Add(75 * time.Millisecond) {
				useAll(d, now)
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

// A balancer that hears one agent alone is rather cut off itself.
func TestNoAgentIsGoneWhenMostAreSilent(t *testing.T) {
	g := NewWithT(t)
	d := filled(12)
	now := run(d, start, 3*time.Second, everyone)
	for from := now; now.Sub(from) < 30*time.Second; {
		useAll(d, now)
		now = run(d, now, 75*time.Millisecond, func(a hop.IP) bool { return a == agent(7) })
	}
	for _, target := range d.Targets() {
		g.Expect(target.State).NotTo(Equal(directory.Gone))
	}
}

// The pattern is a balancer that starts beside an agent that stands still, and one that starts after all VMs have lost power.
func TestAnAgentThatWasNeverHeardIsGoneSoonerAfterACommonStart(t *testing.T) {
	for name, uptime := range map[string]time.Duration{"others run for long": time.Hour, "all have just started": time.Second} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := filled(12)
			silent, now := agent(5), start
			for ; now.Sub(start) < 3*time.Second; now = now.Add(75 * time.Millisecond) {
				useAll(d, now)
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
