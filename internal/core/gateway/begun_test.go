package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

// waitingAgain returns the connection of a resumable stream that broke and waits, since the only
// upstream has taken a long prompt meanwhile. sent is set if part of its answer has reached the
// caller.
func (b *bench) waitingAgain(sent bool) uint64 {
	b.ready(up("m1", "model"), up("d1", "desk"))
	b.g.table.Teams()[0].Rate = 0
	conn, effects := b.submit(Request{Path: "/ask/1", Key: "k", Prompt: placement.Prompt{InputTokens: 100, MaxOutputTokens: 10}})
	d := b.dispatch(effects)
	if sent {
		b.reduce(Began{Conn: conn, Attempt: d.Attempt})
	}
	_, effects = b.submit(Request{Path: "/plan/1", Key: "k", Prompt: placement.Prompt{InputTokens: 60_000, MaxOutputTokens: 10}})
	b.dispatch(effects)
	b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: sent, Framing: FramingChunks, CallerFraming: FramingChunks})
	b.Assert(b.g.requests[conn].phase, qt.Equals, phaseWaiting)
	return conn
}

// withoutKeys returns testConfig without the team's keys, withoutRoute without a route.
func withoutKeys(version int64) route.Config {
	c := testConfig(version)
	c.Teams[0].Keys = []string{"other"}
	return c
}

func withoutRoute(version int64, name string) route.Config {
	c := testConfig(version)
	for i, r := range c.Routes {
		if r.Name == name {
			c.Routes = append(c.Routes[:i], c.Routes[i+1:]...)
			break
		}
	}
	return c
}

// TestBegunAnswerIsNeverRefused guards against a refusal whose text stands in an answer that has
// begun, so that the caller takes the answer as whole: it has a row for each way in which a
// request that waits, or one that runs, ends without the upstream's answer.
func TestBegunAnswerIsNeverRefused(t *testing.T) {
	ends := map[string]func(b *bench, conn uint64) []Effect{
		"key taken away": func(b *bench, _ uint64) []Effect {
			return b.reduce(ConfigRead{Config: withoutKeys(2), Body: []byte("2"), Source: "store"})
		},
		"route removed": func(b *bench, _ uint64) []Effect {
			return b.reduce(ConfigRead{Config: withoutRoute(2, "ask"), Body: []byte("2"), Source: "store"})
		},
		"no upstream left": func(b *bench, _ uint64) []Effect {
			b.list(up("d1", "desk"))
			return b.reduce(ConfigRead{Config: testConfig(2), Body: []byte("2"), Source: "store"})
		},
		"deadline":  func(b *bench, conn uint64) []Effect { return b.reduce(Expired{Conn: conn}) },
		"time runs": func(b *bench, _ uint64) []Effect { return b.wait(16 * time.Second) },
	}
	for name, end := range ends {
		for _, sent := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", begun", false: ", not begun"}[sent], func(t *testing.T) {
				b := newBench(t, "a")
				conn := b.waitingAgain(sent)
				effects := end(b, conn)
				if sent {
					b.Assert(has(Refuse{}, effects), qt.IsFalse)
					b.Assert(has(RelayError{}, effects), qt.IsFalse)
					if name != "time runs" {
						b.Assert(has(Abort{}, effects), qt.IsTrue)
					}
					return
				}
				// It may have run: no reason that says otherwise.
				if reason := refusal(effects); reason != "" {
					b.Assert(reason == ReasonFailed || reason == ReasonDeadlineExceeded, qt.IsTrue, qt.Commentf("%s", reason))
				}
			})
		}
	}
}

// TestKeyTakenFromWaitingRequestIsBadKey: a request that has not run is still told that its key is
// not valid, and gets its quota back.
func TestKeyTakenFromWaitingRequestIsBadKey(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	var waiting uint64
	for range 60 {
		conn, effects := b.arrive("/book/1")
		if !has(Dispatch{}, effects) && refusal(effects) == "" {
			waiting = conn
			break
		}
	}
	b.Assert(waiting > 0, qt.IsTrue)
	effects := b.reduce(ConfigRead{Config: withoutKeys(2), Body: []byte("2"), Source: "store"})
	b.Assert(refusal(effects), qt.Equals, ReasonBadKey)
	b.Assert(b.g.requests[waiting], qt.IsNil)
}
