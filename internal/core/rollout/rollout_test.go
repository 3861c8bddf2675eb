package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// simulate simulates the rollout of a service with 1,000 answers per 100 ms. The
// function bad returns the percentage of failed answers of the new version at a
// time since the order. simulate returns the verdict, its time and the new
// version's share of all answers.
func simulate(within time.Duration, oldBad int64, bad func(time.Duration) int64) (State, time.Duration, float64) {
	v := View{OrderedAt: epoch, TimeLimit: within}
	for passed := time.Duration(0); passed <= within; passed += 100 * time.Millisecond {
		decision := Decide(epoch.Add(passed), v)
		if decision.Verdict != "" {
			return decision.Verdict, passed, exposure(v)
		}
		newAnswers := int64(decision.Share * 1000)
		b := bad(passed)
		v.New.Failed += newAnswers * b / 100
		v.New.Good += newAnswers * (100 - b) / 100
		v.Old.Failed += (1000 - newAnswers) * oldBad / 100
		v.Old.Good += (1000 - newAnswers) * (100 - oldBad) / 100
	}
	return "", within, exposure(v)
}

func TestGoodVersionIsCompleteInTime(t *testing.T) {
	c := qt.New(t)
	for _, within := range []time.Duration{8 * time.Second, 12 * time.Second, 60 * time.Second} {
		for _, bad := range []int64{0, 5, 14} {
			verdict, at, _ := simulate(within, bad, func(time.Duration) int64 { return bad })
			c.Assert(verdict, qt.Equals, StateComplete)
			c.Assert(at < within, qt.IsTrue)
		}
	}
}

func TestBadVersionIsReverted(t *testing.T) {
	c := qt.New(t)
	verdict, at, share := simulate(12*time.Second, 5, func(time.Duration) int64 { return 40 })
	c.Assert(verdict, qt.Equals, StateReverted)
	c.Assert(at < 2*time.Second, qt.IsTrue)
	c.Assert(share < 0.1, qt.IsTrue)
}

// TestVersionTurningBadGetsLittleTraffic checks the total share of a version
// that turns bad late: requests that it got before count as well.
func TestVersionTurningBadGetsLittleTraffic(t *testing.T) {
	c := qt.New(t)
	verdict, _, share := simulate(12*time.Second, 0, func(passed time.Duration) int64 {
		if passed < 8*time.Second {
			return 0
		}
		return 90
	})
	c.Assert(verdict, qt.Equals, StateReverted)
	c.Assert(share < 0.1, qt.IsTrue, qt.Commentf("%v", share))
}

func isWorse(newer, older Evidence) bool { return Compare(newer, older).IsWorse() }

func TestFewBadAnswersAreNotEnough(t *testing.T) {
	c := qt.New(t)
	c.Assert(isWorse(Evidence{Good: 1, Failed: 3}, Evidence{Good: 100}), qt.IsFalse)
	c.Assert(isWorse(Evidence{Good: 10, Failed: 4}, Evidence{Good: 100}), qt.IsTrue)
	c.Assert(isWorse(Evidence{Good: 90, Failed: 14}, Evidence{Good: 90, Failed: 14}), qt.IsFalse)
}

// TestFailuresAreDetectedDespiteLateAnswers replays a rollout during a shortage
// of upstreams: a fifth of the old version's answers are late, and the new
// version fails a third of its latest requests.
func TestFailuresAreDetectedDespiteLateAnswers(t *testing.T) {
	c := qt.New(t)
	older := Evidence{Good: 3255, Failed: 60, Late: 749}
	c.Assert(isWorse(Evidence{Good: 541, Failed: 60, Late: 13}, older), qt.IsTrue)
	c.Assert(isWorse(Evidence{Good: 541, Failed: 8, Late: 120}, older), qt.IsFalse)
}

func TestSlowVersionIsClearlyWorse(t *testing.T) {
	c := qt.New(t)
	c.Assert(isWorse(Evidence{Good: 20, Late: 20}, Evidence{Good: 500, Late: 20}), qt.IsTrue)
}

// TestNoVersionCompletesWithoutEvidence guards against completing the rollout of
// a bad version without any answer. It happened when all nodes restarted, and
// so lost their counts, just before the deadline.
func TestNoVersionCompletesWithoutEvidence(t *testing.T) {
	c := qt.New(t)
	v := View{OrderedAt: epoch, TimeLimit: 12 * time.Second, Old: Evidence{Good: 300}}
	for _, passed := range []time.Duration{11 * time.Second, 13 * time.Second} {
		c.Assert(Decide(epoch.Add(passed), v), qt.Equals, Decision{Share: unprovenShare})
	}
	// Twenty good answers don't rule out that one in ten fails; forty do.
	v.New.Good = minAnswers
	decision := Decide(epoch.Add(14*time.Second), v)
	c.Assert(decision, qt.Equals, Decision{Share: unprovenShare})
	v.New.Good = 2 * minAnswers
	decision = Decide(epoch.Add(14*time.Second), v)
	c.Assert(decision.Verdict, qt.Equals, StateComplete)
	v.New.Failed = minAnswers
	decision = Decide(epoch.Add(14*time.Second), v)
	c.Assert(decision.Verdict, qt.Equals, StateReverted)
}

// TestLowTrafficCompletesInTime checks that the rollout of a good version of a
// plain service with 21 requests per second is complete within its 14 seconds.
func TestLowTrafficCompletesInTime(t *testing.T) {
	c := qt.New(t)
	const rate = 21.0
	v := View{OrderedAt: epoch, TimeLimit: 14 * time.Second}
	newer, older := 0.0, 0.0
	for passed := time.Duration(0); passed < v.TimeLimit; passed += 100 * time.Millisecond {
		decision := Decide(epoch.Add(passed), v)
		if decision.Verdict != "" {
			c.Assert(decision.Verdict, qt.Equals, StateComplete)
			return
		}
		newer += decision.Share * rate / 10
		older += (1 - decision.Share) * rate / 10
		v.New.Good, v.Old.Good = int64(newer), int64(older)
	}
	c.Fatal("no verdict in time")
}
