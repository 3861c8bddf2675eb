package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

// TestStoppingTakesWhatItCanAnswer: a stopping node took requests that could not end before its
// process, and cut them. Relayed ones are treated as its own.
func TestStoppingTakesWhatItCanAnswer(t *testing.T) {
	for _, row := range []struct {
		name, path string
		tokens     int
		after      time.Duration
		taken      bool
	}{
		{"runs once, its time fits", "/book/1", 0, time.Second, true},
		{"runs once, its time does not fit", "/book/1", 0, 2500 * time.Millisecond, false},
		{"may be repeated", "/read/1", 0, 2500 * time.Millisecond, true},
		{"may be repeated, after the last answers", "/read/1", 0, 3 * time.Second, false},
		{"short stream that runs once", "/plan/1", 50, 500 * time.Millisecond, true},
		{"long stream that runs once", "/plan/1", 500, 500 * time.Millisecond, false},
		{"long stream that resumes elsewhere", "/ask/1", 500, 2500 * time.Millisecond, true},
		{"any, after the first seconds", "/read/1", 0, refusalDelay + TickInterval, false},
	} {
		for _, relayed := range []*Relayed{nil, {From: "c", Attempts: 1}} {
			t.Run(row.name, func(t *testing.T) {
				b := newBench(t, "a")
				b.ready(up("d1", "desk"), up("m1", "model"))
				b.reduce(Stop{Within: 3 * time.Second})
				b.wait(row.after)
				b.conn++
				effects := b.reduce(Arrived{Conn: b.conn, Relayed: relayed, Request: Request{
					ID: "r", Host: "h", Path: row.path, Key: "k", Fingerprint: 1,
					Prompt: placement.Prompt{InputTokens: 10, MaxOutputTokens: row.tokens},
				}})
				b.Assert(has(Dispatch{}, effects), qt.Equals, row.taken)
				if !row.taken {
					b.Assert(refusal(effects), qt.Equals, ReasonStopping)
				}
			})
		}
	}
}

// TestWaitingRequestsAreRefusedBeforeTheEnd: they were cut with the process.
func TestWaitingRequestsAreRefusedBeforeTheEnd(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	for range 24 {
		b.arrive("/read/1")
	}
	waiting := len(b.g.waiting(func(*request) bool { return true }))
	b.Assert(waiting > 0, qt.IsTrue)
	b.reduce(Stop{Within: time.Second})
	refused := 0
	for _, e := range b.reduce(AnswersDue{}) {
		if r, ok := e.(Refuse); ok {
			b.Assert(r.Reason, qt.Equals, ReasonStopping)
			refused++
		}
	}
	b.Assert(refused, qt.Equals, waiting)
}
