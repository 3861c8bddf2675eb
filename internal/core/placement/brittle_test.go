package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var fourRejections = RateLimit{Named: true, PerSecond: 4}

// fill sends requests until no upstream takes another one, and returns their number.
func fill(s *Set, now time.Time) (sent uint64) {
	for ; sent < 100; sent++ {
		u, ok := s.Pick(now, Query{Service: "s"})
		if !ok {
			break
		}
		s.RecordStart(now, u.ID, sent, Prompt{})
	}
	return sent
}

// TestPartOfSlots: a node runs no more at a brittle upstream than its part of the slots, also
// if all upstreams are ejected.
func TestPartOfSlots(t *testing.T) {
	for _, part := range []int{6, 3, 1, 0} {
		c, want := qt.New(t), uint64(part)
		s := newSet("a", 1)
		s.shares.Slots = func(string, int) int { return part }
		c.Assert(s.RecordBrittle(epoch, epoch, "u0", fourRejections), qt.IsTrue)
		for range ejectAfter {
			s.RecordEnd(epoch, "u0", 1, ConnectionFailed)
		}
		c.Check(fill(s, epoch), qt.Equals, want, qt.Commentf("part %d", part))
		s.RecordEnd(epoch, "u0", 0, Succeeded)
		_, ok := s.Pick(epoch, Query{Service: "s"})
		c.Check(ok, qt.Equals, want > 0)
	}
}

// TestBrittlenessIsLifted by an answer that names none, but not by an overtaken one.
func TestBrittlenessIsLifted(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 1)
	s.RecordBrittle(epoch, epoch, "u0", fourRejections)
	later := epoch.Add(time.Second)
	c.Assert(s.RecordBrittle(later, epoch.Add(-time.Second), "u0", RateLimit{}), qt.IsFalse)
	fill(s, later)
	c.Assert(s.Load("u0").Running, qt.Equals, 6)
	c.Assert(s.RecordBrittle(later, epoch.Add(time.Millisecond), "u0", RateLimit{}), qt.IsTrue)
	fill(s, later)
	c.Assert(s.Load("u0").Running, qt.Equals, 12)
}

// TestBrittlenessIsLearnedFromPeers: the latest observation counts.
func TestBrittlenessIsLearnedFromPeers(t *testing.T) {
	c := qt.New(t)
	a, b := newSet("a", 1), newSet("b", 1)
	a.RecordBrittle(epoch, epoch, "u0", fourRejections)
	now := epoch.Add(time.Second)
	b.MergeBrittle(now, a.OwnBrittle(now))
	c.Assert(fill(b, now), qt.Equals, uint64(6))
	c.Assert(b.OwnBrittle(now), qt.HasLen, 0)
	b.RecordBrittle(now, epoch.Add(500*time.Millisecond), "u0", RateLimit{})
	a.MergeBrittle(now, b.OwnBrittle(now))
	c.Assert(fill(a, now), qt.Equals, uint64(12))
}

// TestUpstreamOfBrittleServiceIsBrittle: one that has fallen over starts again as another
// process, and is offered no more before its first answer than the others.
func TestUpstreamOfBrittleServiceIsBrittle(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 1)
	s.RecordBrittle(epoch, epoch, "u0", fourRejections)
	s.Remove("u0")
	s.Put(Upstream{ID: "u1", Service: "s", Zone: "z", Slots: 6, State: StateReady})
	c.Assert(fill(s, epoch), qt.Equals, uint64(6))
	s.Put(Upstream{ID: "other", Service: "t", Zone: "z", Slots: 6, State: StateReady})
	u, ok := s.Pick(epoch, Query{Service: "t"})
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.rejections(s.members[u.ID]).Named, qt.IsFalse)
}
