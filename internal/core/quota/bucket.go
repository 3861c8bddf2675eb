package quota

import "time"

// Limit is a quota: a rate in units per second and a burst in units.
type Limit struct {
	Rate  float64
	Burst float64
}

// Bucket is a token bucket whose rate and size are scaled by the share of the
// quota, from 0 to 1, that belongs to the nodes in contact.
type Bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Time
}

// New returns a bucket filled to the level, but at most to the burst.
func New(limit Limit, level float64, now time.Time) *Bucket {
	return &Bucket{limit: limit, level: min(level, limit.Burst), refilledAt: now}
}

// Limit returns the quota.
func (b *Bucket) Limit() Limit { return b.limit }

// SetLimit changes the quota. A lower burst applies at once.
func (b *Bucket) SetLimit(limit Limit) {
	b.limit = limit
	b.level = min(b.level, limit.Burst)
}

// Available refills the bucket and returns the number of units that may be spent
// now, negative after overspending.
func (b *Bucket) Available(now time.Time, share float64) float64 {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.refilledAt = now
		b.level = min(b.level+elapsed*b.limit.Rate*share, b.limit.Burst*share)
	}
	return b.level
}

// Level returns the current level without refilling the bucket.
func (b *Bucket) Level() float64 { return b.level }

// Spend refills the bucket and subtracts the cost of a request admitted by this
// node or a peer. The level may become negative, but not below minus the burst.
// A negative cost returns the cost of a request that did not run.
func (b *Bucket) Spend(now time.Time, cost, share float64) {
	b.level = max(min(b.Available(now, share)-cost, b.limit.Burst), -b.limit.Burst)
}

// Wait returns the time until the bucket holds the cost. It returns 0 if the
// bucket holds the cost already or does not refill.
func (b *Bucket) Wait(now time.Time, cost, share float64) time.Duration {
	missing := cost - b.Available(now, share)
	rate := b.limit.Rate * share
	if missing <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}
