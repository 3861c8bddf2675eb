package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// take spends the cost if the bucket holds it.
func take(b *Bucket, now time.Time, cost, share float64) bool {
	if b.Available(now, share) < cost {
		return false
	}
	b.Spend(now, cost, share)
	return true
}

// TestNoIntervalExceedsTheLimit tries to spend far more than the rate for 40 s,
// in bursts, and checks each interval of 8 s.
func TestNoIntervalExceedsTheLimit(t *testing.T) {
	c := qt.New(t)
	const interval = 8 * time.Second
	limit := Limit{Rate: 100, Burst: 200}
	b := New(limit, limit.Burst, epoch)
	type spend struct {
		at   time.Time
		cost float64
	}
	var spent []spend
	total := 0.0
	for i := range 4000 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		if (i/150)%2 == 0 && take(b, now, 30, 1) {
			spent = append(spent, spend{now, 30})
			total += 30
		}
	}
	for _, first := range spent {
		sum := 0.0
		for _, s := range spent {
			if !s.at.Before(first.at) && s.at.Before(first.at.Add(interval)) {
				sum += s.cost
			}
		}
		c.Assert(sum <= limit.Rate*interval.Seconds()+limit.Burst, qt.IsTrue, qt.Commentf("%v from %v", sum, first.at))
	}
	c.Assert(total > 0.9*40*limit.Rate, qt.IsTrue, qt.Commentf("%v", total))
}

func TestWaitIsLongEnough(t *testing.T) {
	c := qt.New(t)
	b := New(Limit{Rate: 10, Burst: 100}, 100, epoch)
	c.Assert(take(b, epoch, 90, 1), qt.IsTrue)
	c.Assert(take(b, epoch, 50, 1), qt.IsFalse)
	wait := b.Wait(epoch, 50, 1)
	c.Assert(wait, qt.Equals, 4*time.Second)
	c.Assert(take(b, epoch.Add(wait), 50, 1), qt.IsTrue)
}

func TestLowerBurstAppliesAtOnce(t *testing.T) {
	c := qt.New(t)
	b := New(Limit{Rate: 10, Burst: 100}, 100, epoch)
	b.SetLimit(Limit{Rate: 1, Burst: 20})
	c.Assert(b.Available(epoch, 1), qt.Equals, 20.0)
}

func TestBucketIsScaledByTheShare(t *testing.T) {
	c := qt.New(t)
	b := New(Limit{Rate: 10, Burst: 100}, 100, epoch)
	now := epoch.Add(time.Second)
	c.Assert(b.Available(now, 0.25), qt.Equals, 25.0)
	b.Spend(now, 25, 0.25)
	b.Spend(now, -25, 0.25)
	c.Assert(b.Available(now, 0.25), qt.Equals, 25.0)
}

// TestSpendingOfPeersIsNotForgotten guards against a node that is rarely asked itself: what its
// peers spent went beyond the lower bound of its level while the refill of the same time was
// pending, and was forgotten, so that the team got more than its quota.
func TestSpendingOfPeersIsNotForgotten(t *testing.T) {
	c := qt.New(t)
	b := New(Limit{Rate: 100, Burst: 100}, 100, epoch)
	now := epoch
	for range 20 {
		now = now.Add(time.Second)
		b.Spend(now, 110, 1)
	}
	// 100 at first and 100 a second, less 110 a second.
	c.Assert(b.Available(now, 1) <= -100.0, qt.IsTrue)
}
