package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/core/capacity"
)

// Learning selects the services of which it is learned how much work each upstream takes well.
type Learning string

// Selections of services.
const (
	LearnOff Learning = "off"
	// LearnReported selects the services whose upstreams report how long work takes there at
	// the moment: then passing slowness can be told from lasting one.
	LearnReported Learning = "reported"
	LearnOn       Learning = "on"
)

const (
	// goalPart is the part of a route's goal that is left for the upstream. The rest is for
	// waiting at the node and for the network.
	goalPart = 0.8
	// minLearnWeight is the least part of the time to an engine's first event that has to be
	// the prefill of the request's own prompt. The time of those ahead of it shows little: it
	// depends on what peers have placed there unheard.
	minLearnWeight = 0.5
	// probePart is the part of a service's requests that may be sent to slow upstreams as
	// probes. It leaves most of the 5 in 100 that may be late.
	probePart = 0.03
	// probeAge is the age of the latest sample of an upstream from which on it is probed.
	probeAge = 300 * time.Millisecond
	// followUpMaxAge is the age of a probe that was as usual from which on it isn't followed up.
	followUpMaxAge = 2 * time.Second
	// usualRetention is the time for which the usual time of a route without answers is kept.
	usualRetention = 5 * time.Minute
)

// learner learns how much work the upstreams take well.
type learner struct {
	mode     Learning
	services map[string]*learnedService
	// processes holds the members by the identity of their processes.
	processes map[uint64]*member
	samples   sampleExchange
}

// learnedService is what is learned of a service.
type learnedService struct {
	group capacity.Group
	// usual holds the usual times of whole answers, by route.
	usual map[string]*routeTime
	// reports is set once an upstream of the service has reported how long work takes there.
	reports bool
}

// routeTime is the usual time of a route's answers, with the time of the latest one.
type routeTime struct {
	capacity.Usual
	usedAt time.Time
}

// learningRequest is what is kept of a request to learn from its time.
type learningRequest struct {
	// route is empty if the time is not learned from.
	route string
	// goal is the route's goal for the first event or the whole answer, 0 if it has none;
	// maxPause that for the time between two events.
	goal, maxPause time.Duration
	// running is the number of other requests that ran at the upstream.
	running int
	// slowdown is what the upstream had reported of its machine, 0 if nothing.
	slowdown float64
}

func newLearner(mode Learning) learner {
	return learner{
		mode:      mode,
		services:  make(map[string]*learnedService),
		processes: make(map[uint64]*member),
		samples:   newSampleExchange(),
	}
}

// Learn sets the services that the set learns about. What was learned before is dropped if they
// change. The numbers of this node's samples go on, as peers ignore those that they know.
func (s *Set) Learn(mode Learning) {
	if mode == s.learner.mode {
		return
	}
	last := s.learner.samples.last
	s.learner = newLearner(mode)
	s.learner.samples.last = last
	for _, m := range s.sorted {
		m.learned, m.logged = nil, loggedCapacity{}
		s.startLearning(m)
	}
}

func (l *learner) off() bool { return l.mode == LearnOff || l.mode == "" }

// startLearning begins to learn about the process of an upstream.
func (s *Set) startLearning(m *member) {
	if s.learner.off() {
		return
	}
	service := s.learner.services[m.Service]
	if service == nil {
		service = &learnedService{usual: make(map[string]*routeTime)}
		s.learner.services[m.Service] = service
	}
	m.learned = service.group.Add()
	s.learner.processes[m.processHash()] = m
}

// unlearn forgets the process of an upstream.
func (s *Set) unlearn(m *member) {
	if m == nil || m.learned == nil {
		return
	}
	s.learner.services[m.Service].group.Remove(m.learned)
	delete(s.learner.processes, m.processHash())
	m.learned = nil
}

// processHash identifies the process of the upstream to peers.
func (m *member) processHash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(m.ID)
	started := m.StartedAt.UnixNano()
	for range 8 {
		_, _ = d.Write([]byte{byte(started)})
		started >>= 8
	}
	return d.Sum64()
}

// learnedService returns what is learned of a service, nil if nothing is.
func (s *Set) learnedService(service string) *learnedService {
	l := s.learner.services[service]
	if l == nil || s.learner.mode == LearnReported && !l.reports {
		return nil
	}
	return l
}

// learningRequest returns what is kept of a request that is sent to an upstream.
func (s *Set) learningRequest(now time.Time, m *member) learningRequest {
	if m.learned == nil {
		return learningRequest{}
	}
	return learningRequest{running: m.loadAt(now).Running, slowdown: m.statedSlowdown(now)}
}

// RecordGoals records the goals of the route of a request that was sent to an upstream. Its time
// is not learned from otherwise.
func (s *Set) RecordGoals(id string, request uint64, route string, goal, maxPause time.Duration) {
	m := s.members[id]
	if m == nil || m.learned == nil {
		return
	}
	if r := m.running[request]; r != nil {
		r.learning.route, r.learning.goal, r.learning.maxPause = route, goal, maxPause
	}
}

// learnPrefill learns from the time to the first event of a request to an engine.
func (s *Set) learnPrefill(now time.Time, m *member, r *activeRequest) {
	if r.learning.route == "" || s.learnedService(m.Service) == nil {
		return
	}
	speed := s.Speed(m.Service)
	prefill := speed.PrefillTime(r.prefillTokens)
	usual := prefill + time.Duration(r.batchSize)*speed.SlotCost + speed.PostPrefillLatency
	took := now.Sub(r.placedAt)
	if took <= 0 {
		return
	}
	weight := float64(speed.PrefillTime(r.Prefill)) / float64(usual)
	if weight >= minLearnWeight {
		s.learn(now, m, r.learning, took, float64(took)/float64(usual), weight)
	}
}

// learnWhole learns from the time of a whole answer of a plain service.
func (s *Set) learnWhole(now time.Time, m *member, r *activeRequest) {
	service := s.learnedService(m.Service)
	if r.learning.route == "" || service == nil || r.Memory > 0 {
		return
	}
	usual := service.usual[r.learning.route]
	if usual == nil {
		usual = &routeTime{}
		service.usual[r.learning.route] = usual
	}
	usual.usedAt = now
	took := now.Sub(r.placedAt)
	slowdown := r.learning.explained(m.statedSlowdown(now))
	stretch, ok := usual.Observe(time.Duration(float64(took) / (slowdown * turns(r.learning.running, m.Slots))))
	if ok {
		s.learn(now, m, r.learning, took, stretch*slowdown, 1)
	}
}

// turns returns the time of a request at an upstream that runs a number of others and queues
// those beyond its slots, as a multiple of its time alone.
func turns(running, slots int) float64 {
	if slots == 0 {
		return 1
	}
	return 1 + float64(max(running+1-slots, 0))/float64(slots)
}

// RecordPace learns from the mean interval between the first events of a stream: one that is
// longer than the longest pause that callers expect misses their goal.
func (s *Set) RecordPace(now time.Time, id string, request uint64, interval time.Duration) {
	m := s.members[id]
	if m == nil || s.learnedService(m.Service) == nil {
		return
	}
	r := m.running[request]
	if r == nil || r.learning.maxPause <= 0 || interval <= r.learning.maxPause {
		return
	}
	stretch := float64(interval) / float64(r.learning.maxPause)
	sample := r.learning.sample(now, m, max(stretch, capacity.Notable))
	sample.Missed = true
	s.observeOwn(now, m, sample)
}

// learn adds the sample of a request that took a time, which is a stretch of what is usual.
func (s *Set) learn(now time.Time, m *member, r learningRequest, took time.Duration, stretch, weight float64) {
	slowdown := r.explained(m.statedSlowdown(now))
	sample := r.sample(now, m, stretch/slowdown)
	sample.Weight = weight
	sample.Missed = r.goal > 0 && float64(took)/slowdown > goalPart*float64(r.goal)
	s.observeOwn(now, m, sample)
}

// sample returns a sample of the request without weight.
func (r learningRequest) sample(now time.Time, m *member, stretch float64) capacity.Sample {
	sample := capacity.Sample{At: now, Stretch: stretch}
	if m.Slots > 0 {
		sample.Load = float64(r.running) / float64(m.Slots)
	}
	return sample
}

// explained returns the slowdown that an upstream has stated for the time of a request: what is
// explained by it passes and is not learned.
func (r learningRequest) explained(stated float64) float64 {
	if stated <= 0 {
		stated = r.slowdown
	}
	if stated <= 0 {
		return 1
	}
	return stated
}

// learnReporting records that an upstream of a service has reported how long work takes there.
func (s *Set) learnReporting(m *member, r Report) {
	if r.Slowdown > 0 && m.learned != nil {
		s.learner.services[m.Service].reports = true
	}
}

// statedSlowdown returns how long work takes on an upstream's machine as it has stated last, 0 if
// that is too old.
func (m *member) statedSlowdown(now time.Time) float64 {
	if now.Sub(m.reportedAt) >= slowdownMaxAge {
		return 0
	}
	return m.report.Slowdown
}

// observeOwn adds a sample of this node, and shares it if it tells peers something.
func (s *Set) observeOwn(now time.Time, m *member, sample capacity.Sample) {
	m.learned.Observe(now, sample)
	m.usualAt = time.Time{}
	if m.learned.MayHaveRecovered() {
		m.usualAt = now
	}
	if m.learned.IsNotable(sample) || m.learned.Differs() {
		s.learner.samples.share(m.processHash(), sample)
	}
}

// refreshLearned brings the estimates of a service up to date.
func (s *Set) refreshLearned(now time.Time, service string) {
	l := s.learnedService(service)
	if l == nil || !l.group.NeedsRefresh(now) {
		return
	}
	for _, m := range s.sorted {
		if m.Service == service && m.learned != nil {
			m.learned.SetUsable(m.State == StateReady && s.Admits(now, m.Upstream))
		}
	}
	l.group.Refresh(now)
}

// applyLearned changes the inputs of the cost function by what is learned of an upstream, and
// returns the time of its work as a multiple of that of its service, 1 if it is not known.
func (s *Set) applyLearned(c *Candidate, m *member, load UpstreamLoad, q Query) (factor float64) {
	service := s.learnedService(m.Service)
	if service == nil {
		return 1
	}
	if q.Slots == 0 {
		c.Work = max(c.Work, service.usualTime(q.Route))
	}
	slots := m.slots(q)
	c.BeyondRoom = slots > 0 && load.Running >= m.takes(slots)
	return m.learned.Factor()
}

// drawsProbe reports whether a request for a service may be sent to a slow upstream to find out
// whether it still is: others have room, so that it might get none, and its recovery would not show.
func (s *Set) drawsProbe(service string) bool {
	l := s.learnedService(service)
	return l != nil && l.group.HasSlow() && s.rng.Float64() < probePart
}

// needsProbe reports whether a request is sent to a slow upstream as a probe: it runs nothing, and
// its latest sample is old, if the request was drawn, or was as usual and of this node. A sample of a
// peer is followed up by the peer alone; otherwise all nodes would send a request there at once.
func (m *member) needsProbe(now time.Time, load UpstreamLoad, drawn bool) bool {
	if m.learned == nil || load.Running > 0 || !m.learned.IsSlow() {
		return false
	}
	return m.followsUp(now) || drawn && m.learned.Age(now) >= probeAge
}

// followsUp reports whether this node's own latest sample of a slow upstream was as usual, and no
// later one of a peer differs.
func (m *member) followsUp(now time.Time) bool {
	return m.learned.MayHaveRecovered() && now.Sub(m.usualAt) < followUpMaxAge
}

// usualTime returns the usual time of a route's answers, 0 if it is not known.
func (l *learnedService) usualTime(route string) time.Duration {
	if usual := l.usual[route]; usual != nil {
		return usual.Time()
	}
	return 0
}

// expire forgets the usual times of routes that are no longer used.
func (l *learnedService) expire(now time.Time) {
	for route, usual := range l.usual {
		if now.Sub(usual.usedAt) >= usualRetention {
			delete(l.usual, route)
		}
	}
}

// takes returns the number of requests that the upstream takes well at once, the number of its
// slots if nothing else is learned.
func (m *member) takes(slots int) int {
	room := m.learned.Room()
	if room >= 1 {
		// A plain upstream queues requests beyond its slots; the cost has the wait there.
		return math.MaxInt
	}
	return max(int(math.Round(room*float64(slots))), 1)
}
