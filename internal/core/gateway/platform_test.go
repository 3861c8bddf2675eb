package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/store"
)

func TestOlderConfigurationIsIgnored(t *testing.T) {
	b := newBench(t, "a")
	b.reduce(ConfigRead{Config: testConfig(5), Source: "store"})
	b.reduce(ConfigRead{Config: testConfig(4), Source: "peer"})
	b.Assert(b.g.table.Version(), qt.Equals, int64(5))
}

func TestNewerConfigurationIsRequestedFromPeers(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	s := status("b")
	s.ConfigVersion = 2
	effects := b.receive(s)
	requested := false
	for _, e := range effects {
		if send, ok := e.(Send); ok {
			_, isRequest := send.Message.(peer.ConfigRequest)
			requested = requested || isRequest && send.Node == "b"
		}
	}
	b.Assert(requested, qt.IsTrue)
	effects = b.reduce(PeerReceived{From: "b", Message: peer.ConfigRequest{}})
	b.Assert(effects, qt.DeepEquals, []Effect{Send{Node: "b", Address: "b:2", Message: peer.ConfigUpdate{Version: 1, Body: []byte("1")}}})
}

// TestMissedChangeListsUpstreamsAgain: a watch receives nothing while the store
// discards its history, and a peer reports a later change of the upstreams.
func TestMissedChangeListsUpstreamsAgain(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	s := status("b")
	s.UpstreamsRevision = 9
	listed := false
	for range 5 {
		b.now = b.now.Add(250 * time.Millisecond)
		listed = listed || lists(FeedUpstreams, b.receive(s))
	}
	b.Assert(listed, qt.IsTrue)
	b.reduce(UpstreamsListed{List: []placement.Upstream{up("d1", "desk")}, Revision: store.Revision{Number: 9}})
	for range 5 {
		b.now = b.now.Add(250 * time.Millisecond)
		b.Assert(lists(FeedUpstreams, b.receive(s)), qt.IsFalse)
	}
}

// TestUnlistedUpstreamIsTheLastChoice: an entry that is missing just after the
// store's return may belong to an upstream that has stopped, so listed
// upstreams are preferred. If all are missing, they are used until relistGrace
// is over.
func TestUnlistedUpstreamIsTheLastChoice(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"), up("d2", "desk"))
	b.reduce(StoreLost{})
	b.reduce(StoreRegained{})
	b.list(up("d2", "desk"))
	for range 8 {
		_, effects := b.arrive("/book/1")
		b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d2")
	}
	b.list()
	_, effects := b.arrive("/book/1")
	b.dispatch(effects)
	b.wait(relistGrace + 2*TickInterval)
	_, effects = b.arrive("/book/1")
	b.Assert(refusal(effects), qt.Equals, ReasonNoUpstream)
}

func TestExpiredEntryReturns(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.reduce(StoreLost{})
	b.reduce(UpstreamsChanged{Removed: []string{"d1"}, Revision: store.Revision{Number: 2}})
	b.wait(5 * time.Second)
	b.reduce(StoreRegained{})
	b.wait(time.Second)
	b.reduce(UpstreamsChanged{Put: []placement.Upstream{up("d1", "desk")}, Revision: store.Revision{Number: 3}})
	b.wait(5 * time.Second)
	_, effects := b.arrive("/book/1")
	b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d1")
}

// TestOwnOutageKeepsNoMissingEntry: a node was cut off from the store while
// its peers reached it, so an entry that is missing afterwards belongs to an
// upstream that has stopped.
func TestOwnOutageKeepsNoMissingEntry(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"), up("d2", "desk"))
	b.reduce(StoreLost{})
	b.receive(status("b"))
	b.reduce(StoreRegained{})
	b.list(up("d2", "desk"))
	_, known := b.g.upstreams.Get("d1")
	b.Assert(known, qt.IsFalse)

	// A peer that has just regained the store proves nothing.
	lost := status("b")
	lost.StoreUnavailable = true
	b.receive(lost)
	b.reduce(StoreLost{})
	b.receive(status("b"))
	b.reduce(StoreRegained{})
	b.list()
	_, known = b.g.upstreams.Get("d2")
	b.Assert(known, qt.IsTrue)
}

// TestLateListSetsNothingBack: a list that was read before a change is processed after a
// peer has sent that change. It took the change back until the node's next list.
func TestLateListSetsNothingBack(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"), up("d2", "desk"))
	b.reduce(PeerReceived{From: "b", Message: peer.UpstreamsDelta{
		Revision: 5, Previous: 1, Put: []placement.Upstream{drainingUpstream("d1"), up("d3", "desk")},
	}})
	stale := []placement.Upstream{up("d1", "desk"), up("d2", "desk")}
	b.reduce(UpstreamsListed{List: stale, Revision: store.Revision{Number: 4}})
	b.reduce(UpstreamsChanged{Put: stale, Removed: []string{"d3"}, Revision: store.Revision{Number: 4}})
	sent := make(map[string]int)
	for range 12 {
		_, effects := b.arrive("/book/1")
		sent[b.dispatch(effects).Upstream.ID]++
	}
	b.Assert(sent["d1"], qt.Equals, 0)
	b.Assert(sent["d3"] > 0, qt.IsTrue)
}

func TestDrainingUpstreamGetsNothing(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"), up("d2", "desk"))
	draining := up("d1", "desk")
	draining.State = placement.StateDraining
	b.reduce(UpstreamsChanged{Put: []placement.Upstream{draining}, Revision: store.Revision{Number: 5}})
	for range 6 {
		_, effects := b.arrive("/book/1")
		b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d2")
	}
}

// TestReadTurnsLeaveNoGap: seven nodes, two of which have lost the store, take
// turns reading it. A read begins in each second.
func TestReadTurnsLeaveNoGap(t *testing.T) {
	c := qt.New(t)
	names := []string{"edge-a-1", "edge-a-2", "edge-b-1", "edge-b-2", "edge-c-1", "edge-c-2", "edge-d-1"}
	lost := map[string]bool{"edge-b-1": true, "edge-b-2": true}
	var reads []time.Time
	for _, name := range names {
		if lost[name] {
			continue
		}
		g := New(Config{Node: name, Bounds: testBounds()}, rand.New(rand.NewPCG(1, 1)))
		now := epoch
		for now.Before(epoch.Add(30 * time.Second)) {
			for _, other := range names {
				s := status(other)
				s.StoreUnavailable = lost[other]
				g.Reduce(now, PeerReceived{From: other, Message: s})
			}
			now = now.Add(g.Turn(now).Wait)
			reads = append(reads, now)
		}
	}
	for at := epoch.Add(5 * time.Second); at.Before(epoch.Add(25 * time.Second)); at = at.Add(100 * time.Millisecond) {
		covered := false
		for _, r := range reads {
			covered = covered || !r.Before(at) && r.Before(at.Add(time.Second))
		}
		c.Assert(covered, qt.IsTrue, qt.Commentf("no node reads the store within 1 s after %v", at.Sub(epoch)))
	}
}

// TestUpstreamChangesAreSentToPeers: a node that does not watch the store
// learns of a draining upstream from one that does, and lists the upstreams if
// it has missed a change.
func TestUpstreamChangesAreSentToPeers(t *testing.T) {
	a, b := newBench(t, "a"), newBench(t, "b")
	for _, n := range []*bench{a, b} {
		n.ready(up("d1", "desk"), up("d2", "desk"))
		n.receive(status("a"))
		n.receive(status("b"))
	}
	draining := up("d1", "desk")
	draining.State = placement.StateDraining
	deltaSent := func(e Event) peer.UpstreamsDelta {
		for _, effect := range a.reduce(e) {
			if send, ok := effect.(Send); ok {
				if delta, ok := send.Message.(peer.UpstreamsDelta); ok {
					return delta
				}
			}
		}
		a.Fatal("no upstreams delta among the effects")
		return peer.UpstreamsDelta{}
	}
	first := deltaSent(UpstreamsChanged{Put: []placement.Upstream{draining, up("d3", "desk")}, Revision: store.Revision{Number: 5}})
	second := deltaSent(UpstreamsChanged{Removed: []string{"d1"}, Revision: store.Revision{Number: 6}})
	a.Assert(lists(FeedUpstreams, b.reduce(PeerReceived{From: "a", Message: second})), qt.IsTrue)
	b.reduce(PeerReceived{From: "a", Message: first})
	u, _ := b.g.upstreams.Get("d1")
	a.Assert(u.State, qt.Equals, placement.StateDraining)
	_, known := b.g.upstreams.Get("d3")
	a.Assert(known, qt.IsTrue)
	b.reduce(PeerReceived{From: "a", Message: second})
	_, known = b.g.upstreams.Get("d1")
	a.Assert(known, qt.IsFalse)
	// A change older than the known revision has no effect.
	b.reduce(PeerReceived{From: "a", Message: first})
	_, known = b.g.upstreams.Get("d1")
	a.Assert(known, qt.IsFalse)
}

func TestStopping(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.Assert(b.g.Ready(), qt.IsTrue)
	conn, effects := b.arrive("/book/1")
	d := b.dispatch(effects)
	effects = b.reduce(Stop{})
	b.Assert(b.g.Ready(), qt.IsFalse)
	b.Assert(has(Drained{}, effects), qt.IsFalse)
	// Callers keep using an address for a while, so requests are still served
	// at first.
	b.wait(time.Second)
	second, effects := b.arrive("/book/1")
	b.reduce(Ended{Conn: second, Attempt: b.dispatch(effects).Attempt, Result: ResultComplete})
	b.wait(refusalDelay)
	_, effects = b.arrive("/book/1")
	b.Assert(refusal(effects), qt.Equals, ReasonStopping)
	b.Assert(has(Drained{}, b.wait(time.Second)), qt.IsFalse)
	b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultComplete})
	b.Assert(has(Drained{}, b.wait(time.Second)), qt.IsTrue)
}

func TestCallersAreSentToReadyNodes(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.receive(status("b"))
	notReady := status("c")
	notReady.Ready = false
	b.receive(notReady)
	b.Assert(b.g.CallerAddresses(64), qt.DeepEquals, []string{"a:1", "b:1"})
	b.wait(2 * time.Second)
	b.Assert(b.g.CallerAddresses(64), qt.DeepEquals, []string{"a:1"})
}
