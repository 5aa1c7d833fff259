package admit

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianswitch/internal/class"
)

// simulation sends random events to a Machine and checks its invariants after each of them.
type simulation struct {
	t        *rapid.T
	m        *Machine
	settings Settings
	now      time.Time
	lastID   ID
	// state is "new", "waiting", "running", "relayed", "refused" (by a peer) or "ended" for each request.
	state    map[ID]string
	class    map[ID]class.Class
	deadline map[ID]time.Time
	relays   map[ID]int
}

func (s *simulation) step(event Event) {
	for _, action := range s.m.Step(s.now, event) {
		s.apply(action)
	}
	s.check()
}

func (s *simulation) expect(id ID, allowed ...string) {
	for _, state := range allowed {
		if s.state[id] == state {
			return
		}
	}
	s.t.Fatalf("request %d is %s, expected one of %v", id, s.state[id], allowed)
}

func (s *simulation) apply(action Action) {
	switch a := action.(type) {
	case Dispatch:
		s.expect(a.ID, "new", "waiting", "refused")
		s.state[a.ID] = "running"
	case Queue:
		s.expect(a.ID, "new", "refused")
		s.state[a.ID] = "waiting"
	case Relay:
		// A relayed request may be offered again only after the peer has refused it.
		s.expect(a.ID, "new", "running", "waiting", "refused")
		s.state[a.ID] = "relayed"
		s.relays[a.ID]++
		if s.relays[a.ID] > maxOffers {
			s.t.Fatalf("request %d was offered %d times", a.ID, s.relays[a.ID])
		}
	case Refuse:
		s.expect(a.ID, "new", "waiting", "refused", "running")
		s.state[a.ID] = "ended"
		if a.RetryAfter <= 0 || a.RetryAfter > 2*maxRetryAfter {
			s.t.Fatalf("RetryAfter %s", a.RetryAfter)
		}
	}
}

func (s *simulation) check() {
	running, long, waiting := 0, 0, 0
	for id, state := range s.state {
		switch {
		case state == "running" && s.class[id] != class.Feed:
			running++
			if s.class[id] == class.Long {
				long++
			}
		case state == "waiting":
			waiting++
		}
	}
	if running > s.settings.Slots {
		s.t.Fatalf("%d requests run in %d slots", running, s.settings.Slots)
	}
	if s.settings.Policy == PolicyFull && long > max(1, s.settings.Slots-s.settings.ShortReserve) {
		s.t.Fatalf("%d long requests run in %d slots with a reserve of %d", long, s.settings.Slots, s.settings.ShortReserve)
	}
	if waiting > s.settings.QueueLimit || waiting != s.m.Waiting() {
		s.t.Fatalf("%d requests wait, limit %d, Machine.Waiting returns %d", waiting, s.settings.QueueLimit, s.m.Waiting())
	}
	if running < s.settings.Slots && s.settings.Policy == PolicyFIFO && waiting > 0 {
		s.t.Fatalf("%d requests wait while a slot is free", waiting)
	}
}

func (s *simulation) pick(state string) (ID, bool) {
	var ids []ID
	for id := ID(1); id <= s.lastID; id++ {
		if s.state[id] == state {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(s.t, state), true
}

func TestInvariants(t *testing.T) {
	for _, policy := range []string{PolicyFull, PolicyFIFO} {
		t.Run(policy, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { runSimulation(t, policy) })
		})
	}
}

func runSimulation(t *rapid.T, policy string) {
	settings := Settings{
		Slots:        rapid.IntRange(1, 5).Draw(t, "slots"),
		ShortReserve: rapid.IntRange(0, 2).Draw(t, "reserve"),
		QueueLimit:   rapid.IntRange(0, 10).Draw(t, "queue"),
		Policy:       policy,
		Seed:         rapid.Uint64().Draw(t, "seed"),
	}
	m, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	s := &simulation{
		t: t, m: m, settings: settings, now: start, state: make(map[ID]string), class: make(map[ID]class.Class),
		deadline: make(map[ID]time.Time), relays: make(map[ID]int),
	}
	t.Repeat(map[string]func(*rapid.T){
		"arrive": s.arrive,
		"finish": func(t *rapid.T) {
			if id, ok := s.pick("running"); ok {
				s.state[id] = "ended"
				s.step(RequestFinished{ID: id, HasRun: rapid.Bool().Draw(t, "has run")})
			}
		},
		"cancel": func(*rapid.T) {
			if id, ok := s.pick("waiting"); ok {
				s.state[id] = "ended"
				s.step(RequestCanceled{ID: id})
			}
		},
		"unreached": func(*rapid.T) {
			// TargetUnreached restarts the count of offers. A request that was offered before could exceed maxOffers in total.
			if id, ok := s.pick("running"); ok && s.class[id] != class.Feed && s.relays[id] == 0 {
				s.step(TargetUnreached{ID: id})
			}
		},
		"relay refused": func(*rapid.T) {
			if id, ok := s.pick("relayed"); ok {
				s.state[id] = "refused"
				s.step(RelayRefused{ID: id})
			}
		},
		"peer": func(t *rapid.T) {
			ip := netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 3).Draw(t, "peer"))})
			s.step(PeerCapacity{Peer: netip.AddrPortFrom(ip, 1), FreeSlots: rapid.IntRange(-1, 3).Draw(t, "room")})
		},
		"wait": func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			s.step(Tick{})
		},
	})
}

func (s *simulation) arrive(t *rapid.T) {
	s.lastID++
	id := s.lastID
	c := rapid.SampledFrom(class.All).Draw(t, "class")
	s.state[id], s.class[id] = "new", c
	s.deadline[id] = s.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond)
	s.step(RequestArrived{Request: Request{
		ID: id, Class: c, Route: fmt.Sprintf("%s-%d", c, id), Deadline: s.deadline[id],
		CanRelay: rapid.Bool().Draw(t, "can relay"), IsRelayed: rapid.IntRange(0, 5).Draw(t, "relayed") == 0,
	}})
	if s.state[id] == "new" {
		t.Fatalf("request %d got no decision at its arrival", id)
	}
}
