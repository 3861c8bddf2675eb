package placement

import "time"

const (
	// reportMaxAge is the maximum age of an upstream's own request count. Most
	// requests last longer, so the count changes little within it.
	reportMaxAge = 300 * time.Millisecond
	// slowdownMaxAge is the age from which on a reported slowdown counts as over. It changes many
	// times a second.
	slowdownMaxAge = 400 * time.Millisecond
)

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

// loadAt returns the load that all nodes have placed. Its request count is the upstream's own if
// that is fresh: a greater one because other nodes tell of their requests late, a lower one in
// proportion to its freshness, as they also tell late of requests that have ended.
func (m *member) loadAt(now time.Time) UpstreamLoad {
	load := m.load()
	fresh := freshness(now.Sub(m.reportedAt), reportMaxAge)
	if fresh == 0 {
		return load
	}
	reported := max(m.report.Running+m.report.Waiting+m.startedSince(m.reportedAt), len(m.running))
	if reported < load.Running {
		reported = load.Running - int(fresh*float64(load.Running-reported))
	}
	load.Running = reported
	return load
}

// startedSince returns the number of this node's requests there that were placed after a time.
func (m *member) startedSince(at time.Time) int {
	n := 0
	for _, r := range m.running {
		if r.placedAt.After(at) {
			n++
		}
	}
	return n
}

// slowdown returns how long work takes at the upstream, as a multiple of the usual time. What it
// has reported loses weight with age: the longer ago, the likelier it has ended.
func (m *member) slowdown(now time.Time) float64 {
	if m.report.Slowdown == 0 {
		return 1
	}
	return 1 + freshness(now.Sub(m.reportedAt), slowdownMaxAge)*(m.report.Slowdown-1)
}

// leastSlowdown returns the slowdown of the fastest upstream that may take the request now, at least
// 1. Upstreams are compared with it, so that slow ones are used as before when all are slow.
func (s *Set) leastSlowdown(now time.Time, q Query, ejected bool) float64 {
	least := 0.0
	for _, m := range s.sorted {
		if !m.eligible(now, q, ejected) || !s.Admits(now, m.Upstream) {
			continue
		}
		slowdown := m.slowdown(now)
		if slowdown <= 1 {
			return 1
		}
		if least == 0 || slowdown < least {
			least = slowdown
		}
	}
	return max(least, 1)
}

// CountSlow returns the number of upstreams of a service that have reported lately how long work
// takes there, and of those where it takes longer than usual.
func (s *Set) CountSlow(now time.Time, service string) (reporting, slow int) {
	for _, m := range s.sorted {
		if m.Service != service || m.report.Slowdown == 0 || now.Sub(m.reportedAt) >= slowdownMaxAge {
			continue
		}
		reporting++
		if m.report.Slowdown > 1 {
			slow++
		}
	}
	return reporting, slow
}

// freshness falls from 1 to 0 while an age rises to its maximum.
func freshness(age, maxAge time.Duration) float64 {
	return max(1-float64(age)/float64(maxAge), 0)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
