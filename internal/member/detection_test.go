package member

import (
	"fmt"
	"testing"
	"time"
)

// Parameters of the comparison of detection strategies.
const (
	detectionBalancers = 30
	detectionAgents    = 60
	detectionTime      = 10 * time.Minute
	detectionKills     = 10
	linkOutage         = 5 * time.Second
)

// links describes the faults of the links between agents and balancers.
type links struct {
	name string
	// loss is the probability with which each heartbeat is lost.
	loss float64
	// outages is the mean number of outages per link and hour. Each lasts for linkOutage.
	outages float64
}

// randomOutages cuts links at random. Each outage lasts for linkOutage.
type randomOutages struct {
	endsAt map[[2]int]time.Time
}

// step ends the outages that are over and starts new ones. The parameter perHour is the mean number per link and hour.
func (o *randomOutages) step(w *world, perHour float64) {
	for link, end := range o.endsAt {
		if !w.now.Before(end) {
			delete(w.cut, link)
			delete(o.endsAt, link)
		}
	}
	chance := perHour * TickInterval.Hours()
	for _, a := range w.agents {
		for n := range w.nodes {
			if w.random.Float64() < chance {
				link := [2]int{n, a.index}
				w.cut[link] = true
				o.endsAt[link] = w.now.Add(linkOutage)
			}
		}
	}
}

// detectionFigures holds the results of one run.
type detectionFigures struct {
	// falseRemovals is how often balancer 0 showed a running target as failed. absent is the total time for which it did not
	// show a running target as ready, summed over all targets.
	falseRemovals int
	absent        time.Duration
	// detection is the mean time until all balancers showed a killed target as failed. slowest is the longest such time.
	detection time.Duration
	slowest   time.Duration
	// messages is the number of messages in detectionTime.
	messages int
}

// measureDetection runs the strategy for detectionTime with link faults but without failures of agents, then kills agents.
func measureDetection(strategy Detection, l links, seed uint64) detectionFigures {
	w := newWorld(detectionBalancers, detectionAgents, seed, strategy)
	w.run(convergenceTime)
	w.loss = l.loss
	var f detectionFigures
	o := &randomOutages{endsAt: make(map[[2]int]time.Time)}
	before := w.messages
	observer := w.nodes[0]
	clear(observer.failedAt)
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
	for _, times := range observer.failedAt {
		f.falseRemovals += len(times)
	}
	f.measureKills(w)
	return f
}

// measureKills kills agents one after the other and measures the time until all balancers show each as failed.
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

// BenchmarkDetection compares the two strategies over links that lose heartbeats and links with temporary outages.
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
