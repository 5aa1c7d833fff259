package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// world simulates balancers and agents in memory. Time advances in ticks. Links between two processes can be cut.
type world struct {
	now    time.Time
	random *rand.Rand
	zones  []string
	nodes  []*node
	agents []*simulatedAgent
	// cut holds the links that are cut, as pairs of indices in ascending order. The indices of the agents follow those of the
	// nodes.
	cut map[[2]int]bool
	// loss is the probability with which a heartbeat of an agent is lost.
	loss float64
	// messages counts all messages, records the records in messages between balancers.
	messages int
	records  int
}

// node is a balancer with its machine.
type node struct {
	index       int
	machine     *Machine
	isUp        bool
	isSuspended bool
	inbox       []GossipReceived
	connected   map[int]bool
	views       map[netip.AddrPort]Target
	// recoveredAt and failedAt hold when each target became ready after a failure, and when it failed.
	recoveredAt map[netip.AddrPort][]time.Time
	failedAt    map[netip.AddrPort][]time.Time
	violations  []string
	mismatches  []string
}

// simulatedAgent is an agent that announces its target.
type simulatedAgent struct {
	index       int
	target      Target
	isUp        bool
	isSuspended bool
	selector    *ObserverSelector
	// phase shifts the ticks at which the agent sends heartbeats.
	phase int
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
		a := &simulatedAgent{index: balancers + i, phase: i % 5, target: Target{
			Agent: address(2, i), Service: uint16(1 + i%2), Zone: w.zones[i%3], Slots: 5,
		}}
		w.agents = append(w.agents, a)
		w.startAgent(i)
	}
	return w
}

// startNode starts a balancer, or restarts it with an empty machine.
func (w *world) startNode(i int, detection Detection) {
	n := w.nodes[i]
	self := Balancer{
		Data: address(1, i), Control: address(1, i), Zone: w.zones[i%3],
		Incarnation: uint64(w.now.UnixMicro()), State: Ready,
	}
	n.machine = New(Settings{Self: self, Detection: detection, Seed: uint64(i)})
	n.isUp, n.isSuspended = true, false
	n.inbox, n.connected = nil, make(map[int]bool)
	n.views, n.recoveredAt = make(map[netip.AddrPort]Target), make(map[netip.AddrPort][]time.Time)
	n.failedAt = make(map[netip.AddrPort][]time.Time)
}

func (w *world) stopNode(i int) {
	w.nodes[i].isUp = false
	for _, n := range w.nodes {
		w.disconnect(n, w.nodes[i])
	}
}

// startAgent starts an agent, or restarts it with a new incarnation.
func (w *world) startAgent(i int) {
	a := w.agents[i]
	a.target.Incarnation = uint64(w.now.UnixMicro())
	a.target.Sequence, a.target.State = 1, Ready
	a.isUp, a.isSuspended = true, false
	a.selector = NewObserverSelector([]netip.AddrPort{address(1, 0), address(1, 1), address(1, 2)}[:min(3, len(w.nodes))])
}

func (w *world) isCut(a, b int) bool {
	return w.cut[[2]int{min(a, b), max(a, b)}]
}

func (w *world) disconnect(a, b *node) {
	if a.connected[b.index] {
		delete(a.connected, b.index)
		delete(b.connected, a.index)
		w.handle(a, PeerDisconnected{b.machine.self.Data})
		w.handle(b, PeerDisconnected{a.machine.self.Data})
	}
}

func (w *world) connect(a, b *node) {
	if a == b || a.connected[b.index] || !a.isRunning() || !b.isRunning() || w.isCut(a.index, b.index) {
		return
	}
	a.connected[b.index], b.connected[a.index] = true, true
	w.handle(a, PeerConnected{b.machine.self})
	w.handle(b, PeerConnected{a.machine.self})
}

func (n *node) isRunning() bool { return n.isUp && !n.isSuspended }

// step advances the time by one tick.
func (w *world) step() {
	w.now = w.now.Add(TickInterval)
	for _, n := range w.nodes {
		w.connectNode(n)
	}
	for _, a := range w.agents {
		w.heartbeat(a)
	}
	for _, n := range w.nodes {
		if !n.isRunning() {
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

// connectNode connects a node to its neighbours, or to a seed when it has no connection. The seeds are the first node of each
// zone. It disconnects the node where the link is cut.
func (w *world) connectNode(n *node) {
	if !n.isRunning() {
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

// heartbeat announces an agent to its observers every 500 ms. Like the real agent, it replaces those that it can't reach.
func (w *world) heartbeat(a *simulatedAgent) {
	if !a.isUp || a.isSuspended || (int(w.now.Sub(epoch)/TickInterval)+a.phase)%5 != 0 {
		return
	}
	connected := slices.Clone(a.selector.connected)
	connect, leave := a.selector.Plan(w.now)
	for _, observer := range connected {
		w.announce(a, observer, AgentAnnounced{Target: a.target, IsLeaving: slices.Contains(leave, observer)})
	}
	for _, observer := range connect {
		w.announce(a, observer, AgentAnnounced{Target: a.target, IsFirst: true})
	}
}

// announce sends an announcement to an observer. A first or last announcement on a connection is never lost.
func (w *world) announce(a *simulatedAgent, observer netip.AddrPort, e AgentAnnounced) {
	n := w.nodes[indexOf(observer)]
	if !n.isRunning() || w.isCut(n.index, a.index) {
		a.selector.HandleFailure(w.now, observer)
		return
	}
	switch {
	case e.IsFirst:
		a.selector.HandleConnected(observer)
	case e.IsLeaving:
		a.selector.HandleClosed(observer)
	case w.random.Float64() < w.loss:
		return
	}
	w.messages++
	w.handle(n, e)
}

func (w *world) handle(n *node, e Event) {
	if !n.isRunning() {
		return
	}
	for _, action := range n.machine.Step(w.now, e) {
		switch x := action.(type) {
		case Send:
			w.send(n, x)
		case Reply:
			w.reply(x)
		case TargetChanged:
			if x.Previous != n.views[x.Target.Agent] {
				n.mismatches = append(n.mismatches,
					fmt.Sprintf("the view had %v, the change has %v as previous", n.views[x.Target.Agent], x.Previous))
			}
			n.recordChange(w.now, x.Target)
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
	to.inbox = append(to.inbox, GossipReceived{From: n.machine.self.Data, Gossip: s.Gossip})
}

// reply handles a balancer's reply as the real agent does: it raises a lower incarnation and records its observers.
func (w *world) reply(r Reply) {
	a := w.agents[indexOf(r.Agent)]
	if r.Incarnation > a.target.Incarnation {
		a.target.Incarnation = r.Incarnation + 1
		a.target.Sequence++
	}
	a.selector.HandleReply(r.Observers, r.Backups)
}

// recordChange records a change of the view and checks that the incarnation doesn't decrease.
func (n *node) recordChange(now time.Time, t Target) {
	before := n.views[t.Agent]
	if before.Incarnation > t.Incarnation {
		n.violations = append(n.violations, fmt.Sprintf("node %d: incarnation of %s decreased", n.index, t.Agent))
	}
	if t.State == Ready && before.State == Failed {
		n.recoveredAt[t.Agent] = append(n.recoveredAt[t.Agent], now)
	}
	if t.State == Failed {
		n.failedAt[t.Agent] = append(n.failedAt[t.Agent], now)
	}
	n.views[t.Agent] = t
}

// stateOf returns the state of an agent in the view of a node.
func (w *world) stateOf(n *node, agent int) State {
	return n.views[w.agents[agent].target.Agent].State
}

// countViews returns the number of running nodes whose view has the agent in the given state.
func (w *world) countViews(agent int, s State) int {
	count := 0
	for _, n := range w.nodes {
		if n.isRunning() && w.stateOf(n, agent) == s {
			count++
		}
	}
	return count
}
