package emulator

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/gateway"
)

// behindMost is by how much a more urgent kind of request may be served less
// often than a less urgent one, as the users' rules price it.
const behindMost = 0.05

// starvedShare is the part of the share of all requests below which a kind or
// team counts as starved, by the users' rules.
const starvedShare = 0.25

// heldMost is the part of its goal for which a request may be held before it
// is refused, with a tick's time for the shortest goal.
const heldMost = 0.5 + 0.2

func play(p Pattern) *Report { return Run(DefaultSetup(1), p) }

// TestSameSeedSameReport: a finding can be played again.
func TestSameSeedSameReport(t *testing.T) {
	for _, p := range []Pattern{Repeaters(), LostEngines(), Restart()} {
		t.Run(p.Name, func(t *testing.T) {
			c := qt.New(t)
			a, b := play(p), play(p)
			c.Assert(a.All(), qt.DeepEquals, b.All())
			c.Assert(reflect.DeepEqual(a.Seconds, b.Seconds), qt.IsTrue)
		})
	}
}

// TestNothingIsRefusedWithRoom: what the engines carry is served in time.
func TestNothingIsRefusedWithRoom(t *testing.T) {
	for _, p := range []Pattern{Steady(), HotSubject(), Shift()} {
		t.Run(p.Name, func(t *testing.T) {
			c := qt.New(t)
			r := play(p)
			all := r.All()
			c.Check(all.Refused+all.Failed, qt.Equals, 0)
			c.Check(all.Share() >= 0.99, qt.IsTrue, qt.Commentf("%.3f", all.Share()))
			c.Check(r.Worst() >= 0.95, qt.IsTrue, qt.Commentf("%.3f", r.Worst()))
		})
	}
}

// TestUrgentRequestsFindRoomInABurst: long prompts with a generous goal must
// not keep the short ones of a more urgent kind out of all engines.
func TestUrgentRequestsFindRoomInABurst(t *testing.T) {
	for _, p := range []Pattern{Burst(), HotTeam(), Repeaters(), LostEngines()} {
		t.Run(p.Name, func(t *testing.T) {
			c := qt.New(t)
			r := play(p)
			ask, plan := r.Kinds["ask"].Share(), r.Kinds["plan"].Share()
			c.Check(ask >= plan-behindMost, qt.IsTrue, qt.Commentf("ask %.3f, plan %.3f", ask, plan))
			check := r.Kinds["check"].Share()
			c.Check(plan >= check-behindMost, qt.IsTrue, qt.Commentf("plan %.3f, check %.3f", plan, check))
		})
	}
}

// TestBurstTurnsAwaySoon: a refusal comes as soon as it is known, and nobody
// is starved.
func TestBurstTurnsAwaySoon(t *testing.T) {
	for _, p := range []Pattern{Burst(), HotTeam(), Repeaters()} {
		t.Run(p.Name, func(t *testing.T) {
			c := qt.New(t)
			r := play(p)
			all := r.All()
			c.Check(r.RefusedWithRoom, qt.Equals, 0)
			c.Check(r.HeldLongest <= heldMost, qt.IsTrue, qt.Commentf("%.2f", r.HeldLongest))
			for name, tally := range r.Kinds {
				c.Check(tally.Share() >= starvedShare*all.Share(), qt.IsTrue, qt.Commentf("%s %.3f", name, tally.Share()))
			}
			for name, tally := range r.Teams {
				c.Check(tally.Share() >= starvedShare*all.Share(), qt.IsTrue, qt.Commentf("%s %.3f", name, tally.Share()))
			}
		})
	}
}

// TestBurstIsOverWhenItEnds: requests that arrive three seconds after the
// burst are served as before it.
func TestBurstIsOverWhenItEnds(t *testing.T) {
	c := qt.New(t)
	r := play(Burst())
	var after Tally
	for _, s := range r.Seconds[int((troubleEnd+3*time.Second)/time.Second):] {
		after.Callers += s.Callers
		after.InTime += s.InTime
	}
	c.Assert(after.Share() >= 0.99, qt.IsTrue, qt.Commentf("%.3f", after.Share()))
}

// TestLostEnginesInABurst: only requests that ran on them and may not run again
// fail.
func TestLostEnginesInABurst(t *testing.T) {
	c := qt.New(t)
	r := play(LostEngines())
	c.Check(r.Kinds["ask"].Failed, qt.Equals, 0)
	c.Check(r.Kinds["book"].Share() >= 0.99, qt.IsTrue)
	c.Check(r.Refusals[gateway.ReasonNoUpstream], qt.Equals, 0)
}

// TestRestartOfAllNodes: callers that come back at once to nodes without memory
// are served.
func TestRestartOfAllNodes(t *testing.T) {
	c := qt.New(t)
	r := play(Restart())
	c.Check(r.Worst() >= 0.95, qt.IsTrue, qt.Commentf("%.3f", r.Worst()))
	c.Check(r.Kinds["plan"].Share() >= 0.95, qt.IsTrue, qt.Commentf("%.3f", r.Kinds["plan"].Share()))
}

// TestEnginesOfOtherSpeeds: deployments of the same capacity, with more and
// slower or fewer and faster engines, are served much alike in a burst.
func TestEnginesOfOtherSpeeds(t *testing.T) {
	usual := play(Burst()).Worth()
	for _, e := range []struct {
		engines int
		rate    float64
	}{{20, 30_000}, {5, 122_000}} {
		t.Run(fmt.Sprint(e.engines), func(t *testing.T) {
			c := qt.New(t)
			setup := DefaultSetup(1)
			setup.Engines, setup.PrefillRate = e.engines, e.rate
			worth := Run(setup, Burst()).Worth()
			c.Assert(worth >= 0.85*usual, qt.IsTrue, qt.Commentf("%.3f of %.3f", worth, usual))
		})
	}
}
