package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDecide: what peers have not reported leaves each rank the part of the quota that the more
// urgent ones don't need, and its requests the same chance whatever their size.
func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name       string
		admission  Admission
		rank       int
		cost, draw float64
		verdict    Verdict
	}{
		{"nobody else", Admission{Left: 10}, 0, 10, 1, VerdictAdmitted},
		{"more than left", Admission{Left: 10}, 0, 11, 0, VerdictSpent},
		{"overdraft", Admission{Left: -5, Overdraft: 20}, 0, 15, 1, VerdictAdmitted},
		{"debt", Admission{Left: 1, Debt: 10}, 0, 11, 0, VerdictAdmitted},
		{"debt alone", Admission{Left: 0, Debt: 10}, 0, 1, 0, VerdictSpent},
		{"unreported, good draw", Admission{Left: 10, Unreported: Demand{40}}, 0, 1, 0.2, VerdictAdmitted},
		{"unreported, bad draw", Admission{Left: 10, Unreported: Demand{40}}, 0, 1, 0.3, VerdictSpent},
		{"a large request has the same chance", Admission{Left: 10, Unreported: Demand{40}}, 0, 10, 0.2, VerdictAdmitted},
		{"less urgent demand takes nothing", Admission{Left: 10, Unreported: Demand{0, 90}}, 0, 1, 1, VerdictAdmitted},
		{"reserved", Admission{Left: 10, Unreported: Demand{20, 0}}, 1, 1, 0, VerdictReserved},
		{"beyond the reserve", Admission{Left: 30, Unreported: Demand{20, 40}}, 1, 1, 0.2, VerdictAdmitted},
		{"no reserve for those who don't ask", Admission{Left: 10}, 9, 10, 1, VerdictAdmitted},
		{"reserve of expected demand", Admission{Left: 10, Expected: Demand{20}}, 1, 1, 0, VerdictReserved},
		{"less urgent ones have just spent it", Admission{Left: -5, Debt: 10, Unreported: Demand{0, 20}}, 0, 1, 0, VerdictAdmitted},
		{"a minor request", Admission{Left: 10, Usual: 40, Unreported: Demand{20, 0}}, 1, 4, 1, VerdictAdmitted},
		{"a minor request within the debt", Admission{Left: -5, Debt: 10, Usual: 40}, 1, 4, 1, VerdictAdmitted},
		{"a minor request of a spent quota", Admission{Left: 0, Usual: 40}, 1, 4, 0, VerdictSpent},
		{"as urgent ones have", Admission{Left: -5, Debt: 10, Unreported: Demand{20}}, 0, 1, 0, VerdictSpent},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.admission.Decide(test.rank, test.cost, test.draw), qt.Equals, test.verdict)
		})
	}
}

// TestReturnsFitTheRefill: requests refused at the same time come back one after the other, and
// one whose caller doesn't wait for so long leaves its place to the next.
func TestReturnsFitTheRefill(t *testing.T) {
	c := qt.New(t)
	var r Returns
	schedule := func(rank int, patience time.Duration) time.Duration {
		return r.Schedule(epoch, rank, 50, 100, 300*time.Millisecond, patience)
	}
	c.Assert(schedule(0, time.Second), qt.Equals, 300*time.Millisecond)
	c.Assert(schedule(0, time.Second), qt.Equals, 800*time.Millisecond)
	c.Assert(schedule(0, time.Second), qt.Equals, 1300*time.Millisecond)
	c.Assert(schedule(0, 2*time.Second), qt.Equals, 1300*time.Millisecond)
	c.Assert(schedule(0, 2*time.Second), qt.Equals, 1800*time.Millisecond)
	// Another rank has its own schedule, and a later time is not bound by an earlier one.
	c.Assert(schedule(1, time.Second), qt.Equals, 300*time.Millisecond)
	c.Assert(r.Schedule(epoch.Add(time.Minute), 0, 50, 100, 0, time.Second), qt.Equals, time.Duration(0))
}

// TestReturnsAreBounded: a single expensive request at a small rate doesn't keep all later ones of its
// rank away for minutes.
func TestReturnsAreBounded(t *testing.T) {
	c := qt.New(t)
	var r Returns
	const longest = 3 * time.Second
	c.Assert(r.Schedule(epoch, 2, 12_400, 35, time.Second, longest), qt.Equals, time.Second)
	c.Assert(r.Schedule(epoch, 2, 12_400, 35, time.Second, longest) <= time.Second+longest, qt.IsTrue)
}
