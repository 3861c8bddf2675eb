package upstream

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newSet(n, slots int) *Set {
	s := New("node-1", rand.New(rand.NewPCG(1, 1)))
	var list []Upstream
	for i := range n {
		list = append(list, Upstream{ID: fmt.Sprintf("u%02d", i), Zone: fmt.Sprintf("z%d", i%3), Service: "s", Version: "v1", Slots: slots})
	}
	s.Replace(poisonStart, list)
	return s
}

var query = Query{Service: "s", Version: "v1"}

// TestPickSpreads checks that requests are spread over the upstreams when no
// load report arrives.
func TestPickSpreads(t *testing.T) {
	c := qt.New(t)
	s := newSet(10, 20)
	got := make(map[string]int)
	for range 100 {
		u, ok := s.Pick(poisonStart, query)
		c.Assert(ok, qt.IsTrue)
		s.RecordStart(u.ID)
		got[u.ID]++
	}
	c.Assert(got, qt.HasLen, 10)
	for id, n := range got {
		c.Assert(n <= 20, qt.IsTrue, qt.Commentf("%s got %d", id, n))
	}
}

// TestPickAvoidsLoad checks that an upstream with a high reported load gets no
// requests.
func TestPickAvoidsLoad(t *testing.T) {
	c := qt.New(t)
	s := newSet(3, 10)
	s.RecordLoad("u00", Load{At: poisonStart, Running: 9})
	for range 20 {
		u, _ := s.Pick(poisonStart, query)
		c.Assert(u.ID, qt.Not(qt.Equals), "u00")
	}
}

func TestPickRespectsSlots(t *testing.T) {
	c := qt.New(t)
	s := newSet(2, 3)
	for range 6 {
		u, ok := s.Pick(poisonStart, query)
		c.Assert(ok, qt.IsTrue)
		s.RecordStart(u.ID)
	}
	_, ok := s.Pick(poisonStart, query)
	c.Assert(ok, qt.IsFalse)
}

func TestBusyUpstreamCoolsDown(t *testing.T) {
	c := qt.New(t)
	s := newSet(1, 3)
	s.MarkBusy(poisonStart, "u00")
	_, ok := s.Pick(poisonStart, query)
	c.Assert(ok, qt.IsFalse)
	_, ok = s.Pick(poisonStart.Add(busyCooldown), query)
	c.Assert(ok, qt.IsTrue)
}

// TestEjectionIsBounded lets all upstreams fail and checks that only a third of
// them are ejected.
func TestEjectionIsBounded(t *testing.T) {
	c := qt.New(t)
	s := newSet(9, 10)
	for _, u := range s.All() {
		for range failuresToEject {
			s.RecordStart(u.ID)
			s.RecordEnd(poisonStart, u.ID, DispatchFailed)
		}
	}
	usable := make(map[string]bool)
	for range 500 {
		u, ok := s.Pick(poisonStart, query)
		c.Assert(ok, qt.IsTrue)
		usable[u.ID] = true
	}
	c.Assert(usable, qt.HasLen, 6)
	for range 500 {
		u, _ := s.Pick(poisonStart.Add(ejectionBase), query)
		usable[u.ID] = true
	}
	c.Assert(usable, qt.HasLen, 9)
}

// TestLeavingBeforeListed marks an upstream as leaving before it is in the list,
// and checks that it gets no requests once it is listed.
func TestLeavingBeforeListed(t *testing.T) {
	c := qt.New(t)
	s := New("node-1", rand.New(rand.NewPCG(1, 1)))
	c.Assert(s.MarkLeaving(poisonStart, "u00", time.Time{}), qt.IsTrue)
	s.Replace(poisonStart, []Upstream{{ID: "u00", Service: "s", Version: "v1", Slots: 1}})
	_, ok := s.Pick(poisonStart, query)
	c.Assert(ok, qt.IsFalse)
}

// TestSubsetsAreEven checks that each upstream of a large service is used by
// about the same number of nodes.
func TestSubsetsAreEven(t *testing.T) {
	c := qt.New(t)
	var list []Upstream
	for i := range 100 {
		list = append(list, Upstream{ID: fmt.Sprintf("u%02d", i), Service: "s", Version: "v1", Slots: 1})
	}
	users := make(map[string]int)
	const nodes = 340
	for i := range nodes {
		s := New(fmt.Sprintf("node-%d", i), rand.New(rand.NewPCG(1, 1)))
		s.Replace(poisonStart, list)
		used := s.Subset()
		c.Assert(used, qt.HasLen, subsetSize)
		for _, u := range used {
			users[u.ID]++
		}
	}
	mean := nodes * subsetSize / len(list)
	for id, n := range users {
		c.Assert(n > mean/2 && n < mean*2, qt.IsTrue, qt.Commentf("%s is used by %d nodes, the mean is %d", id, n, mean))
	}
}

func TestBudget(t *testing.T) {
	c := qt.New(t)
	b := NewRetryBudget()
	taken := 0
	for range 1000 {
		b.Deposit()
		if b.TryWithdraw() {
			taken++
		}
	}
	c.Assert(taken <= retryBurst+int(retryRatio*1000), qt.IsTrue, qt.Commentf("%d", taken))
}
