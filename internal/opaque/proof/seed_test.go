package proof

import "flag"

// The seed of the property tests is fixed, so that every run gives the same verdict. The faults that the test has found
// took up to 2,600 histories.
var (
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
)
