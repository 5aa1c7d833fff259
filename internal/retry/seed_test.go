package retry

import "flag"

// The seed of the property tests is fixed, so that every run gives the same verdict.
var _ = flag.Set("rapid.seed", "1")

// The number of histories of each property test.
var _ = flag.Set("rapid.checks", "2000")
