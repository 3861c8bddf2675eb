package upstream

import (
	"math/rand/v2"
	"time"
)

const (
	// retryRatio is the number of retries that each request adds to a budget.
	retryRatio = 0.2
	// retryBurst bounds the retries that a budget accumulates, so that a service
	// with few requests can still retry.
	retryBurst = 20
	// backoffBase is the maximum delay before the first retry. It doubles with
	// each further retry, up to backoffMax.
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// RetryBudget is the retry budget of one service. It bounds the retries to a
// fraction of the requests.
type RetryBudget struct {
	available float64
}

// NewRetryBudget returns a budget of retryBurst retries.
func NewRetryBudget() *RetryBudget { return &RetryBudget{available: retryBurst} }

// Deposit adds retryRatio to the budget for a request.
func (b *RetryBudget) Deposit() { b.available = min(b.available+retryRatio, retryBurst) }

// TryWithdraw takes one retry from the budget and reports whether one was
// available.
func (b *RetryBudget) TryWithdraw() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Backoff returns the back-off before retry number n, counted from 0, with
// random jitter.
func Backoff(rng *rand.Rand, n int) time.Duration {
	// The limit on n prevents an overflow of the shift.
	maxDelay := min(backoffBase<<min(n, 10), backoffMax)
	return maxDelay/2 + time.Duration(rng.Int64N(int64(maxDelay/2)))
}
