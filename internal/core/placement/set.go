package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is an upstream with what is known of it.
type member struct {
	Upstream
	running map[uint64]*run
	peers   map[string]Placed
	parts   map[string]time.Time
	errors  float64
	broken  int
	ejected time.Time
	backoff time.Duration
	full    time.Time
	// reported is the upstream's own count of its requests at reportedAt.
	reported   int
	reportedAt time.Time
	// unlisted says that the entry is missing from the list for the moment.
	unlisted bool
	// hash orders the upstreams alike at all nodes.
	hash uint64
	// placed counts the requests that this node has sent there.
	placed int
}

// Set holds the upstreams of all services.
type Set struct {
	self    string
	zone    string
	rng     *rand.Rand
	cost    Cost
	members map[string]*member
	// sorted holds the members by ID, so that the same events give the same
	// choices.
	sorted []*member
	// meters learn the speed of each service's engines.
	meters map[string]*speedMeter
}

// run is a request that this node has running at an upstream.
type run struct {
	Work
	placedAt time.Time
	// ahead is the prompt tokens to be read there up to its own last one, and
	// beside the requests that ran then.
	ahead, beside int
}

// New returns an empty set for the node and zone, which ranks upstreams by the
// cost.
func New(self, zone string, cost Cost, rng *rand.Rand) *Set {
	return &Set{
		self: self, zone: zone, cost: cost, rng: rng,
		members: make(map[string]*member), meters: make(map[string]*speedMeter),
	}
}

// Put adds or replaces one upstream.
func (s *Set) Put(u Upstream) {
	m := s.members[u.ID]
	if m == nil || !m.Born.Equal(u.Born) {
		m = &member{
			hash:    xxhash.Sum64String(u.ID),
			running: make(map[uint64]*run),
			peers:   make(map[string]Placed),
			parts:   make(map[string]time.Time),
		}
		s.members[u.ID] = m
		m.Upstream = u
		s.sort()
	}
	m.Upstream = u
	m.unlisted = false
}

// Unlisted marks an upstream whose entry is missing from the list, though it
// may come back. It gets work only where no other can take it.
func (s *Set) Unlisted(id string) {
	if m := s.members[id]; m != nil {
		m.unlisted = true
	}
}

func (s *Set) sort() {
	s.sorted = s.sorted[:0]
	for _, m := range s.members {
		s.sorted = append(s.sorted, m)
	}
	slices.SortFunc(s.sorted, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
}

// Remove drops an upstream that is gone.
func (s *Set) Remove(id string) {
	delete(s.members, id)
	s.sort()
}

// Get returns an upstream.
func (s *Set) Get(id string) (Upstream, bool) {
	m, ok := s.members[id]
	if !ok {
		return Upstream{}, false
	}
	return m.Upstream, true
}

// All returns the upstreams in the order of their IDs.
func (s *Set) All() []Upstream {
	list := make([]Upstream, 0, len(s.members))
	for _, m := range s.sorted {
		list = append(list, m.Upstream)
	}
	return list
}

// Sweep drops what is too old to matter.
func (s *Set) Sweep(now time.Time) {
	for _, m := range s.members {
		m.forget(now)
	}
}

// Count returns the number of upstreams of a service that take new work.
func (s *Set) Count(service string) int {
	n := 0
	for _, m := range s.members {
		if m.Service == service && m.State == StateReady {
			n++
		}
	}
	return n
}
