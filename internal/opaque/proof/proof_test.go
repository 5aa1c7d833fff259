package proof

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
)

// actions are the events of a history.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"a caller opens a flow":  func(*rapid.T) { w.openFlow() },
		"a caller sends data":    func(*rapid.T) { w.sendData() },
		"a balancer restarts":    func(*rapid.T) { w.restartBalancer() },
		"a balancer hears":       func(*rapid.T) { w.sync(w.anyBalancer()) },
		"an agent restarts":      func(*rapid.T) { w.restartAgent() },
		"a target restarts":      func(*rapid.T) { w.startTarget(w.anyHost()) },
		"a target calls":         func(*rapid.T) { w.call() },
		"calls of a target fail": func(*rapid.T) { w.failCalls() },
		"a target falls silent":  func(*rapid.T) { w.fallSilent() },
		"a target drains":        func(*rapid.T) { w.drain() },
		"a target leaves":        func(*rapid.T) { w.leave() },
		"a target is added":      func(*rapid.T) { w.add() },
		"targets are added":      func(*rapid.T) { w.addSome() },
		"an address is reused":   func(*rapid.T) { w.reuse() },
		"an agent is cut off":    func(*rapid.T) { w.cut(w.anyHost()) },
		"an agent is back":       func(*rapid.T) { w.reach(w.anyHost()) },
		"a balancer pings":       func(*rapid.T) { w.ping(w.anyBalancer(), everyHost) },
		"a link is full":         func(*rapid.T) { w.ping(w.anyBalancer(), w.fewHosts()) },
		"time passes":            func(*rapid.T) { w.pass(150 * time.Millisecond) },
		"an old opening arrives": func(*rapid.T) { w.repeatOpening() },
	}
}

// cut lets no frame reach a VM any more.
func (w *world) cut(h *host) {
	if !h.isCut {
		h.isCut, h.cutAt = true, w.now
	}
}

// reach lets frames reach a VM again.
func (w *world) reach(h *host) {
	if w.isGone(h) {
		h.goneUntil = w.now.Add(rarestPing)
	}
	h.isCut = false
}

func (w *world) openFlow() {
	w.callers++
	id := flow.ID{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: w.callers}, Address: routeAddress}
	r := w.deliver(w.anyBalancer(), flow.Packet{Source: id.Caller, Destination: id.Address, Opens: true})
	if r.at != nil {
		w.open = append(w.open, id)
		w.opened[id] = w.now
		w.send(id)
	}
}

// repeatOpening delivers a late copy of the packet that opened a flow.
func (w *world) repeatOpening() {
	if len(w.open) == 0 {
		return
	}
	id := rapid.SampledFrom(w.open).Draw(w.t, "flow")
	if w.now.Sub(w.opened[id]) > 1400*time.Millisecond {
		return
	}
	var lives []*host
	for _, h := range w.hosts {
		if h.flows[id] && !h.hasLeft {
			lives = append(lives, h)
		}
	}
	if len(lives) != 1 {
		return
	}
	r := w.deliver(w.balancers[0], flow.Packet{Source: id.Caller, Destination: id.Address, Opens: true, Retransmissions: 1})
	if r.isReset {
		w.t.Fatalf("a late opening of flow %s was reset, and the flow lives", id)
	}
	if r.at != nil && r.at != lives[0] {
		// A second target has accepted; its flow was never opened by the caller.
		delete(r.at.flows, id)
		r.at.halfOpen[id] = true
	}
}

func (w *world) sendData() {
	if len(w.open) > 0 {
		w.send(rapid.SampledFrom(w.open).Draw(w.t, "flow"))
	}
}

// failCalls lets the calls of a target fail for two intervals of heartbeats.
func (w *world) failCalls() {
	h := w.anyHost()
	if h.hasLeft {
		return
	}
	for range 2 * resident.TicksPerHeartbeat {
		h.agent.Tick(w.now)
	}
	h.sequence += 2
	w.beat(h)
}

// send delivers data and expects it at the target that holds the flow, unless it was lost at a VM that is cut off.
func (w *world) send(id flow.ID) {
	r := w.deliver(w.anyBalancer(), flow.Packet{Source: id.Caller, Destination: id.Address, Payload: 10})
	for _, h := range w.hosts {
		if w.holds(h, id) && r.at != h && !r.isLost && !w.isGone(h) {
			w.t.Fatalf("flow %s lives on %v and its packet did not get there: %+v", id, h.ip, r)
		}
	}
}

func (w *world) restartBalancer() {
	w.balancers[rapid.IntRange(0, len(w.balancers)-1).Draw(w.t, "balancer")] = w.newBalancer()
}

// restartAgent restarts an agent; the target goes on, and its next heartbeat may follow. It follows at once where the target
// drains, or where the store says that it has left. An agent that ends just after its target has joined, and is back within
// JoinDelay, is left out as well: docs/PROOFS.md, "Not proved".
func (w *world) restartAgent() {
	h := w.anyHost()
	if h.hasLeft || w.now.Sub(h.joinedAt) < registry.JoinDelay {
		return
	}
	w.startAgent(h)
	if h.isDraining || w.entries[h.ip].entry.HasLeft || rapid.Bool().Draw(w.t, "its target calls") {
		w.beat(h)
	}
}

// call lets a target make its next call.
func (w *world) call() {
	if h := w.anyHost(); !h.hasLeft {
		w.beat(h)
	}
}

// fallSilent ends a target without a word, and lets the time pass in which its agent notices.
func (w *world) fallSilent() {
	h := w.anyHost()
	if h.hasLeft {
		return
	}
	h.hasLeft = true
	h.flows = map[flow.ID]bool{}
	for range 2 * resident.TicksPerHeartbeat * 2 {
		for _, e := range h.agent.Tick(w.now).Ended {
			w.expectDead(e.ID, "an agent that hears nothing reset a flow")
		}
	}
	w.write(h)
}

func (w *world) drain() {
	h := w.anyHost()
	if !h.hasLeft {
		h.isDraining = true
		w.beat(h)
	}
}

func (w *world) leave() {
	h := w.anyHost()
	if h.hasLeft || !h.isDraining {
		return
	}
	h.hasLeft = true
	h.flows = map[flow.ID]bool{}
	h.agent.HandleLeave(instanceName(h))
	w.write(h)
}

func (w *world) add() {
	if len(w.hosts) < w.mostHosts {
		w.addHost(byte(len(w.hosts)+1), lines)
	}
}

// addSome adds targets one after the other, while callers open flows by balancers that have heard of some.
func (w *world) addSome() {
	for range rapid.IntRange(1, 8).Draw(w.t, "added") {
		w.add()
		if rapid.Bool().Draw(w.t, "heard") {
			w.sync(w.anyBalancer())
		}
		if rapid.Bool().Draw(w.t, "joined") {
			w.now = w.now.Add(registry.JoinDelay)
		}
		w.openFlow()
	}
}

// reuse gives the address of a VM to a target of another service.
func (w *world) reuse() {
	h := w.anyHost()
	if h.service == lines {
		h.service = archive
	} else {
		h.service = lines
	}
	w.startHost(h)
}

func (w *world) check(t *rapid.T) {
	for _, h := range w.hosts {
		if h.forbidden > 0 {
			t.Fatalf("target of %s at %v got %d openings that it must not get", h.service, h.ip, h.forbidden)
		}
	}
}

// TestOpenFlowsReachTheirTargets holds over random histories: a packet of an open flow reaches the target that holds it,
// whichever balancer it meets; no flow that lives is reset; no target that drains, or that is of another service, gets
// an opening.
func TestOpenFlowsReachTheirTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { play(t, newWorld(t, 1, 4)) })
}

// TestOpenFlowsAreFoundAmongManyTargets holds the same where a walk asks a part of the targets only.
func TestOpenFlowsAreFoundAmongManyTargets(t *testing.T) {
	setHistories(t, historiesOfMany)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3, 20)
		w.mostHosts = 40
		play(t, w)
	})
}

func play(t *rapid.T, w *world) {
	actions := w.actions()
	actions[""] = w.check
	for name, action := range actions {
		actions[name] = func(step *rapid.T) {
			w.t = step
			action(step)
		}
	}
	t.Repeat(actions)
}
