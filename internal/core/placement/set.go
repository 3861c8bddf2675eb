package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/core/capacity"
)

// member is an upstream with its load and health.
type member struct {
	Upstream
	// running holds this node's requests there by number.
	running map[uint64]*activeRequest
	// peers holds the load that each peer has reported, peerLoad the sum of them.
	peers    map[string]UpstreamLoad
	peerLoad UpstreamLoad
	// parts holds the time of last use of each prompt part.
	parts map[string]time.Time
	// errors is the moving average of the error rate.
	errors float64
	// failures is the number of connection failures since the last success.
	failures int
	// failedAt is when the latest of them was recorded.
	failedAt time.Time
	// ejected is when the latest ejection ends, backoff its duration.
	ejected time.Time
	backoff time.Duration
	// full is when the cooldown after a refusal for lack of capacity ends.
	full time.Time
	// report is the upstream's latest report of its load, as of reportedAt.
	report     Report
	reportedAt time.Time
	// invalidReport is set once a report could not be read.
	invalidReport bool
	limiter       limiter
	brittle       brittle
	cold          cold
	// unlisted reports whether the entry is currently missing from the list.
	unlisted bool
	// hash gives the upstreams an order that is the same at all nodes.
	hash uint64
	// placed is the total number of requests that this node has sent there.
	placed int
	// learned estimates how much work the upstream takes well, nil if that is not learned.
	learned *capacity.Estimator
	// usualAt is when this node's own latest sample arrived, if it was as usual although the
	// upstream is slow, otherwise zero.
	usualAt time.Time
	// logged is what was logged last of it.
	logged loggedCapacity
}

// Set holds the upstreams of all services.
type Set struct {
	self    string
	zone    string
	rng     *rand.Rand
	cost    Cost
	shares  Shares
	members map[string]*member
	// sorted holds the members in order of ID, so that the choices are
	// deterministic.
	sorted []*member
	// usedByPeers holds the upstreams at which each peer has reported load.
	usedByPeers map[string][]*member
	// brittleServices holds what an upstream of each service has named last of its
	// brittleness.
	brittleServices map[string]RateLimit
	// pauses holds the pauses that processes of upstreams have asked for. One outlasts an entry
	// that is missing from the list for a while.
	pauses map[process]*pause
	// evacuated holds the availability zones to which nothing may be sent.
	evacuated map[string]bool
	// estimators holds the speed estimator of each service's engines.
	estimators map[string]*speedEstimator
	// arrivals describes the requests that this node sends to each service's engines.
	arrivals map[string]*arrivals
	// peerLoadAge is the mean age of what is known of the peers' load.
	peerLoadAge time.Duration
	learner     learner
}

// activeRequest is a request that this node has running at an upstream.
type activeRequest struct {
	Work
	placedAt time.Time
	// prefillTokens and batchSize describe the upstream at the time of placement:
	// the number of prompt tokens to prefill there, including this request's, and
	// the number of other requests that ran there.
	prefillTokens, batchSize int
	learning                 learningRequest
}

// New returns an empty set for a node in a zone. The set ranks upstreams by cost
// and keeps to the node's shares.
func New(self, zone string, cost Cost, shares Shares, rng *rand.Rand) *Set {
	return &Set{
		self: self, zone: zone, cost: cost, shares: shares, rng: rng,
		members: make(map[string]*member), usedByPeers: make(map[string][]*member), estimators: make(map[string]*speedEstimator),
		brittleServices: make(map[string]RateLimit), pauses: make(map[process]*pause),
		arrivals: make(map[string]*arrivals),
		learner:  newLearner(LearnOff),
	}
}

// Put adds or updates an upstream. Load and health recorded for an earlier
// process under the same ID, or for it in another service, are dropped.
func (s *Set) Put(u Upstream) {
	m := s.members[u.ID]
	if m == nil || !m.StartedAt.Equal(u.StartedAt) || m.Service != u.Service {
		m = &member{
			hash:    xxhash.Sum64String(u.ID),
			running: make(map[uint64]*activeRequest),
			peers:   make(map[string]UpstreamLoad),
			parts:   make(map[string]time.Time),
		}
		s.unlearn(s.members[u.ID])
		s.members[u.ID] = m
		m.Upstream = u
		s.sort()
		s.startLearning(m)
	}
	m.Upstream = u
	m.unlisted = false
}

// MarkUnlisted marks an upstream whose entry is missing from the list but may
// return. It gets requests only if no listed upstream can take them.
func (s *Set) MarkUnlisted(id string) {
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

// Remove removes an upstream that no longer exists.
func (s *Set) Remove(id string) {
	s.unlearn(s.members[id])
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

// TakesNew reports whether an upstream is listed as ready, as the same process and in the same
// service.
func (s *Set) TakesNew(u Upstream) bool {
	m := s.members[u.ID]
	return m != nil && m.State == StateReady && m.StartedAt.Equal(u.StartedAt) && m.Service == u.Service
}

// All returns the upstreams in order of ID.
func (s *Set) All() []Upstream {
	list := make([]Upstream, 0, len(s.members))
	for _, m := range s.sorted {
		list = append(list, m.Upstream)
	}
	return list
}

// Expire removes expired prompt parts, pauses that have ended and usual times of unused routes.
func (s *Set) Expire(now time.Time) {
	s.expirePauses(now)
	for _, service := range s.learner.services {
		service.expire(now)
	}
	for _, m := range s.members {
		m.expireParts(now)
	}
}

// Count returns the number of upstreams of a service that accept new requests, those in evacuated
// zones aside.
func (s *Set) Count(service string) int {
	n := 0
	for _, m := range s.members {
		if m.Service == service && m.State == StateReady && !s.evacuated[m.Zone] {
			n++
		}
	}
	return n
}
