package route

import (
	"math"
	"math/bits"

	"gentianswitch/internal/rendezvous"
)

// Bounds of a slot table.
const (
	// slotsPerUnit keeps the table at most half full, so that a flow finds a target after a few probes.
	slotsPerAssignment = 2
	// maxProbes bounds the work for one flow. What is left after it takes the next claimed slot.
	maxProbes = 256
	// maxUnitMeans bounds the weight of a slot, in mean weights, and so the share of draws that are refused.
	maxUnitWeight = 4
)

// slot is claimed by one candidate, or empty when accept is 0.
type slot struct {
	candidate uint32
	// accept is the share of the flows on this slot that the candidate takes, scaled to 2^32-1.
	acceptShare uint32
}

// slotTable chooses a candidate by rejection sampling. Each candidate claims slots in proportion to its weight; a flow
// draws slots until one accepts it. The layout depends on the set of candidates alone, and a candidate that leaves
// gives up its own flows and few others.
type slotTable struct {
	slots []slot
	mask  uint64
}

// Slots is the strategy that chooses in constant time.
type Slots struct{}

var _ Strategy = Slots{}

// Name implements Strategy.
func (Slots) Name() string { return "slots" }

func (Slots) compile(candidates []candidate) chooser {
	unit := unitWeight(candidates)
	assigned := 0
	for i := range candidates {
		assigned += slotCount(candidates[i].weight, unit)
	}
	size := uint64(1) << bits.Len64(uint64(slotsPerAssignment*assigned-1))
	t := &slotTable{slots: make([]slot, size), mask: size - 1}
	for i := range candidates {
		t.assignSlots(uint32(i), candidates[i], unit)
	}
	return t
}

// unitWeight returns the weight of a slot that accepts every flow: the largest weight, rounded up to a power of two so
// that it seldom changes. Weights far above the mean take several slots.
func unitWeight(candidates []candidate) float64 {
	total, largest := 0.0, 0.0
	for i := range candidates {
		total += candidates[i].weight
		largest = math.Max(largest, candidates[i].weight)
	}
	mean := total / float64(len(candidates))
	return math.Exp2(math.Ceil(math.Log2(math.Min(largest, maxUnitWeight*mean))))
}

func slotCount(weight, unit float64) int {
	return int(math.Ceil(weight / unit))
}

// claim takes the first empty slots of the candidate's own sequence. Candidates claim in the order of their seeds, so
// that every balancer builds the same layout.
func (t *slotTable) assignSlots(candidateIndex uint32, c candidate, unit float64) {
	sequence := rendezvous.Sequence{State: c.seed}
	for remaining := c.weight; remaining > 0; remaining -= unit {
		index := sequence.Next() & t.mask
		for t.slots[index].acceptShare != 0 {
			index = sequence.Next() & t.mask
		}
		share := math.Min(remaining/unit, 1)
		t.slots[index] = slot{candidate: candidateIndex, acceptShare: uint32(math.Max(share*math.MaxUint32, 1))}
	}
}

func (t *slotTable) choose(flow uint64) int {
	sequence := rendezvous.Sequence{State: flow}
	index := uint64(0)
	for range maxProbes {
		draw := sequence.Next()
		index = draw & t.mask
		drawn := t.slots[index]
		if uint32(draw>>32) < drawn.acceptShare {
			return int(drawn.candidate)
		}
	}
	for t.slots[index].acceptShare == 0 {
		index = (index + 1) & t.mask
	}
	return int(t.slots[index].candidate)
}
