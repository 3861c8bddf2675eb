package gateway

import (
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

func (g *Gateway) began(e Began) {
	r := g.requests[e.Conn]
	if r == nil || r.attempt != e.Attempt || r.phase != phaseRunning {
		return
	}
	first := !r.began && r.runs == 0
	r.began, r.beganAt = true, g.now
	g.upstreams.Began(g.now, r.upstream, r.conn)
	if r.move == nil && !r.goesOn {
		g.judgeStart(r)
	}
	if first {
		g.observe(TimeBegan, r)
	}
	if first && r.team != nil {
		g.usage.counter.Add(g.trueTime(), r.team.Name)
	}
	g.logRequest(r, "begin", "answer began", "upstream", r.upstream, "attempt", r.attempt,
		"age_ms", g.now.Sub(r.arrived).Milliseconds())
	if u, ok := g.upstreams.Get(r.upstream); ok {
		g.evacuate(u)
	}
	g.serve(g.queue(r.service))
}

func (g *Gateway) ended(e Ended) {
	r := g.requests[e.Conn]
	if r == nil || r.attempt != e.Attempt || r.phase != phaseRunning {
		return
	}
	g.upstreams.Ended(g.now, r.upstream, r.conn, health(e.Result))
	if e.Load != nil {
		g.upstreams.Reported(g.now, r.upstream, e.Load.Running+e.Load.Waiting)
	}
	g.count(CountResult, string(e.Result))
	g.logRequest(r, "end", string(e.Result), "upstream", r.upstream, "attempt", r.attempt,
		"age_ms", g.now.Sub(r.arrived).Milliseconds(), "detail", e.Detail)
	if r.move == nil {
		g.judgeEnd(r, e.Result)
	}
	r.phase = phaseWaiting
	r.sent = r.sent || e.Sent
	switch {
	case g.endedInMove(r, e):
	case e.Result == ResultComplete, e.Result == ResultAborted:
		g.suspects.cleared(r.req.Fingerprint)
		if e.Result == ResultComplete {
			g.observe(TimeComplete, r)
		}
		delete(g.requests, r.conn)
	case e.Result.NotRun():
		g.afterNotRun(r, e)
	default:
		g.afterRun(r, e)
	}
	g.serve(g.queue(r.service))
}

// health returns what a result says of the upstream.
func health(result Result) placement.Outcome {
	switch result {
	case ResultComplete:
		return placement.Succeeded
	case ResultErrored, ResultGarbled:
		return placement.Erred
	case ResultFull:
		return placement.Full
	case ResultBroken, ResultUnreachable, ResultMisdirected:
		return placement.Broke
	default:
		return placement.Neutral
	}
}

// afterNotRun sends a request again that an upstream did not run.
func (g *Gateway) afterNotRun(r *request, e Ended) {
	r.turned++
	r.exclude = append(r.exclude, r.upstream)
	if r.sent && !r.route.Resumable {
		g.cut(r, ReasonFailed)
		return
	}
	if r.turned > turnedMax || !g.mayResend(r, string(e.Result)) {
		g.refuse(r, ReasonNotRun, g.returnAfter(returnWait))
		return
	}
	g.resend(r)
}

// afterRun decides on a request that may have run without a good answer.
func (g *Gateway) afterRun(r *request, e Ended) {
	r.runs++
	r.exclude = append(r.exclude, r.upstream)
	if e.Result == ResultBroken && !r.began {
		g.suspects.broke(g.now, r.req.Fingerprint)
	}
	repeat := r.route.Repeatable() && r.runs < r.route.Attempts
	if r.sent && r.route.Kind != route.KindStreaming {
		repeat = false
	}
	if repeat && !g.suspects.refused(r.req.Fingerprint) && g.mayResend(r, string(e.Result)) {
		g.resend(r)
		return
	}
	g.fail(r, e)
}

// resend puts the request back into the queue. One whose answer has begun is
// not refused for a wait that it need not bear in full.
func (g *Gateway) resend(r *request) {
	if r.sent {
		r.refuseAt = r.until
	}
	if g.upstreams.Count(r.service) <= len(r.exclude) {
		r.exclude = nil
	}
	g.enqueue(r)
}

// mayResend takes one resend from the service's budget.
func (g *Gateway) mayResend(r *request, cause string) bool {
	if !g.now.Before(r.until) {
		return false
	}
	ratio := budgetUse * g.cfg.Bounds.RetryRatio
	if !g.budget(r.service).take(g.now, ratio, g.resendSlack()) {
		g.count(CountResend, resendDenied)
		return false
	}
	g.count(CountResend, cause)
	return true
}

// resendSlack returns this node's share of the slack of the resend budget. A
// process that may have had one before it has none for a window.
func (g *Gateway) resendSlack() float64 {
	bounds := g.cfg.Bounds
	if !g.cfg.FirstStart && g.now.Sub(g.started) < bounds.RetryWindow {
		return 0
	}
	return budgetUse * bounds.RetrySlack / float64(len(g.members)+1)
}

// budgetUse is the part of the resend budget that is used; the rest is for
// arrivals that upstreams count in another window than this node.
const budgetUse = 0.8

// fail ends a request that may have run.
func (g *Gateway) fail(r *request, e Ended) {
	switch {
	case e.Result == ResultErrored && !r.sent:
		g.emit(PassOn{Conn: r.conn})
		delete(g.requests, r.conn)
	default:
		g.refuse(r, ReasonFailed, 0)
	}
}

// expired ends a request whose time is up.
func (g *Gateway) expired(e Expired) {
	r := g.requests[e.Conn]
	if r == nil {
		return
	}
	switch {
	case r.phase == phaseWaiting && r.runs == 0:
		g.refuse(r, ReasonTimeout, 0)
	case r.phase == phaseRunning && r.began && r.route.Kind == route.KindStreaming:
		g.cut(r, ReasonLate)
	default:
		g.silent(r)
		g.refuse(r, ReasonLate, 0)
	}
}

// silent takes an upstream that let a request's time run out without a word
// for a broken one.
func (g *Gateway) silent(r *request) {
	if r.phase == phaseRunning && !r.began {
		g.upstreams.Ended(g.now, r.upstream, r.conn, placement.Broke)
	}
}

// left ends a request whose handler has ended.
func (g *Gateway) left(e Left) {
	r := g.requests[e.Conn]
	if r == nil {
		return
	}
	g.logRequest(r, "left", "caller left", "gone", e.Gone, "phase", string(r.phase),
		"age_ms", g.now.Sub(r.arrived).Milliseconds())
	service := r.service
	g.forget(r)
	g.serve(g.queue(service))
}
