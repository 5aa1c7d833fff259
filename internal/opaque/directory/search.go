package directory

import (
	"gentianswitch/internal/rendezvous"
)

const (
	// searchedAmong is the number of first places of an order among which a flow may have been placed. It is above
	// placedAmong, since balancers read the targets in pages that are no snapshot.
	searchedAmong = placedAmong + placedAmong/2
	// searchedSilent is the number of first places of today's order among which a flow is looked for at agents that do not
	// answer. It is above placedAmong, since targets that are added move others back.
	searchedSilent = 2 * placedAmong
	// maxRankedZones bounds the availability zones whose orders are compared. Targets in further ones are always asked.
	maxRankedZones = 16
)

// search returns the first wanted candidates for a packet of a flow that may be open, and how many there are in all.
//
// A flow was placed by some balancer when its view ended at some revision of the store. The candidates ahead of its target
// in that order that are still there had joined before; so a target that has searchedAmong earlier ones ahead of it cannot
// hold the flow. Of all targets this leaves searchedAmong and a number that rises with the logarithm of theirs.
//
// An agent that does not answer may hold the flow when it is near: its silence must not end the walk. A packet sent there is
// lost when its VM is gone, so that those which are far down today's order, and those known to be gone, are left out.
func (p *pool) search(flow uint64, wanted int, order []scored) ([]scored, int) {
	total := 0
	var earlier [maxRankedZones]leaders
	for i := range p.candidates {
		c := &p.candidates[i]
		score := rendezvous.Score(flow, c.Seed, c.Slots)
		mayHold := c.zone >= maxRankedZones || earlier[c.zone].admits(score*localPreference)
		for zone := range min(len(p.zones), maxRankedZones) {
			earlier[zone].add(score * preference(p.zones[zone], c.Zone))
		}
		if !mayHold || c.State == Gone || c.State != Reachable && !p.isNear(c, flow) {
			continue
		}
		total++
		order = insert(order, wanted, scored{agent: c.Agent, score: score * c.Weight / c.Slots, tier: uint8(c.State)})
	}
	return order, total
}

// isNear reports whether a candidate is among the first searchedSilent for the balancers of its own zone, where it stands
// before its places for others.
func (p *pool) isNear(c *Candidate, flow uint64) bool {
	score := rendezvous.Score(flow, c.Seed, c.Slots*localPreference)
	ahead := 0
	for i := range p.candidates {
		other := &p.candidates[i]
		if rendezvous.Score(flow, other.Seed, other.Slots*preference(c.Zone, other.Zone)) <= score {
			continue
		}
		if ahead++; ahead == searchedSilent {
			return false
		}
	}
	return true
}

// leaders holds the highest scores of an order, the lowest of them first.
type leaders struct {
	scores [searchedAmong]float64
	count  int
}

// admits reports whether a score is among the first of the order.
func (l *leaders) admits(score float64) bool {
	return l.count < searchedAmong || score > l.scores[0]
}

// add puts a score into the order.
func (l *leaders) add(score float64) {
	if l.count < searchedAmong {
		at := l.count
		for ; at > 0 && l.scores[at-1] > score; at-- {
			l.scores[at] = l.scores[at-1]
		}
		l.scores[at] = score
		l.count++
		return
	}
	if score <= l.scores[0] {
		return
	}
	at := 0
	for ; at+1 < searchedAmong && l.scores[at+1] < score; at++ {
		l.scores[at] = l.scores[at+1]
	}
	l.scores[at] = score
}
