package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSlopeFlood prints how a restart of a target spreads over the overlay: the time until every balancer shows
// the new incarnation, and the records that a balancer receives for it until the flood has ended.
func BenchmarkSlopeFlood(b *testing.B) {
	for _, size := range []int{30, 60, 120, 240} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for i := range b.N {
				w := newWorld(size, 3, uint64(i), Conservative)
				w.run(5 * time.Second)
				b.ReportMetric(w.trim(), "connections")
				w.run(2 * time.Second)
				quiet := w.records
				w.run(2 * time.Second)
				b.ReportMetric(float64(w.records-quiet)/float64(size), "records/balancer-before")
				w.startAgent(1)
				w.agents[1].target.Incarnation += 7
				started, before := w.now, w.records
				for !w.allShow(1) {
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

// trim closes the connections that neither side wants, as the program does, and returns how many a balancer has left.
func (w *world) trim() float64 {
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

func (w *world) allShow(agent int) bool {
	wanted := w.agents[agent].target
	for _, n := range w.nodes {
		if view := n.views[wanted.Agent]; view.Incarnation != wanted.Incarnation || view.State != Ready {
			return false
		}
	}
	return true
}
