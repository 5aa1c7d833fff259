package steer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/steer"
)

func tableTo(version uint64, services ...string) *desired.Table {
	return table(version, map[flow.Endpoint]*desired.Route{address: route(1, services...)})
}

// searchedServices returns the services that the candidate search for a packet of an open flow visits, and the last decision.
func searchedServices(s *steer.Machine, now time.Time) (map[uint64]bool, steer.Decision) {
	searched := make(map[uint64]bool)
	d := s.Decide(now, dataPacket())
	for d.Verdict == steer.Forward {
		searched[d.Header.Service] = true
		d = s.HandleReturned(now, dataPacket(), &d.Header)
	}
	return searched, d
}

func keys(services ...string) map[uint64]bool {
	all := make(map[uint64]bool)
	for _, name := range services {
		all[uint64(desired.ServiceKeyOf(name))] = true
	}
	return all
}

// Guards against resets of open flows by a balancer that starts after their route has moved to another service: it takes what it
// does not know for what has never been.
func TestBalancerThatStartedAfterARouteMovedSearchesTheOtherServices(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine()
	addTargets(s, d, "new", 1, 2)
	addTargets(s, d, "old", 8, 9)
	s.SetTable(start, tableTo(2, "new"))
	searched, last := searchedServices(s, start)
	g.Expect(searched).To(Equal(keys("new", "old")))
	g.Expect(last.Verdict).To(Equal(steer.Revalidate))
	opened := s.Decide(start, openingPacket())
	g.Expect(opened.Header.Service).To(BeEquivalentTo(desired.ServiceKeyOf("new")))
	g.Expect(s.HandleReturned(start, openingPacket(), &opened.Header).Verdict).To(Equal(steer.Reset), "new flows go to the route's service")
}

// Guards against resets of open flows by a balancer that is behind with its routes: a newer table, which it does not have yet, may
// have named any service, however long the balancer has known every table before.
func TestOpenFlowIsSearchedAtServicesThatANewerTableMayName(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1)
	addTargets(s, d, "other", 8)
	searched, last := searchedServices(s, start.Add(2*flow.Lifetime))
	g.Expect(searched).To(Equal(keys("pedidos", "other")))
	g.Expect(last.Verdict).To(Equal(steer.Revalidate))
	repeated := openingPacket()
	repeated.Retransmissions = 1
	now := start.Add(2 * flow.Lifetime)
	g.Expect(s.HandleRevalidated(now, repeated, declinedHeader(s, 1)).Verdict).To(Equal(steer.Drop), "its flow may be open at the other service")
	single, _ := newMachine(1)
	g.Expect(single.HandleRevalidated(now, repeated, declinedHeader(single, 1)).Verdict).To(Equal(steer.Reset), "there is no other service")
}

// Guards against a search that is not exhaustive and still ends with a reset.
func TestOpenFlowIsNotResetWhileTooManyServicesMayHoldIt(t *testing.T) {
	g := NewWithT(t)
	s, d := newMachine(1)
	for i := range 16 {
		addTargets(s, d, fmt.Sprint("service-", i), byte(100+i))
	}
	_, last := searchedServices(s, start)
	g.Expect(last.Verdict).To(Equal(steer.Drop))
	g.Expect(last.Reason).To(Equal(steer.UnknownHistory))
	g.Expect(s.HandleRevalidated(start, dataPacket(), &last.Header).Verdict).To(Equal(steer.Drop))
	g.Expect(s.HandleReturned(start, openingPacket(), declinedHeader(s, 1)).Verdict).To(Equal(steer.Reset), "no target has accepted it")
	_, last = searchedServices(s, start.Add(flow.Lifetime))
	g.Expect(last.Verdict).To(Equal(steer.ConfirmTable))
}

// longAgo is a time at which the balancers that know the history have started.
var longAgo = start.Add(-2 * flow.Lifetime)

// newBalancer returns a Machine with a table and targets of more services than are searched for a flow without a reason: a search
// includes only those that the known tables name.
func newBalancer(at time.Time, t *desired.Table) *steer.Machine {
	s := steer.New(hop.IP{10, 9, 0, 1})
	_, d := newMachine()
	for i := range 17 {
		addTargets(s, d, string(rune('a'+i)), byte(10+i))
	}
	s.SetTable(at, t)
	return s
}

// Guards against long searches at every balancer that starts: others know the services that the routes have named.
func TestHistoryIsLearnedFromOtherBalancers(t *testing.T) {
	g := NewWithT(t)
	other := newBalancer(longAgo, tableTo(2, "a"))
	other.SetTable(start, tableTo(3, "b"))
	started := newBalancer(start, tableTo(3, "b"))
	g.Expect(started.IsHistoryComplete(start)).To(BeFalse())
	started.HandleHistory(start, other.History(start))
	g.Expect(started.IsHistoryComplete(start)).To(BeTrue())
	searched, _ := searchedServices(started, start)
	g.Expect(searched).To(Equal(keys("a", "b")))
	searched, _ = searchedServices(started, start.Add(flow.Lifetime))
	g.Expect(searched).To(Equal(keys("b")), "no flow is that old")
}

// Guards against a balancer that learns nothing from others because the routes have not changed since they started.
func TestHistoryOfTheSameTableIsLearned(t *testing.T) {
	g := NewWithT(t)
	other, started := newBalancer(longAgo, tableTo(2, "a")), newBalancer(start, tableTo(2, "a"))
	started.HandleHistory(start, other.History(start))
	g.Expect(started.IsHistoryComplete(start)).To(BeTrue())
	other.HandleHistory(start, newBalancer(start, tableTo(2, "a")).History(start))
	g.Expect(other.IsHistoryComplete(start)).To(BeTrue(), "a younger history shortens nothing")
}

// Guards against a history that claims to be complete although it lacks the versions between two others.
func TestHistoryWithAGapIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		learn   func(*steer.Machine)
		want    map[uint64]bool
		verdict steer.Verdict
	}{
		"a newer table, nothing known of others": {
			func(s *steer.Machine) { s.SetTableWithHistory(start, tableTo(9, "b"), desired.History{Version: 9}) }, keys("a", "b"), steer.Drop,
		},
		"a newer table of a balancer that started after version 5": {func(s *steer.Machine) {
			other := newBalancer(start, tableTo(5, "c"))
			s.SetTableWithHistory(start, tableTo(9, "b"), desired.History{Version: 9, From: other.History(start).From})
		}, keys("a", "b"), steer.Drop},
		"a newer table of a balancer that knows all versions": {func(s *steer.Machine) {
			other := newBalancer(longAgo, tableTo(2, "a"))
			other.SetTable(start, tableTo(5, "c"))
			other.SetTable(start, tableTo(9, "b"))
			s.SetTableWithHistory(start, tableTo(9, "b"), other.History(start))
		}, keys("a", "b", "c"), steer.ConfirmTable},
		"the table that follows": {func(s *steer.Machine) { s.SetTable(start, tableTo(9, "b")) }, keys("a", "b"), steer.ConfirmTable},
		"a history that is older than that of this balancer": {func(s *steer.Machine) {
			*s = *newBalancer(start, tableTo(9, "b"))
			s.HandleHistory(start, newBalancer(longAgo, tableTo(1, "d")).History(start))
		}, keys("b"), steer.Drop},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newBalancer(longAgo, tableTo(2, "a"))
			test.learn(s)
			searched, last := searchedServices(s, start)
			g.Expect(searched).To(Equal(test.want))
			g.Expect(last.Verdict).To(Equal(test.verdict))
		})
	}
}

// Guards against a list of previous services that grows with each move of a route.
func TestPreviousServiceIsRecordedOnce(t *testing.T) {
	g := NewWithT(t)
	s := newBalancer(longAgo, tableTo(1, "a"))
	for version := uint64(2); version < 20; version++ {
		s.SetTable(start, tableTo(version, []string{"a", "b"}[version%2]))
	}
	g.Expect(s.History(start).Previous).To(HaveLen(2))
	g.Expect(s.History(start.Add(flow.Lifetime)).Previous).To(BeEmpty())
}

// Guards against a late copy of an opening packet that resets its flow: the route has moved, and the flow is open at the service
// that the route named before.
func TestRetransmittedOpeningPacketIsNotResetAfterTheRouteHasMoved(t *testing.T) {
	repeated := openingPacket()
	repeated.Retransmissions = 1
	for name, test := range map[string]struct {
		s       *steer.Machine
		verdict steer.Verdict
	}{
		"the route has moved": {func() *steer.Machine {
			s := newBalancer(longAgo, tableTo(2, "a"))
			s.SetTable(start, tableTo(3, "b"))
			return s
		}(), steer.Drop},
		"the balancer has just started":          {newBalancer(start, tableTo(3, "b")), steer.Drop},
		"the balancer has started some time ago": {newBalancer(start.Add(-10*time.Second), tableTo(3, "b")), steer.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(test.s.HandleRevalidated(start, repeated, declinedHeader(test.s, 1)).Verdict).To(Equal(test.verdict))
		})
	}
}

// Guards against resets of open flows by a balancer that is behind: a table that it does not have yet adds their route, for the first
// time or again. How long its own table has lacked the route proves nothing.
func TestFlowThatMayBeOpenIsNotResetForWantOfARouteBeforeTheTableIsConfirmed(t *testing.T) {
	empty := func(version uint64) *desired.Table { return table(version, nil) }
	repeated := openingPacket()
	repeated.Retransmissions = 1
	removedAt := start.Add(-10 * time.Second)
	newRemoved := func() *steer.Machine {
		s := newBalancer(longAgo, tableTo(2, "a"))
		s.SetTable(removedAt, empty(3))
		return s
	}
	for name, test := range map[string]struct {
		s      *steer.Machine
		now    time.Time
		packet *flow.Packet
	}{
		"open flow, the route was never known":        {newBalancer(longAgo, empty(2)), start, dataPacket()},
		"open flow, the balancer has just started":    {newBalancer(start, empty(2)), start, dataPacket()},
		"repeated opening packet":                     {newBalancer(start, empty(2)), start, repeated},
		"open flow, the route was removed":            {newRemoved(), start, dataPacket()},
		"open flow, removed longer ago than it lives": {newRemoved(), removedAt.Add(time.Hour), dataPacket()},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := test.s.Decide(test.now, test.packet)
			g.Expect([]any{d.Verdict, d.Reason}).To(Equal([]any{steer.ConfirmTable, steer.NoRoute}))
			again := test.s.HandleRevalidated(test.now, test.packet, &d.Header)
			g.Expect(again.Verdict).To(Equal(steer.ConfirmTable), "a view that was read again says nothing about the table")
			confirmed := test.s.HandleTableConfirmed(test.now, test.packet, &d.Header)
			g.Expect([]any{confirmed.Verdict, confirmed.Reason}).To(Equal([]any{steer.Reset, steer.NoRoute}))
			test.s.SetTable(test.now, tableTo(9, "a"))
			g.Expect(test.s.HandleTableConfirmed(test.now, test.packet, &d.Header).Verdict).To(Equal(steer.Forward), "the route is back")
		})
	}
	g := NewWithT(t)
	g.Expect(newRemoved().Decide(start, openingPacket()).Verdict).To(Equal(steer.Reset), "no target has accepted a first opening packet")
	refused := newRemoved().HandleRefused(openingPacket(), &hop.Header{MayBeOpen: true})
	g.Expect(refused.Verdict).To(Equal(steer.ConfirmTable), "another target may have accepted a copy")
	reset := dataPacket()
	reset.Resets = true
	g.Expect(newRemoved().Decide(start, reset).Verdict).To(Equal(steer.Drop), "a reset is not answered")
}

// Guards against resets by a balancer that is behind with its routes and knows all earlier ones, where a search does not include every
// service: a newer table may name one that was not searched.
func TestExhaustedSearchOfSomeServicesNeedsTheNewestTable(t *testing.T) {
	g := NewWithT(t)
	s := newBalancer(longAgo, tableTo(2, "a"))
	_, last := searchedServices(s, start)
	g.Expect(last.Verdict).To(Equal(steer.ConfirmTable))
	g.Expect(s.HandleRevalidated(start, dataPacket(), &last.Header).Verdict).To(Equal(steer.Drop))
	g.Expect(s.HandleTableConfirmed(start, dataPacket(), &last.Header).Verdict).To(Equal(steer.Reset))
	s.SetTable(start, tableTo(3, "b"))
	g.Expect(s.HandleTableConfirmed(start, dataPacket(), &last.Header).Verdict).To(Equal(steer.Forward), "the search starts over")
}
