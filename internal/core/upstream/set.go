package upstream

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the protocol family of an upstream.
type Kind string

// Kinds of upstream.
const (
	// Engine is a model engine, which answers with a stream of tokens.
	Engine Kind = "engine"
	// Plain is a plain service, which answers with one result.
	Plain Kind = "plain"
)

// Upstream is a back end in the platform's list.
type Upstream struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	Version string `cbor:"5,keyasint"`
	Kind    Kind   `cbor:"6,keyasint"`
	// Slots is the number of requests that the upstream can run concurrently.
	Slots   int  `cbor:"7,keyasint"`
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Until is the time at which a leaving upstream is reclaimed, or zero if it
	// is not known.
	Until time.Time `cbor:"9,keyasint"`
}

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

const (
	// sampleSize is the number of candidates compared per selection.
	sampleSize = 3
	// loadHalfLife is the age at which the weight of a load report is halved.
	loadHalfLife = 2 * time.Second
	// busyCooldown is the time for which an upstream gets no requests after it
	// rejected one for lack of capacity. Its next load report ends this time.
	busyCooldown = 100 * time.Millisecond
	// prefixDiscount is the reduction of load per slot that is equivalent to a
	// cached prompt prefix.
	prefixDiscount = 0.25
	// remoteZonePenalty is the load per slot that is equivalent to a hop to
	// another zone.
	remoteZonePenalty = 0.02
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
	// subsetSize is the number of upstreams per version that one node uses.
	subsetSize = 12
	// ReclaimMargin is the maximum time by which a VM may disappear before the
	// announced time.
	ReclaimMargin = 500 * time.Millisecond
	// maxPrefixes bounds the number of prompt prefixes recorded per upstream.
	maxPrefixes = 256
)

type entry struct {
	upstream            Upstream
	load                Load
	inFlight            int
	dispatchedSinceLoad int
	prefixes            []uint64
	// failures is the number of consecutive failures since the latest ejection.
	// ejections is the number of ejections since the latest successful dispatch.
	failures     int
	ejections    int
	ejectedUntil time.Time
	leaving      bool
	busyUntil    time.Time
	// inSubset is set if the upstream is in this node's subset of its version.
	inSubset bool
}

// Set holds a node's view of the upstreams. It is not safe for concurrent use.
type Set struct {
	node    string
	rng     *rand.Rand
	entries map[string]*entry
	ids     []string
	// leaving holds the upstreams that are known to be leaving, including those
	// that the list does not contain yet.
	leaving map[string]departure
}

// departure records the announcement that an upstream is leaving.
type departure struct {
	announcedAt time.Time
	until       time.Time
}

// New returns an empty set for a node. The node's name determines its subsets.
func New(node string, rng *rand.Rand) *Set {
	return &Set{node: node, rng: rng, entries: make(map[string]*entry), leaving: make(map[string]departure)}
}

// leavingRetention is the retention period of a departure. Until it ends, a list
// that lags behind the announcement does not make the upstream usable again.
const leavingRetention = 10 * time.Minute

// Replace replaces the list of upstreams and returns the IDs of those that are
// newly leaving or no longer listed, sorted.
func (s *Set) Replace(now time.Time, list []Upstream) []string {
	var departed []string
	seen := make(map[string]bool, len(list))
	for _, u := range list {
		seen[u.ID] = true
		e := s.entries[u.ID]
		if e == nil {
			e = &entry{}
			s.entries[u.ID] = e
		}
		e.upstream = u
		if _, announced := s.leaving[u.ID]; announced {
			e.leaving = true
		}
		if u.Leaving && s.MarkLeaving(now, u.ID, u.Until) {
			departed = append(departed, u.ID)
		}
	}
	for _, id := range s.ids {
		if !seen[id] {
			departed = append(departed, id)
			delete(s.entries, id)
		}
	}
	s.rebuildIndex()
	s.expireDepartures(now)
	sort.Strings(departed)
	return departed
}

func (s *Set) rebuildIndex() {
	s.ids = s.ids[:0]
	for id := range s.entries {
		s.ids = append(s.ids, id)
	}
	sort.Strings(s.ids)
	s.chooseSubsets()
}

// chooseSubsets selects, for each version, the upstreams that this node uses.
// Rendezvous hashing distributes the nodes evenly over the upstreams and keeps
// the subsets stable when the list changes.
func (s *Set) chooseSubsets() {
	groups := make(map[string][]*entry)
	for _, id := range s.ids {
		e := s.entries[id]
		e.inSubset = false
		if e.leaving {
			continue
		}
		name := e.upstream.Service + "/" + e.upstream.Version
		groups[name] = append(groups[name], e)
	}
	for _, group := range groups {
		sort.Slice(group, func(i, j int) bool { return s.score(group[i]) > s.score(group[j]) })
		for _, e := range group[:min(subsetSize, len(group))] {
			e.inSubset = true
		}
	}
}

func (s *Set) score(e *entry) uint64 { return xxhash.Sum64String(s.node + "/" + e.upstream.ID) }

// Subset returns the upstreams in this node's subsets that are not leaving,
// sorted by ID.
func (s *Set) Subset() []Upstream {
	var inSubset []Upstream
	for _, id := range s.ids {
		if e := s.entries[id]; e.inSubset && !e.leaving {
			inSubset = append(inSubset, e.upstream)
		}
	}
	return inSubset
}

func (s *Set) expireDepartures(now time.Time) {
	for id, d := range s.leaving {
		if now.Sub(d.announcedAt) > leavingRetention {
			delete(s.leaving, id)
		}
	}
}

// MarkLeaving permanently excludes an upstream from new work and reports whether
// it was not yet marked. until is the time at which it is reclaimed, or zero if
// that is not known.
func (s *Set) MarkLeaving(now time.Time, id string, until time.Time) bool {
	if d, known := s.leaving[id]; known {
		if d.until.IsZero() {
			s.leaving[id] = departure{announcedAt: d.announcedAt, until: until}
		}
		return false
	}
	s.leaving[id] = departure{announcedAt: now, until: until}
	if e := s.entries[id]; e != nil {
		e.leaving = true
		s.chooseSubsets()
	}
	return true
}

// IsLeaving reports whether the upstream is leaving or no longer listed.
func (s *Set) IsLeaving(id string) bool {
	e := s.entries[id]
	return e == nil || e.leaving
}

// Reclaimed reports whether the upstream is no longer listed or its reclaim time
// has come, so that the reclaim explains a broken connection to it.
func (s *Set) Reclaimed(now time.Time, id string) bool {
	d := s.leaving[id]
	return s.entries[id] == nil || !d.until.IsZero() && !now.Before(d.until.Add(-ReclaimMargin))
}

// Get returns a listed upstream.
func (s *Set) Get(id string) (Upstream, bool) {
	e := s.entries[id]
	if e == nil {
		return Upstream{}, false
	}
	return e.upstream, true
}

// All returns the listed upstreams, sorted by ID.
func (s *Set) All() []Upstream {
	var all []Upstream
	for _, id := range s.ids {
		all = append(all, s.entries[id].upstream)
	}
	return all
}

// HasVersion reports whether a service has an upstream of the version that is
// not leaving.
func (s *Set) HasVersion(service, version string) bool {
	return slices.ContainsFunc(s.ids, func(id string) bool {
		e := s.entries[id]
		return e.upstream.Service == service && e.upstream.Version == version && !e.leaving
	})
}

// Capacity returns the total number of slots of a service's upstreams that are
// not leaving.
func (s *Set) Capacity(service string) int {
	slots := 0
	for _, id := range s.ids {
		if e := s.entries[id]; e.upstream.Service == service && !e.leaving {
			slots += e.upstream.Slots
		}
	}
	return slots
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
