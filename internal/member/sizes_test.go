package member

import (
	"fmt"
	"runtime"
	"testing"

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
