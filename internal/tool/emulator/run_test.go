package emulator

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/gateway"
)

// maxPriorityInversion bounds how far the InTimeFraction of a more urgent kind of
// request may be below that of a less urgent one, by the users' rules.
const maxPriorityInversion = 0.05

// starvationRatio is the ratio to the InTimeFraction of all requests below which
// a kind or team counts as starved, by the users' rules.
const starvationRatio = 0.25

// maxRefusalDelay bounds the time to a refusal as a fraction of the latency goal:
// half of the goal, plus one tick of 100 ms as a fraction of 500 ms, the shortest
// goal of requests to engines.
const maxRefusalDelay = 0.5 + 0.2

func runDefault(p Pattern) *Report { return Run(DefaultSetup(1), p) }

// TestSameSeedSameReport checks that a run can be reproduced from its seed.
func TestSameSeedSameReport(t *testing.T) {
	for _, p := range []Pattern{EagerRetries(), EngineCrash(), Restart()} {
		t.Run(p.Name, func(t *testing.T) {
			c := qt.New(t)
			a, b := runDefault(p), runDefault(p)
			c.Assert(a.Total(), qt.DeepEquals, b.Total())
			c.Assert(reflect.DeepEqual(a.Seconds, b.Seconds), qt.IsTrue)
		})
	}
}

// TestNoRefusalsWithinCapacity checks that a load within the engines' capacity is
// served in time.
func TestNoRefusalsWithinCapacity(t *testing.T) {
	for _, p := range []Pattern{Steady(), HotPrefix(), Shift()} {
		t.Run(p.Name, func(t *testing.T) {
			c := qt.New(t)
			r := runDefault(p)
			total := r.Total()
			c.Check(total.Refused+total.Failed, qt.Equals, 0)
			c.Check(total.InTimeFraction() >= 0.99, qt.IsTrue, qt.Commentf("%.3f", total.InTimeFraction()))
			c.Check(r.WorstInTime() >= 0.95, qt.IsTrue, qt.Commentf("%.3f", r.WorstInTime()))
		})
	}
}

// TestUrgentRequestsAreServedInABurst checks that long prompts with a long
// latency goal do not take the engines' capacity from short, more urgent ones.
func TestUrgentRequestsAreServedInABurst(t *testing.T) {
	for _, p := range []Pattern{Burst(), HotTeam(), EagerRetries(), EngineCrash()} {
		t.Run(p.Name, func(t *testing.T) {
			c := qt.New(t)
			r := runDefault(p)
			ask, plan := r.Kinds["ask"].InTimeFraction(), r.Kinds["plan"].InTimeFraction()
			c.Check(ask >= plan-maxPriorityInversion, qt.IsTrue, qt.Commentf("ask %.3f, plan %.3f", ask, plan))
			check := r.Kinds["check"].InTimeFraction()
			c.Check(plan >= check-maxPriorityInversion, qt.IsTrue, qt.Commentf("plan %.3f, check %.3f", plan, check))
		})
	}
}

// TestBurstIsRefusedEarly checks that requests are refused as soon as it is known
// that they can't be served in time, and that no kind or team is starved.
func TestBurstIsRefusedEarly(t *testing.T) {
	for _, p := range []Pattern{Burst(), HotTeam(), EagerRetries()} {
		t.Run(p.Name, func(t *testing.T) {
			c := qt.New(t)
			r := runDefault(p)
			total := r.Total()
			c.Check(r.RefusedWithCapacity, qt.Equals, 0)
			c.Check(r.MaxRefusalDelay <= maxRefusalDelay, qt.IsTrue, qt.Commentf("%.2f", r.MaxRefusalDelay))
			for name, tally := range r.Kinds {
				c.Check(tally.InTimeFraction() >= starvationRatio*total.InTimeFraction(), qt.IsTrue, qt.Commentf("%s %.3f", name, tally.InTimeFraction()))
			}
			for name, tally := range r.Teams {
				c.Check(tally.InTimeFraction() >= starvationRatio*total.InTimeFraction(), qt.IsTrue, qt.Commentf("%s %.3f", name, tally.InTimeFraction()))
			}
		})
	}
}

// TestRecoveryAfterBurst checks that requests that arrive from three seconds
// after the burst on are served in time.
func TestRecoveryAfterBurst(t *testing.T) {
	c := qt.New(t)
	r := runDefault(Burst())
	var after Tally
	for _, s := range r.Seconds[int((disturbanceEnd+3*time.Second)/time.Second):] {
		after.Callers += s.Callers
		after.InTime += s.InTime
	}
	c.Assert(after.InTimeFraction() >= 0.99, qt.IsTrue, qt.Commentf("%.3f", after.InTimeFraction()))
}

// TestEngineCrashInABurst checks that resumable requests and those to the plain
// service do not fail when engines crash.
func TestEngineCrashInABurst(t *testing.T) {
	c := qt.New(t)
	r := runDefault(EngineCrash())
	c.Check(r.Kinds["ask"].Failed, qt.Equals, 0)
	c.Check(r.Kinds["book"].InTimeFraction() >= 0.99, qt.IsTrue)
	c.Check(r.Refusals[gateway.ReasonNoUpstream], qt.Equals, 0)
}

// TestRestartOfAllNodes checks that callers that submit again at once to nodes
// without state are served in time.
func TestRestartOfAllNodes(t *testing.T) {
	c := qt.New(t)
	r := runDefault(Restart())
	c.Check(r.WorstInTime() >= 0.95, qt.IsTrue, qt.Commentf("%.3f", r.WorstInTime()))
	c.Check(r.Kinds["plan"].InTimeFraction() >= 0.95, qt.IsTrue, qt.Commentf("%.3f", r.Kinds["plan"].InTimeFraction()))
}

// TestEnginesOfOtherSpeeds checks that deployments of similar capacity, with more
// and slower or fewer and faster engines, reach a similar value in a burst.
func TestEnginesOfOtherSpeeds(t *testing.T) {
	baseline := runDefault(Burst()).Value()
	for _, e := range []struct {
		engines int
		rate    float64
	}{{20, 30_000}, {5, 122_000}} {
		t.Run(fmt.Sprint(e.engines), func(t *testing.T) {
			c := qt.New(t)
			setup := DefaultSetup(1)
			setup.Engines, setup.PrefillRate = e.engines, e.rate
			value := Run(setup, Burst()).Value()
			c.Assert(value >= 0.85*baseline, qt.IsTrue, qt.Commentf("%.3f of %.3f", value, baseline))
		})
	}
}
