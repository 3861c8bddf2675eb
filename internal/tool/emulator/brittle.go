package emulator

import (
	"fmt"
	"time"

	"monsoonlanding/internal/core/placement"
)

// BrittleUpstreams are the upstreams of a service that say that they are brittle: one that
// turns more requests away in a second than it names falls over.
type BrittleUpstreams struct {
	Service string
	// Rejections is the number of requests that an upstream may turn away in a second.
	Rejections float64
	// From and To are the times between which they say so.
	From, To time.Duration
	// Room is the number of requests that may wait at a plain service from brittleDelay on.
	Room int
}

const (
	// brittleDelay is the time after which brittle upstreams let fewer wait.
	brittleDelay = 3 * time.Second
	// plainRoom is the number of requests that otherwise wait at a plain service.
	plainRoom = 12
	// brittleRestartTime is the time from a fall until the upstream is back.
	brittleRestartTime = 3 * time.Second
)

// brittleOracle counts the falls of brittle upstreams.
type brittleOracle struct {
	upstreams *BrittleUpstreams
	// number is the number of the service's upstreams.
	number int
	// rejected holds when each upstream has turned a request away.
	rejected map[string][]time.Time
	falls    int
}

// brittleness returns what the answers of an upstream name now.
func (s *simulation) brittleness(u *upstream) placement.RateLimit {
	b := s.pattern.Brittle
	at := s.now.Sub(startTime)
	if b == nil || u.Service != b.Service || at < b.From || at >= b.To {
		return placement.RateLimit{}
	}
	return placement.RateLimit{Named: true, PerSecond: b.Rejections}
}

// isFull reports whether an upstream turns requests away for want of room.
func (s *simulation) isFull(u *upstream) bool {
	b := s.pattern.Brittle
	if u.cached != nil || b == nil || u.Service != b.Service {
		return u.full()
	}
	room := plainRoom
	if at := s.now.Sub(startTime); at >= b.From+brittleDelay && at < b.To {
		room = b.Room
	}
	return u.running >= plainSlots+room
}

// turnedAway counts a request that an upstream turns away, and lets it fall over if these are
// too many.
func (s *simulation) turnedAway(u *upstream) {
	if !s.brittleness(u).Named {
		return
	}
	o := &s.oracle.brittle
	o.rejected[u.ID] = append(o.rejected[u.ID], s.now)
	if float64(countWithin(o.rejected[u.ID], s.now, time.Second)) <= s.pattern.Brittle.Rejections {
		return
	}
	// By the users' rules a fall counts if nodes have been up and in contact for a while.
	if at := s.now.Sub(startTime); s.pattern.RestartAt == 0 || at < s.pattern.RestartAt || at >= s.pattern.RestartAt+contactTime {
		o.falls++
	}
	s.crash(u)
	s.after(upstreamListDelay, s.sendUpstreamLists)
	s.after(brittleRestartTime, func() {
		restarted := newPlain(fmt.Sprint(u.ID, "'"), u.Zone)
		if u.cached != nil {
			restarted = newEngine(fmt.Sprint(u.ID, "'"), u.Zone, u.prefillRate)
		}
		s.add(restarted)
		s.sendUpstreamLists()
	})
}

// checkBrittle checks how often upstreams have fallen over: 2 and a tenth of their number are
// allowed.
func (o *oracle) checkBrittle() {
	b := &o.brittle
	if allowed := 2 + float64(b.number)/10; b.upstreams != nil && float64(b.falls) > allowed {
		o.violated("brittle upstreams of %s fell over %d times, at most %.1f allowed", b.upstreams.Service, b.falls, allowed)
	}
}
