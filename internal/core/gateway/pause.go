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

// resumes returns the time until an upstream takes the request, 0 if one does or none is ready.
// What is not drawn to the new version of a rollout does not go there because the others pause.
func (g *Gateway) resumes(r *request) time.Duration {
	q := placement.Query{Service: r.service}
	g.chooseVersion(&q, r)
	return g.upstreams.Resumes(g.now, q.Service, q.NotVersion)
}

// isRefusedForPauses reports whether all upstreams that may take the request have asked for pauses:
// its caller is told when to come back. Once its answer has begun, it waits for that if its
// deadline allows it.
func (g *Gateway) isRefusedForPauses(r *request) bool {
	in := g.resumes(r)
	return in > 0 && (!r.answerSent || g.now.Add(in).After(r.deadline))
}

// refuseForPauses refuses a request because all upstreams have asked for pauses.
func (g *Gateway) refuseForPauses(r *request) {
	g.refuse(r, ReasonPaused, g.retryAfter(max(g.resumes(r), minRetryAfter)))
}

// refusePaused refuses the waiting requests to a service whose upstreams have all asked for
// pauses.
func (g *Gateway) refusePaused(service string) {
	paused := func(r *request) bool { return r.service == service && g.isRefusedForPauses(r) }
	for _, r := range g.waiting(paused) {
		g.refuseForPauses(r)
	}
}

// Admits reports whether an upstream takes requests from this node at a time: it may have asked
// for a pause since a request to it was dispatched.
func (g *Gateway) Admits(now time.Time, u placement.Upstream) bool {
	return g.evacuationsKnown() && g.upstreams.Admits(now, u)
}
