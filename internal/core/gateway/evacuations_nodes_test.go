package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/evacuation"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/store"
)

// evacuatedAt returns how many live nodes know that the zone is evacuated.
func (f *peerWorld) evacuatedAt(zone string) int {
	n := 0
	for _, name := range f.names {
		if !f.nodes[name].dead && f.nodes[name].upstreams.IsEvacuated(zone) {
			n++
		}
	}
	return n
}

// restart replaces a node's process.
func (f *peerWorld) restart(name string) {
	n := f.nodes[name]
	cfg := n.cfg
	cfg.Start++
	n.Gateway = New(cfg, rand.New(rand.NewPCG(7, 3)))
	var entries []NodeEntry
	for _, other := range f.names {
		entries = append(entries, NodeEntry{Node: other, PeerAddress: other + ":2"})
	}
	for _, e := range []Event{ConfigRead{Config: testConfig(1), Body: []byte("1")}, RolloutsChanged{}, UpstreamsListed{}, NodesListed{Nodes: entries}} {
		f.reduce(name, e)
	}
}

// TestEvacuationReachesAllNodes: one node of 70 watches the store; all others are cut off from it.
// They learn of an evacuation and its end from the statuses within a second, those to which the
// watcher can't send too; a node that starts in the middle learns it as well, and late reads of
// the store set nothing back.
func TestEvacuationReachesAllNodes(t *testing.T) {
	f := newPeerWorld(t, 5, 14)
	f.play(5*time.Second, func() {})
	revision := store.Revision{Number: 100}
	watcher, other := f.names[0], f.names[1]
	read := func(node string, zones ...string) {
		f.reduce(node, EvacuationsListed{Zones: zones, Revision: revision})
	}
	read(watcher)
	read(other)
	for round := range 3 {
		revision.Number++
		f.reduce(watcher, EvacuationsChanged{Put: []string{"z1"}, Revision: revision})
		f.play(time.Second, func() {})
		f.Assert(f.evacuatedAt("z1"), qt.Equals, len(f.names), qt.Commentf("round %d", round))

		// A list of before the order arrives late.
		late := revision
		late.Number--
		f.reduce(other, EvacuationsListed{Revision: late})
		f.Assert(f.evacuatedAt("z1"), qt.Equals, len(f.names))

		restarted := f.names[7+round]
		f.restart(restarted)
		f.play(time.Second, func() {})
		f.Assert(f.nodes[restarted].upstreams.IsEvacuated("z1"), qt.IsTrue)

		revision.Number++
		f.reduce(watcher, EvacuationsChanged{Removed: []string{"z1"}, Revision: revision})
		f.play(time.Second, func() {})
		f.Assert(f.evacuatedAt("z1"), qt.Equals, 0)
		late.Number++
		f.reduce(other, EvacuationsListed{Zones: []string{"z1"}, Revision: late})
		f.Assert(f.evacuatedAt("z1"), qt.Equals, 0)
	}
}

// TestEvacuationPassesThirdNode: the watcher and a node can't reach each other; a third node that
// reaches both passes the evacuation on.
func TestEvacuationPassesThirdNode(t *testing.T) {
	a, b, c := newBench(t, "a"), newBench(t, "b"), newBench(t, "c")
	for _, n := range []*bench{a, b, c} {
		n.ready(up("d1", "desk"))
	}
	a.receive(status("b"))
	b.receive(status("a"))
	b.receive(status("c"))
	a.evacuate(homeZone)
	b.Assert(b.receiveStatus(a.wait(time.Second), "b"), qt.IsTrue)
	c.Assert(c.receiveStatus(b.wait(time.Second), "c"), qt.IsTrue)
	_, effects := c.arrive("/book/1")
	c.Assert(refusal(effects), qt.Equals, ReasonEvacuated)
}

// TestEvacuationIsSentAtOnce: the node that reads a change sends a status at once, also between its
// turns, and none where nothing has changed.
func TestEvacuationIsSentAtOnce(t *testing.T) {
	b := zonesBench(t)
	b.receive(status("b"))
	b.wait(TickInterval)
	marks := func(effects []Effect) (list []evacuation.Mark) {
		for _, e := range effects {
			if s, ok := e.(Send); ok {
				list = append(list, s.Message.(peer.Status).Evacuations...)
			}
		}
		return list
	}
	b.now = b.now.Add(time.Millisecond)
	b.Assert(marks(b.evacuate(evacuatedZone)), qt.HasLen, 1)
	b.Assert(marks(b.evacuate(evacuatedZone)), qt.HasLen, 0)
}

// TestEvacuatedZoneIsNoCapacity: the fleet is sized for the zones that are left as soon as the order
// is known, and nothing is released for a while when the zone is back.
func TestEvacuatedZoneIsNoCapacity(t *testing.T) {
	b := zonesBench(t)
	b.evacuate(evacuatedZone)
	for _, u := range b.g.capacity() {
		b.Assert(u.Zone, qt.Equals, homeZone)
	}
	b.Assert(b.g.zoneReturned(), qt.IsFalse)
	b.evacuate()
	b.Assert(b.g.zoneReturned(), qt.IsTrue)
	b.wait(returnCooldown)
	b.Assert(b.g.zoneReturned(), qt.IsFalse)
}

// TestTurnsToListEvacuations: 70 nodes take turns to list the evacuations, so that a change which the
// watches miss is known long before the bound, at half of the calls of the other feeds.
func TestTurnsToListEvacuations(t *testing.T) {
	c := qt.New(t)
	const nodes, length = 70, 90 * time.Second
	var reads []time.Time
	watching := 0
	for i := range nodes {
		g := New(Config{Node: fmt.Sprintf("n%02d", i), Bounds: testBounds()}, rand.New(rand.NewPCG(1, 1)))
		for j := range nodes {
			g.Reduce(epoch, PeerReceived{From: fmt.Sprintf("n%02d", j), Message: status(fmt.Sprintf("n%02d", j))})
		}
		if g.FeedTurn(epoch, FeedEvacuations).Watch {
			watching++
		}
		for now := epoch; now.Before(epoch.Add(length)); {
			now = now.Add(g.FeedTurn(now, FeedEvacuations).Wait)
			reads = append(reads, now)
		}
		c.Assert(g.FeedTurn(epoch, FeedConfig), qt.Equals, g.Turn(epoch))
	}
	c.Assert(watching, qt.Equals, watchers)
	slices.SortFunc(reads, time.Time.Compare)
	for i := 1; i < len(reads) && reads[i].Before(epoch.Add(length)); i++ {
		c.Assert(reads[i].Sub(reads[i-1]), qt.Equals, evacuationsInterval)
	}
}

// TestDroppedFirstListIsReadAgain: a process that starts while the store is restored drops its first
// list, which was read before. It waited for its turn to list, over a minute among 70 nodes, and was
// not ready until then. Lists that are dropped again cost the store two calls a second.
func TestDroppedFirstListIsReadAgain(t *testing.T) {
	b := &bench{C: qt.New(t), now: epoch, g: New(Config{
		Node: "a", Start: 1, Zone: homeZone, FirstStart: true, Bounds: testBounds(), Evacuates: true,
	}, rand.New(rand.NewPCG(1, 2)))}
	dropped := EvacuationsListed{Revision: store.Revision{Number: 90}}
	b.restoreStore(40)
	b.Assert(lists(FeedEvacuations, b.reduce(dropped)), qt.IsTrue)
	calls := 0
	for range 20 {
		if lists(FeedEvacuations, append(b.reduce(dropped), b.wait(TickInterval)...)) {
			calls++
		}
	}
	b.Assert(calls >= 2 && calls <= 4, qt.IsTrue, qt.Commentf("%d calls", calls))
	b.evacuate()
	b.ready(up("d1", "desk"))
	b.Assert(b.g.Ready(), qt.IsTrue)
	b.Assert(lists(FeedEvacuations, append(b.reduce(dropped), b.wait(time.Second)...)), qt.IsFalse)
}
