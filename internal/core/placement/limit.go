package placement

import "time"

const (
	// limitBurst is the number of requests that a node may send at once to an
	// upstream with a limit.
	limitBurst = 1
	// minLimit is the number of requests a second that an upstream with a lower
	// limit gets, so that nodes learn when it no longer names one.
	minLimit = 0.1
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

// LimitShare returns the part, in requests a second, that this node may use of an
// upstream's limit. The parts of all nodes add up to perSecond at most.
type LimitShare func(upstream string, perSecond float64) float64

// ObservedLimit is a limit that an upstream has named to a node, or that it no
// longer names one.
type ObservedLimit struct {
	Upstream string        `cbor:"1,keyasint"`
	Limit    RateLimit     `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"`
}

// limiter keeps this node's requests to an upstream to its share of the limit.
type limiter struct {
	// limit is the limit observed last by any node, at observedAt.
	limit      RateLimit
	observedAt time.Time
	// own is the limit observed last by this node, at ownAt.
	own   RateLimit
	ownAt time.Time
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
		l.tokens, l.refilledAt, l.sharedAt = 0, now, time.Time{}
	}
	l.limit, l.observedAt = limit, at
}

// refill adds the tokens of the time since the last call.
func (l *limiter) refill(now time.Time, upstream string, share LimitShare) {
	if now.Sub(l.sharedAt) >= shareRefresh {
		l.share, l.sharedAt = share(upstream, max(l.limit.PerSecond, minLimit)), now
	}
	l.tokens = min(l.tokens+l.share*now.Sub(l.refilledAt).Seconds(), limitBurst)
	l.refilledAt = now
	if l.share == 0 {
		// A node that gets a share later starts with none of it.
		l.tokens = min(l.tokens, 0)
	}
}

// mayReceive reports whether the upstream's limit leaves room for a request of this
// node now.
func (s *Set) mayReceive(now time.Time, m *member) bool {
	if !m.limiter.limit.Named {
		return true
	}
	m.limiter.refill(now, m.ID, s.share)
	return m.limiter.tokens >= 1
}

// spend counts a number of requests that this node sends to an upstream.
func (s *Set) spend(now time.Time, m *member, requests float64) {
	if m.limiter.limit.Named {
		m.limiter.refill(now, m.ID, s.share)
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

// UsableCount returns the number of upstreams of a service that accept new requests
// and whose limits leave this node a share.
func (s *Set) UsableCount(now time.Time, service string) int {
	n := 0
	for _, m := range s.members {
		if m.Service != service || m.State != StateReady {
			continue
		}
		if m.limiter.limit.Named {
			m.limiter.refill(now, m.ID, s.share)
			if m.limiter.share == 0 {
				continue
			}
		}
		n++
	}
	return n
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
	l := &m.limiter
	if !limit.Named && (!l.limit.Named || !dispatched.After(l.observedAt)) {
		return false
	}
	changed = l.limit != limit
	l.own, l.ownAt = limit, now
	l.observe(now, now, limit)
	return changed
}

// OwnLimits returns the limits that this node has observed, for its peers.
func (s *Set) OwnLimits(now time.Time) []ObservedLimit {
	var list []ObservedLimit
	for _, m := range s.sorted {
		l := m.limiter
		if l.ownAt.IsZero() || !l.own.Named && now.Sub(l.ownAt) > liftRetention {
			continue
		}
		list = append(list, ObservedLimit{Upstream: m.ID, Limit: l.own, Age: now.Sub(l.ownAt)})
	}
	return list
}

// MergeLimits adds the limits that a peer has observed. The latest one counts.
func (s *Set) MergeLimits(now time.Time, observed []ObservedLimit) {
	for _, o := range observed {
		m := s.members[o.Upstream]
		if m == nil {
			continue
		}
		if at := now.Add(-o.Age); at.After(m.limiter.observedAt) {
			m.limiter.observe(now, at, o.Limit)
		}
	}
}
