package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

// askedPause is the pause that the upstreams of pausingBench ask for.
const askedPause = 3 * time.Second

// pausingBench has a plain and an engine upstream that have just asked for a pause, d1 and m1,
// and one of each that has not, d2 and m2.
func pausingBench(t *testing.T) *bench {
	b := newBench(t, "a")
	config := testConfig(1)
	config.Services[1].Engine.CanCopyCache = true
	config.Teams[0].Rate = 0
	b.reduce(ConfigRead{Config: config, Body: []byte("1"), Source: "store"})
	b.reduce(RolloutsChanged{})
	b.list(up("d1", "desk"), up("m1", "model"))
	b.askForPause("/book/1")
	b.askForPause("/plan/1")
	b.list(pausingUpstreams()...)
	return b
}

func pausingUpstreams() []placement.Upstream {
	return []placement.Upstream{up("d1", "desk"), up("d2", "desk"), up("m1", "model"), up("m2", "model")}
}

// askForPause sends a request to a path, which its upstream turns away with a pause.
func (b *bench) askForPause(path string) {
	b.Helper()
	b.turnAway(path, askedPause)
}

func (b *bench) turnAway(path string, pause time.Duration) []Effect {
	b.Helper()
	return b.endFirstAttempt(path, Ended{Result: ResultFull, Framing: FramingLength, Signals: Signals{Pause: pause}})
}

// reachedBy returns how often effects reach each upstream in any way.
func reachedBy(effects []Effect) map[string]int {
	reached := make(map[string]int)
	for _, e := range effects {
		switch e := e.(type) {
		case Dispatch:
			reached[e.Upstream.ID]++
		case Move:
			reached[e.Source.ID]++
			reached[e.Target.ID]++
		case ProbeUpstream:
			reached[e.Upstream.ID]++
		}
	}
	return reached
}

// TestPausedUpstreamGetsNoRequest: an upstream that had asked a node for a pause got requests
// from it after 200 ms, or at once where all others were ejected (BUDGET). One row for each way
// to an upstream.
func TestPausedUpstreamGetsNoRequest(t *testing.T) {
	for _, row := range waysToUpstreams() {
		t.Run(row.name, func(t *testing.T) {
			b := pausingBench(t)
			for end := b.now.Add(askedPause - TickInterval); b.now.Before(end); {
				reached := reachedBy(append(row.send(b), b.wait(TickInterval)...))
				b.Assert(reached["d1"]+reached["m1"], qt.Equals, 0, qt.Commentf("%v before its end: %v", end.Sub(b.now), reached))
				b.endRunning(ResultComplete)
			}
		})
	}
}

// TestMoveKeepsToPauses: a stream was moved from or to an engine that had asked for a pause, or
// continued there.
func TestMoveKeepsToPauses(t *testing.T) {
	for _, row := range []struct {
		name string
		// asks is the upstream that asks for a pause before the move or, if set, after it
		// with an outcome.
		asks  func(source, target string) string
		after MoveOutcome
	}{
		{"source, before the move", func(source, _ string) string { return source }, ""},
		{"target, before the move", func(_, target string) string { return target }, ""},
		{"target, when the copy is there", func(_, target string) string { return target }, MoveDone},
		{"source, when it has stopped the run", func(source, _ string) string { return source }, MoveStopped},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.ready(up("m1", "model"), up("m2", "model"))
			conn, d := b.streaming("/plan/1", 5000)
			source, target := "m1", "m2"
			if d.Upstream.ID == "m2" {
				source, target = "m2", "m1"
			}
			asking := row.asks(source, target)
			pause := func() { b.g.upstreams.RecordPause(b.now, up(asking, "model"), time.Second) }
			if row.after == "" {
				pause()
			}
			effects := b.reclaim(source, 2500*time.Millisecond)
			if row.after != "" {
				pause()
				effects = b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: row.after, Handle: "h1"})
				effects = append(effects, b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true})...)
			}
			effects = append(effects, b.wait(900*time.Millisecond)...)
			b.Assert(reachedBy(effects)[asking], qt.Equals, 0)

			// When the pause is over, the stream goes on from its memory.
			effects = b.wait(300 * time.Millisecond)
			if row.after == "" {
				_, moves := findMove(effects)
				b.Assert(moves, qt.IsTrue)
				return
			}
			b.Assert(b.dispatch(effects).From.Handle, qt.Equals, "h1")
			b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, asking)
		})
	}
}

// TestPauseIsNotSetBack: neither what else is learned of an upstream nor a later, shorter pause
// ends one early. A new process has not asked for any.
func TestPauseIsNotSetBack(t *testing.T) {
	for _, row := range []struct {
		name   string
		happen func(*bench)
		ends   bool
	}{
		{"nothing", func(*bench) {}, false},
		{"its entry is listed again", func(b *bench) { b.list(pausingUpstreams()...) }, false},
		{"its entry is gone and back", func(b *bench) {
			b.list(up("d2", "desk"))
			b.list(pausingUpstreams()...)
		}, false},
		{"the store is restored from a copy", func(b *bench) {
			b.restoreStore(1)
			b.list(pausingUpstreams()...)
		}, false},
		{"an earlier request is answered", func(b *bench) {
			// Sent before the pause, which it overtakes.
			b.g.upstreams.RecordEnd(b.now, "d1", 99, placement.Succeeded)
		}, false},
		{"a shorter pause", func(b *bench) { b.g.upstreams.RecordPause(b.now, up("d1", "desk"), 100*time.Millisecond) }, false},
		{"it says that it is brittle", func(b *bench) { b.g.upstreams.RecordBrittle(b.now, b.now, "d1", fourRejections) }, false},
		{"it names a limit", func(b *bench) {
			b.g.upstreams.RecordLimit(b.now, b.now, "d1", placement.RateLimit{Named: true, PerSecond: 50})
		}, false},
		{"peers report what they know", func(b *bench) { b.receive(reachingPeer("b")) }, false},
		{"another configuration", func(b *bench) {
			config := testConfig(2)
			config.Teams[0].Rate = 0
			b.reduce(ConfigRead{Config: config, Body: []byte("2"), Source: "store"})
		}, false},
		{"failures are taken back", func(b *bench) { b.g.withdrawBlame(b.now.Add(-time.Minute)) }, false},
		{"a new process under its ID", func(b *bench) {
			next := pausingUpstreams()
			next[0].StartedAt = b.now
			b.list(next...)
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := pausingBench(t)
			b.wait(time.Second)
			row.happen(b)
			reached := 0
			for range 12 {
				_, effects := b.arrive("/book/2")
				reached += reachedBy(effects)["d1"]
			}
			b.Assert(reached > 0, qt.Equals, row.ends)
		})
	}
}

// TestPauseIsOfOneNode: a pause is for the node that was asked for it; others learn nothing of it.
func TestPauseIsOfOneNode(t *testing.T) {
	a, b := newBench(t, "a"), newBench(t, "b")
	for _, n := range []*bench{a, b} {
		n.ready(up("d1", "desk"))
	}
	a.receive(status("b"))
	a.askForPause("/book/1")
	a.Assert(b.receiveStatus(a.wait(time.Second), "b"), qt.IsTrue)
	_, effects := b.arrive("/book/1")
	b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d1")
}

// TestProbesKeepToPauses: a node that looks for its paths leaves upstreams alone that have asked
// it for a pause, also when a peer asks for them.
func TestProbesKeepToPauses(t *testing.T) {
	b := pathsBench(t)
	for _, u := range pathsUpstreams() {
		if u.Service == "model" {
			b.g.recordSignals(u, b.now, Signals{Pause: time.Minute})
		}
	}
	asking := reachingPeer("c")
	for _, u := range pathsUpstreams() {
		asking.Unreached = append(asking.Unreached, processID(u))
	}
	reached := reachedBy(b.receive(asking))
	for range 10 {
		effects := b.wait(TickInterval)
		_, sent := b.arrive("/book/1")
		effects = append(effects, sent...)
		for _, r := range b.running() {
			effects = append(effects, b.reduce(Ended{Conn: r.conn, Attempt: r.attempt, Result: ResultUnreachable, Connect: ConnectFailed})...)
		}
		for id, n := range reachedBy(effects) {
			reached[id] += n
		}
	}
	b.Assert(reached["d0"] > 0, qt.IsTrue)
	for _, id := range []string{"m0", "m1", "m2", "m3"} {
		b.Assert(reached[id], qt.Equals, 0)
	}
}

// TestWithheldRequestIsNoRetry: a request that was not written because its upstream had asked for
// a pause meanwhile goes elsewhere, takes no retry and leaves no trace at its upstream.
func TestWithheldRequestIsNoRetry(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"), up("d2", "desk"))
	b.g.recordSignals(up("d1", "desk"), b.now, Signals{RateLimit: twoPerSecond})
	b.g.recordSignals(up("d2", "desk"), b.now, Signals{RateLimit: twoPerSecond})
	b.wait(time.Second)
	conn, effects := b.arrive("/book/1")
	d := b.dispatch(effects)
	b.g.recordSignals(d.Upstream, b.now, Signals{Pause: time.Second, RateLimit: twoPerSecond})
	effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultWithheld})
	next := b.dispatch(effects)
	b.Assert(next.Upstream.ID, qt.Not(qt.Equals), d.Upstream.ID)
	b.Assert(b.g.budget("desk").retryCount(), qt.Equals, 0)
	b.Assert(b.g.upstreams.Load(d.Upstream.ID).Running, qt.Equals, 0)
	// What it had taken of the limit is given back.
	b.wait(time.Second)
	b.reduce(Ended{Conn: conn, Attempt: next.Attempt, Result: ResultComplete, Framing: FramingLength, Signals: Signals{RateLimit: twoPerSecond}})
	_, effects = b.arrive("/book/2")
	b.Assert(has(Dispatch{}, effects), qt.IsTrue)
}
