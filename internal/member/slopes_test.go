package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Sizes over which the slopes are measured, up to the two-year size.
var (
	targetSizes   = []int{1_000, 4_000, 16_000, 64_000, 120_000}
	balancerSizes = []int{100, 1_000, 4_000, 17_000}
)

const (
	zoneCount = 9
	rackHosts = 40
	// slopePeers is the number of connections of a balancer in the overlay, in both directions.
	slopePeers = 2 * (2 + remoteNeighbours)
)

func zoneOf(n int) string { return fmt.Sprintf("zone-%d", n%zoneCount) }

func slopeAddress(block, n int) (a [4]byte) {
	return [4]byte{byte(block), byte(n >> 16), byte(n >> 8), byte(n)}
}

func slopeBalancer(n int) Balancer {
	data := id(uint64(slopeAddress(1, n)[0])<<40 | uint64(n)<<16 | 4400).address()
	control := id(uint64(slopeAddress(1, n)[0])<<40 | uint64(n)<<16 | 4401).address()
	return Balancer{Data: data, Control: control, Zone: zoneOf(n), Incarnation: 1, State: Ready}
}

func slopeTarget(n int) Target {
	agent := id(uint64(2)<<40 | uint64(n)<<16 | 4400).address()
	return Target{
		Agent: agent, Control: id(uint64(2)<<40 | uint64(n)<<16 | 4401).address(), Service: uint16(1 + n%1000),
		Zone: zoneOf(n), Slots: 5, Incarnation: uint64(epoch.UnixMicro()), Sequence: 2, State: Ready,
	}
}

func slopeObservation(observer int, subject Target, sight Sight, version uint64) Observation {
	return Observation{
		Observer: slopeBalancer(observer).Data, Subject: subject.Agent, Incarnation: subject.Incarnation,
		Sight: sight, Version: version,
	}
}

// homesOf returns the homes of target n: one in its zone and two in others.
func homesOf(n, balancers int) [homeCount]int {
	first := n % balancers
	return [homeCount]int{first, (first + 1) % balancers, (first + 2) % balancers}
}

// slopeBalancers returns the records of the balancers and their observations of each other.
func slopeBalancers(count int) Changes {
	var c Changes
	for n := range count {
		c.Balancers = append(c.Balancers, slopeBalancer(n))
	}
	for n := range count {
		for _, step := range []int{1, 7, 31, 63} {
			for _, observer := range []int{(n + step) % count, (n - step + count) % count} {
				c.Observations = append(c.Observations, Observation{
					Observer: slopeBalancer(observer).Data, Subject: slopeBalancer(n).Data, Incarnation: 1,
					Sight: Seen, Version: 2,
				})
			}
		}
	}
	return c
}

func slopeTargets(from, to, balancers int) Changes {
	var c Changes
	for n := from; n < to; n++ {
		t := slopeTarget(n)
		c.Targets = append(c.Targets, t)
		for _, home := range homesOf(n, balancers) {
			c.Observations = append(c.Observations, slopeObservation(home, t, Seen, 2))
		}
	}
	return c
}

// slopeMachine returns a machine that knows the given numbers of targets and balancers.
func slopeMachine(targets, balancers int) *Machine {
	m := New(Settings{Self: slopeBalancer(0)})
	m.merge(slopeBalancers(balancers), 0)
	m.merge(slopeTargets(0, targets, balancers), 0)
	for n := range slopePeers {
		m.peerJoined(epoch, slopeBalancer(1+n))
	}
	m.Handle(epoch, Tick{})
	return m
}

// settleOutboxes empties what waits for the peers.
func (m *Machine) settleOutboxes() {
	for _, box := range m.outboxes {
		box.queue, box.waiting = nil, make(map[recordID]struct{})
	}
	m.actions = nil
}

func encodedBytes(b *testing.B, v any) float64 {
	b.Helper()
	raw, err := msgpack.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(raw))
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

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
