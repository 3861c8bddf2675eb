package placement

import "time"

const (
	// maxColdLeft bounds the time for which an upstream may say that it stays cold.
	maxColdLeft = time.Minute
	// coldPause is the time without requests to an upstream that was in use when it became
	// cold: what it got in the second before counts against what it tolerates in that second.
	coldPause = time.Second
	// coldTolerance is the difference between two ends of a cold time that tells nothing new.
	coldTolerance = 500 * time.Millisecond
)

// cold is what is known of an upstream that tolerates few requests for some time after it has
// started or has lost its caches. The time belongs to the upstream's process.
type cold struct {
	// until is when it ends, as far as any node knows; ownUntil as this node has read it.
	until, ownUntil time.Time
	// left and revision identify the latest reading of the store's entry.
	left     time.Duration
	revision int64
	// wasWarm is set once this node has known the process as not cold.
	wasWarm bool
	bucket  bucket
	// pausedUntil is when the bucket begins to fill.
	pausedUntil time.Time
	// sent counts the requests of this node since it became cold.
	sent int
	// announced is set between the reports that it is cold and that it no longer is.
	announced bool
}

// ColdUpstream is an upstream that has become cold or warm for this node.
type ColdUpstream struct {
	Upstream Upstream
	// Left is the time for which it stays cold.
	Left time.Duration
	// Sent counts the requests that this node has sent there while it was cold.
	Sent int
}

// isCold reports whether an upstream is cold and of a service for which that matters.
func (s *Set) isCold(now time.Time, m *member) bool {
	return now.Before(m.cold.until) && s.shares.LimitsCold != nil && s.shares.LimitsCold(m.Service)
}

// ColdLeft returns the time for which an upstream stays cold, 0 if it is not.
func (s *Set) ColdLeft(now time.Time, id string) time.Duration {
	m := s.members[id]
	if m == nil || !s.isCold(now, m) {
		return 0
	}
	return m.cold.until.Sub(now)
}

// CountCold returns the number of upstreams of a service that are cold.
func (s *Set) CountCold(now time.Time, service string) int {
	n := 0
	for _, m := range s.sorted {
		if m.Service == service && s.isCold(now, m) {
			n++
		}
	}
	return n
}

// RecordEntryCold records how long an upstream stays cold by its entry in the store, and reports
// whether that is news for peers. The same entry read again is no news: the time runs from its
// first reading. An entry without a cold time ends none; that ends by itself.
func (s *Set) RecordEntryCold(now time.Time, u Upstream) (news bool) {
	m := s.members[u.ID]
	if m == nil {
		return false
	}
	same := u.ColdLeft == m.cold.left && u.Revision == m.cold.revision
	if u.ColdLeft != 0 || u.Revision > 0 {
		// Peers of earlier builds send entries without either.
		m.cold.left, m.cold.revision = u.ColdLeft, u.Revision
	}
	if u.ColdLeft == 0 {
		m.cold.noteWarm(now)
	}
	if u.ColdLeft == 0 || same {
		return false
	}
	until := now.Add(boundedColdLeft(u.ColdLeft))
	news = until.Sub(m.cold.until) > coldTolerance
	m.cold.extend(now, until)
	m.cold.until, m.cold.ownUntil = until, until
	return news
}

// RecordCold records how long an upstream stays cold by its own answer to this node, and reports
// whether that is news for peers.
func (s *Set) RecordCold(now time.Time, id string, left time.Duration) (news bool) {
	m := s.members[id]
	if m == nil || left == 0 {
		return false
	}
	until := now.Add(boundedColdLeft(left))
	news = until.Sub(m.cold.until) > coldTolerance
	m.cold.extend(now, until)
	if until.After(m.cold.ownUntil) {
		m.cold.ownUntil = until
	}
	return news
}

// MergeCold records that a peer has read of an upstream that it stays cold. The later end
// counts.
func (s *Set) MergeCold(now time.Time, id string, left time.Duration) {
	if m := s.members[id]; m != nil && left > 0 {
		m.cold.extend(now, now.Add(boundedColdLeft(left)))
	}
}

// OwnCold returns the upstreams that are cold by what this node has read of them itself.
func (s *Set) OwnCold(now time.Time) []ColdUpstream {
	var list []ColdUpstream
	for _, m := range s.sorted {
		if left := m.cold.ownUntil.Sub(now); left > 0 && s.isCold(now, m) {
			list = append(list, ColdUpstream{Upstream: m.Upstream, Left: left})
		}
	}
	return list
}

// ColdChanges returns the upstreams that have become cold for this node, and those that no
// longer are, since the last call.
func (s *Set) ColdChanges(now time.Time) (began, ended []ColdUpstream) {
	for _, m := range s.sorted {
		is := s.isCold(now, m)
		if is == m.cold.announced {
			continue
		}
		m.cold.announced = is
		change := ColdUpstream{Upstream: m.Upstream, Left: max(m.cold.until.Sub(now), 0), Sent: m.cold.sent}
		if is {
			began = append(began, change)
		} else {
			ended = append(ended, change)
		}
	}
	return began, ended
}

// boundedColdLeft returns a cold time that an upstream may name. One that makes no sense counts
// as the longest.
func boundedColdLeft(left time.Duration) time.Duration {
	if left < 0 || left > maxColdLeft {
		return maxColdLeft
	}
	return left
}

// IsOddColdLeft reports whether an upstream can't be cold for that time.
func IsOddColdLeft(left time.Duration) bool { return left != boundedColdLeft(left) }

// noteWarm notes that the process is known as not cold.
func (c *cold) noteWarm(now time.Time) {
	if !now.Before(c.until) {
		c.wasWarm = true
	}
}

// extend prolongs the cold time. At its begin nothing may be sent yet, and nothing for coldPause
// if the upstream was in use.
func (c *cold) extend(now, until time.Time) {
	if !until.After(c.until) {
		return
	}
	if !now.Before(c.until) {
		c.wasWarm = c.wasWarm || !c.until.IsZero()
		c.bucket, c.pausedUntil, c.sent = bucket{}, now, 0
		if c.wasWarm {
			c.pausedUntil = now.Add(coldPause)
		}
	}
	c.until = until
}

// refillCold brings the bucket of a cold upstream up to date.
func (s *Set) refillCold(now time.Time, m *member) {
	c := &m.cold
	if now.Before(c.pausedUntil) {
		return
	}
	if c.bucket.refilledAt.Before(c.pausedUntil) {
		c.bucket.refilledAt = c.pausedUntil
	}
	c.bucket.refill(now, func() float64 { return s.shares.Cold(m.ID, m.Service) })
}

// admitsWhileCold reports whether a cold upstream takes a request of this node; any other one does.
func (s *Set) admitsWhileCold(now time.Time, m *member) bool {
	if !s.isCold(now, m) {
		return true
	}
	s.refillCold(now, m)
	return !now.Before(m.cold.pausedUntil) && m.cold.bucket.tokens >= 1
}

// spendCold counts requests that this node sends to a cold upstream.
func (s *Set) spendCold(now time.Time, m *member, requests float64) {
	if !s.isCold(now, m) {
		return
	}
	s.refillCold(now, m)
	m.cold.bucket.tokens -= requests
	m.cold.sent += int(requests)
}

// coldShare returns this node's share of a cold upstream in requests a second.
func (s *Set) coldShare(now time.Time, m *member) float64 {
	if now.Before(m.cold.pausedUntil) {
		return s.shares.Cold(m.ID, m.Service)
	}
	s.refillCold(now, m)
	return m.cold.bucket.share
}

// coldWait returns the time until a cold upstream takes a request of this node: until its
// bucket has one, or until it is no longer cold.
func (s *Set) coldWait(now time.Time, m *member) time.Duration {
	if s.admitsWhileCold(now, m) {
		return 0
	}
	in := m.cold.until.Sub(now)
	if share := s.coldShare(now, m); share > 0 {
		pause := max(m.cold.pausedUntil.Sub(now), 0)
		missing := max(1-m.cold.bucket.tokens, 0)
		in = min(in, pause+time.Duration(missing/share*float64(time.Second)))
	}
	return max(in, time.Millisecond)
}

// ColdWait returns the time until an upstream takes a request of this node because it is cold,
// 0 if it takes one now.
func (s *Set) ColdWait(now time.Time, id string) time.Duration {
	if m := s.members[id]; m != nil {
		return s.coldWait(now, m)
	}
	return 0
}

// ColdServiceWait returns the time until the first of a service's upstreams takes a request of
// this node, 0 if one of them is not cold or has room, or none is ready.
func (s *Set) ColdServiceWait(now time.Time, service string) time.Duration {
	var first time.Duration
	for _, m := range s.sorted {
		if m.Service != service || m.State != StateReady || !s.Admits(now, m.Upstream) {
			continue
		}
		in := s.coldWait(now, m)
		if in == 0 {
			return 0
		}
		if first == 0 || in < first {
			first = in
		}
	}
	return first
}
