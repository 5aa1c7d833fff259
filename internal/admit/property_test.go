package admit

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianswitch/internal/class"
)

// world drives a machine and checks its invariants after each step.
type world struct {
	t        *rapid.T
	m        *Machine
	settings Settings
	now      time.Time
	last     ID
	// state is "new", "waiting", "running", "relayed", "refused" (by a peer) or "ended" for each request.
	state    map[ID]string
	class    map[ID]class.Class
	deadline map[ID]time.Time
	relays   map[ID]int
}

func (w *world) step(event Event) {
	for _, action := range w.m.Step(w.now, event) {
		w.apply(action)
	}
	w.check()
}

func (w *world) expect(id ID, allowed ...string) {
	for _, s := range allowed {
		if w.state[id] == s {
			return
		}
	}
	w.t.Fatalf("request %d is %s, expected one of %v", id, w.state[id], allowed)
}

func (w *world) apply(action Action) {
	switch a := action.(type) {
	case Dispatch:
		w.expect(a.ID, "new", "waiting", "refused")
		w.state[a.ID] = "running"
	case Queue:
		w.expect(a.ID, "new", "refused")
		w.state[a.ID] = "waiting"
	case Relay:
		// A relayed request may be offered again only after the peer has refused it.
		w.expect(a.ID, "new", "running", "waiting", "refused")
		w.state[a.ID] = "relayed"
		w.relays[a.ID]++
		if w.relays[a.ID] > maxOffers {
			w.t.Fatalf("request %d offered %d times", a.ID, w.relays[a.ID])
		}
	case Refuse:
		w.expect(a.ID, "new", "waiting", "refused", "running")
		w.state[a.ID] = "ended"
		if a.RetryAfter <= 0 || a.RetryAfter > 2*maxRetryAfter {
			w.t.Fatalf("RetryAfter %s", a.RetryAfter)
		}
	}
}

func (w *world) check() {
	running, long, waiting := 0, 0, 0
	for id, s := range w.state {
		switch {
		case s == "running" && w.class[id] != class.Feed:
			running++
			if w.class[id] == class.Long {
				long++
			}
		case s == "waiting":
			waiting++
		}
	}
	if running > w.settings.Slots {
		w.t.Fatalf("%d requests run in %d slots", running, w.settings.Slots)
	}
	if w.settings.Policy == PolicyFull && long > max(1, w.settings.Slots-w.settings.ShortReserve) {
		w.t.Fatalf("%d long requests run in %d slots with a reserve of %d", long, w.settings.Slots, w.settings.ShortReserve)
	}
	if waiting > w.settings.QueueLimit || waiting != w.m.Waiting() {
		w.t.Fatalf("%d requests wait, limit %d, machine says %d", waiting, w.settings.QueueLimit, w.m.Waiting())
	}
	if running < w.settings.Slots && w.settings.Policy == PolicyFIFO && waiting > 0 {
		w.t.Fatalf("%d requests wait beside a free slot", waiting)
	}
}

func (w *world) pick(state string) (ID, bool) {
	var ids []ID
	for id := ID(1); id <= w.last; id++ {
		if w.state[id] == state {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(w.t, state), true
}

func TestInvariants(t *testing.T) {
	for _, policy := range []string{PolicyFull, PolicyFIFO} {
		t.Run(policy, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { runWorld(t, policy) })
		})
	}
}

func runWorld(t *rapid.T, policy string) {
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
	w := &world{
		t: t, m: m, settings: settings, now: start, state: make(map[ID]string), class: make(map[ID]class.Class),
		deadline: make(map[ID]time.Time), relays: make(map[ID]int),
	}
	t.Repeat(map[string]func(*rapid.T){
		"arrive": w.arrive,
		"finish": func(t *rapid.T) {
			if id, ok := w.pick("running"); ok {
				w.state[id] = "ended"
				w.step(Finish{ID: id, HasRun: rapid.Bool().Draw(t, "has run")})
			}
		},
		"cancel": func(*rapid.T) {
			if id, ok := w.pick("waiting"); ok {
				w.state[id] = "ended"
				w.step(Cancel{ID: id})
			}
		},
		"unreached": func(*rapid.T) {
			if id, ok := w.pick("running"); ok && w.class[id] != class.Feed && w.relays[id] == 0 {
				w.step(Unreached{ID: id})
			}
		},
		"relay refused": func(*rapid.T) {
			if id, ok := w.pick("relayed"); ok {
				w.state[id] = "refused"
				w.step(RelayRefused{ID: id})
			}
		},
		"peer": func(t *rapid.T) {
			ip := netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 3).Draw(t, "peer"))})
			w.step(PeerRoom{Peer: netip.AddrPortFrom(ip, 1), Room: rapid.IntRange(-1, 3).Draw(t, "room")})
		},
		"wait": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			w.step(Tick{})
		},
	})
}

func (w *world) arrive(t *rapid.T) {
	w.last++
	id := w.last
	c := rapid.SampledFrom(class.All).Draw(t, "class")
	w.state[id], w.class[id] = "new", c
	w.deadline[id] = w.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond)
	w.step(Arrive{Request: Request{
		ID: id, Class: c, Route: fmt.Sprintf("%s-%d", c, id), Deadline: w.deadline[id],
		CanRelay: rapid.Bool().Draw(t, "can relay"), IsRelayed: rapid.IntRange(0, 5).Draw(t, "relayed") == 0,
	}})
	if w.state[id] == "new" {
		t.Fatalf("request %d got no decision at its arrival", id)
	}
}
