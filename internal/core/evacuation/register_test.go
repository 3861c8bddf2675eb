package evacuation

import (
	"fmt"
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

// TestObservationsInAnyOrder guards against a zone that is evacuated, taken back and evacuated
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
				r.Reported(epoch, nodes[from].Report())
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
	c.Assert(r.Reported(epoch, []Mark{{Zone: "z", Generation: 1, Revision: 19}}), qt.HasLen, 0)
	c.Assert(r.Reported(epoch, []Mark{{Zone: "z", Generation: 1, Revision: 21}}), qt.HasLen, 1)
	c.Assert(r.Zones(), qt.DeepEquals, []string{"z"})
}

// TestLostOrder: a store that is restored from a copy may lack the order of an evacuation that
// the operator has not taken back. The zone stays evacuated, until the operator writes and removes
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
		c.Assert(r.Reported(epoch.Add(Retention), []Mark{{Zone: "z", Generation: 1, Revision: 20}}), qt.HasLen, 0)
	})
	t.Run("node that starts after the restore", func(t *testing.T) {
		c := qt.New(t)
		r, _ := restored()
		started := New()
		started.Listed(epoch, at(2, 6), nil)
		started.Reported(epoch, r.Report())
		c.Assert(started.Zones(), qt.DeepEquals, []string{"z"})
		started.Listed(epoch, at(2, 9), nil)
		c.Assert(started.Zones(), qt.DeepEquals, []string{"z"})
	})
	t.Run("taken back at one node", func(t *testing.T) {
		c := qt.New(t)
		r, _ := restored()
		other, _ := restored()
		r.Changed(epoch, at(2, 7), []string{"z"}, nil)
		r.Changed(epoch, at(2, 8), nil, []string{"z"})
		other.Listed(epoch, at(2, 9), nil)
		other.Reported(epoch, r.Report())
		c.Assert(other.Zones(), qt.HasLen, 0)
		r.Reported(epoch, []Mark{{Zone: "z", Generation: 1, Revision: 20}})
		c.Assert(r.Zones(), qt.HasLen, 0)
	})
}

// TestRestoredOrder: the copy may have an order that was taken back since. The store counts: the
// operator sees it there and can remove it.
func TestRestoredOrder(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Listed(epoch, at(1, 20), []string{"z"})
	r.Listed(epoch, at(1, 25), nil)
	r.Listed(epoch, at(2, 20), []string{"z"})
	c.Assert(r.Zones(), qt.DeepEquals, []string{"z"})
}

// TestMarksAreForgotten: zones that were taken back don't add up in the statuses of a process.
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
