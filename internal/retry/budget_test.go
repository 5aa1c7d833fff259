package retry

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRetriesStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(0.1, 10)
		requests, retries := 0, 0
		for _, isRetry := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "history") {
			if !isRetry {
				b.RecordRequest()
				requests++
			} else if b.AllowRetry() {
				retries++
			}
			if float64(retries) > 0.1*float64(requests)+1e-6 {
				t.Fatalf("%d retries of %d requests", retries, requests)
			}
		}
	})
}
