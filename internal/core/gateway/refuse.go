package gateway

import (
	"time"

	"monsoonlanding/internal/core/placement"
)

func (g *Gateway) refuseNew(r *request, reason Reason, wait time.Duration) {
	g.emit(Refuse{Conn: r.conn, Reason: reason, RetryAfter: wait})
	g.count(CountRefusal, string(reason))
	g.logRequest(r, "refuse", string(reason), "config", g.table.Version(), "host", r.req.Host, "path", r.req.Path)
}

// refuse ends a request without the upstream's answer. If part of the answer has
// reached the caller, the answer is aborted. If the request may have run, the
// reason becomes ReasonFailed unless it is ReasonDeadlineExceeded.
func (g *Gateway) refuse(r *request, reason Reason, wait time.Duration) {
	if r.answerSent {
		g.abort(r, reason)
		return
	}
	if r.mayHaveRun() && reason != ReasonDeadlineExceeded {
		reason, wait = ReasonFailed, 0
	}
	g.emit(Refuse{Conn: r.conn, Reason: reason, RetryAfter: wait})
	g.finish(r, reason)
}

// abort ends a request in the middle of its answer.
func (g *Gateway) abort(r *request, reason Reason) {
	g.emit(Abort{Conn: r.conn, Reason: reason})
	g.finish(r, reason)
}

func (g *Gateway) finish(r *request, reason Reason) {
	g.count(CountRefusal, string(reason))
	g.logRequest(r, "refuse", string(reason), "upstream", r.upstream.ID, "attempt", r.attempt,
		"age_ms", g.now.Sub(r.arrived).Milliseconds(), "runs", r.runs, "turned", r.notRun)
	if r.runs == 0 && r.phase == phaseWaiting && !r.isBetweenRuns() {
		g.refundQuota(r)
	}
	g.remove(r)
}

// remove deletes a request from its queue or upstream and from the node.
func (g *Gateway) remove(r *request) {
	switch {
	case r.phase == phaseWaiting:
		g.dequeue(r)
	case r.relay != "":
		g.endRelay(r)
	default:
		g.upstreams.RecordEnd(g.now, r.upstream.ID, r.conn, placement.Neutral)
	}
	g.abandonMove(r)
	delete(g.requests, r.conn)
}
