package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
)

// peerWorld is a number of nodes in several zones that send each other statuses.
type peerWorld struct {
	*qt.C
	now   time.Time
	nodes map[string]*peerNode
	names []string
	// acrossZones counts the messages between zones, all the others as well.
	acrossZones, all int
}

type peerNode struct {
	*Gateway
	zone string
	dead bool
	// earlier is set for a build that knows no forwards.
	earlier bool
}

// unreachableDelay is the time until a node has noticed that a connection to a dead one fails.
const unreachableDelay = 2 * time.Second

func newPeerWorld(t *testing.T, zones, perZone int) *peerWorld {
	f := &peerWorld{C: qt.New(t), now: epoch, nodes: make(map[string]*peerNode)}
	for i := range zones * perZone {
		name := fmt.Sprintf("n%03d", i)
		zone := fmt.Sprint("z", i%zones)
		f.names = append(f.names, name)
		f.nodes[name] = &peerNode{zone: zone, Gateway: New(Config{
			Node: name, Start: 1, Zone: zone, CallerAddress: name + ":1", PeerAddress: name + ":2", Bounds: testBounds(),
		}, rand.New(rand.NewPCG(uint64(i), 3)))}
	}
	var entries []NodeEntry
	for _, name := range f.names {
		entries = append(entries, NodeEntry{Node: name, PeerAddress: name + ":2"})
	}
	for _, name := range f.names {
		for _, e := range []Event{
			ConfigRead{Config: testConfig(1), Body: []byte("1")}, RolloutsChanged{}, UpstreamsListed{}, NodesListed{Nodes: entries},
		} {
			f.reduce(name, e)
		}
	}
	return f
}

// reduce passes an event to a node and delivers what it sends.
func (f *peerWorld) reduce(name string, e Event) {
	from := f.nodes[name]
	if from.dead {
		return
	}
	for _, effect := range from.Reduce(f.now, e) {
		send, ok := effect.(Send)
		if !ok || f.nodes[send.Node] == nil {
			continue
		}
		to := f.nodes[send.Node]
		f.all++
		if to.zone != from.zone {
			f.acrossZones++
		}
		if to.dead {
			from.deadSince(f, name, send.Node)
			continue
		}
		message := send.Message
		if s, ok := message.(peer.Status); ok && (to.earlier || f.nodes[s.Node].earlier) {
			s.TakesForwards, s.Unreachable = false, nil
			message = s
		}
		if _, ok := message.(peer.StatusForward); ok && to.earlier {
			f.Fatalf("%s sends a forward to %s, which knows none", name, send.Node)
		}
		f.reduce(send.Node, PeerReceived{From: name, Message: message})
	}
}

// deadSince reports a failed connection to a node that has been dead for unreachableDelay.
func (n *peerNode) deadSince(f *peerWorld, name, dead string) {
	if m := n.members[dead]; m != nil && f.now.Sub(m.lastContact) > unreachableDelay && !m.unreachable {
		f.reduce(name, PeerUnreachable{Node: dead})
	}
}

// play lets time pass and calls check after each tick.
func (f *peerWorld) play(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(TickInterval)
		for _, name := range f.names {
			f.reduce(name, Tick{})
		}
		check()
	}
}

// checkContact checks that each live node is in contact with all others.
func (f *peerWorld) checkContact() {
	for _, name := range f.names {
		n := f.nodes[name]
		if n.dead {
			continue
		}
		for _, other := range f.names {
			if other != name && !f.nodes[other].dead && !n.inContact(n.members[other]) {
				f.Fatalf("%v: %s has no contact to %s, which lives", f.now.Sub(epoch), name, other)
			}
		}
	}
}

// TestStatusesAreForwardedInOtherZones guards against the price of statuses among hundreds of
// nodes: nearly all bytes between zones were copies of them. All nodes still know all others at
// the same pace.
func TestStatusesAreForwardedInOtherZones(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{4, 15}, {6, 33}} {
		t.Run(fmt.Sprint(size.zones*size.perZone), func(t *testing.T) {
			f := newPeerWorld(t, size.zones, size.perZone)
			f.play(5*time.Second, func() {})
			interval := f.nodes["n000"].interval()
			f.acrossZones, f.all = 0, 0
			const length = 6 * time.Second
			f.play(length, f.checkContact)
			turns := float64(length)/float64(interval) + 1
			perNode := float64(f.acrossZones) / float64(len(f.names))
			// One to each other zone, and the few that read usage.
			f.Assert(perNode <= turns*4/3*float64(size.zones-1+usageSuccessors+1), qt.IsTrue, qt.Commentf("%.1f messages to other zones in %.1f turns", perNode, turns))
			for _, name := range f.names {
				n := f.nodes[name]
				for _, m := range n.members {
					f.Assert(f.now.Sub(m.lastContact) <= interval*3/2, qt.IsTrue, qt.Commentf("%s knows %s of %v ago", name, m.node, f.now.Sub(m.lastContact)))
				}
			}
		})
	}
}

// TestLostForwardersCutNobodyOff: nodes that forward lose power, a third of a zone at once. The
// others stay in contact all the while, and the lost ones are known within the contact bound.
func TestLostForwardersCutNobodyOff(t *testing.T) {
	const contactBound = 5 * time.Second
	f := newPeerWorld(t, 6, 33)
	f.play(5*time.Second, func() {})
	lost := make(map[string]bool)
	for i, name := range f.names {
		if f.nodes[name].zone == "z1" && i%3 == 0 || i%40 == 7 {
			lost[name] = true
			f.nodes[name].dead = true
		}
	}
	f.play(contactBound, f.checkContact)
	for _, name := range f.names {
		n := f.nodes[name]
		for other := range lost {
			f.Assert(lost[name] || !n.inContact(n.members[other]), qt.IsTrue, qt.Commentf("%s still counts %s", name, other))
		}
	}
	f.play(5*time.Second, f.checkContact)
}

// TestForwardsBesideEarlierBuilds: nodes of a build that knows no forwards get statuses directly
// and are asked for nothing.
func TestForwardsBesideEarlierBuilds(t *testing.T) {
	f := newPeerWorld(t, 3, 16)
	for i, name := range f.names {
		f.nodes[name].earlier = i%2 == 0
	}
	f.play(2*time.Second, func() {})
	f.play(4*time.Second, f.checkContact)
}

// TestFewNodesSendDirectly: in zones of few nodes nothing is forwarded.
func TestFewNodesSendDirectly(t *testing.T) {
	f := newPeerWorld(t, 3, minForwarders-1)
	f.play(3*time.Second, func() {})
	for _, name := range f.names {
		f.Assert(f.nodes[name].forwardTurns, qt.HasLen, 0)
	}
}

// TestOvertakenForwardEnds: a status that a later one has overtaken is not forwarded, so that no
// node sees it set back what it knows.
func TestOvertakenForwardEnds(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	inZone := status("b")
	inZone.Zone = "z1"
	b.receive(inZone)
	far := status("far")
	far.Zone, far.Seq = "z2", 2
	forward := func(seq uint64) []Effect {
		far.Seq = seq
		return b.reduce(PeerReceived{From: "far", Message: peer.StatusForward{Status: far}})
	}
	b.Assert(has(Send{}, forward(2)), qt.IsTrue)
	b.Assert(has(Send{}, forward(1)), qt.IsFalse)
	b.Assert(has(Send{}, forward(2)), qt.IsFalse)
}
