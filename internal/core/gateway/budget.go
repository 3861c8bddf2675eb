package gateway

import "time"

// budgetParts is how many parts of the retry window are counted apart.
const budgetParts = 10

// resendBudget bounds this node's resends to a service in a sliding window to
// its share of what all nodes may make.
type resendBudget struct {
	part     time.Duration
	current  int64
	requests [budgetParts]int
	resends  [budgetParts]int
}

func newResendBudget(window time.Duration) *resendBudget {
	return &resendBudget{part: window / budgetParts}
}

// advance clears the parts of the window that have passed.
func (b *resendBudget) advance(now time.Time) {
	part := now.UnixNano() / int64(b.part)
	if b.current == 0 {
		b.current = part
	}
	for n := 0; b.current < part && n < budgetParts; n++ {
		b.current++
		b.requests[b.current%budgetParts] = 0
		b.resends[b.current%budgetParts] = 0
	}
	b.current = part
}

// request counts a caller's request.
func (b *resendBudget) request(now time.Time) {
	b.advance(now)
	b.requests[b.current%budgetParts]++
}

// take counts a resend if the ratio of the requests and the slack allow it.
func (b *resendBudget) take(now time.Time, ratio, slack float64) bool {
	b.advance(now)
	requests := 0
	for _, n := range b.requests {
		requests += n
	}
	if float64(b.resent()+1) > ratio*float64(requests)+slack {
		return false
	}
	b.resends[b.current%budgetParts]++
	return true
}

// resent counts the resends in the window that ended with the last call.
func (b *resendBudget) resent() int {
	sum := 0
	for _, n := range b.resends {
		sum += n
	}
	return sum
}
