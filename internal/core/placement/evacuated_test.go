package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEvacuatedUpstreamIsNotUsable: an upstream in an evacuated zone counted as one that accepts
// requests, so that callers waited for it, were told the end of its pause, or were passed on to nodes
// with a share of it.
func TestEvacuatedUpstreamIsNotUsable(t *testing.T) {
	c := qt.New(t)
	s := New("a", "z1", LeastTime, Shares{}, rand.New(rand.NewPCG(1, 2)))
	for i, id := range []string{"d1", "d2"} {
		s.Put(Upstream{ID: id, Service: "s", Zone: fmt.Sprint("z", i+1), State: StateReady})
	}
	s.SetEvacuated([]string{"z1", "elsewhere"})
	c.Assert(s.Count("s"), qt.Equals, 1)
	c.Assert(s.CountEvacuated("s"), qt.Equals, 1)
	ready, usable := s.Usable(epoch, "s", 0)
	c.Assert(ready, qt.DeepEquals, []Shared{{ID: "d2"}})
	c.Assert(usable, qt.DeepEquals, ready)
	c.Assert(s.CountPaused(epoch, "s"), qt.Equals, 0)
	c.Assert(s.Resumes(epoch, "s", ""), qt.Equals, time.Duration(0))
	s.RecordPause(epoch, Upstream{ID: "d2"}, time.Second)
	c.Assert(s.Resumes(epoch, "s", ""), qt.Equals, time.Second)

	s.SetEvacuated([]string{"z1", "z2"})
	c.Assert(s.Count("s"), qt.Equals, 0)
	c.Assert(s.Resumes(epoch, "s", ""), qt.Equals, time.Duration(0))
	_, ok := s.Pick(epoch, Query{Service: "s"})
	c.Assert(ok, qt.IsFalse)

	s.SetEvacuated(nil)
	c.Assert(s.Admits(epoch, Upstream{ID: "d1", Zone: "z1"}), qt.IsTrue)
	u, ok := s.Pick(epoch, Query{Service: "s"})
	c.Assert(ok, qt.IsTrue)
	c.Assert(u.ID, qt.Equals, "d1")
}

// TestEvacuatedUpstreamIsNotPreferred: requests with a shared part preferred an engine that they
// could not reach, so that each went to another one and was prefilled again. And a third of the
// engines is kept for short waits among those that are left, not among all.
func TestEvacuatedUpstreamIsNotPreferred(t *testing.T) {
	c := qt.New(t)
	s := New("a", "z1", LeastTime, Shares{}, rand.New(rand.NewPCG(1, 2)))
	for i := range 12 {
		s.Put(Upstream{ID: fmt.Sprint("m", i), Service: "s", Zone: fmt.Sprint("z", i%3), State: StateReady})
	}
	s.SetEvacuated([]string{"z0"})
	preferred := make(map[string]bool)
	for i := range 200 {
		prompt := Prompt{InputTokens: 1000, Parts: []Part{{ID: fmt.Sprint("p", i), Tokens: 900}, {ID: "own", Tokens: 100}}}
		id := s.preferred(epoch, Query{Service: "s", Prompt: prompt})
		u, _ := s.Get(id)
		c.Assert(u.Zone, qt.Not(qt.Equals), "z0")
		preferred[id] = true
	}
	c.Assert(preferred, qt.HasLen, 8)

	below := s.reservedBelow(Query{Service: "s", UrgentWait: time.Second})
	reserved := 0
	for _, m := range s.sorted {
		if m.Zone != "z0" && m.hash < below {
			reserved++
		}
	}
	c.Assert(reserved, qt.Equals, 8/reservedDivisor)
}
