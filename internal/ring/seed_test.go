package ring_test

import "flag"

// The property tests use a fixed seed, so that every run has the same result.
var _ = flag.Set("rapid.seed", "1")
