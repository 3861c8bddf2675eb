package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func estimatedRate(rate float64, tokens int) float64 {
	var e speedEstimator
	for range 200 {
		prefill := time.Duration(float64(tokens) / rate * float64(time.Second))
		e.observe(tokens, 0, DefaultSpeed.PostPrefillLatency+prefill)
	}
	return e.speed().PrefillRate
}

// TestPrefillRateIsEstimated checks the estimate, less the safety factor, for
// slow and fast engines.
func TestPrefillRateIsEstimated(t *testing.T) {
	c := qt.New(t)
	for _, rate := range []float64{20_000, 68_000, 200_000} {
		got := estimatedRate(rate, 8000)
		c.Check(got > 0.8*safetyFactor*rate && got < 1.2*safetyFactor*rate, qt.IsTrue, qt.Commentf("%.0f of %.0f", got, rate))
	}
}

// TestShortPromptsAreIgnored checks that samples dominated by latency other
// than prefill do not change the estimate.
func TestShortPromptsAreIgnored(t *testing.T) {
	c := qt.New(t)
	c.Assert(estimatedRate(20_000, minSampleTokens-1), qt.Equals, DefaultSpeed.PrefillRate)
	var e speedEstimator
	e.observe(10_000, 0, time.Millisecond)
	c.Assert(e.speed().PrefillRate, qt.Equals, DefaultSpeed.PrefillRate)
}

func TestPrefillRateIsBounded(t *testing.T) {
	c := qt.New(t)
	c.Assert(estimatedRate(100, 8000), qt.Equals, float64(minRate))
	c.Assert(estimatedRate(1e9, 8000), qt.Equals, float64(maxRate))
}
