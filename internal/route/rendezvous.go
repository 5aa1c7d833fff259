package route

import (
	"math"

	"gentianswitch/internal/rendezvous"
)

// Rendezvous is the strategy that scores every candidate for each flow. Its cost is linear in the candidates; it is the
// baseline for Slots.
type Rendezvous struct{}

var _ Strategy = Rendezvous{}

// Name implements Strategy.
func (Rendezvous) Name() string { return "rendezvous" }

func (Rendezvous) compile(candidates []candidate) chooser {
	return linearChooser(candidates)
}

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
