package admit

import (
	"net/netip"
	"testing"
	"time"

	"gentianswitch/internal/class"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func newMachine(t *testing.T, s Settings) *Machine {
	t.Helper()
	m, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func arrival(id ID, c class.Class, deadline time.Duration) RequestArrived {
	return RequestArrived{Request: Request{ID: id, Class: c, Route: c.String(), Deadline: start.Add(deadline)}}
}

func dispatchedIDs(actions []Action) []ID {
	var ids []ID
	for _, a := range actions {
		if d, ok := a.(Dispatch); ok {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

func expectDispatch(t *testing.T, actions []Action, want ...ID) {
	t.Helper()
	got := dispatchedIDs(actions)
	if len(got) != len(want) {
		t.Fatalf("dispatched %v, expected %v (actions %+v)", got, want, actions)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("dispatched %v, expected %v", got, want)
		}
	}
}

func TestLongRequestsDoNotOccupyReserve(t *testing.T) {
	m := newMachine(t, Settings{Slots: 3, ShortReserve: 1, QueueLimit: 8})
	expectDispatch(t, m.Step(start, arrival(1, class.Long, time.Minute)), 1)
	expectDispatch(t, m.Step(start, arrival(2, class.Long, time.Minute)), 2)
	expectDispatch(t, m.Step(start, arrival(3, class.Long, time.Minute)))
	expectDispatch(t, m.Step(start, arrival(4, class.Short, time.Minute)), 4)
}

func TestReserveFollowsSlotUsageOfShortRequests(t *testing.T) {
	m := newMachine(t, Settings{Slots: 5, ShortReserve: 1, QueueLimit: 8})
	m.Step(start, arrival(1, class.Short, time.Minute))
	m.Step(start, arrival(2, class.Short, time.Minute))
	m.Step(start, arrival(3, class.Short, time.Minute))
	later := start.Add(4 * usageWindow)
	m.Step(later, Tick{})
	for id := ID(1); id <= 3; id++ {
		m.Step(later, RequestFinished{ID: id, HasRun: true})
	}
	expectDispatch(t, m.Step(later, arrival(4, class.Long, time.Hour)), 4)
	expectDispatch(t, m.Step(later, arrival(5, class.Long, time.Hour)), 5)
	expectDispatch(t, m.Step(later, arrival(6, class.Long, time.Hour)))
	idle := later.Add(4 * usageWindow)
	expectDispatch(t, m.Step(idle, Tick{}), 6)
}

func TestDefaultReserveIsTwoFifthsOfSlots(t *testing.T) {
	for slots, want := range map[int]int{1: 0, 3: 1, 5: 2, 10: 4} {
		m := newMachine(t, Settings{Slots: slots, ShortReserve: DefaultReserve})
		if m.currentReserve() != want {
			t.Errorf("reserve of %d of %d slots, expected %d", m.currentReserve(), slots, want)
		}
	}
}

func TestFIFOLetsLongRequestsOccupyEverySlot(t *testing.T) {
	m := newMachine(t, Settings{Slots: 2, ShortReserve: 1, QueueLimit: 8, Policy: PolicyFIFO})
	expectDispatch(t, m.Step(start, arrival(1, class.Long, time.Minute)), 1)
	expectDispatch(t, m.Step(start, arrival(2, class.Long, time.Minute)), 2)
	expectDispatch(t, m.Step(start, arrival(3, class.Short, time.Minute)))
}

func TestQueueIsOrderedByDeadline(t *testing.T) {
	m := newMachine(t, Settings{Slots: 1, QueueLimit: 8})
	m.Step(start, arrival(1, class.Short, time.Minute))
	m.Step(start, arrival(2, class.Short, 9*time.Second))
	m.Step(start, arrival(3, class.Short, 5*time.Second))
	expectDispatch(t, m.Step(start.Add(time.Millisecond), RequestFinished{ID: 1, HasRun: true}), 3)
	expectDispatch(t, m.Step(start.Add(2*time.Millisecond), RequestFinished{ID: 3, HasRun: true}), 2)
}

func TestQueuedLongRequestGetsOneSlotDespiteShortRequests(t *testing.T) {
	m := newMachine(t, Settings{Slots: 2, ShortReserve: 1, QueueLimit: 8})
	m.Step(start, arrival(1, class.Short, time.Minute))
	m.Step(start, arrival(2, class.Short, time.Minute))
	m.Step(start, arrival(3, class.Short, time.Minute))
	m.Step(start, arrival(4, class.Long, time.Minute))
	expectDispatch(t, m.Step(start, RequestFinished{ID: 1, HasRun: true}), 4)
	expectDispatch(t, m.Step(start, RequestFinished{ID: 2, HasRun: true}), 3)
}

func TestRequestIsRefusedWhenPredictedWaitExceedsDeadline(t *testing.T) {
	m := newMachine(t, Settings{Slots: 1, QueueLimit: 100})
	m.Step(start, arrival(1, class.Short, time.Minute))
	m.Step(start.Add(time.Second), RequestFinished{ID: 1, HasRun: true})
	now := start.Add(time.Second)
	m.Step(now, arrival(2, class.Short, time.Minute))
	m.Step(now, arrival(3, class.Short, 3*time.Second))
	actions := m.Step(now, arrival(4, class.Short, 3500*time.Millisecond))
	refused, ok := actions[0].(Refuse)
	if !ok || refused.Reason != reasonTooLate {
		t.Fatalf("got %+v, expected a refusal because of the predicted wait", actions)
	}
	if refused.RetryAfter < time.Second {
		t.Fatalf("RetryAfter %s, expected at least the backlog of 2 s", refused.RetryAfter)
	}
}

func TestTickRefusesRequestThatCannotMeetItsDeadline(t *testing.T) {
	m := newMachine(t, Settings{Slots: 1, QueueLimit: 100})
	m.Step(start, arrival(1, class.Short, time.Minute))
	m.Step(start, arrival(2, class.Short, 5*time.Second))
	var refusedAt time.Duration
	for at := time.Duration(0); at < 5*time.Second && refusedAt == 0; at += 20 * time.Millisecond {
		if len(m.Step(start.Add(at), Tick{})) > 0 {
			refusedAt = at
		}
	}
	if refusedAt == 0 || refusedAt > 4500*time.Millisecond {
		t.Fatalf("refused after %s, expected a refusal within 4.5 s, before the deadline of 5 s", refusedAt)
	}
}

func TestRetryAfterSpreadsRetries(t *testing.T) {
	m := newMachine(t, Settings{Slots: 2, QueueLimit: 0, Seed: 7})
	m.Step(start, arrival(1, class.Short, time.Minute))
	m.Step(start, arrival(2, class.Short, time.Minute))
	perSecond := make(map[time.Duration]int)
	const callers = 1000
	for id := range ID(callers) {
		r := m.Step(start, arrival(id+3, class.Short, time.Minute))[0].(Refuse)
		perSecond[r.RetryAfter.Truncate(time.Second)]++
	}
	// Two slots finish 100 requests of 20 ms per second.
	for second, n := range perSecond {
		if n > 150 {
			t.Errorf("%d callers retry in second %s, expected at most 1.5 times the capacity of 100", n, second)
		}
	}
}

func TestRequestIsRelayedOnceToPeerWithFreeSlot(t *testing.T) {
	peer := netip.MustParseAddrPort("10.0.0.2:4401")
	m := newMachine(t, Settings{Slots: 1, QueueLimit: 8})
	m.Step(start, PeerCapacity{Peer: peer, FreeSlots: 1})
	m.Step(start, arrival(1, class.Short, time.Minute))
	second := arrival(2, class.Short, time.Minute)
	second.Request.CanRelay = true
	relay, ok := m.Step(start, second)[0].(Relay)
	if !ok || relay.Peer != peer {
		t.Fatalf("expected a relay to %s", peer)
	}
	if _, ok := m.Step(start, RelayRefused{ID: 2, Peer: peer})[0].(Queue); !ok {
		t.Fatal("expected the request that the peer refused to be queued")
	}
	third := arrival(3, class.Short, time.Minute)
	third.Request.CanRelay = true
	if _, ok := m.Step(start, third)[0].(Queue); !ok {
		t.Fatal("expected no relay to a peer whose only free slot was reserved")
	}
}

func TestQueuedRequestIsRelayedWhenPeerGetsFreeSlot(t *testing.T) {
	peer := netip.MustParseAddrPort("10.0.0.2:4401")
	m := newMachine(t, Settings{Slots: 1, QueueLimit: 8})
	m.Step(start, arrival(1, class.Short, time.Minute))
	second := arrival(2, class.Short, time.Minute)
	second.Request.CanRelay = true
	if _, ok := m.Step(start, second)[0].(Queue); !ok {
		t.Fatal("expected the request to be queued while no peer is known")
	}
	m.Step(start, PeerCapacity{Peer: peer, FreeSlots: 1})
	actions := m.Step(start.Add(minOfferInterval), Tick{})
	if len(actions) != 1 {
		t.Fatalf("expected one action, got %+v", actions)
	}
	if relay, ok := actions[0].(Relay); !ok || relay.ID != 2 {
		t.Fatalf("expected the relay of request 2, got %+v", actions[0])
	}
}

func TestSlowShortRouteIsReclassifiedAsLong(t *testing.T) {
	m := newMachine(t, Settings{Slots: 4, ShortReserve: 1, QueueLimit: 8})
	runRequest := func(id ID, route string, took time.Duration) []Action {
		m.Step(start, RequestArrived{Request: Request{
			ID: id, Class: class.Short, Route: route, Deadline: start.Add(time.Hour),
		}})
		return m.Step(start.Add(took), RequestFinished{ID: id, HasRun: true})
	}
	var last []Action
	for id := range ID(minSamples) {
		runRequest(2*id, "fast", 10*time.Millisecond)
		last = runRequest(2*id+1, "slow", 500*time.Millisecond)
	}
	reclassified, ok := last[0].(Reclassify)
	if !ok || reclassified.Route != "slow" || reclassified.Class != class.Long {
		t.Fatalf("got %+v, expected the route slow to become long", last)
	}
	// The route now counts as long, so that its requests do not occupy the reserve.
	for id := ID(100); id < 103; id++ {
		m.Step(start, RequestArrived{Request: Request{ID: id, Class: class.Short, Route: "slow", Deadline: start.Add(time.Hour)}})
	}
	actions := m.Step(start, RequestArrived{Request: Request{ID: 103, Class: class.Short, Route: "slow", Deadline: start.Add(time.Hour)}})
	expectDispatch(t, actions)
	expectDispatch(t, m.Step(start, arrival(104, class.Short, time.Minute)), 104)
}

func TestRequestThatDidNotReachTargetIsRelayedOrRefused(t *testing.T) {
	peer := netip.MustParseAddrPort("10.0.0.2:4401")
	m := newMachine(t, Settings{Slots: 1, QueueLimit: 8})
	first := arrival(1, class.Short, time.Minute)
	first.Request.CanRelay = true
	m.Step(start, first)
	if _, ok := m.Step(start, TargetUnreached{ID: 1})[0].(Refuse); !ok {
		t.Fatal("expected a refusal when there are no peers")
	}
	m.Step(start, PeerCapacity{Peer: peer, FreeSlots: 2})
	second := arrival(2, class.Short, time.Minute)
	second.Request.CanRelay = true
	m.Step(start, second)
	if _, ok := m.Step(start, TargetUnreached{ID: 2})[0].(Relay); !ok {
		t.Fatal("expected a relay to the peer with free slots")
	}
}
