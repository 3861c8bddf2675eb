package gateway

import "time"

// budgetBuckets is the number of buckets of the retry window.
const budgetBuckets = 10

// retryBudget limits this node's retries to a service in a sliding window to
// its part of the retries allowed to all nodes.
type retryBudget struct {
	// bucket is the duration of a bucket, current the number of the latest one.
	bucket   time.Duration
	current  int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

func newRetryBudget(window time.Duration) *retryBudget {
	return &retryBudget{bucket: window / budgetBuckets}
}

// advance clears the buckets that have left the window.
func (b *retryBudget) advance(now time.Time) {
	bucket := now.UnixNano() / int64(b.bucket)
	if b.current == 0 {
		b.current = bucket
	}
	for n := 0; b.current < bucket && n < budgetBuckets; n++ {
		b.current++
		b.requests[b.current%budgetBuckets] = 0
		b.retries[b.current%budgetBuckets] = 0
	}
	b.current = bucket
}

// request counts a caller's request.
func (b *retryBudget) request(now time.Time) {
	b.advance(now)
	b.requests[b.current%budgetBuckets]++
}

// take counts a retry and returns true if the budget allows it. The budget is
// the ratio times the window's requests, plus the slack.
func (b *retryBudget) take(now time.Time, ratio, slack float64) bool {
	b.advance(now)
	requests := 0
	for _, n := range b.requests {
		requests += n
	}
	if float64(b.retryCount()+1) > ratio*float64(requests)+slack {
		return false
	}
	b.retries[b.current%budgetBuckets]++
	return true
}

// giveBack takes back the latest retry of the window.
func (b *retryBudget) giveBack() {
	for n := range int64(budgetBuckets) {
		bucket := &b.retries[((b.current-n)%budgetBuckets+budgetBuckets)%budgetBuckets]
		if *bucket > 0 {
			*bucket--
			return
		}
	}
}

// retryCount returns the number of retries in the window as of the last call of
// request or take.
func (b *retryBudget) retryCount() int {
	sum := 0
	for _, n := range b.retries {
		sum += n
	}
	return sum
}
