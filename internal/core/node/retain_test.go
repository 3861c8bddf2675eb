package node

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
)

// TestStateIsRemovedAfterRetention sends requests and checks that no state of
// them is left after the retention period.
func TestStateIsRemovedAfterRetention(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 4, 4, Faults{})
	for i := range 100 {
		w.newCaller(fmt.Sprintf("r%d", i), fmt.Appendf(nil, "%d", i), i%2 == 0, 5*time.Second).send()
		w.run(10 * time.Millisecond)
	}
	w.run(5 * time.Minute)
	for _, n := range w.nodes {
		left := []int{
			len(n.node.records), len(n.node.ended), len(n.node.attempts), len(n.node.subs), len(n.node.conns),
			len(n.node.claims), len(n.node.storeCalls), len(n.node.timers.heap), n.node.bytes,
		}
		c.Assert(left, qt.DeepEquals, make([]int, len(left)), qt.Commentf("%s", n.member.ID))
	}
}

// TestRecordsOfDeadNodesAreRemoved lists a node that died and checks that one
// node removes its record.
func TestRecordsOfDeadNodesAreRemoved(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2, 5, 3, Faults{})
	w.kill(w.nodes[4])
	w.run(10 * time.Second)
	var members []peer.Member
	for _, n := range w.nodes {
		members = append(members, n.member)
	}
	removed := 0
	for _, n := range w.nodes[:4] {
		for _, e := range n.node.Reduce(w.now, MembersListed{Members: members}) {
			if f, ok := e.(RemoveMember); ok {
				c.Assert(f.ID, qt.Equals, w.nodes[4].member.ID)
				removed++
			}
		}
	}
	c.Assert(removed, qt.Equals, 1)
}
