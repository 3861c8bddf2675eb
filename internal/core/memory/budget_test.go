package memory

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLargeLeasesLeaveRoomForSmallOnes: bodies of legal size took all memory, and nothing was left for
// ordinary requests.
func TestLargeLeasesLeaveRoomForSmallOnes(t *testing.T) {
	c := qt.New(t)
	b := New(4_000_000)
	var large []*Lease
	for {
		l := b.Lease(Body)
		if !l.Grow(1_000_000) {
			break
		}
		large = append(large, l)
	}
	c.Assert(large, qt.HasLen, 3)
	small := 0
	for b.Lease(Head).Grow(1000) {
		small++
	}
	c.Assert(small, qt.Equals, 1000)
	c.Assert(b.Refused(), qt.DeepEquals, map[Use]int64{Head: 1, Body: 1, Answer: 0})
	for _, l := range large {
		l.Release()
		l.Release()
	}
	c.Assert(b.Taken(), qt.DeepEquals, map[Use]int64{Head: 1_000_000, Body: 0, Answer: 0})
}

// TestRefusedLeaseTakesNothing: a body that comes in pieces keeps what it has when the next piece does
// not fit, and gives all of that back.
func TestRefusedLeaseTakesNothing(t *testing.T) {
	c := qt.New(t)
	b := New(100_000)
	l := b.Lease(Body)
	for l.Grow(10_000) {
	}
	c.Assert(l.Size(), qt.Equals, int64(70_000))
	c.Assert(b.Taken()[Body], qt.Equals, int64(70_000))
	l.Shrink(5_000)
	c.Assert(b.Taken()[Body], qt.Equals, int64(5_000))
	l.Release()
	c.Assert(b.Taken()[Body], qt.Equals, int64(0))
	c.Assert(b.large, qt.Equals, int64(0))
}

// TestLeasesInAnyOrder: whatever is taken and given back, the sum stays within the budget and is zero
// at the end.
func TestLeasesInAnyOrder(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := New(1 + rng.Int64N(1_000_000))
		var leases []*Lease
		for range 200 {
			leases = append(leases, b.Lease(Uses()[rng.IntN(3)]))
			l := leases[rng.IntN(len(leases))]
			switch rng.IntN(4) {
			case 0:
				l.Release()
			case 1:
				l.Shrink(rng.Int64N(100_000))
			default:
				l.Grow(rng.Int64N(100_000))
			}
			c.Assert(b.sum <= b.total && b.large <= b.sum && b.large >= 0, qt.IsTrue)
		}
		for _, l := range leases {
			l.Release()
		}
		c.Assert(b.sum+b.large, qt.Equals, int64(0))
	}
}
