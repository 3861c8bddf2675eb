package placement

import "time"

const (
	// ejectAfter is the number of connection failures without a success between
	// them that eject an upstream.
	ejectAfter = 2
	// minEjection is the duration of the first ejection; it doubles with each
	// further one, up to maxEjection.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// fullCooldown is the time without new requests for an upstream that
	// refused one for lack of capacity.
	fullCooldown = 200 * time.Millisecond
	// errorWeight is the weight of the latest answer in the moving average of
	// the error rate.
	errorWeight = 0.15
)

// RecordEnd removes the request from the upstream's load and updates the upstream's
// health by its outcome. One that was sent to an earlier process under the same ID says nothing
// of this one.
func (s *Set) RecordEnd(now time.Time, id string, request uint64, outcome Outcome) {
	s.endTrial(id, request)
	m := s.members[id]
	if m == nil || m.running[request] == nil {
		return
	}
	if r := m.running[request]; outcome == Succeeded {
		s.recordHeld(now, m.Service, r)
		s.learnWhole(now, m, r)
	}
	delete(m.running, request)
	m.recordOutcome(now, outcome)
}

func (m *member) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case Succeeded:
		m.failures, m.backoff = 0, 0
		m.errors *= 1 - errorWeight
	case Errored:
		m.errors += (1 - m.errors) * errorWeight
	case ConnectionFailed:
		m.errors += (1 - m.errors) * errorWeight
		m.failures++
		m.failedAt = now
		if m.failures >= ejectAfter {
			m.eject(now)
		}
	case Full:
		m.full = now.Add(fullCooldown)
	case Neutral:
	}
}

// ForgetFailures takes back what connection failures since a time have done to the health of
// upstreams: this node's own paths were their cause.
func (s *Set) ForgetFailures(since time.Time) {
	for _, m := range s.members {
		if !m.failedAt.Before(since) {
			m.failures, m.backoff, m.ejected, m.errors = 0, 0, time.Time{}, 0
		}
	}
}

func (m *member) eject(now time.Time) {
	m.backoff = min(max(2*m.backoff, minEjection), maxEjection)
	m.ejected = now.Add(m.backoff)
}
