package gateway

import (
	"time"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/rollout"
	"monsoonlanding/internal/core/store"
)

// way is a way to an upstream.
type way struct {
	name string
	// send sends something that way to an upstream of a node that knows d1 and d2, which are
	// plain, and the engines m1 and m2.
	send func(*bench) []Effect
}

// waysToUpstreams returns all ways to an upstream. Whatever forbids requests to one has a test
// with a row for each, in which d1 and m1 get nothing.
func waysToUpstreams() []way {
	return []way{
		{"first sends to a plain service", func(b *bench) []Effect {
			_, effects := b.arrive("/book/2")
			return effects
		}},
		{"first sends to an engine", func(b *bench) []Effect {
			_, effects := b.arrive("/plan/2")
			return effects
		}},
		{"the queue", func(b *bench) []Effect {
			var all []Effect
			for range 16 {
				_, effects := b.arrive("/read/2")
				all = append(all, effects...)
			}
			return append(all, b.endRunning(ResultComplete)...)
		}},
		{"retries after refusals", func(b *bench) []Effect {
			return b.endAttemptIfSent("/read/2", Ended{Result: ResultFull, Framing: FramingLength})
		}},
		{"retries after errors", func(b *bench) []Effect {
			return b.endAttemptIfSent("/read/2", Ended{Result: ResultErrored, Framing: FramingLength})
		}},
		{"resumed streams", func(b *bench) []Effect {
			return b.endAttemptIfSent("/ask/2", Ended{Result: ResultBroken, Framing: FramingChunks, AnswerSent: true})
		}},
		{"moved streams", func(b *bench) []Effect {
			if u, _ := b.g.upstreams.Get("m2"); u.State != placement.StateReady {
				return nil
			}
			b.streaming("/plan/2", 5000)
			return b.reclaim("m2", 2500*time.Millisecond)
		}},
		{"all others ejected", func(b *bench) []Effect {
			var all []Effect
			for range 4 {
				_, effects := b.arrive("/book/2")
				all = append(all, effects...)
				all = append(all, b.endRunning(ResultUnreachable)...)
			}
			return all
		}},
		{"an unlisted one is the only other", func(b *bench) []Effect {
			b.reduce(StoreLost{})
			b.list(up("d1", "desk"))
			_, effects := b.arrive("/book/2")
			return effects
		}},
		{"requests that other nodes pass on", func(b *bench) []Effect {
			b.conn++
			return b.reduce(Arrived{Conn: b.conn, Request: Request{ID: "r", Host: "h", Path: "/book/1", Key: "k"}, Relayed: &Relayed{From: "c", Attempts: 1}})
		}},
		{"the new version of a rollout", func(b *bench) []Effect {
			paused := up("d1", "desk")
			paused.Version = "v2"
			b.list(paused, up("d2", "desk"), up("m1", "model"), up("m2", "model"))
			b.reduce(RolloutsChanged{Orders: []rollout.Order{{Service: "desk", Target: "v2", TimeLimit: 12 * time.Second, Revision: store.Revision{Number: 3}}}})
			b.g.rollouts["desk"].share, b.g.rollouts["desk"].shareAt = 1, b.now
			_, effects := b.arrive("/book/2")
			return effects
		}},
	}
}

// endAttemptIfSent is endFirstAttempt for a request that may have to wait.
func (b *bench) endAttemptIfSent(path string, e Ended) []Effect {
	conn, effects := b.arrive(path)
	d, sent := findDispatch(effects)
	if !sent {
		return effects
	}
	if e.AnswerSent {
		b.reduce(Began{Conn: conn, Attempt: d.Attempt})
	}
	e.Conn, e.Attempt = conn, d.Attempt
	return append(effects, b.reduce(e)...)
}
