package placement

import "time"

// RateLimit is the number of requests a second that an upstream takes from all
// nodes together. It is zero if the upstream names none.
type RateLimit struct {
	Named     bool    `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint"`
}

// RecordLimit records the limit that an upstream names in its answer to an attempt,
// or that it names none, and reports whether that has changed. Answers to attempts
// that were dispatched before a limit was named don't lift it.
func (s *Set) RecordLimit(now, dispatched time.Time, id string, limit RateLimit) (changed bool) {
	m := s.members[id]
	if m == nil || !limit.Named && !dispatched.After(m.limitedAt) {
		return false
	}
	changed = m.limit != limit
	m.limit, m.limitedAt = limit, now
	return changed
}
