package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ejectAfter is the number of broken attempts in a row that eject.
	ejectAfter = 2
	// ejectBase is the first time of ejection; it doubles each time.
	ejectBase = time.Second
	ejectMax  = 8 * time.Second
	// fullPause keeps new work from an upstream that said it is full.
	fullPause = 200 * time.Millisecond
	// reportLife is how long an upstream's own count of requests is used; most
	// requests last longer.
	reportLife = 300 * time.Millisecond
	// errorDecay is the weight of the latest answer in the share of errors.
	errorDecay = 0.15
)

// Placed is an upstream's load as one node tells it.
type Placed struct {
	Running int
	Prefill int
	Memory  int
}

// member is an upstream with what is known of it.
type member struct {
	Upstream
	running map[uint64]Work
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
}

// New returns an empty set for the node and zone, which ranks upstreams by the
// cost.
func New(self, zone string, cost Cost, rng *rand.Rand) *Set {
	return &Set{self: self, zone: zone, cost: cost, rng: rng, members: make(map[string]*member)}
}

// Put adds or replaces one upstream.
func (s *Set) Put(u Upstream) {
	m := s.members[u.ID]
	if m == nil || !m.Born.Equal(u.Born) {
		m = &member{
			hash:    xxhash.Sum64String(u.ID),
			running: make(map[uint64]Work),
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
	for _, m := range s.sorted {
		if !m.eligible(now, q, ejected) || !m.hasRoom(now, q) {
			continue
		}
		candidate := s.candidate(now, m, q, home)
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
func (m *member) hasRoom(now time.Time, q Query) bool {
	load := m.loadAt(now)
	if q.Slots == 0 {
		return m.Slots == 0 || load.Running < 2*m.Slots
	}
	need := q.Prompt.Input + q.Prompt.Output
	if load.Running >= q.Slots {
		return false
	}
	return load.Running == 0 || float64(load.Memory+need) <= memoryShare*float64(q.MemoryTokens)
}

// Reported notes an upstream's own count of running and waiting requests, as
// it comes with an answer.
func (s *Set) Reported(now time.Time, id string, requests int) {
	if m := s.members[id]; m != nil {
		m.reported, m.reportedAt = requests, now
	}
}

// loadAt returns the load that all nodes have told, or the upstream's own
// count of requests if that is fresh and greater.
func (m *member) loadAt(now time.Time) Placed {
	load := m.load()
	if now.Sub(m.reportedAt) < reportLife {
		load.Running = max(load.Running, m.reported)
	}
	return load
}

// load sums what all nodes have placed at the upstream.
func (m *member) load() Placed {
	sum := m.own()
	for _, p := range m.peers {
		sum.Running += p.Running
		sum.Prefill += p.Prefill
		sum.Memory += p.Memory
	}
	return sum
}

func (m *member) own() Placed {
	p := Placed{Running: len(m.running)}
	for _, w := range m.running {
		p.Prefill += w.Prefill
		p.Memory += w.Memory
	}
	return p
}

// wait returns how long work that was placed before delays a request.
func (m *member) wait(now time.Time, q Query) time.Duration {
	load := m.loadAt(now)
	if q.Slots == 0 {
		return time.Duration(load.Running) * plainCost
	}
	return DefaultSpeed.ReadTime(load.Prefill) + time.Duration(load.Running)*DefaultSpeed.SlotCost
}

// candidate describes an upstream that may take the request.
func (s *Set) candidate(now time.Time, m *member, q Query, home string) Candidate {
	c := Candidate{
		Wait:      m.wait(now, q),
		Running:   m.loadAt(now).Running,
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
	c.Reread = DefaultSpeed.ReadTime(shared - kept)
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

// Started counts a request in at the upstream.
func (s *Set) Started(now time.Time, id string, request uint64, p Prompt) {
	m := s.members[id]
	if m == nil {
		return
	}
	m.placed++
	m.running[request] = Work{
		Prefill: max(p.Input-m.cached(now, p), 0),
		Memory:  p.Input + p.ExpectedOutput(),
	}
	m.remember(now, p)
}

// Began tells that the request's prompt has been read.
func (s *Set) Began(id string, request uint64) {
	m := s.members[id]
	if m == nil {
		return
	}
	if w, ok := m.running[request]; ok {
		w.Prefill = 0
		m.running[request] = w
	}
}

// Ended counts the request out and takes its outcome as a sign of health.
func (s *Set) Ended(now time.Time, id string, request uint64, outcome Outcome) {
	m := s.members[id]
	if m == nil {
		return
	}
	delete(m.running, request)
	m.judge(now, outcome)
}

func (m *member) judge(now time.Time, outcome Outcome) {
	switch outcome {
	case Succeeded:
		m.broken, m.backoff = 0, 0
		m.errors *= 1 - errorDecay
	case Erred:
		m.errors += (1 - m.errors) * errorDecay
	case Broke:
		m.errors += (1 - m.errors) * errorDecay
		m.broken++
		if m.broken >= ejectAfter {
			m.eject(now)
		}
	case Full:
		m.full = now.Add(fullPause)
	case Neutral:
	}
}

func (m *member) eject(now time.Time) {
	m.backoff = min(max(2*m.backoff, ejectBase), ejectMax)
	m.ejected = now.Add(m.backoff)
}

// Load returns what all nodes have placed at an upstream, as far as they told.
func (s *Set) Load(id string) Placed {
	m := s.members[id]
	if m == nil {
		return Placed{}
	}
	return m.load()
}

// Placements returns what this node has running at each upstream.
func (s *Set) Placements() map[string]Placed {
	placed := make(map[string]Placed)
	for id, m := range s.members {
		if len(m.running) > 0 {
			placed[id] = m.own()
		}
	}
	return placed
}

// PeerPlaced replaces what a peer has running at the upstreams.
func (s *Set) PeerPlaced(node string, placed map[string]Placed) {
	for id, m := range s.members {
		if p, ok := placed[id]; ok {
			m.peers[node] = p
			continue
		}
		delete(m.peers, node)
	}
}

// PeerGone forgets what a peer had running.
func (s *Set) PeerGone(node string) {
	for _, m := range s.members {
		delete(m.peers, node)
	}
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
