package average

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestMeanFollowsItsSamples(t *testing.T) {
	c := qt.New(t)
	d := Duration{Weight: 0.1}
	c.Assert(d.Value(), qt.Equals, time.Duration(0))
	d.Observe(time.Second)
	c.Assert(d.Value(), qt.Equals, time.Second)
	d.Observe(2 * time.Second)
	c.Assert(d.Value(), qt.Equals, 1100*time.Millisecond)
	for range 100 {
		d.Observe(3 * time.Second)
	}
	c.Assert((3*time.Second-d.Value()).Abs() < time.Millisecond, qt.IsTrue)
}
