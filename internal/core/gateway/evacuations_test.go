package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
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
