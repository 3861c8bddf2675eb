package emulator

import (
	"slices"
	"strings"
	"time"
)

// PausingUpstreams are upstreams that turn all requests away and ask for a pause.
type PausingUpstreams struct {
	// Upstreams holds their IDs, Pause the time that they ask for.
	Upstreams []string
	Pause     time.Duration
	// From and To are the times between which they do so.
	From, To time.Duration
}

// pauseOf returns the pause that an upstream asks for now, 0 if it takes requests.
func (s *simulation) pauseOf(u *upstream) time.Duration {
	p := s.pattern.Pausing
	at := s.now.Sub(startTime)
	if p == nil || at < p.From || at >= p.To || !slices.Contains(p.Upstreams, strings.TrimRight(u.ID, "'")) {
		return 0
	}
	return p.Pause
}

// allPausedSince returns since when all upstreams of a service have asked a node for pauses that
// last; ok is false if one has not.
func (s *simulation) allPausedSince(node int, service string) (since time.Time, ok bool) {
	for _, u := range s.upstreams {
		if u.Service != service || u.crashed {
			continue
		}
		asked, paused := s.oracle.pause.askedSince(s.now, node, u.ID)
		if !paused {
			return time.Time{}, false
		}
		if asked.After(since) {
			since = asked
		}
	}
	return since, true
}

const (
	// pauseGrace is the time after a refusal from which on its pause counts, and maxInPause
	// the number of requests that may come within it, by the users' rules.
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
)

// pauseOracle counts the requests that reach upstreams within pauses.
type pauseOracle struct {
	pauses map[nodeUpstream][]*askedPause
}

// askedPause is a pause that an upstream has asked a node for.
type askedPause struct {
	from, to time.Time
	arrivals int
}

// asked records that an upstream asks a node for a pause.
func (o *pauseOracle) asked(now time.Time, node int, id string, pause time.Duration) {
	key := nodeUpstream{node, id}
	o.pauses[key] = append(o.pauses[key], &askedPause{from: now.Add(pauseGrace), to: now.Add(pause)})
}

// askedSince returns when an upstream has first asked a node for one of the pauses that last; ok is
// false if there is none.
func (o *pauseOracle) askedSince(now time.Time, node int, id string) (at time.Time, ok bool) {
	for _, p := range o.pauses[nodeUpstream{node, id}] {
		asked := p.from.Add(-pauseGrace)
		if p.to.After(now) && (!ok || asked.Before(at)) {
			at, ok = asked, true
		}
	}
	return at, ok
}

// arrivedInPause records a request that reaches an upstream.
func (o *oracle) arrivedInPause(now time.Time, node int, id string) {
	for _, p := range o.pause.pauses[nodeUpstream{node, id}] {
		if now.Before(p.from) || !now.Before(p.to) {
			continue
		}
		if p.arrivals++; p.arrivals == maxInPause+1 {
			o.violated("%s had asked node %d for a pause until %v and got %d requests in it", id, node, p.to.Sub(startTime), p.arrivals)
		}
	}
}

// forget ends the pauses of all nodes: new processes have not been asked for any.
func (o *pauseOracle) forget() { clear(o.pauses) }
