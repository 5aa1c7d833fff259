// Package rendezvous implements the score of weighted rendezvous hashing.
package rendezvous

import "math"

// Score returns weight / -ln(u) for a uniform u drawn from the flow and the candidate's seed. The candidate with the
// highest score takes the flow; a candidate takes flows in proportion to its weight.
func Score(flow, seed uint64, weight float64) float64 {
	const mantissaBits = 53
	sequence := Sequence{State: flow ^ seed}
	u := (float64(sequence.Next()>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return weight / -math.Log(u)
}

// Sequence is a SplitMix64 sequence of pseudo-random numbers.
type Sequence struct{ State uint64 }

// Next returns the next number of the sequence.
func (s *Sequence) Next() uint64 {
	s.State += 0x9e3779b97f4a7c15
	z := s.State
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
