package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var twoPerSecond = RateLimit{Named: true, PerSecond: 2}

// sendAll sends requests to the only upstream as long as its limit allows, every
// 10 ms for a duration, and returns their number.
func sendAll(s *Set, now time.Time, d time.Duration) (sent int) {
	for at := now; at.Before(now.Add(d)); at = at.Add(10 * time.Millisecond) {
		u, ok := s.Pick(at, Query{Service: "s"})
		if !ok {
			continue
		}
		s.RecordStart(at, u.ID, uint64(sent), Prompt{})
		s.RecordEnd(at, u.ID, uint64(sent), Succeeded)
		sent++
	}
	return sent
}

// TestLimitIsKept: an upstream gets what its limit allows and no burst at its start,
// also if all upstreams are ejected.
func TestLimitIsKept(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 1)
	c.Assert(s.RecordLimit(epoch, epoch, "u0", twoPerSecond), qt.IsTrue)
	for range ejectAfter {
		s.RecordEnd(epoch, "u0", 1, ConnectionFailed)
	}
	sent := sendAll(s, epoch, 10*time.Second)
	c.Assert(sent >= 18 && sent <= 20, qt.IsTrue, qt.Commentf("%d", sent))
}

// TestLimitOfZero: an upstream that takes nothing gets a request now and then, or
// nobody would learn that it takes some again.
func TestLimitOfZero(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 1)
	s.RecordLimit(epoch, epoch, "u0", RateLimit{Named: true})
	sent := sendAll(s, epoch, 35*time.Second)
	c.Assert(sent, qt.Equals, 3)
}

// TestNodeWithoutShare: a node whose share of a limit is used by others sends
// nothing, and starts with nothing when it gets a share.
func TestNodeWithoutShare(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 1)
	share := 0.0
	s.shares.Limit = func(string, float64) float64 { return share }
	s.RecordLimit(epoch, epoch, "u0", twoPerSecond)
	c.Assert(sendAll(s, epoch, 5*time.Second), qt.Equals, 0)
	ready, usable := s.Usable(epoch, "s", 0)
	c.Assert(ready, qt.HasLen, 1)
	c.Assert(usable, qt.HasLen, 0)
	c.Assert(s.Count("s"), qt.Equals, 1)
	share = 1
	sent := sendAll(s, epoch.Add(5*time.Second), 4*time.Second)
	c.Assert(sent >= 3 && sent <= 4, qt.IsTrue, qt.Commentf("%d", sent))
}

// TestLimitIsLifted by an answer that names none, but not by one to a request that
// was sent before the limit was named.
func TestLimitIsLifted(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 1)
	s.RecordLimit(epoch, epoch, "u0", twoPerSecond)
	later := epoch.Add(time.Second)
	c.Assert(s.RecordLimit(later, epoch.Add(-time.Second), "u0", RateLimit{}), qt.IsFalse)
	c.Assert(s.members["u0"].limiter.limit, qt.Equals, twoPerSecond)
	c.Assert(s.RecordLimit(later, epoch.Add(time.Millisecond), "u0", RateLimit{}), qt.IsTrue)
	c.Assert(sendAll(s, later, time.Second), qt.Equals, 100)
}

// TestLatestObservationCounts: of the limits that nodes have observed, all keep to
// the latest one, whoever reports first, and a node reports only its own.
func TestLatestObservationCounts(t *testing.T) {
	c := qt.New(t)
	a, b := newSet("a", 1), newSet("b", 1)
	a.RecordLimit(epoch, epoch, "u0", twoPerSecond)
	now := epoch.Add(time.Second)
	b.MergeLimits(now, a.OwnLimits(now))
	c.Assert(b.members["u0"].limiter.limit, qt.Equals, twoPerSecond)
	c.Assert(b.OwnLimits(now), qt.HasLen, 0)
	b.RecordLimit(now, epoch.Add(500*time.Millisecond), "u0", RateLimit{})
	a.MergeLimits(now, b.OwnLimits(now))
	b.MergeLimits(now, a.OwnLimits(now))
	c.Assert(a.members["u0"].limiter.limit, qt.Equals, RateLimit{})
	c.Assert(b.members["u0"].limiter.limit, qt.Equals, RateLimit{})
	c.Assert(b.OwnLimits(now), qt.HasLen, 1)
	c.Assert(b.OwnLimits(now.Add(2*liftRetention)), qt.HasLen, 0)
}

// TestRestartedUpstreamHasNoLimit: the next process under the same ID has named
// none.
func TestRestartedUpstreamHasNoLimit(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 1)
	s.RecordLimit(epoch, epoch, "u0", twoPerSecond)
	s.Put(Upstream{ID: "u0", Service: "s", State: StateReady, StartedAt: epoch})
	c.Assert(s.members["u0"].limiter.limit.Named, qt.IsFalse)
}

// TestLimitedUpstreamIsNotPreferred: prompts with a shared part go on to another
// engine that all nodes agree on.
func TestLimitedUpstreamIsNotPreferred(t *testing.T) {
	c := qt.New(t)
	a, b := newSet("a", 6), newSet("b", 6)
	p := prompt("part", 4870, 1000)
	first, _ := a.Pick(epoch, engineQuery(p))
	for _, s := range []*Set{a, b} {
		s.RecordLimit(epoch, epoch, first.ID, twoPerSecond)
	}
	x, _ := a.Pick(epoch, engineQuery(p))
	y, _ := b.Pick(epoch, engineQuery(p))
	c.Assert(x.ID, qt.Not(qt.Equals), first.ID)
	c.Assert(x.ID, qt.Equals, y.ID)
}

// TestReservationsCount: a request that will be sent counts before it is, once.
func TestReservationsCount(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 1)
	s.RecordLimit(epoch, epoch, "u0", twoPerSecond)
	now := epoch.Add(time.Second)
	s.Reserve(now, "u0")
	_, ok := s.Pick(now, Query{Service: "s"})
	c.Assert(ok, qt.IsFalse)
	s.CancelReservation(now, "u0")
	_, ok = s.Pick(now, Query{Service: "s"})
	c.Assert(ok, qt.IsTrue)
}

// TestOddLimitsPass guards against an upstream that gets nothing any more after a peer, or its
// own answer, named a limit that is not finite or is no number: the limiter's tokens became one.
func TestOddLimitsPass(t *testing.T) {
	for _, perSecond := range []float64{math.Inf(1), math.Inf(-1), math.NaN(), 1 << 64, -5} {
		odd := RateLimit{Named: true, PerSecond: perSecond}
		for name, learn := range map[string]func(*Set){
			"from a peer":   func(s *Set) { s.MergeLimits(epoch, []ObservedLimit{{Upstream: "u0", Limit: odd}}) },
			"from upstream": func(s *Set) { s.RecordLimit(epoch, epoch, "u0", odd) },
		} {
			t.Run(fmt.Sprint(name, "/", perSecond), func(t *testing.T) {
				c := qt.New(t)
				s := newSet("a", 1)
				learn(s)
				sent := sendAll(s, epoch, 35*time.Second)
				c.Check(sent >= 3, qt.IsTrue, qt.Commentf("%d", sent))
				later := epoch.Add(35 * time.Second)
				s.RecordLimit(later, later, "u0", twoPerSecond)
				sent = sendAll(s, later, 10*time.Second)
				c.Check(sent >= 18 && sent <= 21, qt.IsTrue, qt.Commentf("%d", sent))
			})
		}
	}
}
