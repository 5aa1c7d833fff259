package steer_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/steer"
	"gentianswitch/internal/store"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	self    = hop.IP{10, 1, 0, 10}
	address = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

func agent(n byte) hop.IP { return hop.IP{10, 1, 0, n} }

func route(priority uint8, services ...string) *desired.Route {
	r := &desired.Route{Name: "r", Priority: priority, Objective: 250 * time.Millisecond}
	for _, s := range services {
		r.Shares = append(r.Shares, desired.Share{Service: desired.ServiceKeyOf(s), Name: s, Weight: 1})
	}
	return r
}

func table(version uint64, routes map[flow.Endpoint]*desired.Route) *desired.Table {
	t := desired.NewTable(version)
	for at, r := range routes {
		t.Add(at, r)
	}
	return t
}

// serving returns a balancer with one route to "pedidos" and the given targets of it.
func serving(agents ...byte) (*steer.Machine, *directory.Directory) {
	s, d := steer.New(self), directory.New(self, "quito")
	s.SetTable(start, table(1, map[flow.Endpoint]*desired.Route{address: route(1, "pedidos")}))
	add(s, d, "pedidos", agents...)
	return s, d
}

func add(s *steer.Machine, d *directory.Directory, service string, agents ...byte) {
	for _, n := range agents {
		d.HandleEntry(start, agent(n), registry.Entry{Service: service, Zone: "quito", Slots: 5}, store.Version(n))
	}
	s.SetView(d.View())
}

func opening() *flow.Packet {
	return &flow.Packet{Source: flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001}, Destination: address, Opens: true}
}

func data() *flow.Packet {
	p := opening()
	p.Opens, p.Payload, p.Acknowledged = false, 100, 77
	return p
}

// ended is the header of a walk through the first candidates in the present view.
func ended(s *steer.Machine, walked uint8) *hop.Header {
	h := s.Decide(start, data()).Header
	h.CandidatesTried, h.Count = walked, 0
	return &h
}

func TestAWalkBeginsAnewWhenTheViewHasChanged(t *testing.T) {
	g := NewWithT(t)
	s, d := serving(1, 2, 3)
	vain := ended(s, 3)
	add(s, d, "pedidos", 4, 5, 6, 7, 8)
	again := s.HandleReturned(start, data(), vain)
	g.Expect(again.Verdict).To(Equal(steer.Forward))
	g.Expect(again.Header.CandidatesTried).To(BeEquivalentTo(8), "a new target may stand before those that were asked")
	vain.Hops = 201
	g.Expect(s.HandleReturned(start, data(), vain).Reason).To(Equal(steer.Churn))
}

func TestAWalkBeginsAnewWhenTheRoutesHaveChanged(t *testing.T) {
	g := NewWithT(t)
	s, d := serving(1, 2)
	add(s, d, "mensajes-voz", 8)
	vain := ended(s, 2)
	s.SetTable(start, table(2, map[flow.Endpoint]*desired.Route{address: route(1, "mensajes-voz", "pedidos")}))
	again := s.HandleReturned(start, data(), vain)
	g.Expect(again.Verdict).To(Equal(steer.Forward))
	g.Expect(s.HandleRevalidated(start, data(), vain).Verdict).To(Equal(steer.Forward), "the order of the services has changed")
}

func TestOpeningAndOpenPacketsMeetTheSameFirstCandidate(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1, 2, 3)
	first, later := s.Decide(start, opening()), s.Decide(start, data())
	g.Expect(first.Verdict).To(Equal(steer.Forward))
	g.Expect(later.Agent).To(Equal(first.Agent))
	g.Expect(first.Header.Count).To(BeEquivalentTo(2), "the other two candidates")
	g.Expect(first.Header.Service).To(BeEquivalentTo(desired.ServiceKeyOf("pedidos")))
	g.Expect(first.Header.Origin).To(Equal(self))
}

func TestBalancersThatKnowNothingOfAFlowAgree(t *testing.T) {
	g := NewWithT(t)
	one, _ := serving(1, 2, 3, 4, 5)
	other, _ := serving(5, 4, 3, 2, 1)
	g.Expect(other.Decide(start, data()).Agent).To(Equal(one.Decide(start, data()).Agent))
}

func TestWithoutConfigurationNothingIsSaidToCallers(t *testing.T) {
	g := NewWithT(t)
	d := steer.New(self).Decide(start, opening())
	g.Expect(d.Verdict).To(Equal(steer.Drop))
	g.Expect(d.Reason).To(Equal(steer.NoTable))
}

func TestAFlowWithoutRouteIsResetAtOnce(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1)
	p := opening()
	p.Destination.Port++
	g.Expect(s.Decide(start, p).Verdict).To(Equal(steer.Reset))
	p.Opens, p.Resets = false, true
	g.Expect(s.Decide(start, p).Verdict).To(Equal(steer.Drop), "a reset is not answered")
}

func TestARouteThatWasDroppedIsNotServed(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1)
	g.Expect(s.SetTable(start, table(2, nil))).To(BeTrue())
	g.Expect(s.Decide(start, opening()).Verdict).To(Equal(steer.Reset))
	g.Expect(s.Decide(start, data()).Verdict).To(Equal(steer.Reset))
}

func TestOnlyRisingVersionsApply(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1)
	g.Expect(s.SetTable(start, table(9, nil))).To(BeTrue())
	for _, version := range []uint64{9, 8, 1} {
		g.Expect(s.SetTable(start, table(version, map[flow.Endpoint]*desired.Route{address: route(1, "pedidos")}))).To(BeFalse())
	}
	g.Expect(s.Table().Version).To(BeEquivalentTo(9))
}

func TestAnOpeningThatAllDeclineIsResetAtOnce(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1, 2, 3)
	d := s.HandleReturned(start, opening(), ended(s, 3))
	g.Expect(d.Verdict).To(Equal(steer.Reset))
	g.Expect(d.Reason).To(Equal(steer.Declined))
}

func TestARepeatedOpeningIsNotResetWhileItsFlowMayBeOpen(t *testing.T) {
	g := NewWithT(t)
	s, d := serving(1, 2)
	d.HandleEntry(start, agent(2), registry.Entry{Service: "pedidos", Zone: "quito", Slots: 5, IsDraining: true}, 100)
	s.SetView(d.View())
	repeated := opening()
	repeated.Retransmissions = 1
	g.Expect(s.Decide(start, repeated).Header.Count).To(BeEquivalentTo(1), "the draining target is asked last")
	vain := ended(s, 2)
	g.Expect(s.HandleReturned(start, repeated, vain).Verdict).To(Equal(steer.Revalidate), "another balancer may have placed it")
	g.Expect(s.HandleRevalidated(start, repeated, vain).Verdict).To(Equal(steer.Reset))
	vain.MayBeOpen = true
	g.Expect(s.HandleReturned(start, repeated, vain).Reason).To(Equal(steer.MayBeOpen))
}

func TestAnOpenFlowIsResetOnlyAfterConfirmation(t *testing.T) {
	g := NewWithT(t)
	s, d := serving(1, 2, 3)
	g.Expect(s.HandleReturned(start, data(), ended(s, 3)).Verdict).To(Equal(steer.Revalidate))
	vain := ended(s, 3)
	g.Expect(s.HandleRevalidated(start, data(), vain).Verdict).To(Equal(steer.Reset))
	add(s, d, "pedidos", 4)
	again := s.HandleRevalidated(start, data(), vain)
	g.Expect(again.Verdict).To(Equal(steer.Forward), "the confirmation has found a target, at any place of the order")
	g.Expect(again.Header.CandidatesTried).To(BeEquivalentTo(4))
	g.Expect(s.HandleReturned(start, data(), &again.Header).Verdict).To(Equal(steer.Reset), "all targets of that view were asked")
}

func TestAResetOfACallerIsNeverAnswered(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1)
	p := data()
	p.Resets = true
	g.Expect(s.HandleReturned(start, p, ended(s, 1)).Verdict).To(Equal(steer.Drop))
	g.Expect(s.HandleRevalidated(start, p, ended(s, 1)).Verdict).To(Equal(steer.Drop))
}

func TestAFrameGoesOnWhereTheFormerEnded(t *testing.T) {
	g := NewWithT(t)
	agents := make([]byte, 12)
	for i := range agents {
		agents[i] = byte(i + 1)
	}
	s, _ := serving(agents...)
	seen := map[hop.IP]bool{}
	d := s.Decide(start, data())
	for range 2 {
		g.Expect(d.Verdict).To(Equal(steer.Forward))
		seen[d.Agent] = true
		for i := range d.Header.Count {
			seen[d.Header.Candidates[i]] = true
		}
		d = s.HandleReturned(start, data(), &d.Header)
	}
	g.Expect(seen).To(HaveLen(12))
	g.Expect(d.Verdict).To(Equal(steer.Revalidate))
}

func TestALocatedFlowGoesStraightToItsAgent(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1, 2, 3)
	last := s.Decide(start, data()).Header.Candidates[1]
	s.SetLocation(start, data().IDFromCaller(), last, desired.ServiceKeyOf("pedidos"))
	d := s.Decide(start, data())
	g.Expect(d.Agent).To(Equal(last))
	g.Expect(d.Reason).To(Equal(steer.KnownLocation))
}

func TestAWrongMemoryCostsOnlyTheWalk(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1, 2, 3)
	first := s.Decide(start, data())
	s.SetLocation(start, data().IDFromCaller(), first.Header.Candidates[1], desired.ServiceKeyOf("pedidos"))
	wrong := s.Decide(start, data())
	walk := s.HandleReturned(start, data(), &wrong.Header)
	g.Expect(walk.Verdict).To(Equal(steer.Forward))
	g.Expect(walk.Agent).To(Equal(first.Agent))
	g.Expect(s.Decide(start, data()).Reason).To(Equal(steer.Placed), "the memory is gone")
}

func TestTheMemoryOfALeftAgentIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	s, d := serving(1, 2, 3)
	s.SetLocation(start, data().IDFromCaller(), agent(2), desired.ServiceKeyOf("pedidos"))
	d.HandleRemoval(agent(2), 100)
	s.SetView(d.View())
	g.Expect(s.Decide(start, data()).Agent).NotTo(Equal(agent(2)))
}

func TestOpenFlowsAreFoundAfterTheirRouteMoved(t *testing.T) {
	g := NewWithT(t)
	s, d := serving(1, 2)
	add(s, d, "mensajes-voz", 8, 9)
	s.SetTable(start, table(2, map[flow.Endpoint]*desired.Route{address: route(1, "mensajes-voz")}))
	opens := s.Decide(start, opening())
	g.Expect(opens.Header.Service).To(BeEquivalentTo(desired.ServiceKeyOf("mensajes-voz")))
	g.Expect(s.HandleReturned(start, opening(), ended(s, 2)).Verdict).To(Equal(steer.Reset), "a new flow does not go to the old service")
	old := s.HandleReturned(start, data(), ended(s, 2))
	g.Expect(old.Verdict).To(Equal(steer.Forward))
	g.Expect(old.Header.Service).To(BeEquivalentTo(desired.ServiceKeyOf("pedidos")))
	g.Expect(s.HandleReturned(start.Add(61*time.Second), data(), ended(s, 2)).Verdict).To(Equal(steer.Revalidate), "flows end within a minute")
}

func TestNewFlowsFollowTheWeightsOfARoute(t *testing.T) {
	g := NewWithT(t)
	s, d := serving(1)
	add(s, d, "mensajes-voz", 2)
	split := route(1, "pedidos", "mensajes-voz")
	split.Shares[0].Weight, split.Shares[1].Weight = 90, 10
	s.SetTable(start, table(2, map[flow.Endpoint]*desired.Route{address: split}))
	const flows = 10_000
	minor := 0.0
	for i := range flows {
		p := opening()
		p.Source.Port = uint16(i)
		if s.Decide(start, p).Header.Service == uint64(desired.ServiceKeyOf("mensajes-voz")) {
			minor++
		}
	}
	g.Expect(minor / flows).To(BeNumerically("~", 0.1, 0.015))
}

func TestOnlyLessUrgentRoutesAreDeferred(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1)
	feed := address
	feed.Port = 8443
	s.SetTable(start, table(2, map[flow.Endpoint]*desired.Route{address: route(1, "pedidos"), feed: route(3, "pedidos")}))
	g.Expect(s.Decide(start, opening()).Header.PriorityOffset).To(BeZero())
	p := opening()
	p.Destination = feed
	d := s.Decide(start, p)
	g.Expect(d.Header.PriorityOffset).To(BeEquivalentTo(2))
	g.Expect(d.Header.Objective).To(BeEquivalentTo(250))
}

func TestTargetsThatWereOnlyBusyAreAskedOnceMore(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1, 2, 3)
	vain := ended(s, 3)
	vain.Busy = 2
	again := s.HandleReturned(start, opening(), vain)
	g.Expect(again.Verdict).To(Equal(steer.Forward))
	g.Expect(again.Header.MustAccept).To(BeTrue(), "a busy target takes it now")
	g.Expect(again.Header.CandidatesTried).To(BeEquivalentTo(3))
	g.Expect(s.HandleReturned(start, opening(), &again.Header).Verdict).To(Equal(steer.Reset), "but not for ever")
}

func TestAnOpeningThatWaitedInVainIsToldWithoutAnotherWalk(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	refused := &hop.Header{Kind: hop.Refused, CandidatesTried: 8}
	d := s.HandleRefused(opening(), refused)
	g.Expect(d.Verdict).To(Equal(steer.Reset))
	g.Expect(d.Reason).To(Equal(steer.Overload))
	refused.MayBeOpen = true
	g.Expect(s.HandleRefused(opening(), refused).Verdict).To(Equal(steer.Drop))
	s.SetTable(start, table(2, nil))
	g.Expect(s.HandleRefused(opening(), refused).Reason).To(Equal(steer.NoRoute))
}

func TestACopyThatGoesStraightToItsAgentIsAsUrgentAsTheFirst(t *testing.T) {
	g := NewWithT(t)
	s, _ := serving(1, 2, 3)
	s.SetTable(start, table(2, map[flow.Endpoint]*desired.Route{
		address: route(2, "pedidos"), {IP: [4]byte{198, 18, 0, 2}, Port: 443}: route(1, "pedidos"),
	}))
	first := s.Decide(start, opening())
	g.Expect(first.Header.PriorityOffset).To(BeEquivalentTo(1))
	s.SetLocation(start, opening().IDFromCaller(), first.Header.Candidates[0], desired.ServiceKeyOf("pedidos"))
	straight := s.Decide(start, opening())
	g.Expect(straight.Reason).To(Equal(steer.KnownLocation))
	g.Expect(straight.Header.PriorityOffset).To(BeEquivalentTo(1))
	g.Expect(straight.Header.Objective).To(Equal(first.Header.Objective))
}

// silence lets all agents but the answering ones go without a word for some seconds, after all have answered.
func silence(s *steer.Machine, d *directory.Directory, answering ...hop.IP) {
	const calm = 2 * time.Second
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(75 * time.Millisecond) {
		for _, t := range d.Targets() {
			d.RecordUse(now, t.Agent)
		}
		pings, _ := d.Tick(now)
		for _, ping := range pings {
			if now.Sub(start) < calm || slices.Contains(answering, ping.Agent) {
				d.HandlePong(now, ping.Agent, ping.Sequence)
			}
		}
	}
	s.SetView(d.View())
}

// The pattern is silence that is taken for knowledge: the flow's target lives, and no answer of its agent arrives.
func TestAFlowThatMayLiveAtASilentAgentIsNotReset(t *testing.T) {
	g := NewWithT(t)
	s, d := serving(1, 2, 3)
	holder := s.Decide(start, data()).Agent
	other := s.Decide(start, data()).Header.Candidates[0]
	silence(s, d, other)
	first := s.Decide(start, data())
	g.Expect(first.Agent).To(Equal(other))
	g.Expect(first.Header.Candidates[:first.Header.Count]).To(ContainElement(holder), "the walk ends at agents that do not answer")
	partial := first.Header
	partial.CandidatesTried = 1
	g.Expect(s.HandleReturned(start, data(), &partial).Verdict).To(Equal(steer.Forward), "one has declined, the others were not heard")
	g.Expect(s.HandleReturned(start, data(), &first.Header).Verdict).To(Equal(steer.Revalidate), "each has declined")
}

func TestTheFirstCandidateOfAFlowGetsACopyWhenItIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	s, d := serving(1, 2, 3)
	g.Expect(s.Decide(start, data()).HasSkipped).To(BeFalse())
	natural := s.Decide(start, data())
	silence(s, d, natural.Header.Candidates[0])
	passing := s.Decide(start, data())
	g.Expect(passing.HasSkipped).To(BeTrue())
	g.Expect(passing.Skipped).To(Equal(natural.Agent))
	h := passing.CopyHeader()
	g.Expect(h.IsDuplicate).To(BeTrue())
	g.Expect(h.Count).To(BeZero())
	g.Expect(h.Hops).To(BeEquivalentTo(1), "the agent tells that the flow is there")
	g.Expect(s.Decide(start, opening()).HasSkipped).To(BeFalse(), "an opening must not open two flows")
	g.Expect(s.HandleReturned(start, data(), &passing.Header).HasSkipped).To(BeFalse())
}

func TestALocatedFlowStaysAtAnAgentThatDoesNotAnswer(t *testing.T) {
	g := NewWithT(t)
	s, d := serving(1, 2, 3)
	holder := s.Decide(start, data()).Header.Candidates[0]
	s.SetLocation(start, data().IDFromCaller(), holder, desired.ServiceKeyOf("pedidos"))
	silence(s, d, s.Decide(start, opening()).Agent)
	g.Expect(s.Decide(start, data()).Agent).To(Equal(holder))
	g.Expect(s.Decide(start, data()).Reason).To(Equal(steer.KnownLocation))
}
