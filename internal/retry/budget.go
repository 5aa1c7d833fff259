// Package retry implements a retry budget for idempotent requests.
package retry

import "sync"

// Budget limits retries to a fraction of the requests, so that retries do not amplify an overload. It is safe for
// concurrent use.
type Budget struct {
	mu sync.Mutex
	// ratio is the number of tokens that each request adds. tokens is at most limit.
	ratio float64
	limit float64
	// tokens is the number of retries that are allowed now. It may have a fraction.
	tokens float64
}

// NewBudget returns a budget that starts empty, gains ratio retries with each request and accumulates at most limit
// retries.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit}
}

// RecordRequest records a request and adds its share to the budget.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// AllowRetry reports whether a retry is allowed and, if so, deducts it from the budget.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
