package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

// TestSuccessorKeepsStartingUpstreams: the lease changes hands while on-demand upstreams are starting
// after a reclaim. The successor must not order fewer than its predecessor, which would stop
// them, nor as many again.
func TestSuccessorKeepsStartingUpstreams(t *testing.T) {
	c := qt.New(t)
	first := New("plans", scaling())
	order := Order{Service: "plans", Zone: "a", Count: 7}
	first.NoteAccepted(AcceptedOrder{order, epoch})
	first.updateZones(View{})
	successor := New("plans", scaling())
	for _, o := range first.Accepted(epoch.Add(time.Second)) {
		successor.NoteAccepted(o)
	}
	s := segment{zone: "a"}
	c.Assert(successor.expected(epoch.Add(2*time.Second), s, 1), qt.Equals, 7)
	// An older report sets nothing back, and upstreams that don't appear count as missing.
	successor.NoteAccepted(AcceptedOrder{Order{Service: "plans", Zone: "a", Count: 2}, epoch.Add(-time.Second)})
	c.Assert(successor.expected(epoch.Add(2*time.Second), s, 1), qt.Equals, 7)
	late := epoch.Add(scaling().StartTime + startMargin + time.Second)
	c.Assert(successor.expected(late, s, 1), qt.Equals, 1)
	c.Assert(first.Accepted(late), qt.HasLen, 0)
}

// TestReportOfAReclaimedOrder: a report that arrives after the zone's upstreams are reclaimed, of an
// order before it, doesn't make them count as starting again.
func TestReportOfAReclaimedOrder(t *testing.T) {
	c := qt.New(t)
	p := New("plans", scaling())
	s := segment{zone: "a", reclaimable: true}
	order := Order{Service: "plans", Zone: "a", Reclaimable: true, Count: 4}
	p.NoteAccepted(AcceptedOrder{order, epoch})
	now := epoch.Add(time.Second)
	reclaimed := placement.Upstream{ID: "u", Service: "plans", Zone: "a", Reclaimable: true, State: placement.StateDraining, StopsAt: now.Add(time.Second)}
	p.Observe(now, View{Upstreams: []placement.Upstream{reclaimed}})
	p.NoteAccepted(AcceptedOrder{order, epoch.Add(100 * time.Millisecond)})
	c.Assert(p.expected(now, s, 0), qt.Equals, 0)
}
