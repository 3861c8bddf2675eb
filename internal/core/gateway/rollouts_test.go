package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/duty"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/rollout"
)

func versioned(id, version string) placement.Upstream {
	u := up(id, "desk")
	u.Version, u.Slots = version, 1000
	return u
}

// lead gives the node the lease.
func (b *bench) lead() {
	b.Helper()
	for range 100 {
		for _, e := range b.wait(TickInterval) {
			switch e := e.(type) {
			case ReadLease:
				b.reduce(LeaseRead{Result: duty.ResultMissing})
			case WriteLease:
				b.reduce(LeaseWritten{Result: duty.ResultOK, Stored: duty.Stored{Lease: e.Lease, Revision: 1}})
			}
		}
		if b.g.keeper.Held() {
			return
		}
	}
	b.Fatal("no lease")
}

// traffic sends 100 requests a second and answers each at once; bad tells
// whether an answer of the new version is bad. It returns the requests of each
// version, and the state written.
func (b *bench) traffic(d time.Duration, bad func() bool) (newer, older int, state rollout.State) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(10 * time.Millisecond)
		conn, effects := b.arrive("/book/open/1")
		d := b.dispatch(effects)
		result := ResultComplete
		if d.Upstream.Version == "v2" {
			newer++
			if bad() {
				result = ResultErrored
			}
		} else {
			older++
		}
		b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: result})
		for _, e := range b.reduce(Tick{}) {
			if w, ok := e.(WriteRollout); ok {
				state = w.Order.State
				b.reduce(RolloutWritten{Order: w.Order, Done: true})
			}
		}
	}
	return newer, older, state
}

func (b *bench) order() {
	b.reduce(RolloutsChanged{Orders: []rollout.Order{{Service: "desk", Target: "v2", Within: 12 * time.Second, Revision: 3}}})
}

func TestGoodVersionIsTaken(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.lead()
	b.order()
	newer, older, state := b.traffic(12*time.Second, func() bool { return false })
	b.Assert(state, qt.Equals, rollout.StateComplete)
	b.Assert(newer > 0 && older > 0, qt.IsTrue)
}

// TestBadVersionIsLeft: a version that fails two answers in five gets little
// and, after the verdict, nothing.
func TestBadVersionIsLeft(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.lead()
	b.order()
	n := 0
	bad := func() bool { n++; return n%5 < 2 }
	newer, older, state := b.traffic(12*time.Second, bad)
	b.Assert(state, qt.Equals, rollout.StateReverted)
	b.Assert(float64(newer) < 0.1*float64(older), qt.IsTrue, qt.Commentf("%d of %d", newer, older))
	newer, _, _ = b.traffic(time.Second, bad)
	b.Assert(newer, qt.Equals, 0)
}

// TestNothingGoesToANewVersionWithoutTheHolder: a node that does not hear the
// lease holder sends nothing to the new version, whatever it was told before.
func TestNothingGoesToANewVersionWithoutTheHolder(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.order()
	s := status("b")
	s.LeaseToken = 5
	s.Rollouts = []peer.RolloutStatus{{Service: "desk", Version: "v2", Leads: true, Share: 1, Revision: 3}}
	b.hear(s)
	_, effects := b.arrive("/book/open/1")
	b.Assert(b.dispatch(effects).Upstream.Version, qt.Equals, "v2")
	b.now = b.now.Add(shareLife + time.Second)
	_, effects = b.arrive("/book/open/1")
	b.Assert(b.dispatch(effects).Upstream.Version, qt.Equals, "v1")
}

// TestStoppedVersionIsLeftByAll: one node's brake holds at the others at once.
func TestStoppedVersionIsLeftByAll(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.order()
	s := status("b")
	s.Rollouts = []peer.RolloutStatus{{Service: "desk", Version: "v2", Leads: true, Share: 1, Stopped: true, Revision: 3}}
	b.hear(s)
	_, effects := b.arrive("/book/open/1")
	b.Assert(b.dispatch(effects).Upstream.Version, qt.Equals, "v1")
}

// TestRolloutIsHeardOfPeers: a node that has not read the order yet holds the
// new version back, and counts the time from when the peer saw it.
func TestRolloutIsHeardOfPeers(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	s := status("b")
	s.Rollouts = []peer.RolloutStatus{{Service: "desk", Version: "v2", Within: 12 * time.Second, Elapsed: 2 * time.Second, Revision: 3}}
	b.hear(s)
	for range 20 {
		_, effects := b.arrive("/book/open/1")
		b.Assert(b.dispatch(effects).Upstream.Version, qt.Equals, "v1")
	}
	b.Assert(b.g.rollouts["desk"].seen, qt.Equals, b.now.Add(-2*time.Second))
}

// starts sends 20 requests a second, whose answers begin after the time that
// their version takes and don't end. It returns the state written, if any.
func (b *bench) starts(d time.Duration, takes func(version string) time.Duration) rollout.State {
	type start struct {
		conn    uint64
		attempt int
		at      time.Time
	}
	var waiting []start
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		conn, effects := b.arrive("/book/open/1")
		sent := b.dispatch(effects)
		waiting = append(waiting, start{conn, sent.Attempt, b.now.Add(takes(sent.Upstream.Version))})
		for i := 0; i < len(waiting); i++ {
			if w := waiting[i]; !b.now.Before(w.at) {
				b.reduce(Began{Conn: w.conn, Attempt: w.attempt})
				waiting = append(waiting[:i], waiting[i+1:]...)
				i--
			}
		}
		for _, e := range b.reduce(Tick{}) {
			if w, ok := e.(WriteRollout); ok {
				return w.Order.State
			}
		}
	}
	return ""
}

// startsOf plays a roll-out whose old version takes 80 ms to begin and returns
// the state written.
func startsOf(t *testing.T, newer time.Duration, d time.Duration) rollout.State {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.lead()
	takes := func(version string) time.Duration {
		if version == "v2" {
			return newer
		}
		return 80 * time.Millisecond
	}
	b.starts(2*time.Second, takes)
	b.order()
	return b.starts(d, takes)
}

// TestSlowVersionIsNoticedAtItsStarts replays a version eight times slower than
// the old one: most answers still began within the goal, and streams had not
// ended when the verdict fell.
func TestSlowVersionIsNoticedAtItsStarts(t *testing.T) {
	for name, slow := range map[string]time.Duration{"slow": 640 * time.Millisecond, "silent": time.Hour} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, startsOf(t, slow, 12*time.Second), qt.Equals, rollout.StateReverted)
		})
	}
}

// TestVersionThatStartsAlikeIsTaken: a little slower, as with empty caches, is
// not bad.
func TestVersionThatStartsAlikeIsTaken(t *testing.T) {
	qt.Assert(t, startsOf(t, 170*time.Millisecond, 16*time.Second), qt.Equals, rollout.StateComplete)
}

// TestTimeOfAnOrderIsHeardOfPeers replays restarts during a roll-out: a new
// process reads the order from the store, but only its peers know since when it
// stands; its verdict came seconds after the time given.
func TestTimeOfAnOrderIsHeardOfPeers(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.lead()
	b.order()
	s := status("b")
	s.Rollouts = []peer.RolloutStatus{{Service: "desk", Version: "v2", Within: 12 * time.Second, Elapsed: 6 * time.Second, Revision: 3}}
	b.hear(s)
	_, _, state := b.traffic(6*time.Second, func() bool { return false })
	b.Assert(state, qt.Equals, rollout.StateComplete)
}
