package member

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// checkCount is the number of random sequences of faults.
	checkCount = "2000"
	// faultTicks is five times the maximum number of ticks between two faults.
	faultTicks = 120
	// convergenceTicks is the number of ticks after the last fault within which all views must be correct.
	convergenceTicks = 200
	// maxRecoveries is the maximum number of times that a failed target may become ready in a view within a minute.
	maxRecoveries = 8
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.checks", checkCount)
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fault is a fault to inject, the end of one, or a planned drain.
type fault int

const (
	killAgent fault = iota
	restartAgent
	reuseAddress
	suspendAgent
	resumeAgent
	drainAgent
	killNode
	restartNode
	suspendNode
	resumeNode
	cutLink
	restoreLink
	faultKinds
)

// inject injects a fault. Each fault uses only those of the indices that it needs.
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
	case suspendAgent:
		a.isSuspended = true
	case resumeAgent:
		a.isSuspended = false
	case drainAgent:
		a.target.Sequence++
		a.target.State = Draining
	case killNode:
		w.stopNode(nodeIndex)
	case restartNode:
		w.stopNode(nodeIndex)
		w.startNode(nodeIndex, Conservative)
	case suspendNode:
		n.isSuspended = true
	case resumeNode:
		n.isSuspended = false
	case cutLink, restoreLink:
		w.cut[[2]int{min(nodeIndex, other), max(nodeIndex, other)}] = f == cutLink
	}
}

// endFaults restores all links, resumes all programs and restarts the balancers that are down.
func (w *world) endFaults() {
	clear(w.cut)
	for i, n := range w.nodes {
		n.isSuspended = false
		if !n.isUp {
			w.startNode(i, Conservative)
		}
	}
	for _, a := range w.agents {
		a.isSuspended = false
	}
}

// checkStep checks the invariants that hold at all times, also during faults.
func (w *world) checkStep(t *rapid.T) {
	for _, n := range w.nodes {
		if len(n.violations)+len(n.mismatches) > 0 {
			t.Fatalf("%v", append(n.violations, n.mismatches...))
		}
		for _, a := range w.agents {
			view := n.views[a.target.Agent]
			if view.Incarnation == a.target.Incarnation && view.Service != a.target.Service {
				t.Fatalf("node %d: %s is shown with service %d, runs service %d", n.index, view.Agent, view.Service, a.target.Service)
			}
			if times := n.recoveredAt[a.target.Agent]; len(times) > maxRecoveries &&
				times[len(times)-1].Sub(times[len(times)-1-maxRecoveries]) < time.Minute {
				t.Fatalf("node %d: %s became ready more than %d times within a minute", n.index, a.target.Agent, maxRecoveries)
			}
		}
	}
}

// checkConverged checks that all views are correct and all digests equal once the faults have ended.
func (w *world) checkConverged(t *rapid.T) {
	for i, a := range w.agents {
		for _, n := range w.nodes {
			view := n.views[a.target.Agent]
			isDamped := view.State == Damped && a.target.State == Ready
			isCorrect := a.isUp && (view.State == a.target.State || isDamped) && view.Service == a.target.Service
			isRemoved := !a.isUp && (view.State == Failed || view.State == 0)
			if !isCorrect && !isRemoved {
				t.Fatalf("node %d shows agent %d (running: %v) as %s", n.index, i, a.isUp, view.State)
			}
		}
	}
	for _, n := range w.nodes {
		if len(n.machine.LiveBalancers()) != len(w.nodes) {
			t.Fatalf("node %d shows %d of %d balancers as live", n.index, len(n.machine.LiveBalancers()), len(w.nodes))
		}
		if n.machine.digest != w.nodes[0].machine.digest {
			t.Fatalf("the digests of node %d and node 0 differ", n.index)
		}
	}
}

// TestViewsConvergeAfterRandomHistories injects random sequences of faults and checks the views during and after them.
func TestViewsConvergeAfterRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancers := rapid.IntRange(3, 5).Draw(t, "balancers")
		agents := rapid.IntRange(2, 6).Draw(t, "agents")
		w := newWorld(balancers, agents, rapid.Uint64().Draw(t, "seed"), Conservative)
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		w.run(convergenceTime)
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
		for range convergenceTicks {
			w.step()
			w.checkStep(t)
		}
		w.checkConverged(t)
	})
}
