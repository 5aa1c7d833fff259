// Package rendezvous computes the scores of weighted rendezvous hashing, and the pseudo-random numbers that hashing needs.
package rendezvous

import "math"

// Score returns the score of a candidate for a flow: weight / -ln(u), where u is a uniform pseudo-random number in (0, 1) that
// follows from the hash of the flow and the seed of the candidate. The candidate with the highest score is chosen. Candidates
// are chosen in proportion to their weights.
func Score(flowHash, seed uint64, weight float64) float64 {
	// A float64 holds 53 bits exactly. The half keeps u from being zero.
	const mantissaBits = 53
	sequence := Sequence{State: flowHash ^ seed}
	u := (float64(sequence.Next()>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return weight / -math.Log(u)
}

// Sequence generates pseudo-random numbers with the SplitMix64 algorithm. State is its seed.
type Sequence struct{ State uint64 }

// Next returns the next number of the sequence.
func (s *Sequence) Next() uint64 {
	s.State += 0x9e3779b97f4a7c15
	z := s.State
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
