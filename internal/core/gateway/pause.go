package gateway

import (
	"time"

	"monsoonlanding/internal/core/placement"
)

// recordAnswer records that the upstream of an attempt has answered it. If it asks for no pause,
// that ends the trial which follows one.
func (g *Gateway) recordAnswer(r *request, s Signals) {
	if s.Pause == 0 && g.upstreams.RecordAnswer(g.now, r.upstream, r.conn) {
		g.log("pause", "upstream takes requests again", "upstream", r.upstream.ID, "request", r.req.ID)
	}
}

// isPausedTooLong reports whether all upstreams of the request's service have asked for pauses
// that the request does not wait for: its caller is told when to come back instead. Once its
// answer has begun, only its deadline applies.
func (g *Gateway) isPausedTooLong(r *request) bool {
	in := g.upstreams.Resumes(g.now, r.service)
	return in > 0 && (!r.answerSent || g.now.Add(in).After(r.deadline))
}

// refusePaused refuses the waiting requests to a service whose upstreams have all asked for
// pauses.
func (g *Gateway) refusePaused(service string) {
	if in := g.upstreams.Resumes(g.now, service); in > 0 {
		tooLong := func(r *request) bool { return r.service == service && g.isPausedTooLong(r) }
		g.refuseWaiting(tooLong, ReasonPaused, max(in, minRetryAfter))
	}
}

// Admits reports whether an upstream takes requests from this node at a time: it may have asked
// for a pause since a request to it was dispatched.
func (g *Gateway) Admits(now time.Time, u placement.Upstream) bool { return g.upstreams.Admits(now, u) }
