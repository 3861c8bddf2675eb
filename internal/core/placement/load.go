package placement

import "time"

// UpstreamLoad is the load on an upstream from one node or from all.
type UpstreamLoad struct {
	// Running is the number of requests.
	Running int
	// Prefill is the number of prompt tokens not yet prefilled.
	Prefill int
	// Memory is the number of tokens reserved in the KV cache.
	Memory int
}

// load returns the sum of the load that all nodes have placed at the upstream.
func (m *member) load() UpstreamLoad {
	return m.ownLoad().plus(m.peerLoad)
}

// plus returns the sum of two loads.
func (load UpstreamLoad) plus(other UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{
		Running: load.Running + other.Running,
		Prefill: load.Prefill + other.Prefill,
		Memory:  load.Memory + other.Memory,
	}
}

// minus returns the difference of two loads.
func (load UpstreamLoad) minus(other UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{
		Running: load.Running - other.Running,
		Prefill: load.Prefill - other.Prefill,
		Memory:  load.Memory - other.Memory,
	}
}

// setPeerLoad replaces the load that a peer has placed at the upstream.
func (m *member) setPeerLoad(node string, load UpstreamLoad) {
	m.peerLoad = m.peerLoad.minus(m.peers[node]).plus(load)
	if load == (UpstreamLoad{}) {
		delete(m.peers, node)
		return
	}
	m.peers[node] = load
}

// ownLoad returns the load that this node has placed at the upstream.
func (m *member) ownLoad() UpstreamLoad {
	p := UpstreamLoad{Running: len(m.running)}
	for _, w := range m.running {
		p.Prefill += w.Prefill
		p.Memory += w.Memory
	}
	return p
}

// wait returns the expected delay of a request behind the load.
func (m *member) wait(load UpstreamLoad, q Query, speed Speed) time.Duration {
	if q.Slots == 0 {
		own := min(len(m.running), load.Running)
		return plainWait(own, load.Running-own, m.Slots)
	}
	return speed.PrefillTime(load.Prefill) + time.Duration(load.Running)*speed.SlotCost
}

// RecordStart adds a request to the upstream's load.
func (s *Set) RecordStart(now time.Time, id string, request uint64, p Prompt) {
	m := s.members[id]
	if m == nil {
		return
	}
	m.placed++
	s.startTrial(m, request)
	s.spend(now, m, 1)
	load := m.load()
	uncached := max(p.InputTokens-m.cached(now, p), 0)
	if p.InputTokens > 0 {
		s.recordArrival(now, m.Service, uncached)
	}
	m.running[request] = &activeRequest{
		Work:          Work{Prefill: uncached, Memory: p.InputTokens + p.ExpectedOutput()},
		placedAt:      now,
		prefillTokens: load.Prefill + uncached,
		batchSize:     load.Running,
		learning:      s.learningRequest(now, m),
	}
	m.touchParts(now, p)
}

// RecordPrefillDone records that the request's prompt has been prefilled.
func (s *Set) RecordPrefillDone(now time.Time, id string, request uint64) {
	m := s.members[id]
	if m == nil {
		return
	}
	r := m.running[request]
	if r == nil || r.Prefill == 0 {
		return
	}
	s.learnPrefill(now, m, r)
	r.Prefill = 0
	elapsed := scale(now.Sub(r.placedAt), 1/m.slowdown(now))
	s.estimator(m.Service).observe(r.prefillTokens, r.batchSize, elapsed)
}

// RecordCacheMove records that the request continues from a KV cache that was copied
// to the upstream, so that its prompt needs no prefill.
func (s *Set) RecordCacheMove(id string, request uint64) {
	m := s.members[id]
	if m == nil {
		return
	}
	if r := m.running[request]; r != nil {
		r.Prefill = 0
		r.learning = learningRequest{}
	}
}

// Speed returns the estimated speed of a service's engines.
func (s *Set) Speed(service string) Speed { return s.estimator(service).speed() }

func (s *Set) estimator(service string) *speedEstimator {
	e := s.estimators[service]
	if e == nil {
		e = &speedEstimator{}
		s.estimators[service] = e
	}
	return e
}

// Load returns the load that all nodes have placed at an upstream, as far as
// peers have reported theirs.
func (s *Set) Load(id string) UpstreamLoad {
	m := s.members[id]
	if m == nil {
		return UpstreamLoad{}
	}
	return m.load()
}

// OwnLoads returns the load of this node's own requests by upstream.
func (s *Set) OwnLoads() map[string]UpstreamLoad {
	loads := make(map[string]UpstreamLoad)
	for id, m := range s.members {
		if len(m.running) > 0 {
			loads[id] = m.ownLoad()
		}
	}
	return loads
}

// SetPeerLoads replaces the load that a peer has placed at the upstreams. Its cost grows with
// the upstreams that the peer uses, not with all: each node receives many statuses a second.
func (s *Set) SetPeerLoads(node string, loads map[string]UpstreamLoad) {
	s.RemovePeer(node)
	used := make([]*member, 0, len(loads))
	for id, load := range loads {
		if m := s.members[id]; m != nil {
			m.setPeerLoad(node, load)
			used = append(used, m)
		}
	}
	s.usedByPeers[node] = used
}

// RemovePeer removes the load that a peer has placed at the upstreams.
func (s *Set) RemovePeer(node string) {
	for _, m := range s.usedByPeers[node] {
		m.setPeerLoad(node, UpstreamLoad{})
	}
	delete(s.usedByPeers, node)
}
