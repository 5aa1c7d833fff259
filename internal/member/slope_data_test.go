package member

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// The numbers of targets and balancers for which the benchmarks measure the slopes: the growth of costs with the size of the
// deployment. The largest are those expected in two years.
var (
	targetSizes   = []int{1_000, 4_000, 16_000, 64_000, 120_000}
	balancerSizes = []int{100, 1_000, 4_000, 17_000}
)

const (
	zoneCount = 9
	// rackHosts is the number of targets that fail together with a rack.
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

func slopeObservation(observer int, subject Target, liveness Liveness, version uint64) Observation {
	return Observation{
		Observer: slopeBalancer(observer).Data, Subject: subject.Agent, Incarnation: subject.Incarnation,
		Liveness: liveness, Version: version,
	}
}

// slopeObservers returns the observers of target n: one in its zone and two in others.
func slopeObservers(n, balancers int) [observersPerAgent]int {
	first := n % balancers
	return [observersPerAgent]int{first, (first + 1) % balancers, (first + 2) % balancers}
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
					Liveness: Alive, Version: 2,
				})
			}
		}
	}
	return c
}

// slopeTargets returns the records of a range of targets and the observations of their observers.
func slopeTargets(from, to, balancers int) Changes {
	var c Changes
	for n := from; n < to; n++ {
		t := slopeTarget(n)
		c.Targets = append(c.Targets, t)
		for _, observer := range slopeObservers(n, balancers) {
			c.Observations = append(c.Observations, slopeObservation(observer, t, Alive, 2))
		}
	}
	return c
}

// slopeMachine returns a machine that knows the given numbers of targets and balancers and is connected to slopePeers of them.
func slopeMachine(targets, balancers int) *Machine {
	m := New(Settings{Self: slopeBalancer(0)})
	m.merge(slopeBalancers(balancers), 0)
	m.merge(slopeTargets(0, targets, balancers), 0)
	for n := range slopePeers {
		m.handlePeerConnected(epoch, slopeBalancer(1+n))
	}
	m.Step(epoch, Tick{})
	return m
}

// clearOutboxes discards the pending records and actions.
func (m *Machine) clearOutboxes() {
	for _, box := range m.outboxes {
		box.queue, box.pending = nil, make(map[recordID]struct{})
	}
	m.actions = nil
}

// encodedBytes returns the number of bytes of v on the wire.
func encodedBytes(b *testing.B, v any) float64 {
	b.Helper()
	raw, err := msgpack.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(raw))
}

// heapBytes returns the number of bytes of live objects on the heap.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
