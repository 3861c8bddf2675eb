package gateway

import (
	"maps"
	"slices"
	"time"

	"monsoonlanding/internal/core/placement"
)

// stoppedRun is a run that has been stopped to continue from its KV cache at an upstream.
type stoppedRun struct {
	upstream placement.Upstream
	from     KVCache
	// ended is the end of its stream.
	ended Ended
}

// mayContinueAt reports whether a stopped run may continue at an upstream: it takes new requests,
// or has left so recently that it still serves.
func (g *Gateway) mayContinueAt(now time.Time, u placement.Upstream) bool {
	if g.upstreams.TakesNew(u) {
		return true
	}
	left, known := g.leftAt(u)
	return known && now.Before(left.Add(defaultDrainTime-stopMargin)) &&
		(u.StopsAt.IsZero() || now.Before(u.StopsAt.Add(-stopMargin)))
}

// leftAt returns when the node learned that a process of an upstream leaves or is gone. It reports
// false if it did not.
func (g *Gateway) leftAt(u placement.Upstream) (time.Time, bool) {
	if listed, ok := g.upstreams.Get(u.ID); ok && processID(listed) == processID(u) {
		left, known := g.drainingSince[u.ID]
		return left, known
	}
	left, known := g.departed[processID(u)]
	return left, known
}

// continueRun continues a stopped run. If the upstream has asked for a pause, or is cold and has no
// room, a stream that can be resumed elsewhere is; another one waits if it may be served then.
// None waits for an evacuated zone, which may be so for hours, and none continues at an upstream that
// left some time ago.
func (g *Gateway) continueRun(r *request, run stoppedRun) {
	coldWait := g.upstreams.ColdWait(g.now, run.upstream.ID)
	left := max(g.upstreams.PauseLeft(g.now, run.upstream), coldWait)
	switch {
	case !g.mayContinueAt(g.now, run.upstream):
		r.stopped = nil
		g.logRequest(r, "move", "stopped run can't continue, its upstream has left", "upstream", run.upstream.ID)
		g.afterRun(r, run.ended)
	case g.upstreams.Admits(g.now, run.upstream) && coldWait == 0:
		r.stopped = nil
		g.dispatchTo(r, run.upstream, run.from)
	case r.route.Retryable() || g.isEvacuated(run.upstream) || !g.now.Add(left).Before(r.deadline):
		r.stopped = nil
		g.afterRun(r, run.ended)
	default:
		r.stopped = &run
		g.logRequest(r, "wait", "stopped run waits until its upstream takes requests", "upstream", run.upstream.ID, "left_ms", left.Milliseconds())
	}
}

// continueAfterPauses moves runs and continues stopped ones whose upstreams' pauses are over.
func (g *Gateway) continueAfterPauses() {
	for _, id := range slices.Sorted(maps.Keys(g.moveLater)) {
		delete(g.moveLater, id)
		if u, known := g.upstreams.Get(id); known {
			g.moveRuns(u)
		}
	}
	var stopped []*request
	for _, r := range g.requests {
		if r.stopped != nil {
			stopped = append(stopped, r)
		}
	}
	slices.SortFunc(stopped, byArrival)
	for _, r := range stopped {
		u := r.stopped.upstream
		if g.isEvacuated(u) || !g.mayContinueAt(g.now, u) || g.upstreams.Admits(g.now, u) && g.upstreams.ColdWait(g.now, u.ID) == 0 {
			g.continueRun(r, *r.stopped)
		}
	}
}

// endOverdueRuns ends the requests that are between two runs when their time is over: no handler
// watches their deadlines.
func (g *Gateway) endOverdueRuns() {
	var overdue []*request
	for _, r := range g.requests {
		if g.isWaiting(r) && r.isBetweenRuns() && !g.now.Before(r.deadline) {
			overdue = append(overdue, r)
		}
	}
	slices.SortFunc(overdue, byArrival)
	for _, r := range overdue {
		g.refuse(r, ReasonDeadlineExceeded, 0)
	}
}

// afterStream ends or retries a request whose stream ended although its move did
// not stop it.
func (g *Gateway) afterStream(r *request, e Ended) {
	if e.Result == ResultClosed {
		g.afterClosed(r, e)
		return
	}
	g.afterRun(r, e)
}
