package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Query describes the request that an upstream is chosen for.
type Query struct {
	Service string
	// Route is the name of the request's route, empty if it has none.
	Route string
	// Version restricts the choice to one version, NotVersion excludes one;
	// neither applies if empty.
	Version, NotVersion string
	Prompt              Prompt
	// Slots and MemoryTokens are the engine's limits, zero for plain services.
	Slots        int
	MemoryTokens int
	// Exclude lists upstreams that failed this request.
	Exclude []string
	// MaxWait is the longest acceptable wait at an upstream; zero means no limit.
	MaxWait time.Duration
	// UrgentWait is the longest acceptable wait of more urgent requests, if some
	// of them were queued recently, otherwise zero. At the reserved upstreams it
	// limits the wait of this request too.
	UrgentWait time.Duration
	// ColdCost is the additional time that a request is expected to take at a cold upstream.
	ColdCost time.Duration
}

// Pick returns the upstream with the lowest cost among those with capacity.
func (s *Set) Pick(now time.Time, q Query) (Upstream, bool) {
	best := s.pick(now, q, false)
	if best == nil {
		// With all upstreams ejected, an attempt at one of them is better than none.
		best = s.pick(now, q, true)
	}
	if best == nil {
		return Upstream{}, false
	}
	return best.Upstream, true
}

func (s *Set) pick(now time.Time, q Query, ejected bool) *member {
	var best *member
	var lowest time.Duration
	preferred := s.preferred(now, q)
	reserved := s.reservedBelow(q)
	speed := s.Speed(q.Service)
	least := s.leastSlowdown(now, q, ejected)
	jitter := s.maxJitter(now, q)
	s.refreshLearned(now, q.Service)
	probing := s.drawsProbe(q.Service)
	for _, m := range s.sorted {
		if !m.eligible(now, q, ejected) || !s.mayReceive(now, m) {
			continue
		}
		load := m.loadAt(now)
		if !s.hasCapacity(m, load, q) || !s.hasRoom(now, m, m.slots(q)) {
			continue
		}
		candidate := s.candidate(now, m, load, q, preferred, speed)
		factor := s.applyLearned(&candidate, m, load, q)
		candidate.Probe = m.needsProbe(now, load, probing)
		stated := m.slowdown(now) / least
		// What is only learned of an upstream is a cost and refuses nobody.
		wait := scale(candidate.Wait, stated)
		candidate.slowDown(factor * stated)
		limit := q.MaxWait
		if m.hash < reserved {
			limit = min(limit, q.UrgentWait)
		}
		if limit > 0 && wait > limit {
			continue
		}
		cost := s.cost(candidate) + s.jitter(q, m.slots(q), jitter)
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	return best
}

// reservedBelow returns the hash below which upstreams are reserved for short
// waits, 0 if none are. Engines prefill prompts in order of arrival, so
// without reserved upstreams a burst of long prompts with a generous latency
// goal would delay urgent requests at all engines. All nodes reserve the same
// upstreams.
func (s *Set) reservedBelow(q Query) uint64 {
	if q.UrgentWait == 0 {
		return 0
	}
	var hashes []uint64
	for _, m := range s.sorted {
		if m.Service == q.Service && m.State == StateReady && !s.evacuated[m.Zone] {
			hashes = append(hashes, m.hash)
		}
	}
	if len(hashes) == 0 {
		return 0
	}
	slices.Sort(hashes)
	return hashes[len(hashes)/reservedDivisor]
}

// eligible reports whether the upstream may take the request, regardless of
// its load.
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

// slots returns the number of requests that the upstream runs at once, 0 if unknown.
func (m *member) slots(q Query) int {
	if q.Slots > 0 {
		return q.Slots
	}
	return m.Slots
}

// hasCapacity reports whether the upstream has capacity for the request in
// addition to its load.
func (s *Set) hasCapacity(m *member, load UpstreamLoad, q Query) bool {
	if q.Slots == 0 {
		return m.Slots == 0 || load.Running < plainCapacity(m.Slots)
	}
	required := q.Prompt.InputTokens + q.Prompt.MaxOutputTokens
	if load.Running >= s.engineCapacity(q.Service, q.Slots) {
		return false
	}
	// An idle engine accepts a request of any size.
	return load.Running == 0 || float64(load.Memory+required) <= maxMemoryFraction*float64(q.MemoryTokens)
}

// candidate returns the inputs of the cost function for an upstream.
func (s *Set) candidate(now time.Time, m *member, load UpstreamLoad, q Query, preferred string, speed Speed) Candidate {
	c := Candidate{
		Wait:        m.wait(load, q, speed) + s.slotWait(q.Service, load.Running, q.Slots),
		Running:     load.Running,
		TotalPlaced: m.placed,
		Errors:      m.errors,
		OtherZone:   m.Zone != s.zone,
		Unlisted:    m.unlisted,
	}
	if q.ColdCost > 0 && s.isCold(now, m) {
		c.Cold = q.ColdCost
	}
	if q.Slots == 0 {
		c.Work = plainServiceTime
		return c
	}
	shared := q.Prompt.SharedTokens()
	cachedTokens := min(m.cached(now, q.Prompt), shared)
	// The preferred upstream counts as having the parts cached, which attracts the
	// first requests with them.
	if m.ID == preferred {
		cachedTokens = shared
	}
	c.Recompute = speed.PrefillTime(shared - cachedTokens)
	c.Work = speed.PrefillTime(q.Prompt.InputTokens - cachedTokens)
	return c
}

// preferred returns the ID of the upstream that all nodes prefer for the
// prompt's shared part: the one with the highest rendezvous hash of those without
// a limit that are not cold, in zones that are not evacuated.
func (s *Set) preferred(now time.Time, q Query) string {
	part, ok := q.Prompt.lastSharedPart()
	if !ok {
		return ""
	}
	best, highest := "", uint64(0)
	for _, m := range s.sorted {
		if m.Service != q.Service || m.State != StateReady || s.evacuated[m.Zone] || m.limiter.limit.Named || s.isCold(now, m) {
			continue
		}
		if h := xxhash.Sum64String(part.ID + "/" + m.ID); best == "" || h > highest {
			best, highest = m.ID, h
		}
	}
	return best
}
