package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/rollout"
	"monsoonlanding/internal/core/store"
)

func versioned(id, version string) placement.Upstream {
	u := up(id, "desk")
	u.Version, u.Slots = version, 1000
	return u
}

// acquireLease gives the node the lease.
func (b *bench) acquireLease() {
	b.Helper()
	for range 100 {
		for _, e := range b.wait(TickInterval) {
			switch e := e.(type) {
			case ReadLease:
				b.reduce(LeaseRead{Result: leader.ResultMissing})
			case WriteLease:
				b.reduce(LeaseWritten{Result: leader.ResultOK, Stored: leader.Stored{Lease: e.Lease, Revision: store.Revision{Generation: b.revision.Generation, Number: 1}}})
			}
		}
		if b.g.lease.Held() {
			return
		}
	}
	b.Fatal("lease not acquired within 100 ticks")
}

// traffic sends 100 requests per second and answers each at once; bad decides
// whether an answer of the new version is bad. It returns the number of
// requests to each version and the state written.
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

func (b *bench) orderRollout() {
	b.reduce(RolloutsChanged{Orders: []rollout.Order{{Service: "desk", Target: "v2", TimeLimit: 12 * time.Second, Revision: store.Revision{Number: 3}}}})
}

func TestGoodVersionCompletesItsRollout(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.acquireLease()
	b.orderRollout()
	newer, older, state := b.traffic(12*time.Second, func() bool { return false })
	b.Assert(state, qt.Equals, rollout.StateComplete)
	b.Assert(newer > 0 && older > 0, qt.IsTrue)
}

// TestBadVersionIsReverted: a version that fails two answers in five receives
// little traffic and, after the verdict, none.
func TestBadVersionIsReverted(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.acquireLease()
	b.orderRollout()
	n := 0
	bad := func() bool { n++; return n%5 < 2 }
	newer, older, state := b.traffic(12*time.Second, bad)
	b.Assert(state, qt.Equals, rollout.StateReverted)
	b.Assert(float64(newer) < 0.1*float64(older), qt.IsTrue, qt.Commentf("%d of %d", newer, older))
	newer, _, _ = b.traffic(time.Second, bad)
	b.Assert(newer, qt.Equals, 0)
}

// TestNewVersionGetsNothingWithoutLeaseHolder: a node without contact to the
// lease holder sends nothing to the new version, regardless of the share that
// it received before.
func TestNewVersionGetsNothingWithoutLeaseHolder(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.orderRollout()
	s := status("b")
	s.LeaseToken = 5
	s.Rollouts = []peer.RolloutStatus{{Service: "desk", Version: "v2", Decides: true, Share: 1, Revision: 3}}
	b.receive(s)
	_, effects := b.arrive("/book/open/1")
	b.Assert(b.dispatch(effects).Upstream.Version, qt.Equals, "v2")
	b.now = b.now.Add(shareLifetime + time.Second)
	_, effects = b.arrive("/book/open/1")
	b.Assert(b.dispatch(effects).Upstream.Version, qt.Equals, "v1")
}

// TestVersionStoppedByAPeerGetsNothing: a version that one node stopped is
// stopped at the others at once.
func TestVersionStoppedByAPeerGetsNothing(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.orderRollout()
	s := status("b")
	s.Rollouts = []peer.RolloutStatus{{Service: "desk", Version: "v2", Decides: true, Share: 1, Stopped: true, Revision: 3}}
	b.receive(s)
	_, effects := b.arrive("/book/open/1")
	b.Assert(b.dispatch(effects).Upstream.Version, qt.Equals, "v1")
}

// TestRolloutIsLearnedFromPeers: a node that has not read the order yet sends
// nothing to the new version, and counts the time from when the peer saw the
// order.
func TestRolloutIsLearnedFromPeers(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	s := status("b")
	s.Rollouts = []peer.RolloutStatus{{Service: "desk", Version: "v2", TimeLimit: 12 * time.Second, Elapsed: 2 * time.Second, Revision: 3}}
	b.receive(s)
	for range 20 {
		_, effects := b.arrive("/book/open/1")
		b.Assert(b.dispatch(effects).Upstream.Version, qt.Equals, "v1")
	}
	b.Assert(b.g.rollouts["desk"].orderedAt, qt.Equals, b.now.Add(-2*time.Second))
}

// startTraffic sends 20 requests per second. Their answers begin after the
// time that takes returns for the version, and do not end. It returns the
// state written, if any.
func (b *bench) startTraffic(d time.Duration, takes func(version string) time.Duration) rollout.State {
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

// stateAfterStarts runs a rollout whose old version takes 80 ms to begin and
// returns the state written.
func stateAfterStarts(t *testing.T, newer time.Duration, d time.Duration) rollout.State {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.acquireLease()
	takes := func(version string) time.Duration {
		if version == "v2" {
			return newer
		}
		return 80 * time.Millisecond
	}
	b.startTraffic(2*time.Second, takes)
	b.orderRollout()
	return b.startTraffic(d, takes)
}

// TestSlowStartsRevertAVersion: a version is eight times slower than the old
// one, but most of its answers still begin within the goal, and its streams
// have not ended when the verdict is due.
func TestSlowStartsRevertAVersion(t *testing.T) {
	for name, slow := range map[string]time.Duration{"slow": 640 * time.Millisecond, "silent": time.Hour} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, stateAfterStarts(t, slow, 12*time.Second), qt.Equals, rollout.StateReverted)
		})
	}
}

// TestSlightlySlowerStartsCompleteARollout: a version that is a little slower,
// as with empty caches, is not bad.
func TestSlightlySlowerStartsCompleteARollout(t *testing.T) {
	qt.Assert(t, stateAfterStarts(t, 170*time.Millisecond, 16*time.Second), qt.Equals, rollout.StateComplete)
}

// TestRolloutStartTimeIsLearnedFromPeers: nodes restart during a rollout. A new
// process reads the order from the store, but only its peers know when it was
// ordered; without that the verdict comes seconds late.
func TestRolloutStartTimeIsLearnedFromPeers(t *testing.T) {
	b := newBench(t, "a")
	b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
	b.acquireLease()
	b.orderRollout()
	s := status("b")
	s.Rollouts = []peer.RolloutStatus{{Service: "desk", Version: "v2", TimeLimit: 12 * time.Second, Elapsed: 6 * time.Second, Revision: 3}}
	b.receive(s)
	_, _, state := b.traffic(6*time.Second, func() bool { return false })
	b.Assert(state, qt.Equals, rollout.StateComplete)
}
