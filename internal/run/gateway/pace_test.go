package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPaceOfAttempt(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(100, 0)
	c.Assert(attemptPace{events: 1, first: start, last: start}.interval(), qt.Equals, time.Duration(0))
	c.Assert(attemptPace{events: 5, first: start, last: start.Add(80 * time.Millisecond)}.interval(), qt.Equals, 20*time.Millisecond)
}
