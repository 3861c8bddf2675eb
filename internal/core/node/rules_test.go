package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/platform"
)

// inForceTime is the target for the time until a change is in force on all
// nodes.
const inForceTime = 7 * time.Second

func (w *world) applyAt(n *worldNode, base uint64, edit string) {
	text := worldRules + "# " + edit + "\n"
	w.deliver(n, ApplyRules{Base: base, Text: text, Edit: edit})
}

// lowestRevision returns the lowest revision in force on a living node.
func (w *world) lowestRevision() uint64 {
	lowest := ^uint64(0)
	for _, n := range w.living() {
		_, r := n.node.Rules()
		lowest = min(lowest, r)
	}
	return lowest
}

// TestRulesSurviveFaults applies a change under each fault and checks that it
// is in force on all nodes within inForceTime.
func TestRulesSurviveFaults(t *testing.T) {
	faults := map[string]func(w *world){
		"none":              func(*world) {},
		"lost replies":      func(w *world) { w.store.loseReplies = true },
		"slow store":        func(w *world) { w.store.slow = true },
		"short outage":      func(w *world) { w.store.down = true; w.after(2*time.Second, func() { w.store.down = false }) },
		"lost messages":     func(w *world) { w.loss = 0.2 },
		"paused node":       func(w *world) { w.pause(w.nodes[3], 3*time.Second) },
		"paused watcher":    func(w *world) { w.pause(w.nodes[1], 3*time.Second); w.pause(w.nodes[2], 3*time.Second) },
		"one-way partition": func(w *world) { w.partition(w.nodes[0], w.nodes[4], false, 3*time.Second) },
		"death of applier":  func(w *world) { w.after(30*time.Millisecond, func() { w.kill(w.nodes[0]) }) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(9, 7, 4, Faults{})
			fault(w)
			w.applyAt(w.nodes[0], 1, "change")
			w.run(inForceTime)
			c.Assert(w.lowestRevision(), qt.Equals, uint64(2))
		})
	}
}

// TestNodeStartsDuringOutage checks that a node that starts while the platform
// is down gets the rules from its peers.
func TestNodeStartsDuringOutage(t *testing.T) {
	c := qt.New(t)
	w := newWorld(10, 5, 3, Faults{})
	w.applyAt(w.nodes[0], 1, "change")
	w.run(time.Second)
	w.store.down = true
	n := w.addNode("zone-1")
	w.run(inForceTime)
	_, revision := n.node.Rules()
	c.Assert(revision, qt.Equals, uint64(2))
}

// TestRulesNeverRevert makes the platform and a peer send older texts.
func TestRulesNeverRevert(t *testing.T) {
	c := qt.New(t)
	w := newWorld(11, 5, 3, Faults{})
	old := w.store.objects[RulesPath]
	w.applyAt(w.nodes[0], 1, "change")
	w.run(time.Second)
	c.Assert(w.lowestRevision(), qt.Equals, uint64(2))
	for i, n := range w.nodes {
		w.deliver(n, ObjectChanged{Path: RulesPath, Object: platform.Object{Revision: uint64(100 + i), Value: old.Value}})
		w.deliver(n, PeerReceived{From: w.nodes[0].member.ID, Message: peer.RulesUpdate{Revision: 1, Document: old.Value}})
	}
	w.store.objects[RulesPath] = platform.Object{Revision: 500, Value: old.Value}
	w.run(30 * time.Second)
	c.Assert(w.lowestRevision(), qt.Equals, uint64(2))
}

// TestOperatorsRace applies two changes of one revision at two nodes: one is
// accepted, the other gets a conflict.
func TestOperatorsRace(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		w := newWorld(seed, 4, 2, Faults{})
		w.store.loseReplies = seed%2 == 0
		w.record = true
		w.applyAt(w.nodes[0], 1, "one")
		w.applyAt(w.nodes[1], 1, "two")
		w.run(10 * time.Second)
		outcomes := map[ApplyOutcome]int{}
		for _, n := range w.nodes[:2] {
			for _, r := range n.recorded {
				for _, e := range r.effects {
					if a, ok := e.(RulesApplied); ok {
						outcomes[a.Outcome]++
					}
				}
			}
		}
		c.Assert(outcomes, qt.DeepEquals, map[ApplyOutcome]int{ApplyAccepted: 1, ApplyConflict: 1}, qt.Commentf("seed %d", seed))
		c.Assert(w.lowestRevision(), qt.Equals, uint64(2))
	}
}

// TestRulesWatchesPerHour counts the watches per hour on rules that do not
// change. One node of each zone watches, and a watch without a change ends after
// 20 s.
func TestRulesWatchesPerHour(t *testing.T) {
	c := qt.New(t)
	w := newWorld(12, 7, 4, Faults{})
	before := w.store.watches
	w.run(10 * time.Minute)
	hour := 6 * (w.store.watches - before)
	c.Assert(hour < 4*200, qt.IsTrue, qt.Commentf("%d watches an hour", hour))
	t.Logf("%d watches an hour at 7 nodes in 4 zones", hour)
}
