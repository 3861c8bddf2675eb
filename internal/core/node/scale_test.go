package node

import (
	"fmt"
	"sort"
	"time"

	"monsoonlanding/internal/core/peer"
)

// announceAll announces all nodes to every node at once.
func (w *world) announceAll() {
	var members []peer.Member
	for _, n := range w.nodes {
		members = append(members, n.member)
	}
	for _, n := range w.nodes {
		w.deliver(n, MembersListed{Members: members})
	}
}

// changeRules applies changes one after another at node 0, with one node paused
// during each, and returns the sorted times in seconds until each was in force.
func (w *world) changeRules(changes int) []float64 {
	var times []float64
	for i := range changes {
		_, base := w.nodes[0].node.Rules()
		w.pause(w.nodes[1+i%(len(w.nodes)-1)], 2*time.Second)
		started := w.now
		change := ApplyRules{Base: base, Text: worldRules + fmt.Sprintf("# change %d\n", i), Edit: fmt.Sprint("edit", i)}
		w.deliver(w.nodes[0], change)
		for !w.inForce(base + 1) {
			w.run(10 * time.Millisecond)
			if w.now.Sub(started) > time.Minute {
				break
			}
		}
		times = append(times, w.now.Sub(started).Seconds())
		w.run(3 * time.Second)
	}
	sort.Float64s(times)
	return times
}

func (w *world) inForce(revision uint64) bool {
	for _, n := range w.nodes {
		if _, r := n.node.Rules(); r < revision {
			return false
		}
	}
	return true
}
