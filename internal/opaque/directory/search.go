package directory

import (
	"gentianswitch/internal/rendezvous"
)

const (
	// maxSearchRank is the number of leading candidates of an earlier order among which a flow may have been placed. It exceeds
	// maxPlacementRank, since balancers read the targets in pages that do not form a consistent snapshot.
	maxSearchRank = maxPlacementRank + maxPlacementRank/2
	// maxSilentSearchRank is the number of leading candidates of the current order among which agents that do not answer are
	// tried. It exceeds maxPlacementRank, since targets that have joined meanwhile move others back.
	maxSilentSearchRank = 2 * maxPlacementRank
	// maxRankedZones bounds the availability zones for which an order is kept during a search. Targets in further zones are
	// always tried, unless their agents are gone, or silent and rank low.
	maxRankedZones = 16
)

// searchOrder returns the first wanted candidates for a packet of a flow that may be open, and the number of all of them. The
// slice order is empty and provides the buffer of the result.
//
// The flow was placed by a balancer whose view of the targets, read at some revision of the store, held the flow's target. That
// view also held every target that had joined earlier and still exists. So a target cannot hold the flow when maxSearchRank
// targets that joined earlier are ahead of it in the order. Of n targets, this leaves maxSearchRank and a number that grows
// with the logarithm of n.
//
// The target of an agent that does not answer may hold the flow when it ranks high, so the search must include it. But a packet
// that is sent there is lost when the VM is gone. So silent agents that rank low, and agents that are gone, are left out.
func (p *pool) searchOrder(flowHash uint64, wanted int, order []rankedCandidate) ([]rankedCandidate, int) {
	total := 0
	// earlier holds, for the balancers of each zone, the highest scores of the targets that joined before the current one.
	var earlier [maxRankedZones]topScores
	for i := range p.candidates {
		c := &p.candidates[i]
		score := rendezvous.Score(flowHash, c.Seed, c.Slots)
		// The balancers of a target's own zone rank it higher than other balancers do. If it is too far down in their order, no
		// balancer has placed the flow there.
		mayHold := c.zoneIndex >= maxRankedZones || earlier[c.zoneIndex].admits(score*localZoneFactor)
		for zone := range min(len(p.zones), maxRankedZones) {
			earlier[zone].insert(score * zoneFactor(p.zones[zone], c.Zone))
		}
		if !mayHold || c.State == Gone || c.State != Reachable && !p.isHighRanked(c, flowHash) {
			continue
		}
		total++
		order = insertRanked(order, wanted, rankedCandidate{agent: c.Agent, score: score * c.Weight / c.Slots, tier: uint8(c.State)})
	}
	return order, total
}

// isHighRanked reports whether a candidate is among the first maxSilentSearchRank for the balancers of its own zone, which are
// those that rank it highest.
func (p *pool) isHighRanked(c *Candidate, flowHash uint64) bool {
	score := rendezvous.Score(flowHash, c.Seed, c.Slots*localZoneFactor)
	ahead := 0
	for i := range p.candidates {
		other := &p.candidates[i]
		if rendezvous.Score(flowHash, other.Seed, other.Slots*zoneFactor(c.Zone, other.Zone)) <= score {
			continue
		}
		if ahead++; ahead == maxSilentSearchRank {
			return false
		}
	}
	return true
}

// topScores holds the highest maxSearchRank scores of an order, in ascending order.
type topScores struct {
	scores [maxSearchRank]float64
	count  int
}

// admits reports whether a score is one of the highest.
func (s *topScores) admits(score float64) bool {
	return s.count < maxSearchRank || score > s.scores[0]
}

// insert adds a score, and drops the lowest one when there are more than maxSearchRank.
func (s *topScores) insert(score float64) {
	if s.count < maxSearchRank {
		at := s.count
		for ; at > 0 && s.scores[at-1] > score; at-- {
			s.scores[at] = s.scores[at-1]
		}
		s.scores[at] = score
		s.count++
		return
	}
	if score <= s.scores[0] {
		return
	}
	at := 0
	for ; at+1 < maxSearchRank && s.scores[at+1] < score; at++ {
		s.scores[at] = s.scores[at+1]
	}
	s.scores[at] = score
}
