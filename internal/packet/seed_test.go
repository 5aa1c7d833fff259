package packet_test

import "flag"

// The seed of the property tests is fixed, so that every run generates the same cases.
var _ = flag.Set("rapid.seed", "1")
