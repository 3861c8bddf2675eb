package placement

import "time"

// maxPause bounds the pause that an upstream may ask for.
const maxPause = 10 * time.Minute

// process identifies the process of an upstream.
type process struct {
	id        string
	startedAt int64
}

func processOf(u Upstream) process { return process{id: u.ID, startedAt: u.StartedAt.UnixNano()} }

// pause is the time for which a process of an upstream wants no requests from this node.
type pause struct {
	// until is when it ends.
	until time.Time
}

// RecordPause records that the process of an upstream has asked this node for a pause in an
// answer, and returns the time until its end. A process that asks several times wants no
// requests until the last of these pauses ends, whichever of the answers arrives last.
func (s *Set) RecordPause(now time.Time, u Upstream, asked time.Duration) time.Duration {
	p := s.pauses[processOf(u)]
	if p == nil {
		p = &pause{}
		s.pauses[processOf(u)] = p
	}
	if until := now.Add(min(asked, maxPause)); until.After(p.until) {
		p.until = until
	}
	return s.PauseLeft(now, u)
}

// PauseLeft returns the time for which the process of an upstream wants no requests from this
// node.
func (s *Set) PauseLeft(now time.Time, u Upstream) time.Duration {
	p := s.pauses[processOf(u)]
	if p == nil {
		return 0
	}
	return max(p.until.Sub(now), 0)
}

// Admits reports whether the process of an upstream takes requests from this node now. Every way
// to an upstream asks it, also without Pick.
func (s *Set) Admits(now time.Time, u Upstream) bool {
	p := s.pauses[processOf(u)]
	return p == nil || !now.Before(p.until)
}

// CountPaused returns the number of upstreams of a service that want no requests from this node.
func (s *Set) CountPaused(now time.Time, service string) int {
	n := 0
	for _, m := range s.sorted {
		if m.Service == service && !s.Admits(now, m.Upstream) {
			n++
		}
	}
	return n
}

// expirePauses removes the pauses that have ended.
func (s *Set) expirePauses(now time.Time) {
	for process, p := range s.pauses {
		if !now.Before(p.until) {
			delete(s.pauses, process)
		}
	}
}
