package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

// streaming starts a stream on the path and lets its answer begin.
func (b *bench) streaming(path string, output int) (uint64, Dispatch) {
	b.Helper()
	b.g.table.Services()[1].Engine.CanCopyCache = true
	b.g.table.Teams()[0].Rate = 0
	conn, effects := b.submit(Request{Path: path, Key: "k", Prompt: placement.Prompt{InputTokens: 100, MaxOutputTokens: output}})
	d := b.dispatch(effects)
	b.reduce(Began{Conn: conn, Attempt: d.Attempt})
	return conn, d
}

// reclaim reports that an upstream drains and stops after the notice period.
func (b *bench) reclaim(id string, notice time.Duration) []Effect {
	u := b.placed(up(id, "model"))
	u.State, u.Reclaimable, u.StopsAt = placement.StateDraining, true, b.now.Add(notice)
	b.revision.Number++
	return b.reduce(UpstreamsChanged{Put: []placement.Upstream{u}, Revision: b.revision})
}

func findMove(effects []Effect) (Move, bool) {
	for _, e := range effects {
		if m, ok := e.(Move); ok {
			return m, true
		}
	}
	return Move{}, false
}

// TestReclaimedStreamIsMoved: a stream that cannot be resumed is moved from a
// reclaimed engine, whichever of the two answers arrives first.
func TestReclaimedStreamIsMoved(t *testing.T) {
	for _, movedFirst := range []bool{true, false} {
		b := newBench(t, "a")
		b.ready(up("m1", "model"), up("m2", "model"))
		conn, d := b.streaming("/plan/1", 5000)
		m, ok := findMove(b.reclaim(d.Upstream.ID, 2500*time.Millisecond))
		b.Assert(ok, qt.IsTrue)
		b.Assert(m.Target.ID, qt.Not(qt.Equals), d.Upstream.ID)
		moved := Moved{Conn: conn, Attempt: d.Attempt, Outcome: MoveDone, Handle: "h1"}
		ended := Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true}
		first, second := Event(moved), Event(ended)
		if !movedFirst {
			first, second = second, first
		}
		b.Assert(has(Dispatch{}, b.reduce(first)), qt.IsFalse)
		next := b.dispatch(b.reduce(second))
		b.Assert(next.Upstream.ID, qt.Equals, m.Target.ID)
		b.Assert(next.From, qt.Equals, KVCache{Address: d.Upstream.Address, Handle: "h1"})
	}
}

func TestStoppedRunContinuesAtItsSource(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"), up("m2", "model"))
	conn, d := b.streaming("/plan/1", 5000)
	b.reclaim(d.Upstream.ID, 2500*time.Millisecond)
	b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: MoveStopped, Handle: "h1"})
	next := b.dispatch(b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true}))
	b.Assert(next.Upstream.ID, qt.Equals, d.Upstream.ID)
	b.Assert(next.From.Handle, qt.Equals, "h1")
}

func TestRefusedMoveTriesAnotherTarget(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"), up("m2", "model"), up("m3", "model"))
	conn, d := b.streaming("/plan/1", 5000)
	first, _ := findMove(b.reclaim(d.Upstream.ID, 2500*time.Millisecond))
	second, ok := findMove(b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: MoveRefused}))
	b.Assert(ok, qt.IsTrue)
	b.Assert(second.Target.ID, qt.Not(qt.Equals), first.Target.ID)
}

// TestMovedRunIsNeverRestarted: if the KV cache cannot be used, a stream that
// cannot be resumed is aborted, since a second run would join two different
// answers.
func TestMovedRunIsNeverRestarted(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"), up("m2", "model"))
	conn, d := b.streaming("/plan/1", 5000)
	b.reclaim(d.Upstream.ID, 2500*time.Millisecond)
	b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: MoveDone, Handle: "h1"})
	next := b.dispatch(b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true}))
	effects := b.reduce(Ended{Conn: conn, Attempt: next.Attempt, Result: ResultFull, AnswerSent: true})
	b.Assert(refusal(effects), qt.Equals, "cut "+ReasonFailed)
}

func TestStreamThatEndsInTimeIsNotMoved(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"), up("m2", "model"))
	_, d := b.streaming("/plan/1", 50)
	_, ok := findMove(b.reclaim(d.Upstream.ID, 2500*time.Millisecond))
	b.Assert(ok, qt.IsFalse)
}

// TestMovesFromOneEngineAreSequential reclaims an engine that runs ten
// streams.
func TestMovesFromOneEngineAreSequential(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	for range 10 {
		b.streaming("/plan/1", 5000)
	}
	b.list(up("m1", "model"), up("m2", "model"))
	effects := b.reclaim("m1", 2500*time.Millisecond)
	for range 10 {
		m, ok := findMove(effects)
		b.Assert(ok, qt.IsTrue)
		effects = b.reduce(Moved{Conn: m.Conn, Attempt: m.Attempt, Outcome: MoveDone, Handle: "h"})
		b.reduce(Ended{Conn: m.Conn, Attempt: m.Attempt, Result: ResultBroken, AnswerSent: true})
	}
	_, ok := findMove(effects)
	b.Assert(ok, qt.IsFalse)
	b.Assert(b.g.upstreams.OwnLoads()["m2"].Running, qt.Equals, 10)
}

// TestStoppedRunIsNotReportedAsNotRun: a request whose run had been stopped to continue elsewhere, and
// whose time ended before it did, was refused as not run if nothing of its answer had been sent.
func TestStoppedRunIsNotReportedAsNotRun(t *testing.T) {
	for _, outcome := range []MoveOutcome{"", MoveDone} {
		b := newBench(t, "a")
		b.ready(up("m1", "model"), up("m2", "model"))
		conn, d := b.streaming("/plan/1", 5000)
		m, _ := findMove(b.reclaim(d.Upstream.ID, 2500*time.Millisecond))
		b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken})
		if outcome != "" {
			b.g.recordSignals(m.Target, b.now, Signals{Pause: time.Second})
			b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: outcome, Handle: "h1"})
		}
		b.Assert(refusal(b.reduce(Expired{Conn: conn})), qt.Equals, ReasonDeadlineExceeded)
	}
}

// TestAnswerToMoveTellsOfItsSource: what a source said in its answer to a move was lost if the caller
// had left meanwhile, and a call without an answer lifted the source's limit.
func TestAnswerToMoveTellsOfItsSource(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"), up("m2", "model"))
	conn, d := b.streaming("/plan/1", 5000)
	m, _ := findMove(b.reclaim(d.Upstream.ID, 2500*time.Millisecond))
	b.reduce(HandlerEnded{Conn: conn, Disconnected: true})
	limited := Signals{Pause: time.Second, RateLimit: twoPerSecond}
	b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: MoveRefused, Source: m.Source, StartedAt: b.now, Answered: true, Signals: limited})
	b.Assert(b.g.Admits(b.now, m.Source), qt.IsFalse)
	b.wait(time.Second)
	b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: MoveUnknown, Source: m.Source, StartedAt: b.now})
	b.Assert(b.g.upstreams.OwnLimits(b.now)[0].Limit, qt.Equals, twoPerSecond)
}

// TestSpoiledStreamWaitsForNoMove: a stream that was spoiled while it was to be moved went on elsewhere with
// the move of its first attempt; when that attempt broke off too, it waited without an end for an answer to the move.
func TestSpoiledStreamWaitsForNoMove(t *testing.T) {
	for _, movedFirst := range []bool{true, false} {
		b := newBench(t, "a")
		b.ready(up("m1", "model"), up("m2", "model"))
		conn, d := b.streaming("/ask/1", 5000)
		_, ok := findMove(b.reclaim(d.Upstream.ID, 2500*time.Millisecond))
		b.Assert(ok, qt.IsTrue)
		next := b.dispatch(b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultMalformed, AnswerSent: true}))
		b.Assert(b.g.requests[conn].move, qt.IsNil)
		moved := Moved{Conn: conn, Attempt: d.Attempt, Outcome: MoveDone, Handle: "h1"}
		if movedFirst {
			b.Assert(b.reduce(moved), qt.HasLen, 1)
		}
		effects := b.reduce(Ended{Conn: conn, Attempt: next.Attempt, Result: ResultBroken, AnswerSent: true})
		b.Assert(refusal(effects), qt.Equals, "cut "+ReasonFailed)
		b.reduce(moved)
		b.Assert(b.g.requests[conn], qt.IsNil)
	}
}

// TestRunBetweenEnginesEndsAtItsDeadline: nothing watched the deadline of a stopped run that waited for an engine
// which asked for longer and longer pauses, or for an answer to its move.
func TestRunBetweenEnginesEndsAtItsDeadline(t *testing.T) {
	for _, answered := range []bool{true, false} {
		b := newBench(t, "a")
		b.ready(up("m1", "model"), up("m2", "model"))
		conn, d := b.streaming("/plan/1", 5000)
		m, ok := findMove(b.reclaim(d.Upstream.ID, 20*time.Second))
		b.Assert(ok, qt.IsTrue)
		b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true})
		if answered {
			b.g.recordSignals(m.Target, b.now, Signals{Pause: time.Second})
			b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: MoveDone, Handle: "h1"})
		}
		b.Assert(b.g.requests[conn].isBetweenRuns(), qt.IsTrue)
		var effects []Effect
		for end := b.now.Add(16 * time.Second); b.now.Before(end); {
			b.g.recordSignals(m.Target, b.now, Signals{Pause: time.Second})
			effects = append(effects, b.wait(500*time.Millisecond)...)
		}
		b.Assert(refusal(effects), qt.Equals, "cut "+ReasonDeadlineExceeded)
		b.Assert(b.g.requests[conn], qt.IsNil)
	}
}
