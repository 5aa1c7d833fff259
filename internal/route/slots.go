package route

import (
	"math"
	"math/bits"

	"gentianswitch/internal/rendezvous"
)

// Parameters of a slot table. Its slots are entries of a hash table, not the slots of a target for concurrent requests.
const (
	// slotsPerAssignment is the minimum number of slots for each assigned slot. The table is at most half full, so that a flow
	// finds a candidate after a few probes.
	slotsPerAssignment = 2
	// maxProbes bounds the number of slots drawn for one flow. A flow that none has accepted takes the next assigned slot.
	maxProbes = 256
	// maxUnitWeight bounds the weight of a slot before it is rounded, in multiples of the candidates' mean weight. With heavier
	// slots, more draws would be rejected.
	maxUnitWeight = 4
)

// slot is an entry of a slot table. It is assigned to one candidate, or empty when acceptShare is 0.
type slot struct {
	// candidate is the index of the candidate.
	candidate uint32
	// acceptShare is the share of the flows drawn to this slot that the candidate accepts, scaled to 2^32-1.
	acceptShare uint32
}

// slotTable chooses a candidate by rejection sampling. Each candidate is assigned slots in proportion to its weight, and a flow
// draws slots until one accepts it. The layout depends only on the set of candidates. The removal of a candidate moves its own
// flows and few others.
type slotTable struct {
	slots []slot
	// mask is the number of slots, a power of two, less 1.
	mask uint64
}

// SlotHashing is the strategy that chooses a candidate in constant time, with a slot table.
type SlotHashing struct{}

var _ Strategy = SlotHashing{}

// Name implements Strategy.
func (SlotHashing) Name() string { return "slots" }

func (SlotHashing) compile(candidates []candidate) chooser {
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

// unitWeight returns the weight of a slot that accepts every flow: the largest weight of a candidate, but at most maxUnitWeight
// times the mean. It is rounded up to a power of two, so that it rarely changes. Candidates with a higher weight get several
// slots.
func unitWeight(candidates []candidate) float64 {
	total, largest := 0.0, 0.0
	for i := range candidates {
		total += candidates[i].weight
		largest = math.Max(largest, candidates[i].weight)
	}
	mean := total / float64(len(candidates))
	return math.Exp2(math.Ceil(math.Log2(math.Min(largest, maxUnitWeight*mean))))
}

// slotCount returns the number of slots for a candidate.
func slotCount(weight, unit float64) int {
	return int(math.Ceil(weight / unit))
}

// assignSlots assigns to a candidate the first empty slots in the pseudorandom sequence of its seed. It must be called in the
// order of the seeds, so that every balancer builds the same layout. When the weight is not a multiple of unit,
// the last slot of the candidate accepts only a share of the flows drawn to it.
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
