package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkSlopeTargetState prints the memory of a target with its three observations.
func BenchmarkSlopeTargetState(b *testing.B) {
	for _, size := range targetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				m := slopeMachine(0, 100)
				before := heapBytes()
				m.merge(slopeTargets(0, size, 100), 0)
				m.Handle(epoch, Tick{})
				m.settleOutboxes()
				b.ReportMetric((heapBytes()-before)/float64(size), "B/target")
				runtime.KeepAlive(m)
			}
		})
	}
}

// BenchmarkSlopeBalancerState prints the memory of a balancer's record with its eight observations.
func BenchmarkSlopeBalancerState(b *testing.B) {
	for _, size := range balancerSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				m := slopeMachine(0, size)
				m.settleOutboxes()
				m.Balancers()
				b.ReportMetric((heapBytes()-before)/float64(size), "B/balancer")
				runtime.KeepAlive(m)
			}
		})
	}
}

// BenchmarkSlopeRestart prints what one restart of a target costs a balancer: the new record and its observations come
// from one peer and go to the others.
func BenchmarkSlopeRestart(b *testing.B) {
	for _, size := range targetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := slopeMachine(size, 100)
			m.settleOutboxes()
			var sent float64
			b.ResetTimer()
			for i := range b.N {
				c := slopeTargets(7, 8, 100)
				c.Targets[0].Incarnation += uint64(i + 1)
				for o := range c.Observations {
					c.Observations[o].Incarnation += uint64(i + 1)
					c.Observations[o].Version += uint64(i + 1)
				}
				m.Handle(epoch, Received{From: slopeBalancer(1).Data, Gossip: Gossip{Changes: c}})
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

// BenchmarkSlopeTick prints the cost of a tick in which nothing happens.
func BenchmarkSlopeTick(b *testing.B) {
	for i, size := range targetSizes {
		balancers := []int{100, 1_000, 4_000, 17_000, 17_000}[i]
		b.Run(fmt.Sprintf("%d/%d", size, balancers), func(b *testing.B) {
			m := slopeMachine(size, balancers)
			m.settleOutboxes()
			m.Handle(epoch, Tick{})
			now := epoch
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Microsecond)
				m.Handle(now, Tick{})
			}
		})
	}
}

// BenchmarkSlopeBalancerFailure prints the cost of the failure of one balancer: its observers' statements, the search
// of the live balancers and the view of every target.
func BenchmarkSlopeBalancerFailure(b *testing.B) {
	for i, size := range targetSizes {
		balancers := []int{100, 1_000, 4_000, 17_000, 17_000}[i]
		b.Run(fmt.Sprintf("%d/%d", size, balancers), func(b *testing.B) {
			m := slopeMachine(size, balancers)
			m.settleOutboxes()
			b.ResetTimer()
			for i := range b.N {
				for _, o := range m.balancers[idOf(slopeBalancer(98).Data)].observers {
					m.mergeObservation(Observation{
						Observer: o.observer.address(), Subject: slopeBalancer(98).Data, Incarnation: 1,
						Sight: []Sight{Lost, Seen}[i%2], Version: uint64(3 + i),
					}, 0)
				}
				m.Handle(epoch, Tick{})
			}
		})
	}
}

// BenchmarkSlopeDigest prints the bytes of one exchange of equal peers, and of one with a single record that differs.
func BenchmarkSlopeDigest(b *testing.B) {
	for _, size := range targetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				m := slopeMachine(size, 100)
				m.settleOutboxes()
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
				records := m.collect(box.take(1 << 20))
				total := encodedBytes(b, digest) + encodedBytes(b, groups) + 2*encodedBytes(b, Gossip{Changes: records})
				b.ReportMetric(total, "B/differing")
			}
		})
	}
}

// BenchmarkSlopeJoin prints the bytes and the time in which a new balancer takes everything from a peer.
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
				m.Handle(epoch, Tick{})
			}
			b.ReportMetric(sent, "B")
			b.ReportMetric(sent/float64(size+balancers), "B/member")
		})
	}
}

// BenchmarkSlopeRackFailure prints the bytes for one link and the time in which a rack is taken out.
func BenchmarkSlopeRackFailure(b *testing.B) {
	for _, size := range targetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := slopeMachine(size, 100)
			m.settleOutboxes()
			var sent float64
			b.ResetTimer()
			for i := range b.N {
				lost := rackLosses(size, uint64(3+i), []Sight{Lost, Seen}[i%2])
				m.Handle(epoch, Received{From: slopeBalancer(1).Data, Gossip: Gossip{Changes: lost}})
				m.actions = nil
				m.flush(epoch)
				if i == 0 {
					sent = encodedBytes(b, Gossip{Changes: lost})
				}
			}
			b.ReportMetric(sent, "B/link")
			b.ReportMetric(float64(homeCount*rackHosts), "records")
		})
	}
}

func rackLosses(size int, version uint64, sight Sight) Changes {
	var c Changes
	for n := range rackHosts {
		host := n * zoneCount % size
		for _, home := range homesOf(host, 100) {
			c.Observations = append(c.Observations, slopeObservation(home, slopeTarget(host), sight, version))
		}
	}
	return c
}

// BenchmarkSlopeZoneFailure prints the bytes for one link and the time in which a ninth of the targets and balancers is
// taken out by one report of each other balancer, in batches as they are received.
func BenchmarkSlopeZoneFailure(b *testing.B) {
	for i, size := range targetSizes {
		balancers := []int{100, 1_000, 4_000, 17_000, 17_000}[i]
		b.Run(fmt.Sprintf("%d/%d", size, balancers), func(b *testing.B) {
			var reports []ZoneReport
			for n := range balancers {
				if n%zoneCount != 5 {
					reports = append(reports, ZoneReport{
						Observer: slopeBalancer(n).Data, Zone: zoneOf(5), Sight: Lost, Version: 3,
					})
				}
			}
			for range b.N {
				b.StopTimer()
				m := slopeMachine(size, balancers)
				m.settleOutboxes()
				b.StartTimer()
				b.ReportMetric(float64(m.takeReports(reports)), "removed")
			}
			b.ReportMetric(encodedBytes(b, Gossip{Changes: Changes{Zones: reports}}), "B/link")
		})
	}
}

// takeReports receives the reports in batches, a tick after each, and returns the number of targets removed.
func (m *Machine) takeReports(reports []ZoneReport) int {
	removed := 0
	for len(reports) > 0 {
		n := min(len(reports), maxBatchRecords)
		m.Handle(epoch, Received{From: slopeBalancer(1).Data, Gossip: Gossip{Changes: Changes{Zones: reports[:n]}}})
		for _, a := range m.Handle(epoch, Tick{}) {
			if c, ok := a.(TargetChanged); ok && c.Target.State == Failed {
				removed++
			}
		}
		reports = reports[n:]
	}
	return removed
}

// BenchmarkSlopeHomes prints the cost of the choice of an agent's homes.
func BenchmarkSlopeHomes(b *testing.B) {
	for _, size := range balancerSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := slopeMachine(0, size)
			b.ResetTimer()
			for n := range b.N {
				m.homes(idOf(slopeTarget(n).Agent), zoneOf(n))
			}
		})
	}
}

// BenchmarkSlopeReturnTargets prints the cost of finding the agents that get heartbeats from this balancer, and how
// many they are.
func BenchmarkSlopeReturnTargets(b *testing.B) {
	for i, size := range targetSizes {
		balancers := []int{100, 1_000, 4_000, 17_000, 17_000}[i]
		b.Run(fmt.Sprintf("%d/%d", size, balancers), func(b *testing.B) {
			m := slopeMachine(size, balancers)
			b.ResetTimer()
			for range b.N {
				m.returns.generation = 0
				m.refreshReturns()
			}
			b.ReportMetric(float64(len(m.returns.agents)), "agents")
		})
	}
}

// BenchmarkSlopeHeartbeat prints the bytes of a heartbeat between balancers.
func BenchmarkSlopeHeartbeat(b *testing.B) {
	for range b.N {
		b.ReportMetric(encodedBytes(b, Gossip{}), "B")
	}
}
