package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPauseIsBounded: an upstream that asks for years is tried again after ten minutes, and one
// that asks for no time or less is not paused.
func TestPauseIsBounded(t *testing.T) {
	c := qt.New(t)
	s := New("a", "z", LeastTime, Shares{}, nil)
	u := Upstream{ID: "d1", Service: "s", State: StateReady}
	s.Put(u)
	for _, asked := range []time.Duration{0, -time.Second, -1 << 63} {
		c.Assert(s.RecordPause(epoch, u, asked), qt.Equals, time.Duration(0))
		c.Assert(s.Admits(epoch, u), qt.IsTrue)
	}
	c.Assert(s.RecordPause(epoch, u, 1<<63-1), qt.Equals, 10*time.Minute)
	c.Assert(s.Admits(epoch.Add(10*time.Minute-1), u), qt.IsFalse)
	c.Assert(s.Admits(epoch.Add(10*time.Minute), u), qt.IsTrue)
}

// TestPausesAreForgotten: what processes have asked for that are gone, or that nothing was sent to
// after their pause, is not kept for good.
func TestPausesAreForgotten(t *testing.T) {
	c := qt.New(t)
	s := New("a", "z", LeastTime, Shares{}, nil)
	for i := range 100 {
		s.RecordPause(epoch, Upstream{ID: "d1", StartedAt: epoch.Add(time.Duration(i))}, time.Second)
	}
	s.Expire(epoch.Add(30 * time.Second))
	c.Assert(s.pauses, qt.HasLen, 100)
	s.Expire(epoch.Add(2 * time.Minute))
	c.Assert(s.pauses, qt.HasLen, 0)
}

// TestPausedUpstreamIsNotUsable: nodes that have a share of an upstream that pauses are not asked to
// take requests for it.
func TestPausedUpstreamIsNotUsable(t *testing.T) {
	c := qt.New(t)
	s := New("a", "z", LeastTime, Shares{}, nil)
	for _, id := range []string{"d1", "d2"} {
		s.Put(Upstream{ID: id, Service: "s", State: StateReady})
	}
	s.RecordPause(epoch, Upstream{ID: "d1"}, time.Second)
	ready, usable := s.Usable(epoch, "s", 0)
	c.Assert(ready, qt.DeepEquals, []Shared{{ID: "d2"}})
	c.Assert(usable, qt.DeepEquals, ready)
	ready, _ = s.Usable(epoch.Add(time.Second), "s", 0)
	c.Assert(ready, qt.HasLen, 2)
}
