package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// wholeShares gives a node all that each upstream takes.
var wholeShares = Shares{
	Limit: func(_ string, perSecond float64) float64 { return perSecond },
	Slots: func(_ string, slots int) int { return slots },
}

func newSet(node string, n int) *Set {
	s := New(node, "z", LeastTime, wholeShares, rand.New(rand.NewPCG(1, 2)))
	for i := range n {
		s.Put(Upstream{ID: fmt.Sprint("u", i), Service: "s", Zone: "z", Slots: 6, State: StateReady})
	}
	return s
}

func prompt(shared string, tokens, own int) Prompt {
	return Prompt{InputTokens: tokens + own, MaxOutputTokens: 100, Parts: []Part{{ID: shared, Tokens: tokens}, {ID: fmt.Sprint(shared, own), Tokens: own}}}
}

func engineQuery(p Prompt) Query {
	return Query{Service: "s", Prompt: p, Slots: 64, MemoryTokens: 700_000, MaxWait: 700 * time.Millisecond}
}

// TestNodesAgreeOnSharedParts checks that nodes send prompts with the same
// shared part to the same engine without exchanging messages.
func TestNodesAgreeOnSharedParts(t *testing.T) {
	c := qt.New(t)
	a, b := newSet("a", 12), newSet("b", 12)
	same := 0
	for i := range 100 {
		p := prompt(fmt.Sprint("briefing", i), 4870, 1000)
		x, _ := a.Pick(epoch, engineQuery(p))
		y, _ := b.Pick(epoch, engineQuery(p))
		if x.ID == y.ID {
			same++
		}
	}
	c.Assert(same, qt.Equals, 100)
}

// TestHotPartSpillsOver sends a burst of prompts with one shared part. Each
// engine must get no more than it can prefill within the maximum wait of 700 ms,
// with a margin of four prompts; the rest must go to other engines.
func TestHotPartSpillsOver(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 12)
	at := make(map[string]int)
	for i := range 60 {
		p := prompt("hot", 4870, 3000+i)
		u, ok := s.Pick(epoch, engineQuery(p))
		c.Assert(ok, qt.IsTrue)
		s.RecordStart(epoch, u.ID, uint64(i), p)
		at[u.ID]++
	}
	c.Assert(len(at) > 1, qt.IsTrue)
	for id, n := range at {
		c.Assert(n*3000 <= int(DefaultSpeed.PrefillRate*0.7)+12_000, qt.IsTrue, qt.Commentf("%d at %s", n, id))
	}
}

// TestBurstSpreadsOverPlainUpstreams checks that a burst on a plain service is
// spread evenly.
func TestBurstSpreadsOverPlainUpstreams(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 4)
	at := make(map[string]int)
	for i := range 24 {
		u, ok := s.Pick(epoch, Query{Service: "s"})
		c.Assert(ok, qt.IsTrue)
		s.RecordStart(epoch, u.ID, uint64(i), Prompt{})
		at[u.ID]++
	}
	for id, n := range at {
		c.Assert(n, qt.Equals, 6, qt.Commentf("%s", id))
	}
}

// TestReportedLoadCounts checks that an upstream which reports a high request
// count of its own is avoided until the report is too old.
func TestReportedLoadCounts(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 2)
	s.RecordReport(epoch, "u0", Report{Running: 8})
	for range 10 {
		u, _ := s.Pick(epoch, Query{Service: "s"})
		c.Assert(u.ID, qt.Equals, "u1")
	}
	later := epoch.Add(time.Second)
	seen := make(map[string]bool)
	for range 50 {
		u, _ := s.Pick(later, Query{Service: "s"})
		seen[u.ID] = true
	}
	c.Assert(seen, qt.HasLen, 2)
}

func TestFailingUpstreamIsEjected(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 2)
	for i := range uint64(ejectAfter) {
		s.RecordStart(epoch, "u0", i, Prompt{})
		s.RecordEnd(epoch, "u0", i, ConnectionFailed)
	}
	for range 10 {
		u, _ := s.Pick(epoch, Query{Service: "s"})
		c.Assert(u.ID, qt.Equals, "u1")
	}
	// An ejected upstream is used if there is no other.
	u, ok := s.Pick(epoch, Query{Service: "s", Exclude: []string{"u1"}})
	c.Assert(ok, qt.IsTrue)
	c.Assert(u.ID, qt.Equals, "u0")
}

func TestRestartedUpstreamLosesState(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 1)
	p := prompt("part", 1000, 10)
	s.RecordStart(epoch, "u0", 1, p)
	c.Assert(s.Load("u0").Running, qt.Equals, 1)
	s.Put(Upstream{ID: "u0", Service: "s", State: StateReady, StartedAt: epoch})
	c.Assert(s.Load("u0").Running, qt.Equals, 0)
	c.Assert(s.members["u0"].cached(epoch, p), qt.Equals, 0)
}
