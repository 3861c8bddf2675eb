package node

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/caller"
)

// newRegions starts six nodes in two regions of three zones each.
func newRegions(seed uint64) *world {
	w := newWorld(seed, 0, 3, Faults{})
	for i := range 6 {
		w.region = fmt.Sprintf("region-%d", i/3)
		w.addNode(fmt.Sprintf("zone-%d", i))
	}
	w.run(2 * time.Second)
	return w
}

// TestCopiesStayInTheirRegion checks that all backups are in the holder's
// region, one of them in another zone, as long as that region has other nodes.
func TestCopiesStayInTheirRegion(t *testing.T) {
	c := qt.New(t)
	w := newRegions(1)
	for i := range 100 {
		f := w.newCaller(fmt.Sprintf("r%d", i), fmt.Appendf(nil, "%d", i), false, 15*time.Second)
		n := w.nodes[i%6]
		f.sendTo(n)
		w.run(20 * time.Millisecond)
		r := n.node.records[f.key]
		c.Assert(r.accepted, qt.IsTrue)
		for _, b := range r.backups {
			c.Assert(w.resolve(b.id).member.Region, qt.Equals, n.member.Region)
		}
		c.Assert(r.secured(n.member.Zone), qt.IsTrue)
	}
}

// TestPartitionedRegions partitions the regions from each other for a while.
// Both continue to serve, and no booking sent to both runs twice.
func TestPartitionedRegions(t *testing.T) {
	c := qt.New(t)
	w := newRegions(2)
	for _, a := range w.nodes[:3] {
		for _, b := range w.nodes[3:] {
			w.partition(a, b, true, 30*time.Second)
		}
	}
	for i := range 60 {
		f := w.newCaller(fmt.Sprintf("b%d", i), fmt.Appendf(nil, "%d", i), i%2 == 0, 15*time.Second)
		f.sendTo(w.nodes[i%3])
		f.sendTo(w.nodes[3+i%3])
		w.run(300 * time.Millisecond)
	}
	w.run(40 * time.Second)
	c.Assert(w.oracle.finalViolations(w, modeAny), qt.HasLen, 0)
	answered := 0
	for _, f := range w.callers {
		if _, ok := f.final.(caller.Done); ok {
			answered++
		}
	}
	c.Assert(answered >= 30, qt.IsTrue, qt.Commentf("%d of 60", answered))
}
