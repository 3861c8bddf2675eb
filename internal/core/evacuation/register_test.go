package evacuation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/store"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(generation, number int64) store.Revision {
	return store.Revision{Generation: generation, Number: number}
}

// TestObservationsInAnyOrder guards against a zone that is evacuated, used again and evacuated
// again within a second, while lists, changes and reports of it overtake each other: an older one
// must not set a newer one back, at any node.
func TestObservationsInAnyOrder(t *testing.T) {
	c := qt.New(t)
	// The zone's state from each revision on.
	states := []struct {
		revision  int64
		evacuated bool
	}{{10, true}, {14, false}, {17, true}, {19, false}, {23, true}}
	observe := func(revision int64) (evacuated bool) {
		for _, s := range states {
			if s.revision <= revision {
				evacuated = s.evacuated
			}
		}
		return evacuated
	}
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		nodes := []*Register{New(), New(), New()}
		latest := make([]int64, len(nodes))
		for range 30 {
			i := rng.IntN(len(nodes))
			r := nodes[i]
			revision := 8 + rng.Int64N(20)
			switch rng.IntN(3) {
			case 0:
				var zones []string
				if observe(revision) {
					zones = []string{"z"}
				}
				if r.Listed(epoch, at(0, revision), zones); revision > latest[i] {
					latest[i] = revision
				}
			case 1:
				if r.Read() && revision > latest[i] {
					if observe(revision) {
						r.Changed(epoch, at(0, revision), []string{"z"}, nil)
					} else {
						r.Changed(epoch, at(0, revision), nil, []string{"z"})
					}
					latest[i] = revision
				}
			default:
				from := rng.IntN(len(nodes))
				r.Reported(epoch, 0, nodes[from].Report())
				if len(nodes[from].Report()) > 0 {
					latest[i] = max(latest[i], nodes[from].Report()[0].Revision)
				}
			}
			c.Assert(len(r.Zones()) == 1, qt.Equals, observe(latest[i]), qt.Commentf("seed %d, revision %d: %v", seed, latest[i], r.Report()))
		}
	}
}

// TestReadsThatMissedTheZone: a node that has read the store completely does not believe a peer
// that is behind it; one that is behind the peer does.
func TestReadsThatMissedTheZone(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Listed(epoch, at(1, 20), nil)
	c.Assert(r.Reported(epoch, 1, []Mark{{Zone: "z", Generation: 1, Revision: 19}}), qt.HasLen, 0)
	c.Assert(r.Reported(epoch, 1, []Mark{{Zone: "z", Generation: 1, Revision: 21}}), qt.HasLen, 1)
	c.Assert(r.Zones(), qt.DeepEquals, []string{"z"})
}

// TestLostOrder: a store that is restored from a copy may lack the order of an evacuation that
// the operator has not ended. The zone stays evacuated, until the operator writes and removes
// the order again, or for Retention.
func TestLostOrder(t *testing.T) {
	restored := func() (*Register, []Change) {
		r := New()
		r.Listed(epoch, at(1, 20), []string{"z"})
		return r, r.Listed(epoch, at(2, 5), nil)
	}
	t.Run("written and removed again", func(t *testing.T) {
		c := qt.New(t)
		r, changes := restored()
		c.Assert(changes, qt.HasLen, 1)
		c.Assert(changes[0].Lost, qt.IsTrue)
		c.Assert(r.Listed(epoch, at(2, 6), nil), qt.HasLen, 0)
		c.Assert(r.Zones(), qt.DeepEquals, []string{"z"})
		r.Changed(epoch, at(2, 7), []string{"z"}, nil)
		c.Assert(r.Zones(), qt.DeepEquals, []string{"z"})
		r.Changed(epoch, at(2, 8), nil, []string{"z"})
		c.Assert(r.Zones(), qt.HasLen, 0)
	})
	t.Run("never written again", func(t *testing.T) {
		c := qt.New(t)
		r, _ := restored()
		c.Assert(r.Expire(epoch.Add(Retention-1)), qt.HasLen, 0)
		c.Assert(r.Expire(epoch.Add(Retention)), qt.HasLen, 1)
		c.Assert(r.Zones(), qt.HasLen, 0)
		// A peer that has not given it up yet does not bring it back.
		c.Assert(r.Reported(epoch.Add(Retention), 2, []Mark{{Zone: "z", Generation: 1, Revision: 20}}), qt.HasLen, 0)
	})
	t.Run("node that starts after the restore", func(t *testing.T) {
		c := qt.New(t)
		r, _ := restored()
		started := New()
		started.Listed(epoch, at(2, 6), nil)
		started.Reported(epoch, 2, r.Report())
		c.Assert(started.Zones(), qt.DeepEquals, []string{"z"})
		started.Listed(epoch, at(2, 9), nil)
		c.Assert(started.Zones(), qt.DeepEquals, []string{"z"})
	})
	t.Run("ended at one node", func(t *testing.T) {
		c := qt.New(t)
		r, _ := restored()
		other, _ := restored()
		r.Changed(epoch, at(2, 7), []string{"z"}, nil)
		r.Changed(epoch, at(2, 8), nil, []string{"z"})
		other.Listed(epoch, at(2, 9), nil)
		other.Reported(epoch, 2, r.Report())
		c.Assert(other.Zones(), qt.HasLen, 0)
		r.Reported(epoch, 1, []Mark{{Zone: "z", Generation: 1, Revision: 20}})
		c.Assert(r.Zones(), qt.HasLen, 0)
	})
}

// TestRestoredOrder: the copy may have an order that was removed since. The store counts: the
// operator sees it there and can remove it.
func TestRestoredOrder(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Listed(epoch, at(1, 20), []string{"z"})
	r.Listed(epoch, at(1, 25), nil)
	r.Listed(epoch, at(2, 20), []string{"z"})
	c.Assert(r.Zones(), qt.DeepEquals, []string{"z"})
}

// TestMarksAreForgotten: evacuations that have ended don't add up in the statuses of a process.
func TestMarksAreForgotten(t *testing.T) {
	c := qt.New(t)
	r := New()
	for i := range int64(100) {
		r.Listed(epoch, at(0, 2*i+1), []string{fmt.Sprint("z", i)})
	}
	r.Listed(epoch, at(0, 500), nil)
	c.Assert(r.Report(), qt.HasLen, 100)
	r.Expire(epoch.Add(Retention))
	c.Assert(r.Report(), qt.HasLen, 0)
}

// TestEndsAreNotPassedRound: statuses went on to name every zone that was ever evacuated, because
// a node that had forgotten one took it again from a peer that had not yet. It stays forgotten, and
// a late report of the evacuation does not bring it back.
func TestEndsAreNotPassedRound(t *testing.T) {
	c := qt.New(t)
	const step = 10 * time.Second
	nodes := []*Register{New(), New(), New()}
	for i, r := range nodes {
		r.Listed(epoch.Add(time.Duration(i)*step), at(0, 20), []string{"z"})
	}
	marks, ended := nodes[0].Report(), epoch.Add(time.Minute)
	for n := 0; n < int(2*Retention/step); n++ {
		now := ended.Add(time.Duration(n) * step)
		for i, r := range nodes {
			if n >= i {
				r.Listed(now, at(0, int64(30+3*n+i)), nil)
			}
			r.Expire(now)
			for _, other := range nodes {
				r.Reported(now, 0, other.Report())
			}
		}
	}
	for _, r := range nodes {
		c.Assert(r.Report(), qt.HasLen, 0)
		r.Reported(ended.Add(2*Retention), 0, marks)
		c.Assert(r.Zones(), qt.HasLen, 0)
	}
}

// TestLongPastGeneration: a node that was cut off for long evacuated a zone everywhere, whose order
// had been removed and whose store was restored meanwhile.
func TestLongPastGeneration(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Listed(epoch, at(1, 20), nil)
	restored := epoch.Add(time.Hour)
	r.Listed(restored, at(2, 5), nil)
	marks := []Mark{{Zone: "z", Generation: 1, Revision: 20}}
	r.Listed(restored.Add(Retention), at(2, 9), nil)
	c.Assert(r.Reported(restored.Add(Retention+1), 2, marks), qt.HasLen, 0)
	c.Assert(r.Zones(), qt.HasLen, 0)
	// Soon after the restore its order may be lost.
	c.Assert(r.Reported(restored.Add(Retention), 2, marks), qt.HasLen, 1)
}

// TestOddMark: a peer's mark at a revision that the store has not reached held for good, and no
// order of the operator changed it. Each node's next lists of the store overrule it, however often
// the peer repeats it. A list that is only older than a mark overrules nothing.
func TestOddMark(t *testing.T) {
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprint(ended), func(t *testing.T) {
			c := qt.New(t)
			var zones []string
			if ended {
				zones = []string{"z"}
			}
			r := New()
			r.Listed(epoch, at(1, 20), zones)
			odd := []Mark{{Zone: "z", Ended: ended, Generation: 1, Revision: math.MaxInt64}}
			c.Assert(r.Reported(epoch, 1, odd), qt.HasLen, 1)
			c.Assert(r.Listed(epoch.Add(maxListAge-1), at(1, 21), zones), qt.HasLen, 0)
			c.Assert(r.Listed(epoch.Add(maxListAge), at(1, 21), zones), qt.HasLen, 1)
			c.Assert(r.Zones(), qt.DeepEquals, zones)
			for i := range int64(3) {
				now := epoch.Add(maxListAge + time.Duration(i))
				c.Assert(r.Reported(now, 1, odd), qt.HasLen, 0)
				c.Assert(r.Listed(now, at(1, 22+i), zones), qt.HasLen, 0)
			}
			c.Assert(r.Zones(), qt.DeepEquals, zones)
			r.Listed(epoch.Add(time.Minute), at(1, 30), nil)
			r.Changed(epoch.Add(time.Minute), at(1, 31), []string{"z"}, nil)
			c.Assert(r.Zones(), qt.DeepEquals, []string{"z"})
		})
	}
	t.Run("of a generation that the peer itself does not know", func(t *testing.T) {
		c := qt.New(t)
		r := New()
		r.Listed(epoch, at(1, 20), nil)
		c.Assert(r.Reported(epoch, 1, []Mark{{Zone: "z", Generation: 2, Revision: 1}}), qt.HasLen, 0)
		c.Assert(r.Zones(), qt.HasLen, 0)
	})
}
