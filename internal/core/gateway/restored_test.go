package gateway

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/rollout"
	"monsoonlanding/internal/core/store"
)

// restoredBench knows d1 and d2 at revision 100 of the store and is in contact with b.
// The store has then been restored from a copy, as its next answer tells.
func restoredBench(t *testing.T) *bench {
	b := newBench(t, "a")
	b.revision.Number = 99
	b.ready(up("d1", "desk"), up("d2", "desk"))
	b.receive(status("b"))
	b.restoreStore(40)
	return b
}

// restoreStore restores the store from a copy of an earlier revision.
func (b *bench) restoreStore(number int64) []Effect {
	b.revision = store.Revision{Generation: b.revision.Generation + 1, Number: number}
	return b.reduce(StoreGeneration{Generation: b.revision.Generation})
}

func drainingUpstream(id string) placement.Upstream {
	u := up(id, "desk")
	u.State = placement.StateDraining
	return u
}

// TestLeaveAfterRestoreIsHonoured: after a restore the store's revisions are lower than
// those that nodes know. A leave that a watching peer then sends was ignored.
func TestLeaveAfterRestoreIsHonoured(t *testing.T) {
	b := restoredBench(t)
	effects := b.reduce(PeerReceived{From: "b", Message: peer.UpstreamsDelta{
		Generation: 1, Revision: 45, Previous: 41, Put: []placement.Upstream{drainingUpstream("d1")},
	}})
	if lists(FeedUpstreams, effects) {
		b.list(drainingUpstream("d1"), up("d2", "desk"))
	}
	for range 6 {
		_, effects := b.arrive("/book/1")
		b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d2")
	}
}

// TestRestoreIsLearnedFromPeers: a node that does not watch the store learns of a restore
// from the first peer that does, and lists the upstreams again.
func TestRestoreIsLearnedFromPeers(t *testing.T) {
	a, b := newBench(t, "a"), newBench(t, "b")
	for _, n := range []*bench{a, b} {
		n.revision.Number = 99
		n.ready(up("d1", "desk"))
	}
	a.receive(status("b"))
	a.restoreStore(40)
	listed := false
	for _, e := range a.wait(time.Second) {
		send, ok := e.(Send)
		if s, isStatus := send.Message.(peer.Status); ok && isStatus {
			listed = listed || lists(FeedUpstreams, b.receive(s))
		}
	}
	b.Assert(listed, qt.IsTrue)
}

// TestResultsOfEarlierGenerationAreIgnored: a list that was read before a restore and is
// processed after it must not replace what is known of the restored store.
func TestResultsOfEarlierGenerationAreIgnored(t *testing.T) {
	b := restoredBench(t)
	b.list(up("d1", "desk"), drainingUpstream("d2"))
	b.reduce(UpstreamsListed{List: []placement.Upstream{up("d2", "desk")}, Revision: store.Revision{Number: 100}})
	b.reduce(UpstreamsChanged{Removed: []string{"d1"}, Revision: store.Revision{Number: 101}})
	for range 6 {
		_, effects := b.arrive("/book/1")
		b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d1")
	}
}

// TestRestoreForgetsNoLiveUpstream: upstreams that registered after the copy was made are
// missing from it, and write their entries again. One that does not is gone.
func TestRestoreForgetsNoLiveUpstream(t *testing.T) {
	b := restoredBench(t)
	b.list()
	for range 2 {
		_, effects := b.arrive("/book/1")
		b.Assert(has(Dispatch{}, effects), qt.IsTrue)
	}
	b.wait(time.Second)
	b.list(up("d1", "desk"))
	b.wait(relistGrace)
	_, known := b.g.upstreams.Get("d1")
	b.Assert(known, qt.IsTrue)
	_, known = b.g.upstreams.Get("d2")
	b.Assert(known, qt.IsFalse)
}

// TestRestoredEntriesAreNoNews: the copy lists upstreams as they were when it was made.
// One that has reported its leave since, or is gone, gets nothing because of its old
// entry. One that had only lost its entry is used again once the store would have removed
// entries that nobody writes.
func TestRestoredEntriesAreNoNews(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"), up("d2", "desk"), up("d3", "desk"))
	b.list(drainingUpstream("d1"), up("d2", "desk"))
	b.restoreStore(0)
	b.list(up("d1", "desk"), up("d2", "desk"), up("d3", "desk"))
	for range 9 {
		_, effects := b.arrive("/book/1")
		b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d2")
	}
	b.Assert(lists(FeedUpstreams, b.wait(restoredEntryAge)), qt.IsTrue)
	b.list(up("d1", "desk"), drainingUpstream("d2"), up("d3", "desk"))
	_, effects := b.arrive("/book/1")
	b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d3")
}

// TestRestoredEntryOfEarlierProcess: an upstream has started again under its ID, and the copy
// has the entry of its earlier process.
func TestRestoredEntryOfEarlierProcess(t *testing.T) {
	b := newBench(t, "a")
	earlier, current := up("d1", "desk"), up("d1", "desk")
	earlier.StartedAt, earlier.Address = epoch.Add(-time.Minute), "old:80"
	current.StartedAt = epoch
	b.ready(current)
	b.restoreStore(0)
	b.list(earlier)
	_, effects := b.arrive("/book/1")
	b.Assert(b.dispatch(effects).Upstream.Address, qt.Equals, current.Address)
}

// TestVerdictOutlastsRestore: the copy has a rollout without the verdict that was written
// since. A version that was found bad stays so, and its state is written again.
func TestVerdictOutlastsRestore(t *testing.T) {
	for _, verdict := range []rollout.State{rollout.StateReverted, rollout.StateComplete} {
		t.Run(string(verdict), func(t *testing.T) {
			b := newBench(t, "a")
			b.ready(versioned("d1", "v1"), versioned("d2", "v2"))
			b.acquireLease()
			order := rollout.Order{Service: "desk", Target: "v2", TimeLimit: 12 * time.Second, Revision: store.Revision{Number: 50}}
			b.reduce(RolloutsChanged{Orders: []rollout.Order{order}})
			order.State, order.Revision.Number = verdict, 60
			b.reduce(RolloutsChanged{Orders: []rollout.Order{order}})
			b.restoreStore(40)
			b.acquireLease()
			order.State, order.Revision = "", store.Revision{Generation: 1, Number: 41}
			effects := b.reduce(RolloutsChanged{Orders: []rollout.Order{order}})
			effects = append(effects, b.wait(time.Second)...)
			written := slices.IndexFunc(effects, func(e Effect) bool { _, ok := e.(WriteRollout); return ok })
			b.Assert(written >= 0, qt.IsTrue)
			b.Assert(effects[written].(WriteRollout).Order.State, qt.Equals, verdict)
			b.Assert(effects[written].(WriteRollout).Order.Revision, qt.Equals, order.Revision)
			for range 20 {
				_, effects := b.arrive("/book/open/1")
				d := b.dispatch(effects)
				if verdict == rollout.StateReverted {
					b.Assert(d.Upstream.Version, qt.Equals, "v1")
				}
			}
		})
	}
}

// TestConfigurationOutlastsRestore: the copy has an older configuration than the one in
// force, until the operator's latest is written again.
func TestConfigurationOutlastsRestore(t *testing.T) {
	b := newBench(t, "a")
	b.reduce(ConfigRead{Config: testConfig(5), Body: []byte("5"), Source: "store"})
	b.restoreStore(0)
	b.reduce(ConfigRead{Config: testConfig(4), Body: []byte("4"), Source: "store"})
	b.Assert(b.g.table.Version(), qt.Equals, int64(5))
}

// TestQuarantineIsWrittenAgainAfterRestore: what is quarantined, or no longer is, outlasts
// the store's copy.
func TestQuarantineIsWrittenAgainAfterRestore(t *testing.T) {
	for _, held := range []bool{true, false} {
		b := newBench(t, "a")
		b.ready(up("m1", "model"))
		b.wait(TickInterval)
		b.reduce(QuarantineRead{Done: true})
		if held {
			b.receiveReport("b", crashReport("p", 1, 2, 3))
			b.wait(10 * time.Second)
			b.reduce(QuarantineWritten{Done: true})
		}
		b.wait(time.Second)
		effects := b.restoreStore(0)
		written, ok := writtenQuarantine(append(effects, b.wait(time.Second)...))
		b.Assert(ok, qt.IsTrue)
		b.Assert(len(written.Evidence) > 0, qt.Equals, held)
	}
}

// TestOwnEntriesAreWrittenAgainAfterRestore: what nodes have written since the copy was
// made is lost with it.
func TestOwnEntriesAreWrittenAgainAfterRestore(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	b.Assert(has(RegisterNode{}, b.restoreStore(0)), qt.IsTrue)
}
