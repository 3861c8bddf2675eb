package gateway

import (
	"strconv"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

func (g *Gateway) began(e Began) {
	r := g.requests[e.Conn]
	if r == nil || r.attempt != e.Attempt || r.phase != phaseRunning {
		return
	}
	if r.relay != "" {
		g.relayBegan(r)
		return
	}
	first := !r.began && r.runs == 0
	r.began, r.beganAt = true, g.now
	g.recordLife(r)
	g.recordAnswer(r, e.Signals)
	g.recordSignals(r.upstream, r.dispatchedAt, e.Signals)
	g.recordConnect(r, e.Connect)
	g.upstreams.RecordPrefillDone(g.now, r.upstream.ID, r.conn)
	if r.move == nil && !r.continuesRun {
		g.countStart(r)
	}
	if first {
		g.observe(TimeBegan, r)
	}
	if first && r.team != nil && r.relayed == nil {
		g.usage.counter.Add(g.clusterTime(), r.team.Name)
	}
	g.logRequest(r, "begin", "answer began", "upstream", r.upstream.ID, "attempt", r.attempt,
		"age_ms", g.now.Sub(r.arrived).Milliseconds())
	if u, ok := g.upstreams.Get(r.upstream.ID); ok {
		g.moveRuns(u)
	}
	g.dispatchQueue(g.queue(r.service))
}

func (g *Gateway) paced(e Paced) {
	r := g.requests[e.Conn]
	if r == nil || r.attempt != e.Attempt || r.phase != phaseRunning || r.move != nil || r.continuesRun || r.relay != "" {
		return
	}
	g.countPace(r, e.Interval)
	g.upstreams.RecordPace(g.now, r.upstream.ID, r.conn, e.Interval)
	g.recordSound(r)
}

func (g *Gateway) ended(e Ended) {
	for range e.Exchange.Extra {
		g.count(CountExtra, ExtraSkipped)
	}
	r := g.requests[e.Conn]
	if r == nil || r.attempt != e.Attempt || r.phase != phaseRunning {
		return
	}
	if r.relay != "" {
		g.relayEnded(r, e)
		return
	}
	g.recordConnect(r, e.Connect)
	if e.Framing != "" && e.Result != ResultMisdirected {
		g.recordAnswer(r, e.Signals)
	}
	g.upstreams.RecordEnd(g.now, r.upstream.ID, r.conn, g.placementOutcome(e.Result))
	g.count(CountResult, string(e.Result))
	if e.Framing != "" {
		g.count(CountAnswer, string(e.Framing))
	}
	g.logEnd(r, e)
	if r.move == nil {
		g.countEnd(r, e.Result)
	}
	g.recordEnd(r, e)
	if e.Framing != "" && !r.began && e.Result != ResultMisdirected {
		g.recordSignals(r.upstream, r.dispatchedAt, e.Signals)
	}
	g.endAttempt(r)
	r.answerSent = r.answerSent || e.AnswerSent
	switch {
	case g.endedInMove(r, e):
	case e.Result == ResultComplete:
		g.completed(r)
	case e.Result == ResultAborted:
		delete(g.requests, r.conn)
	case e.Result == ResultClosed:
		g.afterClosed(r, e)
	case e.Result == ResultWithheld:
		g.afterWithheld(r)
	case e.Result.NotRun():
		g.afterNotRun(r, e)
	default:
		g.afterRun(r, e)
	}
	g.dispatchQueue(g.queue(r.service))
}

// logEnd logs the end of an attempt. If the connection broke, the line has what the
// request shares with others, to find out whether it crashed the upstream.
func (g *Gateway) logEnd(r *request, e Ended) {
	inputs := []any{
		"upstream", r.upstream.ID, "attempt", r.attempt,
		"age_ms", g.now.Sub(r.arrived).Milliseconds(), "detail", e.Detail,
		"framing", string(e.Framing), "partial", e.PartialBytes, "connect", string(e.Connect),
		"connection", e.Exchange.Connection, "earlier", e.Exchange.Earlier, "extra", e.Exchange.Extra,
	}
	if e.Exchange.Names != r.req.ID {
		inputs = append(inputs, "names", e.Exchange.Names)
	}
	if e.Result == ResultBroken {
		inputs = append(inputs, "began", r.began, "parts", r.req.Prompt.PartIDs(),
			"content", strconv.FormatUint(r.req.Fingerprint, 16))
	}
	g.logRequest(r, "end", string(e.Result), inputs...)
}

// completed ends a request whose answer has been relayed.
func (g *Gateway) completed(r *request) {
	g.observe(TimeComplete, r)
	delete(g.requests, r.conn)
}

// afterClosed ends a stream that may be whole, if the caller's answer does not
// claim more than that. An answer whose framing would mark it as whole is
// continued at another upstream or aborted.
func (g *Gateway) afterClosed(r *request, e Ended) {
	if e.CallerFraming != FramingClose {
		g.afterRun(r, e)
		return
	}
	g.emit(Finish{Conn: r.conn})
	g.completed(r)
}

// placementOutcome classifies a result for the upstream's health. Connections that fail while
// this node's paths are lost say nothing about it.
func (g *Gateway) placementOutcome(result Result) placement.Outcome {
	switch result {
	case ResultComplete, ResultClosed:
		return placement.Succeeded
	case ResultErrored, ResultMalformed:
		return placement.Errored
	case ResultFull:
		return placement.Full
	case ResultBroken, ResultUnreachable, ResultMisdirected:
		if g.paths.lost {
			return placement.Neutral
		}
		return placement.ConnectionFailed
	default:
		return placement.Neutral
	}
}

// afterWithheld dispatches a request again that was not written because its upstream had asked
// for a pause meanwhile. Nothing has reached an upstream, so it is no retry.
func (g *Gateway) afterWithheld(r *request) {
	g.upstreams.CancelReservation(g.now, r.upstream.ID)
	if r.continuesRun {
		g.continueRun(r, stoppedRun{upstream: r.upstream, from: r.from, ended: Ended{Result: ResultBroken}})
		return
	}
	g.retry(r)
}

// afterNotRun retries a request that an upstream did not run, or refuses it.
func (g *Gateway) afterNotRun(r *request, e Ended) {
	r.notRun++
	r.exclude = append(r.exclude, r.upstream.ID)
	if r.answerSent && !r.route.Resumable {
		g.abort(r, ReasonFailed)
		return
	}
	if g.passOn(r) {
		return
	}
	if g.isRefusedForPauses(r) {
		g.refuseForPauses(r)
		return
	}
	if r.notRun > maxNotRunRetries || !g.allowRetryAfter(r, e) {
		g.refuse(r, ReasonNotRun, g.retryAfter(max(g.resumes(r), minRetryAfter)))
		return
	}
	g.retry(r)
}

// afterRun retries or ends a request that may have run without a good answer.
func (g *Gateway) afterRun(r *request, e Ended) {
	r.runs++
	r.exclude = append(r.exclude, r.upstream.ID)
	retryable := r.route.Retryable() && r.runs < r.maxAttempts()
	if r.answerSent && r.route.Kind != route.KindStreaming {
		retryable = false
	}
	if retryable && !g.isRefused(r) && !g.isRefusedForPauses(r) && g.allowRetry(r, string(e.Result)) {
		g.retry(r)
		return
	}
	g.fail(r, e)
}

// retry puts the request back into the queue. Once its answer has begun, the
// request is not refused for waiting too long; only its deadline applies.
func (g *Gateway) retry(r *request) {
	if r.answerSent {
		r.refuseAt = r.deadline
	}
	if g.upstreams.Count(r.service) <= len(r.exclude) {
		r.exclude = nil
	}
	g.enqueue(r)
}

// allowRetryAfter takes a retry of a request that did not run from the budget. It is given back
// if this node's own paths were the cause.
func (g *Gateway) allowRetryAfter(r *request, e Ended) bool {
	allowed := g.allowRetry(r, string(e.Result))
	if allowed && e.Connect == ConnectFailed {
		budget := g.budget(r.service)
		g.blameProcess(r.process, budget.giveBack)
	}
	return allowed
}

// allowRetry takes a retry from the service's retry budget. It returns false
// if the request's deadline has passed or the budget does not allow the retry.
func (g *Gateway) allowRetry(r *request, cause string) bool {
	if !g.now.Before(r.deadline) {
		return false
	}
	ratio := budgetFraction * g.cfg.Bounds.RetryRatio
	if !g.budget(r.service).take(g.now, ratio, g.retrySlack()) {
		g.count(CountRetry, retryDenied)
		return false
	}
	g.count(CountRetry, cause)
	return true
}

// retrySlack returns this node's part of the retry budget's slack. It is 0 for
// one window after a restart, since the previous process may have spent it.
func (g *Gateway) retrySlack() float64 {
	bounds := g.cfg.Bounds
	if !g.cfg.FirstStart && g.now.Sub(g.started) < bounds.RetryWindow {
		return 0
	}
	return budgetFraction * bounds.RetrySlack / float64(len(g.members)+1)
}

// budgetFraction is the fraction of the retry budget that is used. The rest is
// for requests that upstreams count in another window than this node.
const budgetFraction = 0.8

// fail ends a request that may have run.
func (g *Gateway) fail(r *request, e Ended) {
	switch {
	case e.Result == ResultErrored && !r.answerSent:
		g.emit(RelayError{Conn: r.conn})
		delete(g.requests, r.conn)
	default:
		g.refuse(r, ReasonFailed, 0)
	}
}

// expired ends a request whose deadline has passed.
func (g *Gateway) expired(e Expired) {
	r := g.requests[e.Conn]
	if r == nil {
		return
	}
	r.answerSent = r.answerSent || e.AnswerSent
	switch {
	case r.phase == phaseWaiting && r.runs == 0 && !r.isBetweenRuns():
		g.refuse(r, ReasonTimeout, 0)
	case r.phase == phaseRunning && r.began && r.route.Kind == route.KindStreaming:
		g.abort(r, ReasonDeadlineExceeded)
	default:
		g.markUnresponsive(r)
		g.refuse(r, ReasonDeadlineExceeded, 0)
	}
}

// markUnresponsive counts the attempt as a broken connection for its upstream
// if the answer had not begun by the deadline.
func (g *Gateway) markUnresponsive(r *request) {
	if r.phase == phaseRunning && !r.began && !g.paths.lost {
		g.upstreams.RecordEnd(g.now, r.upstream.ID, r.conn, placement.ConnectionFailed)
	}
}

// handlerEnded ends a request whose handler has ended.
func (g *Gateway) handlerEnded(e HandlerEnded) {
	r := g.requests[e.Conn]
	if r == nil {
		return
	}
	g.logRequest(r, "left", "request handler ended", "gone", e.Disconnected, "phase", string(r.phase),
		"age_ms", g.now.Sub(r.arrived).Milliseconds())
	service := r.service
	g.remove(r)
	g.dispatchQueue(g.queue(service))
}
