package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func learnt(rate float64, tokens int) float64 {
	var m speedMeter
	for range 200 {
		reading := time.Duration(float64(tokens) / rate * float64(time.Second))
		m.observe(tokens, 0, DefaultSpeed.FirstTime+reading)
	}
	return m.speed().PrefillRate
}

// TestSpeedIsLearnt: engines of any speed are known after some prompts, with
// the caution taken off.
func TestSpeedIsLearnt(t *testing.T) {
	c := qt.New(t)
	for _, rate := range []float64{20_000, 68_000, 200_000} {
		got := learnt(rate, 8000)
		c.Check(got > 0.8*caution*rate && got < 1.2*caution*rate, qt.IsTrue, qt.Commentf("%.0f of %.0f", got, rate))
	}
}

// TestShortPromptsSayNothing: their time is mostly not spent on reading.
func TestShortPromptsSayNothing(t *testing.T) {
	c := qt.New(t)
	c.Assert(learnt(20_000, leastSample-1), qt.Equals, DefaultSpeed.PrefillRate)
	var m speedMeter
	m.observe(10_000, 0, time.Millisecond)
	c.Assert(m.speed().PrefillRate, qt.Equals, DefaultSpeed.PrefillRate)
}

func TestSpeedIsBounded(t *testing.T) {
	c := qt.New(t)
	c.Assert(learnt(100, 8000), qt.Equals, float64(leastRate))
	c.Assert(learnt(1e9, 8000), qt.Equals, float64(mostRate))
}
