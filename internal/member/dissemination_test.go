package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSlopeDissemination measures the dissemination of a target's restart for growing numbers of balancers: the time
// until all balancers show the new incarnation, and the records that a balancer receives because of it.
func BenchmarkSlopeDissemination(b *testing.B) {
	for _, size := range []int{30, 60, 120, 240} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for i := range b.N {
				w := newWorld(size, 3, uint64(i), Conservative)
				w.run(5 * time.Second)
				b.ReportMetric(w.closeUnwanted(), "connections")
				w.run(2 * time.Second)
				quiet := w.records
				w.run(2 * time.Second)
				b.ReportMetric(float64(w.records-quiet)/float64(size), "records/balancer-before")
				w.startAgent(1)
				w.agents[1].target.Incarnation += 7
				started, before := w.now, w.records
				for !w.isShownByAll(1) {
					w.step()
				}
				spread := w.now.Sub(started)
				w.run(2 * time.Second)
				b.ReportMetric(float64(spread.Milliseconds()), "spread-ms")
				b.ReportMetric(float64(w.records-before)/float64(size), "records/balancer")
			}
		})
	}
}

// closeUnwanted closes the connections that neither side has as a neighbour, as the balancer does. It returns the mean number
// of remaining connections per balancer.
func (w *world) closeUnwanted() float64 {
	wanted := make(map[[2]int]bool)
	for _, n := range w.nodes {
		for _, b := range n.machine.Neighbours(w.now) {
			i := indexOf(b.Data)
			wanted[[2]int{min(n.index, i), max(n.index, i)}] = true
		}
	}
	for _, a := range w.nodes {
		for i := range a.connected {
			if !wanted[[2]int{min(a.index, i), max(a.index, i)}] {
				w.handle(a, PeerDropped{w.nodes[i].machine.self.Data})
				w.disconnect(a, w.nodes[i])
			}
		}
	}
	return 2 * float64(len(wanted)) / float64(len(w.nodes))
}

// isShownByAll reports whether all balancers show the agent's target as ready with its current incarnation.
func (w *world) isShownByAll(agent int) bool {
	wanted := w.agents[agent].target
	for _, n := range w.nodes {
		if view := n.views[wanted.Agent]; view.Incarnation != wanted.Incarnation || view.State != Ready {
			return false
		}
	}
	return true
}
