package team

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func item(team string, i int, weight float64) Item {
	return Item{Key: fmt.Sprintf("%s/%d", team, i), Team: team, Weight: weight, Deadline: start, Bytes: 10}
}

// serve takes n items from the queue and returns their number per team.
func serve(q *Queue, n int) map[string]int {
	served := make(map[string]int)
	q.ServeEach(func(it Item) bool {
		if n == 0 {
			return false
		}
		n--
		served[it.Team]++
		return true
	})
	return served
}

// TestLargeTeamDoesNotStarveSmallTeam queues ten times as many requests of one
// team as of the other.
func TestLargeTeamDoesNotStarveSmallTeam(t *testing.T) {
	c := qt.New(t)
	q := New(Limits{Count: 10000, Bytes: 1 << 20, TeamShare: 0.5})
	for i := range 1000 {
		q.Push(item("large", i, 1))
	}
	for i := range 100 {
		q.Push(item("small", i, 1))
	}
	c.Assert(serve(q, 200), qt.DeepEquals, map[string]int{"large": 100, "small": 100})
}

func TestWeights(t *testing.T) {
	c := qt.New(t)
	q := New(Limits{Count: 1000, Bytes: 1 << 20, TeamShare: 0.5})
	for i := range 300 {
		q.Push(item("heavy", i, 3))
		q.Push(item("light", i, 1))
	}
	c.Assert(serve(q, 200), qt.DeepEquals, map[string]int{"heavy": 150, "light": 50})
}

// TestIdleTeamAccruesNoCredit queues requests of a team only after another team
// has been served for a while. The late team does not catch up on the share it
// did not use.
func TestIdleTeamAccruesNoCredit(t *testing.T) {
	c := qt.New(t)
	q := New(Limits{Count: 1000, Bytes: 1 << 20, TeamShare: 0.5})
	for i := range 300 {
		q.Push(item("busy", i, 1))
	}
	serve(q, 100)
	for i := range 100 {
		q.Push(item("late", i, 1))
	}
	served := serve(q, 100)
	c.Assert(served["busy"] >= 49, qt.IsTrue, qt.Commentf("%v", served))
}

func TestPriorityAndDeadlineWithinATeam(t *testing.T) {
	c := qt.New(t)
	q := New(Limits{Count: 10, Bytes: 1 << 20, TeamShare: 1})
	late, early, urgent := item("a", 1, 1), item("a", 2, 1), item("a", 3, 1)
	late.Deadline = start.Add(time.Minute)
	urgent.Deadline = start.Add(time.Hour)
	urgent.Priority = 5
	for _, it := range []Item{late, early, urgent} {
		q.Push(it)
	}
	var order []string
	q.ServeEach(func(it Item) bool {
		order = append(order, it.Key)
		return true
	})
	c.Assert(order, qt.DeepEquals, []string{"a/3", "a/2", "a/1"})
	c.Assert(q.Len(), qt.Equals, 0)
}

func TestLimits(t *testing.T) {
	c := qt.New(t)
	q := New(Limits{Count: 4, Bytes: 35, TeamShare: 0.5})
	c.Assert(q.CheckAdmission("a", 10), qt.Equals, RefusalNone)
	q.Push(item("a", 1, 1))
	q.Push(item("a", 2, 1))
	c.Assert(q.CheckAdmission("a", 10), qt.Equals, RefusalTeamShare)
	c.Assert(q.CheckAdmission("b", 10), qt.Equals, RefusalNone)
	c.Assert(q.CheckAdmission("b", 20), qt.Equals, RefusalFull)
	c.Assert(q.Remove("a", "a/1"), qt.IsTrue)
	c.Assert(q.Remove("a", "a/1"), qt.IsFalse)
	c.Assert(q.CheckAdmission("b", 20), qt.Equals, RefusalNone)
}

// TestBlockedTeamDoesNotDelayOthers declines every request of one team.
func TestBlockedTeamDoesNotDelayOthers(t *testing.T) {
	c := qt.New(t)
	q := New(Limits{Count: 100, Bytes: 1 << 20, TeamShare: 1})
	for i := range 3 {
		q.Push(item("blocked", i, 1))
		q.Push(item("free", i, 1))
	}
	served := 0
	q.ServeEach(func(it Item) bool {
		if it.Team == "blocked" {
			return false
		}
		served++
		return true
	})
	c.Assert(served, qt.Equals, 3)
	c.Assert(q.Len(), qt.Equals, 3)
}
