package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// directoryBound is the time after which callers may no longer be sent to a node that was lost.
const directoryBound = 7 * time.Second

// TestDirectoryForgetsSilentNodes: a zone of hundreds of nodes is lost at once, so that nobody is left
// there who reports that its nodes can't be reached. Callers were sent to them until four intervals
// had passed, 13 s among 340 nodes. A node whose statuses come as late as they may stays named.
func TestDirectoryForgetsSilentNodes(t *testing.T) {
	for _, nodes := range []int{7, 70, 125, 340} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			b := newBench(t, "n0")
			b.ready()
			for n := 1; n < nodes; n++ {
				b.receive(status(fmt.Sprint("n", n)))
			}
			b.Assert(b.g.CallerAddresses(nodes), qt.HasLen, nodes)
			sentAt := b.now
			for end := b.now.Add(directoryBound); b.now.Before(end); {
				b.wait(TickInterval)
				if b.now.Sub(sentAt) >= b.g.interval()*5/4 {
					s := status("n2")
					s.Seq = uint64(b.now.UnixNano())
					b.receive(s)
					sentAt = b.now
				}
				b.Assert(slices.Contains(b.g.CallerAddresses(nodes), "n2:1"), qt.IsTrue)
			}
			b.Assert(b.g.CallerAddresses(nodes), qt.DeepEquals, []string{"n0:1", "n2:1"})
		})
	}
}

// TestDirectoryNamesNodesBetweenStatuses: among many hundreds of nodes the interval of statuses comes
// near the age from which on a node is not named, and live nodes were left out between two statuses.
func TestDirectoryNamesNodesBetweenStatuses(t *testing.T) {
	const nodes = 600
	b := newBench(t, "n0")
	b.ready()
	for n := 1; n < nodes; n++ {
		b.receive(status(fmt.Sprint("n", n)))
	}
	for end := b.now.Add(b.g.interval() * 5 / 4); b.now.Before(end); {
		b.wait(TickInterval)
		b.Assert(b.g.CallerAddresses(nodes), qt.HasLen, nodes, qt.Commentf("after %v", b.now.Sub(epoch)))
	}
}

// TestDirectoryForgetsLostNodes: among nodes that forward each other's statuses nobody names a lost
// node later than the bound, be it a single one, a few, or a zone.
func TestDirectoryForgetsLostNodes(t *testing.T) {
	for name, isLost := range map[string]func(i int, zone string) bool{
		"one node":    func(i int, _ string) bool { return i == 7 },
		"a few nodes": func(i int, _ string) bool { return i%25 == 7 },
		"a zone":      func(_ int, zone string) bool { return zone == "z1" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newPeerWorld(t, 5, 14)
			f.play(3*time.Second, func() {})
			var lost []string
			for i, node := range f.names {
				if isLost(i, f.nodes[node].zone) {
					f.nodes[node].dead = true
					lost = append(lost, f.nodes[node].cfg.CallerAddress)
				}
			}
			f.play(directoryBound, func() {})
			for _, node := range f.names {
				if f.nodes[node].dead {
					continue
				}
				named := f.nodes[node].CallerAddresses(len(f.names))
				f.Assert(len(named), qt.Equals, len(f.names)-len(lost))
				for _, address := range lost {
					f.Assert(slices.Contains(named, address), qt.IsFalse, qt.Commentf("%s names %s", node, address))
				}
			}
		})
	}
}
