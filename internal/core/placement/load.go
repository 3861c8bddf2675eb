package placement

import "time"

// reportLife is how long an upstream's own count of requests is used; most
// requests last longer.
const reportLife = 300 * time.Millisecond

// Placed is an upstream's load as one node tells it.
type Placed struct {
	Running int
	Prefill int
	Memory  int
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
func (load Placed) wait(q Query, speed Speed) time.Duration {
	if q.Slots == 0 {
		return time.Duration(load.Running) * plainCost
	}
	return speed.ReadTime(load.Prefill) + time.Duration(load.Running)*speed.SlotCost
}

// Started counts a request in at the upstream.
func (s *Set) Started(now time.Time, id string, request uint64, p Prompt) {
	m := s.members[id]
	if m == nil {
		return
	}
	m.placed++
	load := m.load()
	unread := max(p.Input-m.cached(now, p), 0)
	m.running[request] = &run{
		Work:     Work{Prefill: unread, Memory: p.Input + p.ExpectedOutput()},
		placedAt: now,
		ahead:    load.Prefill + unread,
		beside:   load.Running,
	}
	m.remember(now, p)
}

// Began tells that the request's prompt has been read.
func (s *Set) Began(now time.Time, id string, request uint64) {
	m := s.members[id]
	if m == nil {
		return
	}
	r := m.running[request]
	if r == nil || r.Prefill == 0 {
		return
	}
	r.Prefill = 0
	s.meter(m.Service).observe(r.ahead, r.beside, now.Sub(r.placedAt))
}

// Moved tells that the request goes on from memory that was moved there, so
// that no prompt is read.
func (s *Set) Moved(id string, request uint64) {
	m := s.members[id]
	if m == nil {
		return
	}
	if r := m.running[request]; r != nil {
		r.Prefill = 0
	}
}

// Speed returns what is known of the speed of a service's engines.
func (s *Set) Speed(service string) Speed { return s.meter(service).speed() }

func (s *Set) meter(service string) *speedMeter {
	m := s.meters[service]
	if m == nil {
		m = &speedMeter{}
		s.meters[service] = m
	}
	return m
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
