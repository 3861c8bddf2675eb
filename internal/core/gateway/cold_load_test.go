package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

// Upstreams that had just started, or a zone of them that came back, got from each of many nodes
// what that one thought bearable: together many times what a cold upstream tolerates, and it
// crashed again. The tests load all nodes beyond what cold upstreams take, and count what reaches
// each upstream in any second.

// fleetSizes are the numbers of nodes that share cold upstreams.
var fleetSizes = []int{7, 70, 340}

func TestColdUpstreamsUnderLoad(t *testing.T) {
	const left = 30 * time.Second
	for _, row := range []struct {
		name string
		// upstreams is the number of those that are cold, and there are no others.
		upstreams int
		// prepare changes the nodes before the upstreams start, act while they are cold.
		prepare func(w *coldWorld)
		act     func(w *coldWorld, since time.Duration)
		// used is the part of what they tolerate that they get at least.
		used float64
	}{
		{name: "one upstream", upstreams: 1, used: 0.5},
		{name: "a zone of upstreams comes back", upstreams: 15, used: 0.5},
		{name: "all nodes cut off from each other", upstreams: 2, used: 0.5, prepare: func(w *coldWorld) {
			w.linked = func(int, int) bool { return false }
		}},
		{name: "a third cut off", upstreams: 2, used: 0.5, prepare: func(w *coldWorld) {
			w.linked = func(a, b int) bool { return a%3 == 0 == (b%3 == 0) }
		}},
		{name: "nodes restart in turn", upstreams: 2, used: 0.5, act: func(w *coldWorld, since time.Duration) {
			if since%(500*time.Millisecond) == 0 {
				w.start(int(since/(500*time.Millisecond)) % len(w.nodes))
			}
		}},
		{name: "all nodes restart at once", upstreams: 2, used: 0.5, act: func(w *coldWorld, since time.Duration) {
			if since == 2*time.Second {
				for i := range w.nodes {
					w.start(i)
				}
			}
		}},
		{name: "nodes that half of the others don't know", upstreams: 2, used: 0.3, prepare: func(w *coldWorld) {
			w.addNodes(len(w.nodes) / 2)
		}},
		{name: "a list that lacks a third of the nodes", upstreams: 2, used: 0.3, prepare: func(w *coldWorld) {
			w.removeThird()
		}},
		{name: "a third removed from the list long ago, which can't read it", upstreams: 2, used: 0.5, prepare: func(w *coldWorld) {
			w.removeThird()
			w.now = w.now.Add(w.nodes[1].rosterTime(rosterRetentionIntervals) + time.Second)
			w.removeThird()
			w.now = w.now.Add(time.Second)
		}},
	} {
		for _, nodes := range fleetSizes {
			t.Run(fmt.Sprint(row.name, "/", nodes), func(t *testing.T) {
				t.Parallel()
				w := newColdWorld(t, nodes)
				if row.prepare != nil {
					row.prepare(w)
				}
				w.exchangeStatuses()
				w.put(everyNode, coldUpstreams(row.upstreams, left)...)
				from := w.now
				w.play(4*time.Second, func(since time.Duration) {
					if row.act != nil {
						row.act(w, since)
					}
				})
				w.checkCold(from, row.used)
			})
		}
	}
}

// addNodes adds nodes to the store's list, which only those with an odd number have read.
func (w *coldWorld) addNodes(n int) {
	for range n {
		i := len(w.nodes)
		w.nodes = append(w.nodes, nil)
		w.start(i)
		w.entries = append(w.entries, NodeEntry{Node: coldNode(i), PeerAddress: coldNode(i) + ":2"})
	}
	for i := range w.nodes {
		if i%2 == 1 || i >= len(w.nodes)-n {
			w.reduce(i, NodesListed{Nodes: w.entries})
		}
	}
}

// removeThird lets two thirds of the nodes read a list without the others, which run on.
func (w *coldWorld) removeThird() {
	var kept []NodeEntry
	for i, e := range w.entries {
		if i%3 != 0 {
			kept = append(kept, e)
		}
	}
	w.linked = func(a, b int) bool { return a%3 == 0 == (b%3 == 0) }
	for i := range w.nodes {
		if i%3 != 0 {
			w.reduce(i, NodesListed{Nodes: kept})
		}
	}
}

// TestUpstreamThatBecomesColdInUse: an engine in use loses its caches without notice. From when a
// node has learned it, the node sends nothing for a second; when all have, the bound holds.
func TestUpstreamThatBecomesColdInUse(t *testing.T) {
	for _, nodes := range fleetSizes {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			w := newColdWorld(t, nodes)
			w.put(everyNode, up("m0", "model"))
			w.play(2 * time.Second)
			w.Assert(w.mostIn("m0", epoch) > coldBound, qt.IsTrue, qt.Commentf("the engine is busy"))
			learned := w.now
			early := func(node int) bool { return node%2 == 0 }
			w.put(early, coldUpstreams(1, 30*time.Second)...)
			w.play(time.Second)
			for _, s := range w.sent["m0"] {
				w.Assert(early(s.node) && s.at.After(learned), qt.IsFalse, qt.Commentf("node %d sends %v after it learned", s.node, s.at.Sub(learned)))
			}
			w.read(everyNode)
			from := w.now.Add(1)
			w.play(4 * time.Second)
			w.checkCold(from, 0.5)
		})
	}
}

// TestUpstreamBecomesWarm: when the cold time is over, the engine takes what it takes.
func TestUpstreamBecomesWarm(t *testing.T) {
	w := newColdWorld(t, 70)
	w.put(everyNode, coldUpstreams(1, 2*time.Second)...)
	w.play(1900 * time.Millisecond)
	w.Assert(w.mostIn("m0", epoch) <= coldBound, qt.IsTrue)
	w.play(time.Second)
	w.Assert(w.mostIn("m0", epoch) > 3*coldBound, qt.IsTrue, qt.Commentf("%d", w.mostIn("m0", epoch)))
}

// TestWarmUpstreamsGoBeforeColdOnes, which are used when the others leave too little time.
func TestWarmUpstreamsGoBeforeColdOnes(t *testing.T) {
	w := newColdWorld(t, 1)
	list := coldUpstreams(2, 30*time.Second)
	list[0].ColdLeft = 0
	w.put(everyNode, list...)
	w.play(3 * time.Second)
	w.Assert(len(w.sent["m0"]) > 0 && len(w.sent["m1"]) == 0, qt.IsTrue)
	g := w.nodes[0]
	for i := range 64 {
		g.upstreams.RecordStart(w.now, "m0", uint64(1000+i), placement.Prompt{})
	}
	w.play(3 * time.Second)
	w.Assert(len(w.sent["m1"]) >= 3*coldPerSecond/2, qt.IsTrue, qt.Commentf("%d", len(w.sent["m1"])))
}
