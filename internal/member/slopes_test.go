package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkSlopeTargetState measures the memory per target with its three observations.
func BenchmarkSlopeTargetState(b *testing.B) {
	for _, size := range targetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				m := slopeMachine(0, 100)
				before := heapBytes()
				m.merge(slopeTargets(0, size, 100), 0)
				m.Step(epoch, Tick{})
				m.clearOutboxes()
				b.ReportMetric((heapBytes()-before)/float64(size), "B/target")
				runtime.KeepAlive(m)
			}
		})
	}
}

// BenchmarkSlopeBalancerState measures the memory per balancer record with its eight observations.
func BenchmarkSlopeBalancerState(b *testing.B) {
	for _, size := range balancerSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				m := slopeMachine(0, size)
				m.clearOutboxes()
				m.LiveBalancers()
				b.ReportMetric((heapBytes()-before)/float64(size), "B/balancer")
				runtime.KeepAlive(m)
			}
		})
	}
}

// BenchmarkSlopeRestart measures the cost to a balancer of a target's restart: it receives the new record and its observations
// from one peer and sends them to the others.
func BenchmarkSlopeRestart(b *testing.B) {
	for _, size := range targetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := slopeMachine(size, 100)
			m.clearOutboxes()
			var sent float64
			b.ResetTimer()
			for i := range b.N {
				c := slopeTargets(7, 8, 100)
				c.Targets[0].Incarnation += uint64(i + 1)
				for o := range c.Observations {
					c.Observations[o].Incarnation += uint64(i + 1)
					c.Observations[o].Version += uint64(i + 1)
				}
				m.Step(epoch, GossipReceived{From: slopeBalancer(1).Data, Gossip: Gossip{Changes: c}})
				m.actions = nil
				m.flush(epoch)
				if i == 0 {
					sent = encodedBytes(b, Gossip{Changes: c})
				}
			}
			b.ReportMetric(sent, "B/link")
		})
	}
}

// BenchmarkSlopeTick measures the cost of a tick without changes.
func BenchmarkSlopeTick(b *testing.B) {
	for i, size := range targetSizes {
		balancers := []int{100, 1_000, 4_000, 17_000, 17_000}[i]
		b.Run(fmt.Sprintf("%d/%d", size, balancers), func(b *testing.B) {
			m := slopeMachine(size, balancers)
			m.clearOutboxes()
			m.Step(epoch, Tick{})
			now := epoch
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Microsecond)
				m.Step(now, Tick{})
			}
		})
	}
}

// BenchmarkSlopeBalancerFailure measures the cost of the failure of one balancer: merging its observers' observations,
// searching for the live balancers and updating the views of the targets that it observed.
func BenchmarkSlopeBalancerFailure(b *testing.B) {
	for i, size := range targetSizes {
		balancers := []int{100, 1_000, 4_000, 17_000, 17_000}[i]
		b.Run(fmt.Sprintf("%d/%d", size, balancers), func(b *testing.B) {
			m := slopeMachine(size, balancers)
			m.clearOutboxes()
			b.ResetTimer()
			for i := range b.N {
				for _, o := range m.balancers[idOf(slopeBalancer(98).Data)].observations {
					m.mergeObservation(Observation{
						Observer: o.observer.address(), Subject: slopeBalancer(98).Data, Incarnation: 1,
						Liveness: []Liveness{Lost, Alive}[i%2], Version: uint64(3 + i),
					}, 0)
				}
				m.Step(epoch, Tick{})
			}
		})
	}
}

// BenchmarkSlopeDigest measures the bytes of an anti-entropy exchange, with equal peers and with one record that differs.
func BenchmarkSlopeDigest(b *testing.B) {
	for _, size := range targetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				m := slopeMachine(size, 100)
				m.clearOutboxes()
				m.sendDigestTo(epoch, idOf(slopeBalancer(1).Data))
				digest := m.actions[0].(Send).Gossip
				b.ReportMetric(encodedBytes(b, digest), "B/equal")
				digest.Digest[3]++
				m.actions = nil
				m.answerDigest(idOf(slopeBalancer(1).Data), digest.Digest)
				groups := m.actions[0].(Send).Gossip
				groups.Groups[0].Buckets[5]++
				box := m.outboxes[idOf(slopeBalancer(1).Data)]
				m.answerGroups(idOf(slopeBalancer(1).Data), box, groups.Groups)
				records := m.collectRecords(box.dequeue(1 << 20))
				total := encodedBytes(b, digest) + encodedBytes(b, groups) + 2*encodedBytes(b, Gossip{Changes: records})
				b.ReportMetric(total, "B/differing")
			}
		})
	}
}

// BenchmarkSlopeJoin measures the bytes that a new balancer receives to learn all records, and the time to merge them.
func BenchmarkSlopeJoin(b *testing.B) {
	for i, size := range targetSizes {
		balancers := []int{100, 1_000, 4_000, 17_000, 17_000}[i]
		b.Run(fmt.Sprintf("%d/%d", size, balancers), func(b *testing.B) {
			members, targets := slopeBalancers(balancers), slopeTargets(0, size, balancers)
			sent := encodedBytes(b, Gossip{Changes: members}) + encodedBytes(b, Gossip{Changes: targets})
			b.ResetTimer()
			for range b.N {
				m := New(Settings{Self: slopeBalancer(0)})
				m.merge(members, 0)
				m.merge(targets, 0)
				m.Step(epoch, Tick{})
			}
			b.ReportMetric(sent, "B")
			b.ReportMetric(sent/float64(size+balancers), "B/member")
		})
	}
}

// BenchmarkSlopeRackFailure measures the bytes per link and the time to process the failure of all targets in a rack.
func BenchmarkSlopeRackFailure(b *testing.B) {
	for _, size := range targetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := slopeMachine(size, 100)
			m.clearOutboxes()
			var sent float64
			b.ResetTimer()
			for i := range b.N {
				lost := rackLosses(size, uint64(3+i), []Liveness{Lost, Alive}[i%2])
				m.Step(epoch, GossipReceived{From: slopeBalancer(1).Data, Gossip: Gossip{Changes: lost}})
				m.actions = nil
				m.flush(epoch)
				if i == 0 {
					sent = encodedBytes(b, Gossip{Changes: lost})
				}
			}
			b.ReportMetric(sent, "B/link")
			b.ReportMetric(float64(observersPerAgent*rackHosts), "records")
		})
	}
}

// rackLosses returns the observations of a rack's targets by their observers.
func rackLosses(size int, version uint64, liveness Liveness) Changes {
	var c Changes
	for n := range rackHosts {
		host := n * zoneCount % size
		for _, observer := range slopeObservers(host, 100) {
			c.Observations = append(c.Observations, slopeObservation(observer, slopeTarget(host), liveness, version))
		}
	}
	return c
}

// BenchmarkSlopeZoneFailure measures the bytes per link and the time to process the failure of a zone with a ninth of the
// targets and balancers. Each balancer of the other zones sends one zone report; the reports arrive in batches.
func BenchmarkSlopeZoneFailure(b *testing.B) {
	for i, size := range targetSizes {
		balancers := []int{100, 1_000, 4_000, 17_000, 17_000}[i]
		b.Run(fmt.Sprintf("%d/%d", size, balancers), func(b *testing.B) {
			var reports []ZoneReport
			for n := range balancers {
				if n%zoneCount != 5 {
					reports = append(reports, ZoneReport{
						Observer: slopeBalancer(n).Data, Zone: zoneOf(5), Liveness: Lost, Version: 3,
					})
				}
			}
			for range b.N {
				b.StopTimer()
				m := slopeMachine(size, balancers)
				m.clearOutboxes()
				b.StartTimer()
				b.ReportMetric(float64(m.receiveReports(reports)), "removed")
			}
			b.ReportMetric(encodedBytes(b, Gossip{Changes: Changes{ZoneReports: reports}}), "B/link")
		})
	}
}

// receiveReports handles the reports in batches with a tick after each. It returns the number of targets that failed.
func (m *Machine) receiveReports(reports []ZoneReport) int {
	failed := 0
	for len(reports) > 0 {
		n := min(len(reports), maxBatchRecords)
		m.Step(epoch, GossipReceived{From: slopeBalancer(1).Data, Gossip: Gossip{Changes: Changes{ZoneReports: reports[:n]}}})
		for _, a := range m.Step(epoch, Tick{}) {
			if c, ok := a.(TargetChanged); ok && c.Target.State == Failed {
				failed++
			}
		}
		reports = reports[n:]
	}
	return failed
}

// BenchmarkSlopeObservers measures the cost of assigning an agent's observers.
func BenchmarkSlopeObservers(b *testing.B) {
	for _, size := range balancerSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := slopeMachine(0, size)
			b.ResetTimer()
			for n := range b.N {
				m.assignObservers(idOf(slopeTarget(n).Agent), zoneOf(n))
			}
		})
	}
}

// BenchmarkSlopeReturnTargets measures the cost of computing the heartbeat recipients of a balancer, and counts them.
func BenchmarkSlopeReturnTargets(b *testing.B) {
	for i, size := range targetSizes {
		balancers := []int{100, 1_000, 4_000, 17_000, 17_000}[i]
		b.Run(fmt.Sprintf("%d/%d", size, balancers), func(b *testing.B) {
			m := slopeMachine(size, balancers)
			b.ResetTimer()
			for range b.N {
				m.recipients.generation = 0
				m.refreshRecipients()
			}
			b.ReportMetric(float64(len(m.recipients.agents)), "agents")
		})
	}
}

// BenchmarkSlopeHeartbeat measures the bytes of a heartbeat between balancers.
func BenchmarkSlopeHeartbeat(b *testing.B) {
	for range b.N {
		b.ReportMetric(encodedBytes(b, Gossip{}), "B")
	}
}
