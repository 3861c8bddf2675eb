package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
)

// TestOvertakenStatusIsIgnored: bytes that a partition has held up on an old connection
// arrive after statuses on a new one. An older status set back what the peer had reported.
func TestOvertakenStatusIsIgnored(t *testing.T) {
	a, b := newBench(t, "a"), newBench(t, "b")
	for _, n := range []*bench{a, b} {
		n.ready(up("d1", "desk"))
	}
	a.receive(status("b"))
	var sent []peer.Status
	for range 2 {
		for _, e := range a.wait(time.Second) {
			send, _ := e.(Send)
			if s, ok := send.Message.(peer.Status); ok {
				sent = append(sent, s)
			}
		}
		a.receive(status("b"))
		a.reduce(Stop{})
	}
	b.receive(sent[len(sent)-1])
	b.Assert(b.g.CallerAddresses(64), qt.DeepEquals, []string{"b:1"})
	b.receive(sent[0])
	b.Assert(b.g.CallerAddresses(64), qt.DeepEquals, []string{"b:1"})
}

// TestStatusesAreSpread: a node among 64 sends at most a third of its statuses
// in one tick, because all of them at once occupy a small VM's link for a long
// time, and each peer still receives one in time.
func TestStatusesAreSpread(t *testing.T) {
	b := newBench(t, "self")
	b.ready(up("d1", "desk"))
	const peers = 63
	lastSent := make(map[string]time.Time)
	for step := range 100 {
		b.now = b.now.Add(TickInterval)
		for i := range peers {
			s := status(fmt.Sprint("n", i))
			b.receive(s)
		}
		sent := 0
		for _, e := range b.reduce(Tick{}) {
			send, ok := e.(Send)
			if _, isStatus := send.Message.(peer.Status); !ok || !isStatus {
				continue
			}
			sent++
			lastSent[send.Node] = b.now
		}
		if step < 50 {
			continue
		}
		b.Assert(sent <= peers/3, qt.IsTrue, qt.Commentf("%d statuses in one tick", sent))
		for i := range peers {
			age := b.now.Sub(lastSent[fmt.Sprint("n", i)])
			b.Assert(age < 2*b.g.interval(), qt.IsTrue, qt.Commentf("%v", age))
		}
	}
}

// TestLostNodeIsKnownWithinTheContactBound guards against a node among hundreds that callers are
// sent to, and whose shares are reserved, for many seconds after it has lost power: its silence
// shows only after several intervals, which grow with the nodes. A node that is reached in one
// direction only is not lost.
func TestLostNodeIsKnownWithinTheContactBound(t *testing.T) {
	const contactBound = 5 * time.Second
	for _, nodes := range []int{7, 60, 195, 340} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			b := newBench(t, "n0")
			b.ready()
			for n := 1; n < nodes; n++ {
				b.receive(status(fmt.Sprint("n", n)))
			}
			inContact := func(node string) bool { return b.g.inContact(b.g.members[node]) }
			send := func(node string) {
				s := status(node)
				s.Seq = uint64(b.now.UnixNano())
				b.receive(s)
			}
			lostAt := b.now
			oneWaySentAt := b.now
			for b.now.Sub(lostAt) < contactBound {
				b.wait(TickInterval)
				if b.now.Sub(oneWaySentAt) >= b.g.interval()*5/4 {
					send("n2")
					oneWaySentAt = b.now
				}
				b.reduce(PeerUnreachable{Node: "n1"})
				b.reduce(PeerUnreachable{Node: "n2"})
				b.Assert(inContact("n2"), qt.IsTrue, qt.Commentf("after %v", b.now.Sub(lostAt)))
			}
			b.Assert(inContact("n1"), qt.IsFalse)
		})
	}
}

// TestReadsOfTheListOfNodesAreBounded: the nodes together read the list at most ten times a second
// however many they are, as soon as it tells them nothing new; a node that is missing from the
// list or has just learned of another one reads it again soon.
func TestReadsOfTheListOfNodesAreBounded(t *testing.T) {
	const maxReads = 10.001
	for _, nodes := range []int{7, 60, 195, 340} {
		b := newBench(t, "n0")
		b.ready()
		var entries []NodeEntry
		for n := range nodes {
			entries = append(entries, NodeEntry{Node: fmt.Sprint("n", n), PeerAddress: "a"})
		}
		b.reduce(NodesListed{Nodes: entries})
		b.Assert(b.g.NodesInterval(), qt.Equals, minNodesInterval)
		b.reduce(NodesListed{Nodes: entries})
		reads := float64(nodes) / b.g.NodesInterval().Seconds()
		b.Assert(reads <= maxReads, qt.IsTrue, qt.Commentf("%d nodes, %.1f reads a second", nodes, reads))
		b.Assert(has(RegisterNode{}, b.reduce(NodesListed{Nodes: entries[1:]})), qt.IsTrue)
		b.Assert(b.g.NodesInterval(), qt.Equals, minNodesInterval)
	}
}
