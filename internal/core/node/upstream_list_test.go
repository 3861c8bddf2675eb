package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
)

// TestListChangesReachAllNodes adds and removes upstreams while messages are
// lost, and checks that all nodes have the platform's list afterwards.
func TestListChangesReachAllNodes(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 6, 2, Faults{})
	w.loss = 0.2
	for i := range 20 {
		w.addUpstream("plans", 10+i)
		delete(w.upstreams, fmt.Sprintf("plans-%d", 10+i/2))
		w.run(700 * time.Millisecond)
	}
	w.loss = 0
	w.run(3 * time.Second)
	for _, n := range w.nodes {
		c.Assert(n.node.Upstreams(), qt.DeepEquals, w.list())
	}
}

// TestLeavingIsKnownEverywhere checks that all nodes know of a reclaim within
// leavingGrace of its announcement in the list.
func TestLeavingIsKnownEverywhere(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4, 6, 3, Faults{})
	u := w.upstreams["plans-1"]
	w.reclaimUpstream(u, 30*time.Second)
	w.run(leavingGrace)
	for _, n := range w.nodes {
		c.Assert(n.node.upstreams.IsLeaving(u.entry.ID), qt.IsTrue, qt.Commentf("%s", n.member.ID))
	}
}

// BenchmarkLeaving measures the time from the announcement of an upstream's
// reclaim to the last new request that any node sends it, at 100 requests per
// second and 7 nodes. The upstreams in this run accept all requests, so the
// nodes learn of the reclaim only from the list.
func BenchmarkLeaving(b *testing.B) {
	for b.Loop() {
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		for seed := range uint64(50) {
			_ = h.RecordValue(max(leavingTime(seed).Microseconds(), 1))
		}
		b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
		b.ReportMetric(float64(h.Max())/1000, "max-ms")
	}
}

func leavingTime(seed uint64) time.Duration {
	w := newWorld(seed, 7, 4, Faults{})
	u := w.upstreams["plans-1"]
	w.acceptWhileLeaving = true
	var last time.Time
	w.failDispatch = func(x *fakeUpstream) bool {
		if x == u {
			last = w.now
		}
		return false
	}
	w.run(time.Duration(seed*37%1000) * time.Millisecond)
	w.reclaimUpstream(u, time.Minute)
	announced := w.now
	for i := range 500 {
		w.newCaller(fmt.Sprintf("l%d", i), fmt.Appendf(nil, "%d", i), false, 15*time.Second).send()
		w.run(10 * time.Millisecond)
	}
	return max(last.Sub(announced), 0)
}
