package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEvacuatedZoneIsNoCapacity: a zone is emptied at high load. What its upstreams took is ordered
// in the other zones at once, and nothing is ordered or released in the empty one, which keeps its
// fleet for its return.
func TestEvacuatedZoneIsNoCapacity(t *testing.T) {
	c := qt.New(t)
	const work = 6
	cloud := newLargeCloud(3, 12)
	cloud.run(40*time.Second, work)
	before := cloud.count("a", true) + cloud.count("a", false)
	elsewhere := cloud.serving() - before
	cloud.evacuated, cloud.orders = []string{"a"}, nil
	cloud.run(300*time.Millisecond, work)
	c.Assert(cloud.orders, qt.Not(qt.HasLen), 0)
	cloud.run(30*time.Second, work)
	for _, o := range cloud.orders {
		c.Assert(o.Zone, qt.Not(qt.Equals), "a", qt.Commentf("%+v", o))
	}
	c.Assert(cloud.count("a", true)+cloud.count("a", false), qt.Equals, before)
	c.Assert(cloud.serving()-before > elsewhere, qt.IsTrue, qt.Commentf("%d serve elsewhere, %d before", cloud.serving()-before, elsewhere))

	// It counts again when the evacuation ends. Nothing is released before its upstreams are warm.
	serving := cloud.serving()
	cloud.evacuated, cloud.keepAll = nil, true
	cloud.run(10*time.Second, work)
	c.Assert(cloud.serving() >= serving, qt.IsTrue)
	cloud.keepAll = false
	cloud.run(30*time.Second, work)
	c.Assert(cloud.serving() < serving, qt.IsTrue)
}

// TestAllZonesEvacuated: nothing can be ordered, and the planner goes on when a zone is back.
func TestAllZonesEvacuated(t *testing.T) {
	c := qt.New(t)
	cloud := newCloud(3)
	cloud.run(20*time.Second, 3)
	cloud.evacuated, cloud.orders = []string{"a", "b", "c", "d"}, nil
	cloud.run(5*time.Second, 3)
	c.Assert(cloud.orders, qt.HasLen, 0)
	cloud.evacuated = []string{"b", "c", "d"}
	cloud.run(5*time.Second, 3)
	c.Assert(cloud.orders, qt.Not(qt.HasLen), 0)
	for _, o := range cloud.orders {
		c.Assert(o.Zone, qt.Equals, "a")
	}
}
