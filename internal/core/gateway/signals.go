package gateway

import (
	"time"

	"monsoonlanding/internal/core/placement"
)

// Signals is what an upstream says of itself in the head of an answer.
type Signals struct {
	// ReceivedAt is when the head arrived, zero if it came with the event that carries it.
	ReceivedAt time.Time
	// Load is the load that it reports, nil if it reports none. LoadError tells what of its
	// report can't be read.
	Load      *Load
	LoadError error
	// RateLimit is the limit that it names.
	RateLimit placement.RateLimit
	// Brittle is the number of rejections a second that it bears.
	Brittle placement.RateLimit
	// Leaving is set if it leaves.
	Leaving bool
	// Pause is the time for which it wants no requests from this node, 0 if it names none.
	Pause time.Duration
	// ColdLeft is the time for which it stays cold, 0 if it names none.
	ColdLeft time.Duration
}

// recordSignals records what an upstream says of itself in its answer to an exchange that began
// at a time.
func (g *Gateway) recordSignals(u placement.Upstream, began time.Time, s Signals) {
	if s.Pause > 0 {
		left := g.upstreams.RecordPause(g.now, u, s.Pause)
		g.log("pause", "upstream asks for a pause", "upstream", u.ID, "asked_ms", s.Pause.Milliseconds(), "left_ms", left.Milliseconds())
		g.refusePaused(u.Service)
	}
	if s.Leaving {
		g.leavesAnnounced(g.cfg.Node, processID(u))
	}
	if current, ok := g.upstreams.Get(u.ID); !ok || processID(current) != processID(u) {
		// Another process has taken its place, of which it says nothing.
		return
	}
	g.recordLoad(u, s)
	if g.upstreams.RecordLimit(g.now, began, u.ID, s.RateLimit) {
		g.log("limit", "limit of upstream changed", "upstream", u.ID, "named", s.RateLimit.Named, "per_s", s.RateLimit.PerSecond)
	}
	g.recordCold(u, s.ColdLeft)
	if g.upstreams.RecordBrittle(g.now, began, u.ID, s.Brittle) {
		g.log("limit", "brittleness of upstream changed", "upstream", u.ID, "brittle", s.Brittle.Named, "rejections_per_s", s.Brittle.PerSecond)
	}
}
