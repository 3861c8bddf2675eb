package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
