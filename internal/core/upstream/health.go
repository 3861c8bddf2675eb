package upstream

import "time"

const (
	// busyCooldown is the time for which an upstream gets no requests after it
	// rejected one for lack of capacity. Its next load report ends this time.
	busyCooldown = 100 * time.Millisecond
	// failuresToEject is the number of consecutive failures that eject an
	// upstream.
	failuresToEject = 3
	// maxEjectedShare bounds the fraction of a version's upstreams that are
	// ejected at the same time.
	maxEjectedShare = 1.0 / 3
	// ejectionBase is the duration of the first ejection; it doubles with each
	// further ejection, up to ejectionMax.
	ejectionBase = time.Second
	ejectionMax  = 30 * time.Second
)

// Load is an upstream's report of its own load.
type Load struct {
	At      time.Time
	Running int
	Waiting int
}

// DispatchResult is the result of a dispatch with regard to the upstream's health.
type DispatchResult string

// Results of a dispatch. DispatchNeutral counts neither for nor against the
// upstream's health.
const (
	DispatchSucceeded DispatchResult = "good"
	DispatchFailed    DispatchResult = "failed"
	DispatchNeutral   DispatchResult = "neutral"
)

// RecordStart records the start of a dispatch to the upstream.
func (s *Set) RecordStart(id string) {
	e := s.entries[id]
	if e == nil {
		return
	}
	e.inFlight++
	e.dispatchedSinceLoad++
}

// RecordEnd records the end of a dispatch and ejects the upstream after too many
// consecutive failures.
func (s *Set) RecordEnd(now time.Time, id string, result DispatchResult) {
	e := s.entries[id]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	e.dispatchedSinceLoad = max(e.dispatchedSinceLoad-1, 0)
	switch result {
	case DispatchSucceeded:
		e.failures, e.ejections = 0, 0
	case DispatchFailed:
		e.failures++
		s.eject(now, e)
	}
}

func (s *Set) eject(now time.Time, e *entry) {
	if e.failures < failuresToEject || now.Before(e.ejectedUntil) || !s.canEject(now, e) {
		return
	}
	// The limit on the number of ejections prevents an overflow of the shift.
	duration := ejectionBase << min(e.ejections, 8)
	e.ejectedUntil = now.Add(min(duration, ejectionMax))
	e.ejections++
	e.failures = 0
}

func (s *Set) canEject(now time.Time, e *entry) bool {
	total, ejected := 0, 1
	for _, id := range s.ids {
		other := s.entries[id]
		if other.upstream.Service != e.upstream.Service || other.upstream.Version != e.upstream.Version || other.leaving {
			continue
		}
		total++
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(total)
}

// RecordLoad records an upstream's load report, unless a newer one is known.
func (s *Set) RecordLoad(id string, load Load) {
	e := s.entries[id]
	if e == nil || load.At.Before(e.load.At) {
		return
	}
	e.load = load
	e.dispatchedSinceLoad = 0
	e.busyUntil = time.Time{}
}

// MarkBusy records that the upstream rejected a request for lack of capacity.
func (s *Set) MarkBusy(now time.Time, id string) {
	if e := s.entries[id]; e != nil {
		e.busyUntil = now.Add(busyCooldown)
	}
}
