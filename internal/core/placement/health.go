package placement

import "time"

const (
	// ejectAfter is the number of broken attempts in a row that eject.
	ejectAfter = 2
	// ejectBase is the first time of ejection; it doubles each time.
	ejectBase = time.Second
	ejectMax  = 8 * time.Second
	// fullPause keeps new work from an upstream that said it is full.
	fullPause = 200 * time.Millisecond
	// errorDecay is the weight of the latest answer in the share of errors.
	errorDecay = 0.15
)

// Ended counts the request out and takes its outcome as a sign of health.
func (s *Set) Ended(now time.Time, id string, request uint64, outcome Outcome) {
	m := s.members[id]
	if m == nil {
		return
	}
	delete(m.running, request)
	m.judge(now, outcome)
}

func (m *member) judge(now time.Time, outcome Outcome) {
	switch outcome {
	case Succeeded:
		m.broken, m.backoff = 0, 0
		m.errors *= 1 - errorDecay
	case Erred:
		m.errors += (1 - m.errors) * errorDecay
	case Broke:
		m.errors += (1 - m.errors) * errorDecay
		m.broken++
		if m.broken >= ejectAfter {
			m.eject(now)
		}
	case Full:
		m.full = now.Add(fullPause)
	case Neutral:
	}
}

func (m *member) eject(now time.Time) {
	m.backoff = min(max(2*m.backoff, ejectBase), ejectMax)
	m.ejected = now.Add(m.backoff)
}
