package member

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	histories   = "2000"
	faultTicks  = 120
	settleTicks = 200
	// maxReturns is the bound on how often a target may come back into a view within a minute.
	maxReturns = 8
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.checks", histories)
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fault is one thing that goes wrong in a history, or its end.
type fault int

const (
	killAgent fault = iota
	restartAgent
	reuseAddress
	pauseAgent
	wakeAgent
	drainAgent
	killNode
	restartNode
	pauseNode
	wakeNode
	cutLink
	mendLink
	faultKinds
)

func (w *world) inject(f fault, agent, nodeIndex, other int) {
	a, n := w.agents[agent], w.nodes[nodeIndex]
	switch f {
	case killAgent:
		a.isUp = false
	case restartAgent:
		w.startAgent(agent)
	case reuseAddress:
		a.target.Service += 10
		w.startAgent(agent)
	case pauseAgent:
		a.isPaused = true
	case wakeAgent:
		a.isPaused = false
	case drainAgent:
		a.target.Sequence++
		a.target.State = Draining
	case killNode:
		w.stopNode(nodeIndex)
	case restartNode:
		w.stopNode(nodeIndex)
		w.startNode(nodeIndex, Conservative)
	case pauseNode:
		n.isPaused = true
	case wakeNode:
		n.isPaused = false
	case cutLink, mendLink:
		w.cut[[2]int{min(nodeIndex, other), max(nodeIndex, other)}] = f == cutLink
	}
}

func (w *world) endFaults() {
	clear(w.cut)
	for i, n := range w.nodes {
		n.isPaused = false
		if !n.isUp {
			w.startNode(i, Conservative)
		}
	}
	for _, a := range w.agents {
		a.isPaused = false
	}
}

// checkStep checks what must hold at each moment.
func (w *world) checkStep(t *rapid.T) {
	for _, n := range w.nodes {
		if len(n.problems)+len(n.gaps) > 0 {
			t.Fatalf("%v", append(n.problems, n.gaps...))
		}
		for _, a := range w.agents {
			view := n.views[a.target.Agent]
			if view.Incarnation == a.target.Incarnation && view.Service != a.target.Service {
				t.Fatalf("node %d: %s is under service %d, runs %d", n.index, view.Agent, view.Service, a.target.Service)
			}
			if returns := n.readied[a.target.Agent]; len(returns) > maxReturns &&
				returns[len(returns)-1].Sub(returns[len(returns)-1-maxReturns]) < time.Minute {
				t.Fatalf("node %d: %s returned more than %d times in a minute", n.index, a.target.Agent, maxReturns)
			}
		}
	}
}

// checkSettled checks that every view is true some time after the last fault.
func (w *world) checkSettled(t *rapid.T) {
	for i, a := range w.agents {
		for _, n := range w.nodes {
			view := n.views[a.target.Agent]
			isDamped := view.State == Damped && a.target.State == Ready
			isRight := a.isUp && (view.State == a.target.State || isDamped) && view.Service == a.target.Service
			isAway := !a.isUp && (view.State == Failed || view.State == 0)
			if !isRight && !isAway {
				t.Fatalf("node %d sees agent %d (up %v) as %s", n.index, i, a.isUp, view.State)
			}
		}
	}
	for _, n := range w.nodes {
		if len(n.machine.Balancers()) != len(w.nodes) {
			t.Fatalf("node %d knows %d of %d balancers", n.index, len(n.machine.Balancers()), len(w.nodes))
		}
		if n.machine.digest != w.nodes[0].machine.digest {
			t.Fatalf("node %d and node 0 differ in their digests", n.index)
		}
	}
}

func TestHistoriesOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancers := rapid.IntRange(3, 5).Draw(t, "balancers")
		agents := rapid.IntRange(2, 6).Draw(t, "agents")
		w := newWorld(balancers, agents, rapid.Uint64().Draw(t, "seed"), Conservative)
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		w.run(settle)
		for range rapid.IntRange(1, 15).Draw(t, "faults") {
			w.inject(
				fault(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "fault")),
				rapid.IntRange(0, agents-1).Draw(t, "agent"),
				rapid.IntRange(0, balancers-1).Draw(t, "node"),
				rapid.IntRange(0, balancers+agents-1).Draw(t, "other"),
			)
			for range rapid.IntRange(0, faultTicks/5).Draw(t, "ticks") {
				w.step()
				w.checkStep(t)
			}
		}
		w.endFaults()
		w.loss = 0
		for range settleTicks {
			w.step()
			w.checkStep(t)
		}
		w.checkSettled(t)
	})
}
