package gateway

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

var fourRejections = placement.RateLimit{Named: true, PerSecond: 4}

// runnableAt returns the requests that each node of groups in contact runs at a brittle
// upstream with six slots, if it gets as many as it takes.
func runnableAt(t *testing.T, groups []int) []int {
	var names []string
	var group []int
	for i, n := range groups {
		for range n {
			names = append(names, fmt.Sprint("node-", len(names)))
			group = append(group, i)
		}
	}
	var running []int
	for i, name := range names {
		b := newBench(t, name)
		b.ready(up("d1", "desk"))
		var entries []NodeEntry
		for j, other := range names {
			entries = append(entries, NodeEntry{Node: other, PeerAddress: other})
			if other != name && group[i] == group[j] {
				b.receive(status(other))
			}
		}
		b.reduce(NodesListed{Nodes: entries})
		b.g.upstreams.RecordBrittle(b.now, b.now, "d1", fourRejections)
		for range 20 {
			b.arrive("/book/1")
		}
		running = append(running, len(b.running()))
	}
	return running
}

// TestPartsOfSlots: all nodes together run no more at a brittle upstream than it has slots, for
// any number of nodes, all in contact or not, and use most of them.
func TestPartsOfSlots(t *testing.T) {
	for name, groups := range map[string][]int{
		"one node": {1}, "two": {2}, "four": {4}, "as many as slots": {6}, "one more": {7}, "many": {40},
		"halves": {3, 3}, "one cut off": {1, 5}, "all cut off": {1, 1, 1, 1, 1, 1}, "many, a third cut off": {20, 10},
	} {
		t.Run(name, func(t *testing.T) {
			sum := 0
			for _, n := range runnableAt(t, groups) {
				sum += n
			}
			qt.Check(t, sum <= 6, qt.IsTrue, qt.Commentf("%d", sum))
			qt.Check(t, sum >= 6-len(groups)+1, qt.IsTrue, qt.Commentf("%d", sum))
		})
	}
}

// TestBrittlenessIsReported: the statuses of a node have what upstreams have said to it, and
// others keep to it.
func TestBrittlenessIsReported(t *testing.T) {
	a, b := newBench(t, "a"), newBench(t, "b")
	for _, n := range []*bench{a, b} {
		n.ready(up("d1", "desk"))
	}
	a.receive(status("b"))
	conn, effects := a.arrive("/book/1")
	d := a.dispatch(effects)
	a.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultFull, Framing: FramingLength, Signals: Signals{Brittle: fourRejections}})
	a.Assert(b.receiveStatus(a.wait(statusInterval*2), "b"), qt.IsTrue)
	for range 20 {
		b.arrive("/book/1")
	}
	b.Assert(len(b.running()), qt.Equals, 3)
}

// TestNodeWithoutPartPassesOn: a node that has no part of any slots passes requests on to one
// that has, and refuses at once those that were passed on to it.
func TestNodeWithoutPartPassesOn(t *testing.T) {
	for n := 0; ; n++ {
		b := newBench(t, "a")
		id := fmt.Sprint("d", n)
		b.ready(up(id, "desk"))
		var sharers []string
		for i := range 20 {
			s := reachingPeer(fmt.Sprint("n", i))
			b.receive(s)
		}
		b.g.upstreams.RecordBrittle(b.now, b.now, id, fourRejections)
		if _, usable := b.g.upstreams.Usable(b.now, "desk", 0); len(usable) > 0 {
			continue
		}
		sharers = b.g.sharers(placement.Shared{ID: id, Slots: 6})
		b.Assert(sharers, qt.HasLen, 6)
		_, effects := b.arrive("/book/1")
		d := b.dispatch(effects)
		b.Assert(sharers, qt.Contains, d.Relay.Node)
		effects = b.reduce(Arrived{Conn: 99, Request: Request{ID: "r", Host: "h", Path: "/book/1", Key: "k"}, Relayed: &Relayed{From: "c", Attempts: 1}})
		b.Assert(refusal(effects), qt.Equals, ReasonOverload)
		older := status("n0")
		older.Seq = 0
		for i := range 20 {
			older.Node = fmt.Sprint("n", i)
			b.receive(older)
		}
		_, effects = b.arrive("/book/1")
		b.Assert(refusal(effects), qt.Equals, ReasonOverload)
		return
	}
}
