package gateway

import (
	"time"

	"monsoonlanding/internal/core/route"
)

// refusalDelay is the duration after Stop in which new requests are still
// served, because callers keep using a node's address for a few seconds.
const refusalDelay = 3 * time.Second

func (g *Gateway) stop(e Stop) {
	if g.stopping {
		return
	}
	g.stopping = true
	g.stoppingSince = g.now
	if e.Within > 0 {
		g.answersUntil = g.now.Add(e.Within)
	}
	g.log("stop", "stopping", "requests", len(g.requests), "within_ms", e.Within.Milliseconds())
	g.scheduleBroadcast(0)
	g.sendDueStatuses()
}

// refusing reports whether a stopping node refuses new requests.
func (g *Gateway) refusing() bool {
	return g.stopping && g.now.Sub(g.stoppingSince) > refusalDelay
}

// canAnswer reports whether a stopping node takes a new request: its caller must have an answer
// before the process ends. One that may run only once is taken if its whole time fits, a stream if
// its usual length does; the others can be sent again by their callers.
func (g *Gateway) canAnswer(r *request) bool {
	if !g.stopping {
		return true
	}
	if g.refusing() {
		return false
	}
	if g.answersUntil.IsZero() {
		return true
	}
	if r.route.Retryable() {
		return g.now.Before(g.answersUntil)
	}
	end := r.deadline
	if r.route.Kind == route.KindStreaming {
		tokens := min(outputHintFactor*r.req.Prompt.ExpectedOutput(), r.req.Prompt.MaxOutputTokens)
		usual := g.now.Add(r.route.LatencyGoal + time.Duration(tokens)*tokenInterval)
		if usual.Before(end) {
			end = usual
		}
	}
	return !end.After(g.answersUntil)
}

// endWaiting refuses the requests that still wait when the process is about to end.
func (g *Gateway) endWaiting() {
	g.refuseWaiting(func(*request) bool { return true }, ReasonStopping, minRetryAfter)
}

func (g *Gateway) checkDrained() {
	if !g.refusing() || g.drained || len(g.requests) > 0 || g.lease.Busy() {
		return
	}
	if call, ok := g.lease.Release(g.now); ok {
		g.emitStoreCall(call)
		return
	}
	g.drained = true
	g.emit(Drained{})
}
