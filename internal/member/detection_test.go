package member

import (
	"fmt"
	"testing"
	"time"
)

// Sizes of the comparison of detection strategies.
const (
	detectionBalancers = 30
	detectionAgents    = 60
	detectionTime      = 10 * time.Minute
	detectionKills     = 10
	linkOutage         = 5 * time.Second
)

// links is how bad the links between agents and homes are.
type links struct {
	name string
	// loss is the share of heartbeats that are lost, each on its own.
	loss float64
	// outages is the number of outages of linkOutage for each link and hour.
	outages float64
}

// outage cuts links at random for linkOutage each.
type outage struct {
	ends map[[2]int]time.Time
}

func (o *outage) step(w *world, perHour float64) {
	for link, end := range o.ends {
		if !w.now.Before(end) {
			delete(w.cut, link)
			delete(o.ends, link)
		}
	}
	chance := perHour * TickInterval.Hours()
	for _, a := range w.agents {
		for n := range w.nodes {
			if w.random.Float64() < chance {
				link := [2]int{n, a.index}
				w.cut[link] = true
				o.ends[link] = w.now.Add(linkOutage)
			}
		}
	}
}

type detectionFigures struct {
	falseRemovals int
	absent        time.Duration
	detection     time.Duration
	slowest       time.Duration
	messages      int
}

// measureDetection runs the strategy for detectionTime without a real failure, then kills agents.
func measureDetection(strategy Detection, l links, seed uint64) detectionFigures {
	w := newWorld(detectionBalancers, detectionAgents, seed, strategy)
	w.run(settle)
	w.loss = l.loss
	var f detectionFigures
	o := &outage{ends: make(map[[2]int]time.Time)}
	before := w.messages
	observer := w.nodes[0]
	clear(observer.removed)
	for range int(detectionTime / TickInterval) {
		o.step(w, l.outages)
		w.step()
		for i := range w.agents {
			if w.stateOf(observer, i) != Ready {
				f.absent += TickInterval
			}
		}
	}
	f.messages = w.messages - before
	for _, times := range observer.removed {
		f.falseRemovals += len(times)
	}
	f.measureKills(w)
	return f
}

// measureKills kills agents one after the other and takes the time until every balancer has removed each.
func (f *detectionFigures) measureKills(w *world) {
	for i := range detectionKills {
		w.agents[i].isUp = false
		killed := w.now
		for w.countViews(i, Failed) < len(w.nodes) && w.now.Sub(killed) < time.Minute {
			w.step()
		}
		took := w.now.Sub(killed)
		f.detection += took / detectionKills
		f.slowest = max(f.slowest, took)
	}
}

// BenchmarkDetection compares the two strategies over links that lose heartbeats and links that are cut for a while.
func BenchmarkDetection(b *testing.B) {
	conditions := []links{
		{"clean", 0, 0}, {"loss=10%", 0.1, 0}, {"loss=20%", 0.2, 0}, {"loss=30%", 0.3, 0},
		{"outages=1/h", 0, 1}, {"outages=10/h", 0, 10},
	}
	for _, l := range conditions {
		for _, s := range []Detection{Aggressive, Conservative} {
			b.Run(fmt.Sprintf("%s/%s", l.name, s), func(b *testing.B) {
				for i := range b.N {
					f := measureDetection(s, l, uint64(i))
					b.ReportMetric(float64(f.falseRemovals)/detectionTime.Hours(), "false-removals/h")
					b.ReportMetric(f.absent.Seconds()/detectionTime.Hours(), "absent-target-s/h")
					b.ReportMetric(float64(f.detection.Milliseconds()), "detection-ms")
					b.ReportMetric(float64(f.slowest.Milliseconds()), "slowest-ms")
					b.ReportMetric(float64(f.messages)/detectionTime.Seconds()/detectionBalancers, "messages/s/balancer")
				}
			})
		}
	}
}
