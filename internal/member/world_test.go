package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// world joins machines and agents in memory. Time passes in ticks; links between two processes can be cut.
type world struct {
	now      time.Time
	random   *rand.Rand
	zones    []string
	nodes    []*node
	agents   []*agentSim
	cut      map[[2]int]bool // by index of node, agents follow the nodes
	loss     float64         // of heartbeats of agents
	messages int
	records  int
}

type node struct {
	index     int
	machine   *Machine
	isUp      bool
	isPaused  bool
	inbox     []Received
	connected map[int]bool
	views     map[netip.AddrPort]Target
	readied   map[netip.AddrPort][]time.Time
	removed   map[netip.AddrPort][]time.Time
	problems  []string
	gaps      []string
}

type agentSim struct {
	index    int
	target   Target
	isUp     bool
	isPaused bool
	homing   *Homing
	phase    int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func address(block, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(block), byte(n >> 8), byte(n)}), 4400)
}

func newWorld(balancers, agents int, seed uint64, detection Detection) *world {
	w := &world{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), zones: []string{"a", "b", "c"}, cut: make(map[[2]int]bool),
	}
	for i := range balancers {
		w.nodes = append(w.nodes, &node{index: i})
		w.startNode(i, detection)
	}
	for i := range agents {
		a := &agentSim{index: balancers + i, phase: i % 5, target: Target{
			Agent: address(2, i), Service: uint16(1 + i%2), Zone: w.zones[i%3], Slots: 5,
		}}
		w.agents = append(w.agents, a)
		w.startAgent(i)
	}
	return w
}

func (w *world) startNode(i int, detection Detection) {
	n := w.nodes[i]
	self := Balancer{
		Data: address(1, i), Control: address(1, i), Zone: w.zones[i%3],
		Incarnation: uint64(w.now.UnixMicro()), State: Ready,
	}
	n.machine = New(Settings{Self: self, Detection: detection, Seed: uint64(i)})
	n.isUp, n.isPaused = true, false
	n.inbox, n.connected = nil, make(map[int]bool)
	n.views, n.readied = make(map[netip.AddrPort]Target), make(map[netip.AddrPort][]time.Time)
	n.removed = make(map[netip.AddrPort][]time.Time)
}

func (w *world) stopNode(i int) {
	w.nodes[i].isUp = false
	for _, n := range w.nodes {
		w.disconnect(n, w.nodes[i])
	}
}

func (w *world) startAgent(i int) {
	a := w.agents[i]
	a.target.Incarnation = uint64(w.now.UnixMicro())
	a.target.Sequence, a.target.State = 1, Ready
	a.isUp, a.isPaused = true, false
	a.homing = NewHoming([]netip.AddrPort{address(1, 0), address(1, 1), address(1, 2)}[:min(3, len(w.nodes))])
}

func (w *world) isCut(a, b int) bool {
	return w.cut[[2]int{min(a, b), max(a, b)}]
}

func (w *world) disconnect(a, b *node) {
	if a.connected[b.index] {
		delete(a.connected, b.index)
		delete(b.connected, a.index)
		w.handle(a, PeerLeft{b.machine.self.Data})
		w.handle(b, PeerLeft{a.machine.self.Data})
	}
}

func (w *world) connect(a, b *node) {
	if a == b || a.connected[b.index] || !a.runs() || !b.runs() || w.isCut(a.index, b.index) {
		return
	}
	a.connected[b.index], b.connected[a.index] = true, true
	w.handle(a, PeerJoined{b.machine.self})
	w.handle(b, PeerJoined{a.machine.self})
}

func (n *node) runs() bool { return n.isUp && !n.isPaused }

// step lets one tick pass.
func (w *world) step() {
	w.now = w.now.Add(TickInterval)
	for _, n := range w.nodes {
		w.connectNode(n)
	}
	for _, a := range w.agents {
		w.heartbeat(a)
	}
	for _, n := range w.nodes {
		if !n.runs() {
			continue
		}
		inbox := n.inbox
		n.inbox = nil
		for _, m := range inbox {
			w.handle(n, m)
		}
		w.handle(n, Tick{})
	}
}

func (w *world) run(d time.Duration) {
	for range int(d / TickInterval) {
		w.step()
	}
}

// connectNode joins a node to its neighbours; the first node of each zone is the seed of all.
func (w *world) connectNode(n *node) {
	if !n.runs() {
		return
	}
	for _, b := range n.machine.Neighbours(w.now) {
		w.connect(n, w.nodes[indexOf(b.Data)])
	}
	for seed := range min(3, len(w.nodes)) {
		if len(n.connected) == 0 {
			w.connect(n, w.nodes[seed])
		}
	}
	for i := range n.connected {
		if w.isCut(n.index, i) {
			w.disconnect(n, w.nodes[i])
		}
	}
}

func indexOf(a netip.AddrPort) int {
	ip := a.Addr().As4()
	return int(ip[2])<<8 | int(ip[3])
}

// heartbeat announces an agent to its homes each 500 ms; what it cannot reach it replaces, as the program does.
func (w *world) heartbeat(a *agentSim) {
	if !a.isUp || a.isPaused || (int(w.now.Sub(epoch)/TickInterval)+a.phase)%5 != 0 {
		return
	}
	joined := slices.Clone(a.homing.joined)
	connect, leave := a.homing.Plan(w.now)
	for _, home := range joined {
		w.announce(a, home, Announced{Target: a.target, IsLeaving: slices.Contains(leave, home)})
	}
	for _, home := range connect {
		w.announce(a, home, Announced{Target: a.target, IsFirst: true})
	}
}

func (w *world) announce(a *agentSim, home netip.AddrPort, e Announced) {
	n := w.nodes[indexOf(home)]
	if !n.runs() || w.isCut(n.index, a.index) {
		a.homing.Failed(w.now, home)
		return
	}
	switch {
	case e.IsFirst:
		a.homing.Joined(home)
	case e.IsLeaving:
		a.homing.Left(home)
	case w.random.Float64() < w.loss:
		return
	}
	w.messages++
	w.handle(n, e)
}

func (w *world) handle(n *node, e Event) {
	if !n.runs() {
		return
	}
	for _, action := range n.machine.Handle(w.now, e) {
		switch x := action.(type) {
		case Send:
			w.send(n, x)
		case Reply:
			w.reply(x)
		case TargetChanged:
			if x.Before != n.views[x.Target.Agent] {
				n.gaps = append(n.gaps, fmt.Sprintf("%v was shown, %v is named", n.views[x.Target.Agent], x.Before))
			}
			n.note(w.now, x.Target)
		}
	}
}

func (w *world) send(n *node, s Send) {
	to := w.nodes[indexOf(s.To)]
	if !n.connected[to.index] || !to.isUp {
		return
	}
	w.messages++
	w.records += s.Gossip.Changes.Len()
	to.inbox = append(to.inbox, Received{From: n.machine.self.Data, Gossip: s.Gossip})
}

func (w *world) reply(r Reply) {
	a := w.agents[indexOf(r.Agent)]
	if r.Incarnation > a.target.Incarnation {
		a.target.Incarnation = r.Incarnation + 1
		a.target.Sequence++
	}
	a.homing.Replied(r.Homes, r.Spares)
}

// note checks each change of a view: no incarnation ever follows a newer one.
func (n *node) note(now time.Time, t Target) {
	before := n.views[t.Agent]
	if before.Incarnation > t.Incarnation {
		n.problems = append(n.problems, fmt.Sprintf("node %d: incarnation of %s fell", n.index, t.Agent))
	}
	if t.State == Ready && before.State == Failed {
		n.readied[t.Agent] = append(n.readied[t.Agent], now)
	}
	if t.State == Failed {
		n.removed[t.Agent] = append(n.removed[t.Agent], now)
	}
	n.views[t.Agent] = t
}

// stateOf returns the state of an agent in the view of a node.
func (w *world) stateOf(n *node, agent int) State {
	return n.views[w.agents[agent].target.Agent].State
}

// countViews returns the number of running nodes that see the agent in the given state.
func (w *world) countViews(agent int, s State) int {
	count := 0
	for _, n := range w.nodes {
		if n.runs() && w.stateOf(n, agent) == s {
			count++
		}
	}
	return count
}
