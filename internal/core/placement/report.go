package placement

import "time"

// Report is what an upstream reports of its load in the head of an answer.
type Report struct {
	// Running and Waiting count its requests, Slots is how many it runs at once.
	Running, Waiting, Slots int
	// Slowdown is how long work takes there now, as a multiple of the usual time, 0 if it does
	// not say.
	Slowdown float64
}

// RecordReport records the report that arrived from an upstream at a time. Answers overtake each
// other: an earlier report does not replace a later one.
func (s *Set) RecordReport(now time.Time, id string, r Report) {
	m := s.members[id]
	if m == nil || now.Before(m.reportedAt) {
		return
	}
	m.report, m.reportedAt = r, now
	s.learnReporting(m, r)
}

// LatestReport returns an upstream's latest report and when it arrived, zero if it has sent none.
func (s *Set) LatestReport(id string) (Report, time.Time) {
	m := s.members[id]
	if m == nil {
		return Report{}, time.Time{}
	}
	return m.report, m.reportedAt
}

// RecordInvalidReport records that a report of an upstream could not be read, and reports whether
// it is the first one of its process.
func (s *Set) RecordInvalidReport(id string) (first bool) {
	m := s.members[id]
	if m == nil || m.invalidReport {
		return false
	}
	m.invalidReport = true
	return true
}
