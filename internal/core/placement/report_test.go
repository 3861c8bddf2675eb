package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var plainQuery = Query{Service: "s"}

// picks counts the upstreams that are picked for a number of requests, none of which is placed.
func picks(s *Set, now time.Time, q Query, n int) map[string]int {
	at := make(map[string]int)
	for range n {
		if u, ok := s.Pick(now, q); ok {
			at[u.ID]++
		}
	}
	return at
}

// TestSlowUpstreamIsUsedLess: for some 100 ms work takes longer on the machine of one upstream.
// It gets what would wait longer elsewhere, and all as before when its report is old.
func TestSlowUpstreamIsUsedLess(t *testing.T) {
	for _, row := range []struct {
		name  string
		query Query
		load  UpstreamLoad
	}{
		{"plain", plainQuery, UpstreamLoad{Running: 31}},
		{"engine", engineQuery(prompt("p", 0, 6000)), UpstreamLoad{Prefill: 12_000}},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSet("a", 3)
			for _, m := range s.sorted {
				m.Slots = 16
			}
			s.RecordReport(epoch, "u0", Report{Slots: 16, Slowdown: 2})
			c.Check(picks(s, epoch, row.query, 60)["u0"], qt.Equals, 0)
			s.SetPeerLoads("b", map[string]UpstreamLoad{"u1": row.load, "u2": row.load})
			c.Check(picks(s, epoch, row.query, 60)["u0"], qt.Equals, 60)
			s.RemovePeer("b")
			c.Check(picks(s, epoch.Add(slowdownMaxAge), row.query, 60)["u0"] > 0, qt.IsTrue)
		})
	}
}

// TestAllSlowUpstreamsAreUsedAsBefore: when work takes longer on all machines, no request waits or
// is turned away for it.
func TestAllSlowUpstreamsAreUsedAsBefore(t *testing.T) {
	c := qt.New(t)
	s, usual := newSet("a", 3), newSet("a", 3)
	q := engineQuery(prompt("p", 0, 6000))
	for i := range 3 {
		s.RecordReport(epoch, fmt.Sprint("u", i), Report{Slots: 64, Slowdown: 4})
	}
	// The prefill of these takes 500 ms, of the 700 ms that the request may wait.
	ahead := UpstreamLoad{Running: 1, Prefill: 30_000}
	loads := map[string]UpstreamLoad{"u0": ahead, "u1": ahead, "u2": ahead}
	s.SetPeerLoads("b", loads)
	usual.SetPeerLoads("b", loads)
	c.Assert(picks(s, epoch, q, 60), qt.DeepEquals, picks(usual, epoch, q, 60))
}

// TestWaitAtSlowUpstreamMustFit: a wait that would be in time on a machine of the usual speed is
// not on a slow one, unless that has nothing to do.
func TestWaitAtSlowUpstreamMustFit(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 2)
	q := engineQuery(prompt("p", 0, 6000))
	full := UpstreamLoad{Prefill: 60_000}
	s.SetPeerLoads("b", map[string]UpstreamLoad{"u0": {Running: 1, Prefill: 30_000}, "u1": full})
	c.Assert(picks(s, epoch, q, 10)["u0"], qt.Equals, 10)
	s.RecordReport(epoch, "u0", Report{Running: 1, Slots: 64, Slowdown: 2.5})
	c.Assert(picks(s, epoch, q, 10), qt.HasLen, 0)
	s.SetPeerLoads("b", map[string]UpstreamLoad{"u1": full})
	c.Assert(picks(s, epoch, q, 10)["u0"], qt.Equals, 10)
}

// TestReportedSlowdownFades: the longer ago it was reported, the likelier it has ended.
func TestReportedSlowdownFades(t *testing.T) {
	s := newSet("a", 1)
	m := s.members["u0"]
	for _, row := range []struct {
		slowdown float64
		age      time.Duration
		want     float64
	}{
		{0, 0, 1},
		{2.5, 0, 2.5},
		{2.5, slowdownMaxAge / 2, 1.75},
		{2.5, slowdownMaxAge, 1},
		{2.5, time.Hour, 1},
		{0.5, slowdownMaxAge / 2, 0.75},
	} {
		m.reportedAt = time.Time{}
		s.RecordReport(epoch, "u0", Report{Slowdown: row.slowdown})
		qt.Check(t, m.slowdown(epoch.Add(row.age)), qt.Equals, row.want, qt.Commentf("%v after %v", row.slowdown, row.age))
	}
}

// TestEndedRequestsOfPeersLeaveRoom: an upstream that had reported free slots counted as full for
// as long as peers had not told that their requests had ended.
func TestEndedRequestsOfPeersLeaveRoom(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 1)
	s.SetPeerLoads("b", map[string]UpstreamLoad{"u0": {Running: 12}})
	_, ok := s.Pick(epoch, plainQuery)
	c.Assert(ok, qt.IsFalse)
	s.RecordReport(epoch, "u0", Report{Running: 2, Slots: 6})
	_, ok = s.Pick(epoch, plainQuery)
	c.Assert(ok, qt.IsTrue)
	// What this node has placed since comes on top.
	for i := range uint64(10) {
		s.RecordStart(epoch.Add(time.Millisecond), "u0", i, Prompt{})
	}
	_, ok = s.Pick(epoch.Add(time.Millisecond), plainQuery)
	c.Assert(ok, qt.IsFalse)
	c.Assert(s.members["u0"].loadAt(epoch.Add(reportMaxAge)).Running, qt.Equals, 22)
}

// TestSlowPrefillIsNoSlowService: the time of a prompt on a slow machine is no sample of the
// service's usual speed.
func TestSlowPrefillIsNoSlowService(t *testing.T) {
	c := qt.New(t)
	rate := func(slowdown float64) float64 {
		s := newSet("a", 1)
		now := epoch
		for i := range uint64(100) {
			s.RecordStart(now, "u0", i, prompt(fmt.Sprint("p", i), 6000, 0))
			now = now.Add(scale(140*time.Millisecond, slowdown))
			s.RecordReport(now, "u0", Report{Slowdown: slowdown})
			s.RecordPrefillDone(now, "u0", i)
			s.RecordEnd(now, "u0", i, Succeeded)
		}
		return s.Speed("s").PrefillRate
	}
	c.Assert(rate(2.5), qt.Equals, rate(1))
}

// TestNodesDoNotHerdOnOldLoads: 90 nodes with the same old picture sent all of their requests to
// the upstream with one request less, until its queue was longer than those of the others.
func TestNodesDoNotHerdOnOldLoads(t *testing.T) {
	c := qt.New(t)
	at := make(map[string]int)
	for node := range 90 {
		s := newSet(fmt.Sprint("node-", node), 4)
		for peer := range 89 {
			s.SetPeerLoads(fmt.Sprint("peer-", peer), nil)
		}
		s.SetPeerLoads("peer-0", map[string]UpstreamLoad{"u1": {Running: 1}, "u2": {Running: 1}, "u3": {Running: 1}})
		s.rng = rand.New(rand.NewPCG(uint64(node), 1))
		u, ok := s.Pick(epoch, plainQuery)
		c.Assert(ok, qt.IsTrue)
		at[u.ID]++
	}
	for id, n := range at {
		c.Check(n <= 45, qt.IsTrue, qt.Commentf("%d of 90 at %s", n, id))
	}
}

// TestUnusableUpstreamIsNoMeasure: the others all slow, an evacuated or paused upstream at its usual
// speed stayed the one that they were compared with, though it gets nothing, so that requests waited
// or were turned away.
func TestUnusableUpstreamIsNoMeasure(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 3)
	s.RecordReport(epoch, "u1", Report{Slots: 64, Slowdown: 4})
	s.RecordReport(epoch, "u2", Report{Slots: 64, Slowdown: 4})
	c.Assert(s.leastSlowdown(epoch, plainQuery, false), qt.Equals, 1.0)
	u, _ := s.Get("u0")
	s.RecordPause(epoch, u, time.Minute)
	c.Assert(s.leastSlowdown(epoch, plainQuery, false), qt.Equals, 4.0)
}
