package quota

import "time"

// Limit is a quota in units a second with what may be spent at once.
type Limit struct {
	Rate  float64
	Burst float64
}

// Bucket is a token bucket whose rate and size are scaled by the share of the
// quota for which the nodes in contact answer, from 0 to 1.
type Bucket struct {
	limit  Limit
	level  float64
	filled time.Time
}

// New returns a bucket with the level given, at most the burst.
func New(limit Limit, level float64, now time.Time) *Bucket {
	return &Bucket{limit: limit, level: min(level, limit.Burst), filled: now}
}

// Limit returns the quota.
func (b *Bucket) Limit() Limit { return b.limit }

// SetLimit changes the quota. A lower burst holds at once.
func (b *Bucket) SetLimit(limit Limit) {
	b.limit = limit
	b.level = min(b.level, limit.Burst)
}

// Left returns what may be spent now.
func (b *Bucket) Left(now time.Time, share float64) float64 {
	if passed := now.Sub(b.filled).Seconds(); passed > 0 {
		b.filled = now
		b.level = min(b.level+passed*b.limit.Rate*share, b.limit.Burst*share)
	}
	return b.level
}

// Level returns what could be spent when the bucket was last filled.
func (b *Bucket) Level() float64 { return b.level }

// Spend takes out what has been spent, here or elsewhere; the level may go
// below zero. A negative cost puts back what a request that did not run took.
func (b *Bucket) Spend(cost float64) {
	b.level = max(min(b.level-cost, b.limit.Burst), -b.limit.Burst)
}

// Wait returns how long the cost takes to be there at the share.
func (b *Bucket) Wait(now time.Time, cost, share float64) time.Duration {
	missing := cost - b.Left(now, share)
	rate := b.limit.Rate * share
	if missing <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}
