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

const (
	// subsetSize is the number of upstreams per version that one node uses.
	subsetSize = 12
	// ReclaimMargin is the maximum time by which a VM may disappear before the
	// announced time.
	ReclaimMargin = 500 * time.Millisecond
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
