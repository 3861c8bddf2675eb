package upstream

import (
	"slices"
	"time"
)

const (
	// sampleSize is the number of candidates compared per selection.
	sampleSize = 3
	// loadHalfLife is the age at which the weight of a load report is halved.
	loadHalfLife = 2 * time.Second
	// prefixDiscount is the reduction of load per slot that is equivalent to a
	// cached prompt prefix.
	prefixDiscount = 0.25
	// remoteZonePenalty is the load per slot that is equivalent to a hop to
	// another zone.
	remoteZonePenalty = 0.02
	// maxPrefixes bounds the number of prompt prefixes recorded per upstream.
	maxPrefixes = 256
)

// Query holds the criteria for selecting an upstream.
type Query struct {
	Service string
	Version string
	// Zone is the preferred zone among upstreams of similar load.
	Zone string
	// Prefix identifies the prompt prefix; 0 means none.
	Prefix uint64
	// Exclude lists the upstreams that failed this request before. They are
	// selected only if there is no other, and never if Strict is set.
	Exclude []string
	Strict  bool
}

// Pick selects an upstream with free capacity, and returns false if there is
// none.
func (s *Set) Pick(now time.Time, q Query) (Upstream, bool) {
	candidates := s.candidates(now, q)
	if len(candidates) == 0 {
		return Upstream{}, false
	}
	s.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	sample := candidates[:min(sampleSize, len(candidates))]
	for _, e := range candidates[len(sample):] {
		if q.Prefix != 0 && slices.Contains(e.prefixes, q.Prefix) {
			sample = append(sample, e)
			break
		}
	}
	best := sample[0]
	for _, e := range sample[1:] {
		if e.cost(now, q) < best.cost(now, q) {
			best = e
		}
	}
	best.recordPrefix(q.Prefix)
	return best.upstream, true
}

// candidates returns the upstreams of this node's subset that match q and have
// free capacity. Upstreams in q.Exclude are returned only if there is no other
// and q.Strict is not set.
func (s *Set) candidates(now time.Time, q Query) []*entry {
	var untried, tried []*entry
	for _, id := range s.ids {
		e := s.entries[id]
		if e.upstream.Service != q.Service || q.Version != "" && e.upstream.Version != q.Version {
			continue
		}
		if !e.inSubset || e.leaving || now.Before(e.ejectedUntil) || !e.hasCapacity(now) {
			continue
		}
		if slices.Contains(q.Exclude, id) {
			tried = append(tried, e)
			continue
		}
		untried = append(untried, e)
	}
	if len(untried) == 0 && !q.Strict {
		return tried
	}
	return untried
}

func (e *entry) hasCapacity(now time.Time) bool {
	slots := float64(e.upstream.Slots)
	return !now.Before(e.busyUntil) && float64(e.inFlight) < slots && e.expectedLoad(now) < slots
}

// expectedLoad estimates the number of requests at the upstream: those in its
// load report, whose weight decreases with its age, and this node's dispatches
// since the report.
func (e *entry) expectedLoad(now time.Time) float64 {
	age := max(now.Sub(e.load.At), 0)
	weight := 1 / (1 + float64(age)/float64(loadHalfLife))
	reported := float64(e.load.Running+e.load.Waiting)*weight + float64(e.dispatchedSinceLoad)
	return max(reported, float64(e.inFlight))
}

func (e *entry) cost(now time.Time, q Query) float64 {
	cost := e.expectedLoad(now) / float64(max(e.upstream.Slots, 1))
	if q.Prefix != 0 && slices.Contains(e.prefixes, q.Prefix) {
		cost -= prefixDiscount
	}
	if q.Zone != e.upstream.Zone {
		cost += remoteZonePenalty
	}
	return cost
}

func (e *entry) recordPrefix(prefix uint64) {
	if prefix == 0 || slices.Contains(e.prefixes, prefix) {
		return
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > maxPrefixes {
		e.prefixes = e.prefixes[1:]
	}
}
