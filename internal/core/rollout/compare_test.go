package rollout

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOddCountsAreCompared guards against a node that stops on counts which a peer reports:
// negative ones, and ones so high that sums overflow.
func TestOddCountsAreCompared(t *testing.T) {
	c := qt.New(t)
	var all []Evidence
	counts := []int64{0, 1, -1, -2, -3, 20, 1 << 40, math.MaxInt64, math.MinInt64}
	for _, good := range counts {
		for _, failed := range counts {
			for _, late := range counts {
				all = append(all, Evidence{Good: good, Failed: failed, Late: late})
			}
		}
	}
	for i, newer := range all {
		for j := i % 7; j < len(all); j += 7 {
			older := all[j]
			compared := Compare(newer, older)
			sound := compared.Worse >= 0 && compared.Worse <= 1 && compared.Sound >= 0 && compared.Sound <= 1
			c.Assert(sound, qt.IsTrue, qt.Commentf("%+v to %+v: %+v", newer, older, compared))
			decision := Decide(epoch, View{OrderedAt: epoch, TimeLimit: time.Second, New: newer, Old: older})
			c.Assert(decision.Share >= 0 && decision.Share <= 1, qt.IsTrue)
		}
	}
}

// TestSumsOfCountsStayInRange: counts of many nodes don't overflow, and a negative one takes
// nothing from those of other nodes.
func TestSumsOfCountsStayInRange(t *testing.T) {
	c := qt.New(t)
	sum := Evidence{Good: 5, Failed: 6, Late: 7}
	sum = sum.Plus(Evidence{Good: 1, Failed: -1, Late: math.MinInt64})
	c.Assert(sum, qt.Equals, Evidence{Good: 6, Failed: 6, Late: 7})
	for range 3 {
		sum = sum.Plus(Evidence{Good: math.MaxInt64, Failed: math.MaxInt64, Late: math.MaxInt64})
	}
	c.Assert(sum, qt.Equals, Evidence{Good: maxCount, Failed: maxCount, Late: maxCount})
}
