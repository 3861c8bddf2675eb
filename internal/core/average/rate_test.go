package average

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRateFollowsWhatIsAdded(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	r := Rate{Decay: time.Second}
	c.Assert(r.PerSecond(now), qt.Equals, 0.0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r.Add(now, 5)
	}
	// 50 a second; the latest units count whole.
	c.Assert(r.PerSecond(now) > 49 && r.PerSecond(now) < 56, qt.IsTrue, qt.Commentf("%v", r.PerSecond(now)))
	c.Assert(r.PerSecond(now.Add(20*time.Second)) < 0.001, qt.IsTrue)
}
