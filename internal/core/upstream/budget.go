package upstream

import (
	"math/rand/v2"
	"time"
)

const (
	// retryRatio is the number of retries per request that a budget gains.
	retryRatio = 0.2
	// retryBurst bounds the retries that a budget accumulates, so that a service
	// with few requests can still retry.
	retryBurst  = 20
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// Budget is the retry budget of one service. It bounds the retries to a
// fraction of the requests.
type Budget struct {
	available float64
}

// NewBudget returns a budget of retryBurst retries.
func NewBudget() *Budget { return &Budget{available: retryBurst} }

// Request adds retryRatio to the budget for a request.
func (b *Budget) Request() { b.available = min(b.available+retryRatio, retryBurst) }

// Take takes one retry from the budget and reports whether one was available.
func (b *Budget) Take() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Backoff returns the back-off before retry number n, counted from 0, with
// random jitter.
func Backoff(rng *rand.Rand, n int) time.Duration {
	maxDelay := min(backoffBase<<min(n, 10), backoffMax)
	return maxDelay/2 + time.Duration(rng.Int64N(int64(maxDelay/2)))
}
