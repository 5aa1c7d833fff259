package member

import (
	"testing"
	"time"
)

// convergenceTime is the time after which the views of a new world must have converged.
const convergenceTime = 3 * time.Second

// newConvergedWorld returns a world in which all balancers show all targets as ready.
func newConvergedWorld(t *testing.T, balancers, agents int) *world {
	t.Helper()
	w := newWorld(balancers, agents, 1, Conservative)
	w.run(convergenceTime)
	for i := range agents {
		if got := w.countViews(i, Ready); got != balancers {
			t.Fatalf("agent %d is ready at %d of %d balancers after %s", i, got, balancers, convergenceTime)
		}
	}
	return w
}

func TestEveryBalancerLearnsEveryTarget(t *testing.T) {
	newConvergedWorld(t, 3, 10)
	newConvergedWorld(t, 30, 50)
}

func TestViewsShowChangedSlots(t *testing.T) {
	w := newConvergedWorld(t, 3, 4)
	w.agents[1].target.Slots = 9
	w.agents[1].target.Sequence++
	w.run(time.Second)
	for _, n := range w.nodes {
		if got := n.views[w.agents[1].target.Agent].Slots; got != 9 {
			t.Fatalf("node %d shows %d slots, expected 9", n.index, got)
		}
	}
}

func TestKilledTargetFailsWithinThreeSeconds(t *testing.T) {
	w := newConvergedWorld(t, 3, 10)
	w.agents[4].isUp = false
	w.run(3 * time.Second)
	if got := w.countViews(4, Failed); got != 3 {
		t.Fatalf("killed target is failed at %d of 3 balancers", got)
	}
}

func TestTargetUnseenByHalfOfTheBalancersStaysReady(t *testing.T) {
	for agent := range 6 {
		w := newConvergedWorld(t, 6, 6)
		for i := range 3 {
			w.cut[[2]int{i, w.agents[agent].index}] = true
		}
		for range 300 {
			w.step()
			if got := w.countViews(agent, Ready); got != 6 {
				t.Fatalf("agent %d is ready at %d of 6 balancers", agent, got)
			}
		}
	}
}

func TestSuspendedTargetRecoversWithSameIncarnation(t *testing.T) {
	w := newConvergedWorld(t, 3, 10)
	w.agents[4].isSuspended = true
	w.run(3 * time.Second)
	if got := w.countViews(4, Failed); got != 3 {
		t.Fatalf("suspended target is failed at %d of 3 balancers", got)
	}
	w.agents[4].isSuspended = false
	w.run(time.Second)
	if got := w.countViews(4, Ready); got != 3 {
		t.Fatalf("resumed target is ready at %d of 3 balancers", got)
	}
}

func TestFlappingTargetIsDamped(t *testing.T) {
	w := newConvergedWorld(t, 3, 10)
	for range 10 {
		w.agents[4].isSuspended = true
		w.run(3 * time.Second)
		w.agents[4].isSuspended = false
		w.run(3 * time.Second)
	}
	for _, n := range w.nodes {
		ready := len(n.recoveredAt[w.agents[4].target.Agent])
		if ready > 1 || w.stateOf(n, 4) != Damped {
			t.Fatalf("node %d: the target became ready %d times without damping, state %s", n.index, ready, w.stateOf(n, 4))
		}
	}
	w.run(dampingMax)
	if got := w.countViews(4, Ready); got != 3 {
		t.Fatalf("target that stayed up is ready at %d of 3 balancers", got)
	}
}

func TestSuspendedBalancersDoNotFailTargets(t *testing.T) {
	w := newConvergedWorld(t, 3, 10)
	for _, n := range w.nodes {
		n.isSuspended = true
	}
	w.run(10 * time.Second)
	for _, n := range w.nodes {
		n.isSuspended = false
	}
	for range 50 {
		w.step()
		for i := range w.agents {
			if got := w.countViews(i, Ready); got != 3 {
				t.Fatalf("agent %d is ready at %d of 3 balancers", i, got)
			}
		}
	}
}

func TestZoneFailureCausesOneReportPerObserver(t *testing.T) {
	w := newConvergedWorld(t, 3, 30)
	before := w.nodes[1].machine.version
	w.stopNode(0)
	for i := 0; i < 30; i += 3 {
		w.agents[i].isUp = false
	}
	w.run(3 * time.Second)
	for i := 0; i < 30; i += 3 {
		if got := w.countViews(i, Failed); got != 2 {
			t.Fatalf("agent %d of the lost zone is failed at %d of 2 balancers", i, got)
		}
	}
	if got := w.nodes[1].machine.version - before; got != 1 {
		t.Fatalf("balancer 1 made %d reports about the zone, expected 1", got)
	}
}

func TestRestartedBalancerLearnsAllTargets(t *testing.T) {
	w := newConvergedWorld(t, 5, 20)
	w.stopNode(4)
	w.run(5 * time.Second)
	w.startNode(4, Conservative)
	w.run(2 * time.Second)
	for i := range w.agents {
		if w.stateOf(w.nodes[4], i) != Ready {
			t.Fatalf("agent %d is %s at the restarted balancer", i, w.stateOf(w.nodes[4], i))
		}
	}
}

func TestViewsConvergeAfterPartition(t *testing.T) {
	w := newConvergedWorld(t, 6, 12)
	for i := range 18 {
		for j := range 6 {
			if i%3 == 0 != (j%3 == 0) {
				w.cut[[2]int{min(i, j), max(i, j)}] = true
			}
		}
	}
	w.run(20 * time.Second)
	if got := w.stateOf(w.nodes[0], 1); got != Failed {
		t.Fatalf("target on the other side of the partition is %s, expected failed", got)
	}
	clear(w.cut)
	w.run(15 * time.Second)
	for i := range w.agents {
		if got := w.countViews(i, Ready); got != 6 {
			t.Fatalf("agent %d is ready at %d of 6 balancers", i, got)
		}
	}
}

func TestTombstonesExpireAndTheirTargetReturns(t *testing.T) {
	w := newConvergedWorld(t, 3, 4)
	w.agents[1].isSuspended = true
	w.agents[2].target.State = Gone
	w.agents[2].target.Sequence++
	w.run(time.Second)
	w.agents[2].isUp = false
	w.run(5 * time.Second)
	jump := tombstoneLifetime + sweepInterval
	for range 3 {
		w.now = w.now.Add(jump)
		w.run(5 * time.Second)
	}
	for _, n := range w.nodes {
		if got := len(n.machine.targets); got != 2 {
			t.Fatalf("node %d still stores %d targets, expected 2", n.index, got)
		}
	}
	w.agents[1].isSuspended = false
	w.run(3 * time.Second)
	if got := w.countViews(1, Ready); got != 3 {
		t.Fatalf("resumed target with a tombstone is ready at %d of 3 balancers", got)
	}
}

func TestAgentWithLaggingClockReusesAddress(t *testing.T) {
	w := newConvergedWorld(t, 3, 4)
	w.agents[1].isUp = false
	w.run(5 * time.Second)
	w.agents[1].target.Service = 9
	w.startAgent(1)
	w.agents[1].target.Incarnation = 5
	w.run(3 * time.Second)
	for _, n := range w.nodes {
		if view := n.views[w.agents[1].target.Agent]; view.Service != 9 || view.State != Ready {
			t.Fatalf("node %d shows service %d in state %s, expected service 9 in state ready", n.index, view.Service, view.State)
		}
	}
}

// TestPreviousIsTheLastShownTarget guards against a stale target in the routing table, which removes TargetChanged.Previous
// and adds TargetChanged.Target: Previous must always equal the target of the change before.
func TestPreviousIsTheLastShownTarget(t *testing.T) {
	w := newConvergedWorld(t, 3, 6)
	for _, f := range []fault{reuseAddress, suspendAgent, resumeAgent, killAgent, reuseAddress, drainAgent} {
		w.inject(f, 1, 0, 0)
		w.run(4 * time.Second)
	}
	for _, n := range w.nodes {
		if len(n.mismatches) > 0 {
			t.Fatalf("node %d: %v", n.index, n.mismatches)
		}
	}
}
