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
		r.Services = append(r.Services, desired.WeightedService{Service: desired.ServiceKeyOf(s), Name: s, Weight: 1})
	}
	return r
}

func table(version uint64, routes map[flow.Endpoint]*desired.Route) *desired.Table {
	t := desired.NewTable(version)
	for at, r := range routes {
		t.AddRoute(at, r)
	}
	return t
}

// newMachine returns the Machine and the directory of a balancer with one route, to "pedidos", and the given targets of that
// service.
func newMachine(agents ...byte) (*steer.Machine, *directory.Directory) {
	s, d := steer.New(self), directory.New(self, "quito")
	s.SetTable(start, table(1, map[flow.Endpoint]*desired.Route{address: route(1, "pedidos")}))
	addTargets(s, d, "pedidos", agents...)
	return s, d
}

func addTargets(s *steer.Machine, d *directory.Directory, service string, agents ...byte) {
	for _, n := range agents {
		d.HandleEntry(start, agent(n), registry.Entry{Service: service, Zone: "quito", Slots: 5}, store.Version(n))
	}
	s.SetView(d.View())
}

// openingPacket returns the first copy of a packet that opens a flow.
func openingPacket() *flow.Packet {
	return &flow.Packet{Source: flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001}, Destination: address, Opens: true}
}

// dataPacket returns a later packet of the same flow.
func dataPacket() *flow.Packet {
	p := openingPacket()
	p.Opens, p.Payload, p.Acknowledged = false, 100, 77
	return p
}

// declinedHeader returns the header of a packet that the given number of candidates, in the order of the current view, have
// declined.
func declinedHeader(s *steer.Machine, tried uint8) *hop.Header {
	h := s.Decide(start, dataPacket()).Header
	h.CandidatesTried, h.CandidateCount = tried, 0
	return &h
}

func TestCandidateSearchStartsOverWhenViewHasChanged(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1, 2, 3)
	declined := declinedHeader(s, 3)
	addTargets(s, d, "pedidos", 4, 5, 6, 7, 8)
	again := s.HandleReturned(start, dataPacket(), declined)
	g.Expect(again.Verdict).To(Equal(steer.Forward))
	g.Expect(again.Header.CandidatesTried).To(BeEquivalentTo(8), "a new target may precede those that were tried")
	declined.Hops = 201
	g.Expect(s.HandleReturned(start, dataPacket(), declined).Reason).To(Equal(steer.ViewChanges))
}

func TestCandidateSearchStartsOverWhenRoutesHaveChanged(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1, 2)
	addTargets(s, d, "mensajes-voz", 8)
	declined := declinedHeader(s, 2)
	s.SetTable(start, table(2, map[flow.Endpoint]*desired.Route{address: route(1, "mensajes-voz", "pedidos")}))
	again := s.HandleReturned(start, dataPacket(), declined)
	g.Expect(again.Verdict).To(Equal(steer.Forward))
	g.Expect(s.HandleRevalidated(start, dataPacket(), declined).Verdict).To(Equal(steer.Forward), "the services were reordered")
}

func TestOpeningAndLaterPacketsHaveSameFirstCandidate(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1, 2, 3)
	first, later := s.Decide(start, openingPacket()), s.Decide(start, dataPacket())
	g.Expect(first.Verdict).To(Equal(steer.Forward))
	g.Expect(later.Agent).To(Equal(first.Agent))
	g.Expect(first.Header.CandidateCount).To(BeEquivalentTo(2), "the other two candidates")
	g.Expect(first.Header.Service).To(BeEquivalentTo(desired.ServiceKeyOf("pedidos")))
	g.Expect(first.Header.Origin).To(Equal(self))
}

func TestBalancersWithoutFlowStateChooseSameAgent(t *testing.T) {
	g := NewWithT(t)
	one, _ := newMachine(1, 2, 3, 4, 5)
	other, _ := newMachine(5, 4, 3, 2, 1)
	g.Expect(other.Decide(start, dataPacket()).Agent).To(Equal(one.Decide(start, dataPacket()).Agent))
}

func TestPacketIsDroppedWithoutConfiguration(t *testing.T) {
	g := NewWithT(t)
	d := steer.New(self).Decide(start, openingPacket())
	g.Expect(d.Verdict).To(Equal(steer.Drop))
	g.Expect(d.Reason).To(Equal(steer.NoConfiguration))
}

func TestFlowWithoutRouteIsReset(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1)
	p := openingPacket()
	p.Destination.Port++
	g.Expect(s.Decide(start, p).Verdict).To(Equal(steer.Reset))
	p.Opens, p.Resets = false, true
	g.Expect(s.Decide(start, p).Verdict).To(Equal(steer.Drop), "a reset is not answered")
}

func TestFlowsOfRemovedRouteAreReset(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1)
	g.Expect(s.SetTable(start, table(2, nil))).To(BeTrue())
	g.Expect(s.Decide(start, openingPacket()).Verdict).To(Equal(steer.Reset))
	d := s.Decide(start, dataPacket())
	g.Expect(d.Verdict).To(Equal(steer.ConfirmTable), "a newer table may have added the route again")
	g.Expect(s.HandleTableConfirmed(start, dataPacket(), &d.Header).Verdict).To(Equal(steer.Reset))
}

func TestOnlyRisingVersionsAreApplied(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1)
	g.Expect(s.SetTable(start, table(9, nil))).To(BeTrue())
	for _, version := range []uint64{9, 8, 1} {
		g.Expect(s.SetTable(start, table(version, map[flow.Endpoint]*desired.Route{address: route(1, "pedidos")}))).To(BeFalse())
	}
	g.Expect(s.Table().Version).To(BeEquivalentTo(9))
}

func TestFirstOpeningPacketIsResetWhenAllDecline(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1, 2, 3)
	d := s.HandleReturned(start, openingPacket(), declinedHeader(s, 3))
	g.Expect(d.Verdict).To(Equal(steer.Reset))
	g.Expect(d.Reason).To(Equal(steer.AllDeclined))
}

func TestRetransmittedOpeningPacketIsNotResetWhileFlowMayBeOpen(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1, 2)
	d.HandleEntry(start, agent(2), registry.Entry{Service: "pedidos", Zone: "quito", Slots: 5, IsDraining: true}, 100)
	s.SetView(d.View())
	repeated := openingPacket()
	repeated.Retransmissions = 1
	g.Expect(s.Decide(start, repeated).Header.CandidateCount).To(BeEquivalentTo(1), "the draining target is tried last")
	declined := declinedHeader(s, 2)
	later := start.Add(flow.Lifetime)
	g.Expect(s.HandleReturned(later, repeated, declined).Verdict).To(Equal(steer.Revalidate),
		"another balancer may have placed the flow")
	g.Expect(s.HandleRevalidated(later, repeated, declined).Verdict).To(Equal(steer.Reset))
	declined.MayBeOpen = true
	g.Expect(s.HandleReturned(later, repeated, declined).Reason).To(Equal(steer.MayBeOpen))
}

func TestOpenFlowIsResetOnlyAfterRevalidation(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1, 2, 3)
	g.Expect(s.HandleReturned(start, dataPacket(), declinedHeader(s, 3)).Verdict).To(Equal(steer.Revalidate))
	declined := declinedHeader(s, 3)
	g.Expect(s.HandleRevalidated(start, dataPacket(), declined).Verdict).To(Equal(steer.Reset))
	addTargets(s, d, "pedidos", 4)
	again := s.HandleRevalidated(start, dataPacket(), declined)
	g.Expect(again.Verdict).To(Equal(steer.Forward), "the revalidation has found a target, which may be anywhere in the order")
	g.Expect(again.Header.CandidatesTried).To(BeEquivalentTo(4))
	g.Expect(s.HandleReturned(start, dataPacket(), &again.Header).Verdict).To(Equal(steer.Reset), "all targets have declined")
}

func TestResetFromCallerIsNeverAnswered(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1)
	p := dataPacket()
	p.Resets = true
	g.Expect(s.HandleReturned(start, p, declinedHeader(s, 1)).Verdict).To(Equal(steer.Drop))
	g.Expect(s.HandleRevalidated(start, p, declinedHeader(s, 1)).Verdict).To(Equal(steer.Drop))
}

func TestNextFrameContinuesWithUntriedCandidates(t *testing.T) {
	g := NewWithT(t)
	agents := make([]byte, 12)
	for i := range agents {
		agents[i] = byte(i + 1)
	}
	s, _ := newMachine(agents...)
	tried := map[hop.IP]bool{}
	d := s.Decide(start, dataPacket())
	for range 2 {
		g.Expect(d.Verdict).To(Equal(steer.Forward))
		tried[d.Agent] = true
		for i := range d.Header.CandidateCount {
			tried[d.Header.Candidates[i]] = true
		}
		d = s.HandleReturned(start, dataPacket(), &d.Header)
	}
	g.Expect(tried).To(HaveLen(12))
	g.Expect(d.Verdict).To(Equal(steer.Revalidate))
}

func TestFlowWithKnownLocationGoesStraightToItsAgent(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1, 2, 3)
	last := s.Decide(start, dataPacket()).Header.Candidates[1]
	s.SetLocation(start, dataPacket().IDFromCaller(), flow.Opening{}, last, desired.ServiceKeyOf("pedidos"))
	d := s.Decide(start, dataPacket())
	g.Expect(d.Agent).To(Equal(last))
	g.Expect(d.Reason).To(Equal(steer.KnownLocation))
}

func TestWrongLocationIsForgottenAndSearchStarts(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1, 2, 3)
	first := s.Decide(start, dataPacket())
	s.SetLocation(start, dataPacket().IDFromCaller(), flow.Opening{}, first.Header.Candidates[1], desired.ServiceKeyOf("pedidos"))
	wrong := s.Decide(start, dataPacket())
	search := s.HandleReturned(start, dataPacket(), &wrong.Header)
	g.Expect(search.Verdict).To(Equal(steer.Forward))
	g.Expect(search.Agent).To(Equal(first.Agent))
	g.Expect(s.Decide(start, dataPacket()).Reason).To(Equal(steer.CandidateSearch), "the location has been removed")
}

func TestLocationAtRemovedTargetIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1, 2, 3)
	s.SetLocation(start, dataPacket().IDFromCaller(), flow.Opening{}, agent(2), desired.ServiceKeyOf("pedidos"))
	d.HandleRemoval(agent(2), 100)
	s.SetView(d.View())
	g.Expect(s.Decide(start, dataPacket()).Agent).NotTo(Equal(agent(2)))
}

func TestOpenFlowsAreFoundOnPreviousServiceOfRoute(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1, 2)
	addTargets(s, d, "mensajes-voz", 8, 9)
	s.SetTable(start, table(2, map[flow.Endpoint]*desired.Route{address: route(1, "mensajes-voz")}))
	opened := s.Decide(start, openingPacket())
	g.Expect(opened.Header.Service).To(BeEquivalentTo(desired.ServiceKeyOf("mensajes-voz")))
	g.Expect(s.HandleReturned(start, openingPacket(), declinedHeader(s, 2)).Verdict).To(Equal(steer.Reset),
		"a new flow does not go to the previous service")
	old := s.HandleReturned(start, dataPacket(), declinedHeader(s, 2))
	g.Expect(old.Verdict).To(Equal(steer.Forward))
	g.Expect(old.Header.Service).To(BeEquivalentTo(desired.ServiceKeyOf("pedidos")))
	exhausted := s.HandleReturned(start, dataPacket(), declinedHeader(s, 4))
	g.Expect(exhausted.Verdict).To(Equal(steer.Revalidate))
}

func TestNewFlowsAreSplitByRouteWeights(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1)
	addTargets(s, d, "mensajes-voz", 2)
	split := route(1, "pedidos", "mensajes-voz")
	split.Services[0].Weight, split.Services[1].Weight = 90, 10
	s.SetTable(start, table(2, map[flow.Endpoint]*desired.Route{address: split}))
	const flows = 10_000
	minor := 0.0
	for i := range flows {
		p := openingPacket()
		p.Source.Port = uint16(i)
		if s.Decide(start, p).Header.Service == uint64(desired.ServiceKeyOf("mensajes-voz")) {
			minor++
		}
	}
	g.Expect(minor / flows).To(BeNumerically("~", 0.1, 0.015))
}

func TestOnlyLessUrgentRoutesHavePriorityOffset(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1)
	feed := address
	feed.Port = 8443
	s.SetTable(start, table(2, map[flow.Endpoint]*desired.Route{address: route(1, "pedidos"), feed: route(3, "pedidos")}))
	g.Expect(s.Decide(start, openingPacket()).Header.PriorityOffset).To(BeZero())
	p := openingPacket()
	p.Destination = feed
	d := s.Decide(start, p)
	g.Expect(d.Header.PriorityOffset).To(BeEquivalentTo(2))
	g.Expect(d.Header.Objective).To(BeEquivalentTo(250))
}

func TestBusyTargetsAreTriedOnceMoreAndMustAccept(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1, 2, 3)
	declined := declinedHeader(s, 3)
	declined.BusyCount = 2
	again := s.HandleReturned(start, openingPacket(), declined)
	g.Expect(again.Verdict).To(Equal(steer.Forward))
	g.Expect(again.Header.MustAccept).To(BeTrue(), "a busy target must accept it now")
	g.Expect(again.Header.CandidatesTried).To(BeEquivalentTo(3))
	g.Expect(s.HandleReturned(start, openingPacket(), &again.Header).Verdict).To(Equal(steer.Reset),
		"they are tried only once more")
}

func TestOpeningPacketThatTimedOutIsNotSentToAnotherTarget(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	refused := &hop.Header{Kind: hop.Refused, CandidatesTried: 8}
	d := s.HandleRefused(openingPacket(), refused)
	g.Expect(d.Verdict).To(Equal(steer.Reset))
	g.Expect(d.Reason).To(Equal(steer.Overload))
	refused.MayBeOpen = true
	g.Expect(s.HandleRefused(openingPacket(), refused).Verdict).To(Equal(steer.Drop))
	s.SetTable(start, table(2, nil))
	g.Expect(s.HandleRefused(openingPacket(), refused).Reason).To(Equal(steer.NoRoute))
}

func TestRetransmittedOpeningPacketWithKnownLocationKeepsPriority(t *testing.T) {
	g := NewWithT(t)
	s, _ := newMachine(1, 2, 3)
	s.SetTable(start, table(2, map[flow.Endpoint]*desired.Route{
		address: route(2, "pedidos"), {IP: [4]byte{198, 18, 0, 2}, Port: 443}: route(1, "pedidos"),
	}))
	first := s.Decide(start, openingPacket())
	g.Expect(first.Header.PriorityOffset).To(BeEquivalentTo(1))
	s.SetLocation(start, openingPacket().IDFromCaller(), openingPacket().Opening(), first.Header.Candidates[0], desired.ServiceKeyOf("pedidos"))
	repeated := s.Decide(start, openingPacket())
	g.Expect(repeated.Reason).To(Equal(steer.KnownLocation))
	g.Expect(repeated.Header.PriorityOffset).To(BeEquivalentTo(1))
	g.Expect(repeated.Header.Objective).To(Equal(first.Header.Objective))
}

// silenceAgents runs the directory for 10 s. All agents answer its pings for 2 s, and after that only the given ones.
func silenceAgents(s *steer.Machine, d *directory.Directory, answering ...hop.IP) {
	const silentAfter = 2 * time.Second
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(75 * time.Millisecond) {
		for _, t := range d.Targets() {
			d.RecordUse(now, t.Agent)
		}
		pings, _ := d.Tick(now)
		for _, ping := range pings {
			if now.Sub(start) < silentAfter || slices.Contains(answering, ping.Agent) {
				d.HandlePong(now, ping.Agent, ping.Sequence)
			}
		}
	}
	s.SetView(d.View())
}

// A silent agent may still hold the flow: its target is alive, and only the agent's answers to pings are lost.
func TestFlowThatMayBeAtSilentAgentIsNotReset(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1, 2, 3)
	holder := s.Decide(start, dataPacket()).Agent
	other := s.Decide(start, dataPacket()).Header.Candidates[0]
	silenceAgents(s, d, other)
	first := s.Decide(start, dataPacket())
	g.Expect(first.Agent).To(Equal(other))
	g.Expect(first.Header.Candidates[:first.Header.CandidateCount]).To(ContainElement(holder), "silent agents are tried last")
	partial := first.Header
	partial.CandidatesTried = 1
	g.Expect(s.HandleReturned(start, dataPacket(), &partial).Verdict).To(Equal(steer.Forward), "only one has declined so far")
	g.Expect(s.HandleReturned(start, dataPacket(), &first.Header).Verdict).To(Equal(steer.Revalidate), "all have declined")
}

func TestSkippedFirstCandidateGetsCopyOfPacket(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1, 2, 3)
	g.Expect(s.Decide(start, dataPacket()).HasSkipped).To(BeFalse())
	before := s.Decide(start, dataPacket())
	silenceAgents(s, d, before.Header.Candidates[0])
	skipping := s.Decide(start, dataPacket())
	g.Expect(skipping.HasSkipped).To(BeTrue())
	g.Expect(skipping.Skipped).To(Equal(before.Agent))
	h := skipping.SkippedHeader()
	g.Expect(h.IsDuplicate).To(BeTrue())
	g.Expect(h.CandidateCount).To(BeZero())
	g.Expect(h.Hops).To(BeEquivalentTo(1), "the agent reports the location of the flow")
	g.Expect(s.Decide(start, openingPacket()).HasSkipped).To(BeFalse(), "a copy of an opening packet could open a second flow")
	g.Expect(s.HandleReturned(start, dataPacket(), &skipping.Header).HasSkipped).To(BeFalse())
}

func TestFlowWithKnownLocationStaysAtSilentAgent(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1, 2, 3)
	holder := s.Decide(start, dataPacket()).Header.Candidates[0]
	s.SetLocation(start, dataPacket().IDFromCaller(), openingPacket().Opening(), holder, desired.ServiceKeyOf("pedidos"))
	silenceAgents(s, d, s.Decide(start, openingPacket()).Agent)
	g.Expect(s.Decide(start, dataPacket()).Agent).To(Equal(holder))
	g.Expect(s.Decide(start, dataPacket()).Reason).To(Equal(steer.KnownLocation))
}

// Guards against new flows at targets of evacuated zones, against refusals while another zone has targets, and against a late copy of an
// opening packet that resets a flow which stays open in an evacuated zone.
func TestEvacuatedZonesReceiveNoOpeningPackets(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine()
	for n := byte(1); n <= 6; n++ {
		entry := registry.Entry{Service: "pedidos", Zone: []string{"a", "b"}[n%2], Slots: 3}
		d.HandleEntry(start, agent(n), entry, store.Version(n))
	}
	evacuate := func(zones ...string) {
		set := make(map[string]struct{})
		for _, zone := range zones {
			set[zone] = struct{}{}
		}
		d.SetEvacuatedZones(start, set)
		s.SetView(d.View())
	}
	repeated := openingPacket()
	repeated.Retransmissions = 1
	evacuate("a")
	for _, p := range []*flow.Packet{openingPacket(), repeated} {
		h := s.Decide(start, p).Header
		g.Expect(h.Candidates[:h.CandidateCount]).To(HaveLen(2), "three targets are in the other zone, one of them is the first")
		for _, candidate := range h.Candidates[:h.CandidateCount] {
			target, _ := d.Lookup(candidate)
			g.Expect(target.Entry.Zone).To(Equal("b"))
		}
	}
	g.Expect(s.HandleRevalidated(start, repeated, declinedHeader(s, 3)).Verdict).To(Equal(steer.Drop), "the flow may be open in the zone")
	searched := s.Decide(start, dataPacket())
	g.Expect(searched.Header.CandidateCount).To(BeEquivalentTo(5), "open flows stay where they are")

	evacuate("a", "b")
	d1 := s.Decide(start, openingPacket())
	g.Expect(d1.Verdict).To(Equal(steer.Reset))
	g.Expect(d1.Reason).To(Equal(steer.Evacuated))

	evacuate()
	g.Expect(s.Decide(start, openingPacket()).Header.CandidateCount).To(BeEquivalentTo(5))
}
