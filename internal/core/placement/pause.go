package placement

import "time"

const (
	// maxPause bounds the pause that an upstream may ask for.
	maxPause = 10 * time.Minute
	// trialRetention is the time after a pause after which the upstream counts as any other,
	// although no request has been sent to it since.
	trialRetention = time.Minute
)

// process identifies the process of an upstream.
type process struct {
	id        string
	startedAt int64
}

func processOf(u Upstream) process { return process{id: u.ID, startedAt: u.StartedAt.UnixNano()} }

// pause is the time for which a process of an upstream wants no requests from this node, and
// the trial that follows it: one request at a time, until an answer to one shows that the process
// takes requests.
type pause struct {
	// until is when the pause ends and the trial begins.
	until time.Time
	// trial is the request on trial, 0 if there is none.
	trial uint64
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
		p.until, p.trial = until, 0
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

// Admits reports whether the process of an upstream takes requests from this node now: it has asked
// for no pause, and its zone isn't evacuated. Every way to an upstream asks it, also without Pick.
func (s *Set) Admits(now time.Time, u Upstream) bool {
	return !s.evacuated[u.Zone] && s.PauseLeft(now, u) == 0
}

// onTrial reports whether an upstream's pause is over and another request is on trial there.
func (s *Set) onTrial(m *member) bool {
	p := s.pauses[processOf(m.Upstream)]
	return p != nil && p.trial != 0
}

// startTrial puts a request on trial that is sent to an upstream after its pause.
func (s *Set) startTrial(m *member, request uint64) {
	if p := s.pauses[processOf(m.Upstream)]; p != nil && p.trial == 0 {
		p.trial = request
	}
}

// endTrial ends the trial of a request without an answer, also if the upstream's entry is missing
// now. The next request is on trial.
func (s *Set) endTrial(id string, request uint64) {
	for process, p := range s.pauses {
		if process.id == id && p.trial == request {
			p.trial = 0
		}
	}
}

// RecordAnswer records that the process of an upstream has answered a request without asking for
// a pause, and reports whether that ends its trial.
func (s *Set) RecordAnswer(now time.Time, u Upstream, request uint64) (ended bool) {
	p := s.pauses[processOf(u)]
	if p == nil || p.trial != request || now.Before(p.until) {
		return false
	}
	delete(s.pauses, processOf(u))
	return true
}

// Resumes returns the time until the first of a service's upstreams of all versions but one takes
// requests again, 0 if one that is ready does so now, or none is ready.
func (s *Set) Resumes(now time.Time, service, notVersion string) time.Duration {
	var first time.Duration
	for _, m := range s.sorted {
		if m.Service != service || m.State != StateReady || s.evacuated[m.Zone] || notVersion != "" && m.Version == notVersion {
			continue
		}
		left := s.PauseLeft(now, m.Upstream)
		if left == 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// CountPaused returns the number of upstreams of a service that want no requests from this node.
func (s *Set) CountPaused(now time.Time, service string) int {
	n := 0
	for _, m := range s.sorted {
		if m.Service == service && s.PauseLeft(now, m.Upstream) > 0 {
			n++
		}
	}
	return n
}

// expirePauses removes the pauses that ended long ago.
func (s *Set) expirePauses(now time.Time) {
	for process, p := range s.pauses {
		if now.Sub(p.until) >= trialRetention {
			delete(s.pauses, process)
		}
	}
}
