package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Query describes the upstream that is wanted.
type Query struct {
	Service string
	// Version restricts the choice unless empty; NotVersion excludes one.
	Version, NotVersion string
	Prompt              Prompt
	// Engine limits, zero for plain services.
	Slots        int
	MemoryTokens int
	// Exclude lists upstreams that failed this request.
	Exclude []string
	// MaxWait rejects upstreams where more than this would be waited; zero
	// is no bound.
	MaxWait time.Duration
	// UrgentWait is how long more urgent requests, of which some had to wait
	// of late, can wait at an upstream; zero if there are none. On some
	// upstreams this request waits no longer.
	UrgentWait time.Duration
}

// Pick returns the upstream with the least cost among those with room.
func (s *Set) Pick(now time.Time, q Query) (Upstream, bool) {
	best := s.pick(now, q, false)
	if best == nil {
		// With every upstream ejected, trying one is better than none.
		best = s.pick(now, q, true)
	}
	if best == nil {
		return Upstream{}, false
	}
	return best.Upstream, true
}

func (s *Set) pick(now time.Time, q Query, ejected bool) *member {
	var best *member
	var least time.Duration
	home := s.home(q)
	short := s.shortBelow(q)
	speed := s.Speed(q.Service)
	for _, m := range s.sorted {
		if !m.eligible(now, q, ejected) {
			continue
		}
		load := m.loadAt(now)
		if !m.hasRoom(load, q) {
			continue
		}
		candidate := s.candidate(now, m, load, q, home, speed)
		limit := q.MaxWait
		if m.hash < short {
			limit = min(limit, q.UrgentWait)
		}
		if limit > 0 && candidate.Wait > limit {
			continue
		}
		// A little chance among equals keeps nodes from choosing alike.
		cost := s.cost(candidate) + time.Duration(s.rng.Int64N(int64(time.Millisecond)))
		if best == nil || cost < least {
			best, least = m, cost
		}
	}
	return best
}

// shortBelow returns the hash below which upstreams are kept for short waits,
// 0 if none is. Engines read prompts in the order of their arrival, so that a
// burst of long prompts with a generous goal would else keep short ones out of
// all of them. All nodes choose the same upstreams.
func (s *Set) shortBelow(q Query) uint64 {
	if q.UrgentWait == 0 {
		return 0
	}
	var hashes []uint64
	for _, m := range s.sorted {
		if m.Service == q.Service && m.State == StateReady {
			hashes = append(hashes, m.hash)
		}
	}
	if len(hashes) == 0 {
		return 0
	}
	slices.Sort(hashes)
	return hashes[len(hashes)/shortDivisor]
}

// eligible reports whether the upstream may take the request at all.
func (m *member) eligible(now time.Time, q Query, ejected bool) bool {
	if m.Service != q.Service || m.State != StateReady {
		return false
	}
	if q.Version != "" && m.Version != q.Version || q.NotVersion != "" && m.Version == q.NotVersion {
		return false
	}
	if slices.Contains(q.Exclude, m.ID) {
		return false
	}
	return ejected || !now.Before(m.ejected) && !now.Before(m.full)
}

// hasRoom reports whether the request fits beside what was placed there.
func (m *member) hasRoom(load Placed, q Query) bool {
	if q.Slots == 0 {
		return m.Slots == 0 || load.Running < 2*m.Slots
	}
	need := q.Prompt.Input + q.Prompt.Output
	if load.Running >= q.Slots {
		return false
	}
	return load.Running == 0 || float64(load.Memory+need) <= memoryShare*float64(q.MemoryTokens)
}

// candidate describes an upstream that may take the request.
func (s *Set) candidate(now time.Time, m *member, load Placed, q Query, home string, speed Speed) Candidate {
	c := Candidate{
		Wait:      load.wait(q, speed),
		Running:   load.Running,
		Placed:    m.placed,
		Errors:    m.errors,
		OtherZone: m.Zone != s.zone,
		Unlisted:  m.unlisted,
	}
	if q.Slots == 0 {
		return c
	}
	shared := q.Prompt.SharedTokens()
	kept := min(m.cached(now, q.Prompt), shared)
	if m.ID == home {
		kept = shared
	}
	c.Reread = speed.ReadTime(shared - kept)
	return c
}

// home returns the upstream that all nodes prefer for the prompt's shared part.
func (s *Set) home(q Query) string {
	part, ok := q.Prompt.sharedPart()
	if !ok {
		return ""
	}
	best, highest := "", uint64(0)
	for _, m := range s.sorted {
		if m.Service != q.Service || m.State != StateReady {
			continue
		}
		if h := xxhash.Sum64String(part.ID + "/" + m.ID); best == "" || h > highest {
			best, highest = m.ID, h
		}
	}
	return best
}
