package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/fleet"
	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/rollout"
	"monsoonlanding/internal/core/route"
	"monsoonlanding/internal/core/store"
)

// pauseAll has all upstreams of the plain service ask for a pause.
func (b *bench) pauseAll(pause time.Duration) { b.pauseService("desk", pause) }

func (b *bench) pauseService(service string, pause time.Duration) {
	for _, u := range b.g.upstreams.All() {
		if u.Service == service {
			b.g.recordSignals(u, b.now, Signals{Pause: pause})
		}
	}
}

// findRefusal returns the Refuse among the effects.
func findRefusal(effects []Effect) (Refuse, bool) {
	for _, e := range effects {
		if r, ok := e.(Refuse); ok {
			return r, true
		}
	}
	return Refuse{}, false
}

// TestCallersAreToldTheEndOfPauses: while all upstreams of a service wanted no requests, callers
// waited to be refused, with a delay that led back into the same pauses. They are refused at once
// and told when an upstream takes requests again. A stream that has begun waits for that.
func TestCallersAreToldTheEndOfPauses(t *testing.T) {
	newPausedBench := func(t *testing.T) *bench {
		b := newBench(t, "a")
		b.ready(up("d1", "desk"), up("d2", "desk"), up("m1", "model"))
		b.g.table.Teams()[0].Rate = 0
		return b
	}
	t.Run("a request that arrives", func(t *testing.T) {
		b := newPausedBench(t)
		b.pauseAll(3 * time.Second)
		b.wait(time.Second)
		for range 20 {
			_, effects := b.arrive("/book/1")
			r, refused := findRefusal(effects)
			b.Assert(refused, qt.IsTrue)
			b.Assert(r.Reason, qt.Equals, ReasonPaused)
			b.Assert(r.RetryAfter >= 2*time.Second, qt.IsTrue, qt.Commentf("%v", r.RetryAfter))
			b.Assert(r.RetryAfter <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", r.RetryAfter))
		}
		_, effects := b.arrive("/plan/1")
		b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "m1")
		b.wait(2 * time.Second)
		_, effects = b.arrive("/book/1")
		b.Assert(has(Dispatch{}, effects), qt.IsTrue)
	})
	t.Run("requests that wait", func(t *testing.T) {
		b := newPausedBench(t)
		for range 30 {
			b.arrive("/book/1")
		}
		b.pauseAll(3 * time.Second)
		b.Assert(len(b.g.requests), qt.Equals, len(b.running()))
	})
	t.Run("a request that is turned away", func(t *testing.T) {
		b := newPausedBench(t)
		conn, effects := b.arrive("/book/1")
		d := b.dispatch(effects)
		effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultFull, Framing: FramingLength, Signals: Signals{Pause: 3 * time.Second}})
		d = b.dispatch(effects)
		effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultFull, Framing: FramingLength, Signals: Signals{Pause: 2 * time.Second}})
		r, refused := findRefusal(effects)
		b.Assert(refused, qt.IsTrue)
		b.Assert(r.RetryAfter >= 2*time.Second, qt.IsTrue, qt.Commentf("%v", r.RetryAfter))
		b.Assert(b.g.budget("desk").retryCount(), qt.Equals, 1)
	})
	t.Run("a request that has run", func(t *testing.T) {
		b := newPausedBench(t)
		conn, effects := b.arrive("/read/1")
		d := b.dispatch(effects)
		b.pauseAll(3 * time.Second)
		effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultErrored, Framing: FramingLength})
		b.Assert(has(RelayError{}, effects), qt.IsTrue)
		b.Assert(b.g.budget("desk").retryCount(), qt.Equals, 0)
	})
	t.Run("a pause that ends soon", func(t *testing.T) {
		b := newPausedBench(t)
		b.pauseAll(50 * time.Millisecond)
		_, effects := b.arrive("/book/1")
		r, refused := findRefusal(effects)
		b.Assert(refused, qt.IsTrue)
		b.Assert(r.RetryAfter >= minRetryAfter, qt.IsTrue)
		b.Assert(r.RetryAfter < 2*minRetryAfter, qt.IsTrue)
	})
	t.Run("a stream that has begun", func(t *testing.T) {
		b := newPausedBench(t)
		conn, d := b.streaming("/ask/1", 500)
		b.pauseService("model", 3*time.Second)
		effects := b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, Framing: FramingChunks, AnswerSent: true})
		b.Assert(refusal(effects), qt.Equals, Reason(""))
		b.Assert(has(Dispatch{}, b.wait(2900*time.Millisecond)), qt.IsFalse)
		b.Assert(b.dispatch(b.wait(200*time.Millisecond)).Conn, qt.Equals, conn)
	})
	t.Run("one upstream takes requests", func(t *testing.T) {
		b := newPausedBench(t)
		b.g.recordSignals(up("d1", "desk"), b.now, Signals{Pause: 3 * time.Second})
		for range 12 {
			_, effects := b.arrive("/book/1")
			b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d2")
		}
		_, effects := b.arrive("/book/1")
		b.Assert(refusal(effects), qt.Equals, Reason(""))
	})
}

// TestOneRequestTriesUpstreamAfterPause: all that waited was sent to an upstream the moment that
// its pause ended, and turned away again. One request goes first; the others follow when an answer
// to it shows that the upstream takes them.
func TestOneRequestTriesUpstreamAfterPause(t *testing.T) {
	for _, row := range []struct {
		name string
		// end is what becomes of the first request.
		end func(b *bench, conn uint64, attempt int)
		// dispatched is the number of further requests that are then sent at once.
		dispatched int
	}{
		{"nothing yet", func(*bench, uint64, int) {}, 0},
		{"its answer begins", func(b *bench, conn uint64, attempt int) {
			b.reduce(Began{Conn: conn, Attempt: attempt})
		}, 5},
		{"it is complete", func(b *bench, conn uint64, attempt int) {
			b.reduce(Ended{Conn: conn, Attempt: attempt, Result: ResultComplete, Framing: FramingLength})
		}, 5},
		{"the upstream's own error", func(b *bench, conn uint64, attempt int) {
			b.reduce(Ended{Conn: conn, Attempt: attempt, Result: ResultErrored, Framing: FramingLength})
		}, 5},
		{"turned away with another pause", func(b *bench, conn uint64, attempt int) {
			b.reduce(Ended{Conn: conn, Attempt: attempt, Result: ResultFull, Framing: FramingLength, Signals: Signals{Pause: 3 * time.Second}})
		}, 0},
		{"its connection fails", func(b *bench, conn uint64, attempt int) {
			b.reduce(Ended{Conn: conn, Attempt: attempt, Result: ResultBroken})
		}, 1},
		{"its caller leaves", func(b *bench, conn uint64, _ int) {
			b.reduce(HandlerEnded{Conn: conn, Disconnected: true})
		}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.ready(up("d1", "desk"))
			b.g.table.Teams()[0].Rate = 0
			b.pauseAll(time.Second)
			b.wait(time.Second)
			conn, effects := b.arrive("/book/1")
			d := b.dispatch(effects)
			row.end(b, conn, d.Attempt)
			dispatched := 0
			for i := range 5 {
				_, effects := b.arrive(fmt.Sprint("/book/", i))
				dispatched += sentTo(effects)["d1"]
			}
			b.Assert(dispatched, qt.Equals, row.dispatched)
		})
	}
}

// TestTrialEndsWithoutItsEntry: a trial that ended without an answer while the upstream's entry was
// missing from the list kept all requests from the upstream for a minute.
func TestTrialEndsWithoutItsEntry(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.g.table.Teams()[0].Rate = 0
	b.pauseAll(time.Second)
	b.wait(time.Second)
	conn, effects := b.arrive("/book/1")
	d := b.dispatch(effects)
	b.list()
	b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken})
	b.list(up("d1", "desk"))
	_, effects = b.arrive("/book/2")
	b.Assert(has(Dispatch{}, effects), qt.IsTrue)
}

// TestEarlierAnswerIsNoTrial: an answer to a request that was sent before the pause does not show
// that the upstream takes requests after it.
func TestEarlierAnswerIsNoTrial(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.g.table.Teams()[0].Rate = 0
	earlier, effects := b.arrive("/book/1")
	d := b.dispatch(effects)
	b.pauseAll(300 * time.Millisecond)
	b.wait(300 * time.Millisecond)
	_, effects = b.arrive("/book/2")
	b.dispatch(effects)
	b.reduce(Ended{Conn: earlier, Attempt: d.Attempt, Result: ResultComplete, Framing: FramingLength})
	_, effects = b.arrive("/book/3")
	b.Assert(has(Dispatch{}, effects), qt.IsFalse)
}

// rolloutBench has an old and a new version of the plain service, which gets a twentieth of the
// requests.
func rolloutBench(t *testing.T, old, newer placement.Upstream) *bench {
	b := newBench(t, "a")
	old.Version, newer.Version = "v1", "v2"
	b.ready(old, newer)
	b.g.table.Teams()[0].Rate = 0
	b.orderRollout()
	b.g.rollouts["desk"].share, b.g.rollouts["desk"].shareAt = 0.05, b.now
	return b
}

// TestWaitingRequestsKeepTheShare: requests that waited for the old version were drawn again at
// each event, so that three times the share went to the new one.
func TestWaitingRequestsKeepTheShare(t *testing.T) {
	b := rolloutBench(t, up("d1", "desk"), versioned("d2", "v2"))
	newer, older := 0, 0
	count := func(effects []Effect) {
		newer, older = newer+sentTo(effects)["d2"], older+sentTo(effects)["d1"]
	}
	for range 300 {
		for range 2 {
			_, effects := b.arrive("/read/1")
			count(effects)
		}
		for range 5 {
			b.now = b.now.Add(10 * time.Millisecond)
			b.g.rollouts["desk"].shareAt = b.now
			count(b.reduce(Tick{}))
		}
	}
	b.Assert(older, qt.Equals, 12)
	// Thirty of 600 are to be expected; 60 come once in a million times.
	b.Assert(newer < 60, qt.IsTrue, qt.Commentf("%d", newer))
}

// TestPausesDuringRollout: pauses of the old version send no more than its share to the new one;
// the others are refused at once. Those drawn to a new version that pauses go to the old one.
func TestPausesDuringRollout(t *testing.T) {
	t.Run("old version", func(t *testing.T) {
		b := rolloutBench(t, up("d1", "desk"), versioned("d2", "v2"))
		b.g.recordSignals(up("d1", "desk"), b.now, Signals{Pause: 3 * time.Second})
		newer, refused := 0, 0
		for range 400 {
			_, effects := b.arrive("/read/1")
			newer += sentTo(effects)["d2"]
			if refusal(effects) == ReasonPaused {
				refused++
			}
		}
		b.Assert(newer+refused, qt.Equals, 400)
		b.Assert(newer < 40, qt.IsTrue, qt.Commentf("%d", newer))
	})
	t.Run("new version", func(t *testing.T) {
		b := rolloutBench(t, versioned("d1", "v1"), up("d2", "desk"))
		b.g.recordSignals(up("d2", "desk"), b.now, Signals{Pause: 3 * time.Second})
		for range 400 {
			_, effects := b.arrive("/read/1")
			b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d1")
		}
	})
}

// TestPausesAreNoEvidence: a request that is turned away with a pause says nothing of its version.
func TestPausesAreNoEvidence(t *testing.T) {
	b := rolloutBench(t, versioned("d1", "v1"), versioned("d2", "v2"))
	b.g.rollouts["desk"].share = 1
	b.turnAway("/read/1", 3*time.Second)
	b.Assert(b.g.rollouts["desk"].newer, qt.Equals, rollout.Evidence{})
	b.Assert(b.g.rollouts["desk"].older, qt.Equals, rollout.Evidence{})
}

// TestPausesPassNothingOn: a request is not passed on to a node that its upstreams have not asked for
// a pause: they would get from there what they did not want from here.
func TestPausesPassNothingOn(t *testing.T) {
	b := pathsBench(t)
	b.pauseAll(3 * time.Second)
	_, effects := b.arrive("/book/1")
	b.Assert(refusal(effects), qt.Equals, ReasonPaused)
	b.Assert(has(Dispatch{}, effects), qt.IsFalse)
}

// TestPausesOrderNothing: an engine that pauses is back sooner than another has started. Its pause
// orders none and releases none.
func TestPausesOrderNothing(t *testing.T) {
	orders := func(pause time.Duration) []fleet.Order {
		b := newBench(t, "a")
		b.g.cfg.Bounds.OrdersFleet = true
		config := testConfig(1)
		config.Services[1].Scaling = &route.Scaling{Min: 1, Max: 6, StartTime: 4 * time.Second, ReclaimablePrice: 0.2, ZonePrices: map[string]float64{"z1": 1, "z2": 1}}
		b.reduce(ConfigRead{Config: config, Body: []byte("1"), Source: "store"})
		b.reduce(RolloutsChanged{})
		b.list(up("m1", "model"), up("m2", "model"), up("m3", "model"))
		b.acquireLease()
		b.pauseService("model", pause)
		var list []fleet.Order
		for range 60 {
			for _, e := range b.wait(TickInterval) {
				switch e := e.(type) {
				case OrderFleet:
					list = append(list, e.Order)
					b.reduce(FleetOrdered{Order: e.Order, Outcome: fleet.Accepted})
				case WriteLease:
					b.reduce(LeaseWritten{Result: leader.ResultOK, Stored: leader.Stored{Lease: e.Lease, Revision: store.Revision{Number: 1}}})
				}
			}
		}
		return list
	}
	without := orders(0)
	qt.Assert(t, len(without) > 0, qt.IsTrue)
	qt.Assert(t, orders(3*time.Second), qt.DeepEquals, without)
}
