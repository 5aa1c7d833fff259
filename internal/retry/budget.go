// Package retry implements the budget that bounds the retries of idempotent requests.
package retry

import "sync"

// Budget allows retries as a share of the requests, so that retries never amplify an overload. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	limit  float64
	tokens float64
}

// NewBudget returns an empty budget that earns ratio retries for each request and saves at most limit of them.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit}
}

// Earn records a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// Spend reports whether a retry is allowed, and counts it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
