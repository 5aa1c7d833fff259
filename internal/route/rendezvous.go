package route

import "math"

// Rendezvous is the strategy that scores every candidate for each flow. Its cost is linear in the candidates; it is the
// baseline for Slots.
type Rendezvous struct{}

var _ Strategy = Rendezvous{}

// Name implements Strategy.
func (Rendezvous) Name() string { return "rendezvous" }

func (Rendezvous) compile(candidates []candidate) chooser {
	return rendezvous(candidates)
}

type rendezvous []candidate

func (r rendezvous) choose(flow uint64) int {
	best, top := 0, math.Inf(-1)
	for i := range r {
		if s := score(flow, r[i].seed, r[i].weight); s > top {
			best, top = i, s
		}
	}
	return best
}

// score is the weighted rendezvous score: weight / -ln(u) for a uniform u drawn from the flow and the seed.
func score(flow, seed uint64, weight float64) float64 {
	const mantissaBits = 53
	sequence := probes{state: flow ^ seed}
	u := (float64(sequence.next()>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return weight / -math.Log(u)
}
