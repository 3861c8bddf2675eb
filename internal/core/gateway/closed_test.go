package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// closed is the end of a stream without a mark of its end, relayed to a caller in
// the given framing.
func closed(conn uint64, d Dispatch, caller Framing) Ended {
	return Ended{
		Conn: conn, Attempt: d.Attempt, Result: ResultClosed, Framing: FramingClose,
		AnswerSent: true, CallerFraming: caller,
	}
}

// TestUnmarkedEndIsPassedOnUnmarked: a stream that may have been cut ends for the
// caller as it ended here, or, if that would mark it as whole, it goes on at
// another upstream or is aborted.
func TestUnmarkedEndIsPassedOnUnmarked(t *testing.T) {
	for _, test := range []struct {
		path     string
		caller   Framing
		finished bool
		resumed  bool
	}{
		{"/plan/1", FramingClose, true, false},
		{"/plan/1", FramingChunks, false, false},
		{"/ask/1", FramingClose, true, false},
		{"/ask/1", FramingChunks, false, true},
	} {
		b := newBench(t, "a")
		b.ready(up("m1", "model"), up("m2", "model"))
		conn, d := b.streaming(test.path, 50)
		effects := b.reduce(closed(conn, d, test.caller))
		comment := qt.Commentf("%+v: %v", test, effects)
		b.Assert(has(Finish{}, effects), qt.Equals, test.finished, comment)
		b.Assert(has(Dispatch{}, effects), qt.Equals, test.resumed, comment)
		b.Assert(has(Abort{}, effects), qt.Equals, !test.finished && !test.resumed, comment)
	}
}

// TestStoppedUnmarkedStreamIsMoved: an engine that stops a run to move it closes
// the stream, which must not be taken for its end.
func TestStoppedUnmarkedStreamIsMoved(t *testing.T) {
	for _, test := range []struct {
		outcome  MoveOutcome
		moved    bool
		finished bool
	}{
		{MoveDone, true, false},
		{MoveStopped, true, false},
		// The run had ended, or it went on: the close is the end of the stream.
		{MoveAbsent, false, true},
		{MoveRefused, false, true},
		// The run may have been stopped.
		{MoveUnknown, false, false},
	} {
		for _, movedFirst := range []bool{true, false} {
			b := newBench(t, "a")
			b.ready(up("m1", "model"), up("m2", "model"))
			conn, d := b.streaming("/plan/1", 5000)
			b.reclaim(d.Upstream.ID, 2500*time.Millisecond)
			first := Event(Moved{Conn: conn, Attempt: d.Attempt, Outcome: test.outcome, Handle: "h1"})
			second := Event(closed(conn, d, FramingClose))
			if !movedFirst {
				first, second = second, first
			}
			effects := append(b.reduce(first), b.reduce(second)...)
			comment := qt.Commentf("%+v, moved first %v: %v", test, movedFirst, effects)
			b.Assert(has(Dispatch{}, effects), qt.Equals, test.moved, comment)
			b.Assert(has(Finish{}, effects), qt.Equals, test.finished, comment)
			b.Assert(has(Abort{}, effects), qt.Equals, !test.moved && !test.finished, comment)
		}
	}
}

// TestStreamIsFinishedOnlyByItsLastAttempt plays drawn ends of attempts and moves:
// a stream is finished in order only by an end without a mark that its caller's
// answer does not turn into one, and nothing follows the last effect of a request.
func TestStreamIsFinishedOnlyByItsLastAttempt(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		p := drawnStream{bench: newBench(t, "a"), draw: draw}
		if problem := p.play(); problem != "" {
			draw.Fatal(problem)
		}
	})
}

// drawnStream is a stream whose attempts end as drawn.
type drawnStream struct {
	*bench
	draw     *rapid.T
	conn     uint64
	dispatch Dispatch
	caller   Framing
}

// play plays attempts until the request is over, and returns what was wrong.
func (p *drawnStream) play() string {
	p.ready(up("m1", "model"), up("m2", "model"), up("m3", "model"))
	p.conn, p.dispatch = p.streaming(rapid.SampledFrom([]string{"/plan/1", "/ask/1"}).Draw(p.draw, "path"), 5000)
	p.caller = rapid.SampledFrom([]Framing{FramingClose, FramingChunks}).Draw(p.draw, "caller's framing")
	for {
		result := rapid.SampledFrom([]Result{ResultClosed, ResultBroken, ResultComplete, ResultFull}).Draw(p.draw, "result")
		effects := append(p.drawMove(), p.end(result)...)
		next, again := findDispatch(effects)
		finished := has(Finish{}, effects)
		switch over := finished || has(Abort{}, effects) || result == ResultComplete; {
		case finished && (p.caller != FramingClose || result != ResultClosed):
			return fmt.Sprintf("finished after %v, caller's framing %v: %v", result, p.caller, effects)
		case over && again:
			return fmt.Sprintf("dispatched after the end: %v", effects)
		case !again:
			return p.checkOver()
		}
		p.dispatch = next
		p.reduce(Began{Conn: p.conn, Attempt: next.Attempt})
	}
}

// drawMove may reclaim the stream's engine and answer the move that follows.
func (p *drawnStream) drawMove() []Effect {
	if !rapid.Bool().Draw(p.draw, "reclaimed") {
		return nil
	}
	m, ok := findMove(p.reclaim(p.dispatch.Upstream.ID, 2500*time.Millisecond))
	if !ok {
		return nil
	}
	outcomes := []MoveOutcome{MoveDone, MoveStopped, MoveRefused, MoveAbsent, MoveUnknown}
	return p.reduce(Moved{Conn: m.Conn, Attempt: m.Attempt, Outcome: rapid.SampledFrom(outcomes).Draw(p.draw, "outcome"), Handle: "h1"})
}

func (p *drawnStream) end(result Result) []Effect {
	ended := closed(p.conn, p.dispatch, p.caller)
	ended.Result = result
	return p.reduce(ended)
}

// checkOver checks that nothing follows the last effect of a request.
func (p *drawnStream) checkOver() string {
	if _, open := p.g.requests[p.conn]; open {
		return ""
	}
	late := append(p.end(ResultClosed), p.reduce(Moved{Conn: p.conn, Attempt: p.dispatch.Attempt, Outcome: MoveDone})...)
	if _, again := findDispatch(late); again || has(Finish{}, late) || has(Abort{}, late) {
		return fmt.Sprintf("effects after the end: %v", late)
	}
	return ""
}

func findDispatch(effects []Effect) (Dispatch, bool) {
	for _, e := range effects {
		if d, ok := e.(Dispatch); ok {
			return d, true
		}
	}
	return Dispatch{}, false
}
