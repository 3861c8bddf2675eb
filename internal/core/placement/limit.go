package placement

import "time"

const (
	// limitBurst is the number of requests that a node may send at once to an
	// upstream with a limit.
	limitBurst = 1
	// minLimit is the number of requests a second that an upstream with a lower
	// limit gets, so that nodes learn when it no longer names one.
	minLimit = 0.1
	// maxLimit is the number of requests a second to which a higher limit is reduced, so that
	// what nodes compute from it stays finite.
	maxLimit = 1e9
	// shareRefresh is the time after which a node's share of a limit is computed
	// again.
	shareRefresh = 100 * time.Millisecond
	// liftRetention is the time for which peers are told that a limit has ended.
	liftRetention = time.Minute
)

// RateLimit is the number of requests a second that an upstream takes from all
// nodes together. It is zero if the upstream names none.
type RateLimit struct {
	Named     bool    `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint"`
}

// bounded returns the limit with a finite number of requests a second. One that is no number
// counts as 0.
func (l RateLimit) bounded() RateLimit {
	if !(l.PerSecond > 0) {
		l.PerSecond = 0
	}
	l.PerSecond = min(l.PerSecond, maxLimit)
	return l
}

// Shares tells this node's parts of what upstreams take from all nodes together.
type Shares struct {
	// Limit returns the part, in requests a second, of an upstream's limit. The parts of
	// all nodes add up to perSecond at most.
	Limit func(upstream string, perSecond float64) float64
	// Slots returns the part of a brittle upstream's slots. The parts of all nodes add up to
	// slots at most.
	Slots func(upstream string, slots int) int
	// Cold returns the part, in requests a second, of what an upstream of a service tolerates
	// while it is cold. LimitsCold reports whether the upstreams of a service tolerate less
	// then; it is nil if none do.
	Cold       func(upstream, service string) float64
	LimitsCold func(service string) bool
}

// ObservedLimit is a limit that an upstream has named to a node, or that it no
// longer names one.
type ObservedLimit struct {
	Upstream string        `cbor:"1,keyasint"`
	Limit    RateLimit     `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"`
}

// limiter keeps this node's requests to an upstream to its share of the limit.
type limiter struct {
	observed
	bucket
}

// bucket is a token bucket that fills at this node's share of a limit.
type bucket struct {
	// tokens is the number of requests that this node may send, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// share is this node's share of the limit, as of sharedAt.
	share    float64
	sharedAt time.Time
}

// observe replaces the limit by one observed at a time.
func (l *limiter) observe(now, at time.Time, limit RateLimit) {
	if limit.Named && !l.limit.Named {
		// What was sent before the limit was known counts against it.
		l.bucket = bucket{refilledAt: now}
	}
	l.limit, l.observedAt = limit, at
}

// refillLimit adds the tokens of the time since the last call.
func (s *Set) refillLimit(now time.Time, m *member) {
	m.limiter.refill(now, func() float64 { return s.shares.Limit(m.ID, max(m.limiter.limit.PerSecond, minLimit)) })
}

// refill adds the tokens of the time since the last call, at this node's share.
func (b *bucket) refill(now time.Time, share func() float64) {
	if now.Sub(b.sharedAt) >= shareRefresh {
		b.share, b.sharedAt = share(), now
	}
	b.tokens = min(b.tokens+b.share*now.Sub(b.refilledAt).Seconds(), limitBurst)
	b.refilledAt = now
	if b.share == 0 {
		// A node that gets a share later starts with none of it.
		b.tokens = min(b.tokens, 0)
	}
}

// mayReceive reports whether the upstream takes requests from this node now, and its limit
// leaves room for one.
func (s *Set) mayReceive(now time.Time, m *member) bool {
	if !s.Admits(now, m.Upstream) || s.onTrial(m) || !s.admitsWhileCold(now, m) {
		return false
	}
	if !m.limiter.limit.Named {
		return true
	}
	s.refillLimit(now, m)
	return m.limiter.tokens >= 1
}

// spend counts a number of requests that this node sends to an upstream.
func (s *Set) spend(now time.Time, m *member, requests float64) {
	s.spendCold(now, m, requests)
	if m.limiter.limit.Named {
		s.refillLimit(now, m)
		m.limiter.tokens -= requests
	}
}

// Reserve counts a request that this node will send to an upstream, or has sent
// outside of RecordStart.
func (s *Set) Reserve(now time.Time, id string) {
	if m := s.members[id]; m != nil {
		s.spend(now, m, 1)
	}
}

// CancelReservation takes back a Reserve.
func (s *Set) CancelReservation(now time.Time, id string) {
	if m := s.members[id]; m != nil {
		s.spend(now, m, -1)
	}
}

// Usable returns the upstreams of a service that take requests from this node, in order of ID,
// with those among them that leave this node a share of their limit, of what they tolerate while
// they are cold or, if they are brittle, of their slots. slots is the number of an engine's slots, 0 for plain services.
func (s *Set) Usable(now time.Time, service string, slots int) (ready, usable []Shared) {
	for _, m := range s.sorted {
		if m.Service != service || m.State != StateReady || !s.Admits(now, m.Upstream) {
			continue
		}
		shared := Shared{ID: m.ID, Limit: m.limiter.limit, Cold: s.isCold(now, m)}
		if s.rejections(m).Named {
			shared.Slots = m.slots(Query{Slots: slots})
		}
		ready = append(ready, shared)
		if m.limiter.limit.Named {
			s.refillLimit(now, m)
		}
		hasShare := !m.limiter.limit.Named || m.limiter.share > 0
		hasShare = hasShare && (!shared.Cold || s.coldShare(now, m) > 0)
		if hasShare && (shared.Slots == 0 || s.partOfSlots(now, m, shared.Slots) > 0) {
			usable = append(usable, shared)
		}
	}
	return ready, usable
}

// Shared is an upstream of which nodes may use a share each.
type Shared struct {
	ID string
	// Limit is the limit that it names, Slots the number of its slots if it is brittle, else 0.
	Limit RateLimit
	Slots int
	// Cold is set if it is cold.
	Cold bool
}

// RecordLimit records the limit that an upstream names in its answer to an attempt,
// or that it names none, and reports whether that has changed. Answers overtake each
// other: one to an attempt that was dispatched before a limit was named does not
// lift it.
func (s *Set) RecordLimit(now, dispatched time.Time, id string, limit RateLimit) (changed bool) {
	m := s.members[id]
	if m == nil {
		return false
	}
	l, limit := &m.limiter, limit.bounded()
	if !l.record(now, dispatched, limit) {
		return false
	}
	changed = l.limit != limit
	l.observe(now, now, limit)
	return changed
}

// OwnLimits returns the limits that this node has observed, for its peers.
func (s *Set) OwnLimits(now time.Time) []ObservedLimit { return s.ownObserved(now, observedLimit) }

// MergeLimits adds the limits that a peer has observed. The latest one counts.
func (s *Set) MergeLimits(now time.Time, reported []ObservedLimit) {
	s.mergeObserved(now, reported, observedLimit, func(m *member, at time.Time, limit RateLimit) {
		m.limiter.observe(now, at, limit.bounded())
	})
}

func observedLimit(m *member) *observed { return &m.limiter.observed }
