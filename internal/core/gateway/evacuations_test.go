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
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/store"
)

// evacuatedZone is the zone of d1 and m1 of zonesBench, homeZone that of d2 and m2.
const (
	evacuatedZone = "z2"
	homeZone      = "z1"
)

// zonesBench has a plain and an engine upstream in each of two zones.
func zonesBench(t *testing.T) *bench {
	b := newBench(t, "a")
	b.zones = map[string]string{"d1": evacuatedZone, "m1": evacuatedZone}
	config := testConfig(1)
	config.Services[1].Engine.CanCopyCache = true
	config.Teams[0].Rate = 0
	b.reduce(ConfigRead{Config: config, Body: []byte("1"), Source: "store"})
	b.reduce(RolloutsChanged{})
	b.list(pausingUpstreams()...)
	return b
}

// evacuate lists the evacuated zones.
func (b *bench) evacuate(zones ...string) []Effect {
	b.revision.Number++
	return b.reduce(EvacuationsListed{Zones: zones, Revision: b.revision})
}

// TestEvacuatedUpstreamGetsNoRequest: the operator empties a zone, and no way to an upstream may
// lead there until the evacuation ends. One row for each way.
func TestEvacuatedUpstreamGetsNoRequest(t *testing.T) {
	for _, row := range waysToUpstreams() {
		t.Run(row.name, func(t *testing.T) {
			b := zonesBench(t)
			b.evacuate(evacuatedZone)
			for range 8 {
				reached := reachedBy(append(row.send(b), b.wait(TickInterval)...))
				b.Assert(reached["d1"]+reached["m1"], qt.Equals, 0, qt.Commentf("%v", reached))
				b.endRunning(ResultComplete)
			}
		})
	}
}

// TestProbesKeepToEvacuations: a node whose connections fail probes no upstream of an evacuated zone,
// and finds with those of the other zone alone that its paths are lost.
func TestProbesKeepToEvacuations(t *testing.T) {
	b := pathsBench(t)
	b.evacuate("z1")
	for range 30 {
		effects := b.wait(TickInterval)
		b.receive(reachingPeer("b"))
		for _, path := range []string{"/book/1", "/plan/1"} {
			_, sent := b.arrive(path)
			effects = append(effects, sent...)
		}
		for _, r := range b.running() {
			effects = append(effects, b.reduce(Ended{Conn: r.conn, Attempt: r.attempt, Result: ResultUnreachable, Connect: ConnectFailed})...)
		}
		effects = append(effects, b.probeAll(effects, none)...)
		for id := range reachedBy(effects) {
			if u, ok := b.g.upstreams.Get(id); ok {
				b.Assert(u.Zone, qt.Equals, "z0")
			}
		}
	}
	b.Assert(b.g.paths.lost, qt.IsTrue)
}

// TestChosenRequestIsWithheld: a request that was chosen for an upstream and is not written yet when
// its zone is evacuated goes to another one, and is no retry.
func TestChosenRequestIsWithheld(t *testing.T) {
	b := zonesBench(t)
	b.list(up("d1", "desk"))
	conn, effects := b.arrive("/book/1")
	d := b.dispatch(effects)
	b.list(pausingUpstreams()...)
	b.Assert(b.g.Admits(b.now, d.Upstream), qt.IsTrue)
	b.evacuate(evacuatedZone)
	b.Assert(b.g.Admits(b.now, d.Upstream), qt.IsFalse)
	effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultWithheld})
	b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d2")
	for _, e := range effects {
		count, ok := e.(Count)
		b.Assert(ok && count.Counter == CountRetry, qt.IsFalse)
	}
}

// TestRunningRequestsStay: what runs in a zone when it is evacuated goes on to its end; no call that
// moves it reaches the zone.
func TestRunningRequestsStay(t *testing.T) {
	b := zonesBench(t)
	b.list(up("m1", "model"))
	conn, d := b.streaming("/plan/1", 5000)
	b.list(pausingUpstreams()...)
	effects := b.evacuate(evacuatedZone)
	leaving := up("m1", "model")
	leaving.State, leaving.StopsAt = placement.StateDraining, b.now.Add(2500*time.Millisecond)
	effects = append(effects, b.list(leaving, up("m2", "model"), up("d1", "desk"), up("d2", "desk"))...)
	effects = append(effects, b.wait(time.Second)...)
	b.Assert(reachedBy(effects), qt.HasLen, 0)
	b.Assert(refusal(effects), qt.Equals, Reason(""))
	effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultComplete, AnswerSent: true, Framing: FramingChunks})
	b.Assert(refusal(effects), qt.Equals, Reason(""))
}

// TestMovesKeepToEvacuations: a run that is being moved when the zone of its source or target is
// evacuated does not continue there.
func TestMovesKeepToEvacuations(t *testing.T) {
	for _, row := range []struct {
		name, from string
		outcome    MoveOutcome
	}{
		{"target, when the copy is there", "m2", MoveDone},
		{"source, when it has stopped the run", "m1", MoveStopped},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := zonesBench(t)
			b.list(up(row.from, "model"))
			conn, d := b.streaming("/plan/1", 5000)
			b.list(up("m1", "model"), up("m2", "model"))
			_, moves := findMove(b.reclaim(row.from, 2500*time.Millisecond))
			b.Assert(moves, qt.IsTrue)
			effects := b.evacuate(evacuatedZone)
			effects = append(effects, b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: row.outcome, Handle: "h1"})...)
			effects = append(effects, b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true})...)
			effects = append(effects, b.wait(time.Second)...)
			b.Assert(reachedBy(effects)["m1"], qt.Equals, 0)
			b.Assert(b.g.requests, qt.HasLen, 0)
		})
	}
}

// TestStoppedRunDoesNotWaitForZone: a stopped run that waits for the end of its upstream's pause
// waits no longer when the zone is evacuated.
func TestStoppedRunDoesNotWaitForZone(t *testing.T) {
	b := zonesBench(t)
	b.list(up("m1", "model"))
	conn, d := b.streaming("/plan/1", 5000)
	b.list(up("m1", "model"), up("m2", "model"))
	b.reclaim("m1", 2500*time.Millisecond)
	b.g.upstreams.RecordPause(b.now, up("m1", "model"), 2*time.Second)
	b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: MoveStopped, Handle: "h1"})
	b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true})
	b.Assert(b.g.requests[conn].stopped, qt.IsNotNil)
	b.evacuate(evacuatedZone)
	effects := b.wait(2 * TickInterval)
	b.Assert(refusal(effects), qt.Equals, "cut "+ReasonFailed)
	b.Assert(b.g.requests, qt.HasLen, 0)
}

// TestAllZonesEvacuated: nothing can be sent, so that callers are refused at once, those that wait
// too, with a time to come back; they are served as soon as an evacuation ends.
func TestAllZonesEvacuated(t *testing.T) {
	b := zonesBench(t)
	for range 40 {
		b.arrive("/read/1")
	}
	waiting := len(b.g.waiting(func(*request) bool { return true }))
	b.Assert(waiting > 0, qt.IsTrue)
	refused := 0
	for _, e := range b.evacuate(homeZone, evacuatedZone) {
		if r, ok := e.(Refuse); ok {
			b.Assert(r.Reason, qt.Equals, ReasonEvacuated)
			b.Assert(r.RetryAfter >= noUpstreamRetryAfter, qt.IsTrue)
			refused++
		}
	}
	b.Assert(refused, qt.Equals, waiting)
	for _, path := range []string{"/book/1", "/read/1", "/plan/1", "/ask/1"} {
		_, effects := b.arrive(path)
		b.Assert(refusal(effects), qt.Equals, ReasonEvacuated)
		b.Assert(reachedBy(effects), qt.HasLen, 0)
	}
	b.Assert(b.g.State().EvacuatedZones, qt.Equals, 2)
	b.endRunning(ResultComplete)

	b.evacuate(homeZone)
	_, effects := b.arrive("/book/1")
	b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d1")
}

// TestTwoZonesInARow: the second zone is evacuated as the evacuation of the first ends, and the other way
// round, in one change of the store.
func TestTwoZonesInARow(t *testing.T) {
	b := zonesBench(t)
	b.evacuate(evacuatedZone)
	for i := range 4 {
		put, removed, serves := homeZone, evacuatedZone, "d1"
		if i%2 > 0 {
			put, removed, serves = removed, put, "d2"
		}
		b.revision.Number++
		b.reduce(EvacuationsChanged{Put: []string{put}, Removed: []string{removed}, Revision: b.revision})
		_, effects := b.arrive("/book/1")
		b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, serves)
		b.endRunning(ResultComplete)
	}
}

// TestUnknownZone: an order for a zone without upstreams has no effect on the others, and holds for
// upstreams that appear there later.
func TestUnknownZone(t *testing.T) {
	b := zonesBench(t)
	lines := 0
	for range 3 {
		for _, e := range b.evacuate("elsewhere") {
			if l, ok := e.(Log); ok && l.Step == "evacuation" {
				lines++
			}
		}
	}
	b.Assert(lines, qt.Equals, 1)
	_, effects := b.arrive("/book/1")
	b.dispatch(effects)
	late := up("d9", "desk")
	late.Zone = "elsewhere"
	b.list(late)
	_, effects = b.arrive("/book/1")
	b.Assert(refusal(effects), qt.Equals, ReasonEvacuated)
}

// TestProcessStartsWithEvacuations: a process that starts in the middle of an evacuation sent to the
// zone before it had read the order. It is not ready, and sends nothing, until then.
func TestProcessStartsWithEvacuations(t *testing.T) {
	for _, evacuates := range []bool{true, false} {
		t.Run(fmt.Sprint(evacuates), func(t *testing.T) {
			b := &bench{C: qt.New(t), now: epoch, g: New(Config{
				Node: "a", Start: 1, Zone: homeZone, FirstStart: true, Bounds: testBounds(), Evacuates: evacuates,
			}, rand.New(rand.NewPCG(1, 2)))}
			b.zones = map[string]string{"d1": evacuatedZone}
			b.ready(up("d1", "desk"))
			b.Assert(b.g.Ready(), qt.Equals, !evacuates)
			_, effects := b.arrive("/book/1")
			_, sent := findDispatch(effects)
			b.Assert(sent, qt.Equals, !evacuates)
			if !evacuates {
				return
			}
			b.Assert(refusal(effects), qt.Equals, ReasonNoConfig)
			b.evacuate(evacuatedZone)
			b.Assert(b.g.Ready(), qt.IsTrue)
			_, effects = b.arrive("/book/1")
			b.Assert(refusal(effects), qt.Equals, ReasonEvacuated)
		})
	}
}

// TestRestoreListsEvacuations: after a restore of the store the evacuations are read again, a list of
// before counts no more, and a zone whose order is lost stays evacuated.
func TestRestoreListsEvacuations(t *testing.T) {
	b := zonesBench(t)
	b.g.cfg.Evacuates = true
	b.evacuate(evacuatedZone)
	before := b.revision
	effects := b.restoreStore(1)
	b.Assert(lists(FeedEvacuations, effects), qt.IsTrue)
	before.Number += 10
	b.reduce(EvacuationsListed{Revision: before})
	b.Assert(b.g.evacuations.Zones(), qt.DeepEquals, []string{evacuatedZone})
	b.evacuate()
	b.list(pausingUpstreams()...)
	for range 4 {
		_, effects := b.arrive("/book/1")
		b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d2")
		b.endRunning(ResultComplete)
	}
}

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
