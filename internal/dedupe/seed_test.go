package dedupe

import "flag"

// The seed of the property tests is fixed, so that every run generates the same cases.
var _ = flag.Set("rapid.seed", "1")

// The number of generated cases per property test.
var _ = flag.Set("rapid.checks", "2000")
