package route

import (
	"math"

	"gentianswitch/internal/rendezvous"
)

// Rendezvous is the strategy of plain weighted rendezvous hashing: it computes the score of every candidate for each flow. Its
// cost is linear in the number of candidates. It is the baseline that Slots is compared with.
type Rendezvous struct{}

var _ Strategy = Rendezvous{}

// Name implements Strategy.
func (Rendezvous) Name() string { return "rendezvous" }

func (Rendezvous) compile(candidates []candidate) chooser {
	return linearChooser(candidates)
}

// linearChooser chooses the candidate with the highest score.
type linearChooser []candidate

func (r linearChooser) choose(flow uint64) int {
	best, bestScore := 0, math.Inf(-1)
	for i := range r {
		if score := rendezvous.Score(flow, r[i].seed, r[i].weight); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
