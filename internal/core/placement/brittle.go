package placement

import "time"

// brittle is what is known of an upstream that falls over if it has to turn more requests away
// in a second than it names. Its slots are divided among the nodes, so that they can't offer it
// more than it has room for, whatever they know of each other's load.
type brittle struct {
	observed
	// part is this node's part of the slots, as of partAt.
	part   int
	partAt time.Time
}

// hasRoom reports whether a brittle upstream takes a request of this node.
func (s *Set) hasRoom(now time.Time, m *member, slots int) bool {
	return !s.rejections(m).Named || slots == 0 || len(m.running) < s.partOfSlots(now, m, slots)
}

// partOfSlots returns the number of requests that this node may run at a brittle upstream.
func (s *Set) partOfSlots(now time.Time, m *member, slots int) int {
	b := &m.brittle
	if now.Sub(b.partAt) >= shareRefresh {
		b.part, b.partAt = s.shares.Slots(m.ID, slots), now
	}
	return b.part
}

// rejections returns the number of rejections a second that an upstream bears. One that has not
// answered yet counts as brittle if others of its service are: upstreams that have fallen over
// start again so.
func (s *Set) rejections(m *member) RateLimit {
	if m.brittle.observedAt.IsZero() {
		return s.brittleServices[m.Service]
	}
	return m.brittle.limit
}

// setBrittle sets what an upstream has named last.
func (s *Set) setBrittle(m *member, at time.Time, rejections RateLimit) {
	m.brittle.limit, m.brittle.observedAt = rejections, at
	s.brittleServices[m.Service] = rejections
}

// RecordBrittle records the number of rejections a second that an upstream bears, as it names
// it in its answer to an attempt, or that it names none, and reports whether that has changed.
func (s *Set) RecordBrittle(now, dispatched time.Time, id string, rejections RateLimit) (changed bool) {
	m := s.members[id]
	if m == nil || !m.brittle.record(now, dispatched, rejections) {
		return false
	}
	changed = m.brittle.limit != rejections
	s.setBrittle(m, now, rejections)
	return changed
}

// OwnBrittle returns what this node has observed of brittle upstreams, for its peers.
func (s *Set) OwnBrittle(now time.Time) []ObservedLimit {
	return s.ownObserved(now, observedBrittle)
}

// MergeBrittle adds what a peer has observed of brittle upstreams. The latest observation
// counts.
func (s *Set) MergeBrittle(now time.Time, reported []ObservedLimit) {
	s.mergeObserved(now, reported, observedBrittle, s.setBrittle)
}

func observedBrittle(m *member) *observed { return &m.brittle.observed }
