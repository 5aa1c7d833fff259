package proof

import (
	"flag"
	"strconv"
	"testing"
)

// The seed of the property tests is fixed, so that every run gives the same result. The faults that the tests have found so far
// took up to 2,600 histories.
var (
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", strconv.Itoa(histories))
)

const (
	// histories is the number of histories for which a property is checked.
	histories = 3000
	// manyTargetsHistories is the number for the property with many targets, whose histories take ten times as long.
	manyTargetsHistories = 400
	// frequentFaultHistories is the number for properties whose faults take few histories to find.
	frequentFaultHistories = 1000
)

// setHistoryCount sets the number of histories for one test.
func setHistoryCount(t *testing.T, count int) {
	t.Helper()
	set := func(count int) {
		if err := flag.Set("rapid.checks", strconv.Itoa(count)); err != nil {
			t.Fatal(err)
		}
	}
	set(count)
	t.Cleanup(func() { set(histories) })
}
