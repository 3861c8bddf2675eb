package rollout

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowVersionIsNotCompletedOnWeakEvidence: a version that answers several times
// as slowly, of which only a part of the answers has shown it by the deadline.
func TestSlowVersionIsNotCompletedOnWeakEvidence(t *testing.T) {
	for _, test := range []struct{ newer, older Evidence }{
		{Evidence{Good: 51, Late: 11}, Evidence{Good: 1044, Late: 41}},
		{Evidence{Good: 59, Late: 17}, Evidence{Good: 638, Late: 41}},
		{Evidence{Good: 55, Late: 20}, Evidence{Good: 531, Late: 35}},
	} {
		t.Run(fmt.Sprintf("%d late of %d", test.newer.Late, test.newer.Total()), func(t *testing.T) {
			c := qt.New(t)
			v := View{OrderedAt: epoch, TimeLimit: 15 * time.Second, New: test.newer, Old: test.older}
			for _, left := range []time.Duration{verdictLead, 0, -5 * time.Second} {
				decision := Decide(epoch.Add(v.TimeLimit-left), v)
				c.Assert(decision.Verdict, qt.Not(qt.Equals), StateComplete)
				c.Assert(decision.Share <= trialShare, qt.IsTrue, qt.Commentf("%+v", decision))
			}
		})
	}
}

// TestVersionThatFailsOnOneRouteIsNotCompleted: half of the requests of one route
// fail, a tenth of all; by chance fewer than that have failed by the deadline.
func TestVersionThatFailsOnOneRouteIsNotCompleted(t *testing.T) {
	c := qt.New(t)
	for failed := int64(3); failed <= 8; failed++ {
		v := View{OrderedAt: epoch, TimeLimit: 15 * time.Second, New: Evidence{Good: 75 - failed, Failed: failed}, Old: Evidence{Good: 900}}
		decision := Decide(epoch.Add(v.TimeLimit-verdictLead), v)
		c.Assert(decision.Verdict, qt.Not(qt.Equals), StateComplete, qt.Commentf("%d failed", failed))
	}
}
