package route_test

import "flag"

// The seed of the property tests is fixed, so that every run gives the same result.
var _ = flag.Set("rapid.seed", "1")
