package gateway

import (
	"time"

	"monsoonlanding/internal/core/average"
	"monsoonlanding/internal/core/rollout"
	"monsoonlanding/internal/core/route"
)

const (
	// slowFactor is the multiple of the average begin latency above which an
	// answer counts as late. It is above 2, because a version with empty caches
	// takes up to twice as long.
	slowFactor = 3
	// minSlowLatency is the lower bound of the limit that slowFactor sets.
	minSlowLatency = 100 * time.Millisecond
	// slowPaceFactor is the multiple of the average interval between events above
	// which a stream counts as late. Empty caches don't slow the events down.
	slowPaceFactor = 2
	// minSlowInterval is the lower bound of the limit that slowPaceFactor sets.
	minSlowInterval = 10 * time.Millisecond
	// averageWeight is the weight of the latest answer in the moving averages.
	averageWeight = 0.05
)

// PaceEvents is the number of events at the begin of a stream from which its pace
// is measured.
const PaceEvents = 8

// evidenceMark is how an attempt has been counted in the evidence on its
// version.
type evidenceMark string

const (
	notCounted  evidenceMark = ""
	countedGood evidenceMark = "good"
	countedLate evidenceMark = "late"
)

// routePace holds the usual times of a route's answers.
type routePace struct {
	// begin is the time until an answer begins, interval the time between the
	// events of a stream.
	begin, interval average.Duration
}

// pace returns the usual times of a route.
func (g *Gateway) pace(route string) *routePace {
	p := g.paces[route]
	if p == nil {
		p = &routePace{begin: average.Duration{Weight: averageWeight}, interval: average.Duration{Weight: averageWeight}}
		g.paces[route] = p
	}
	return p
}

// evidence returns the counts of the version that the request's upstream runs,
// nil if no rollout of the service is open.
func (g *Gateway) evidence(r *request) *rollout.Evidence {
	state := g.rollouts[r.service]
	u, ok := g.upstreams.Get(r.upstream.ID)
	switch {
	case state == nil || !ok || !state.order.Open():
		return nil
	case u.Version == state.order.Target:
		return &state.newer
	default:
		return &state.older
	}
}

// lateAfter returns the begin latency above which an answer of the request's
// route counts as late: the route's latency goal or slowFactor times the average,
// whichever is shorter. It returns 0 while neither is known.
func (g *Gateway) lateAfter(r *request) time.Duration {
	limit := r.route.LatencyGoal
	if mean := g.pace(r.route.Name).begin.Value(); mean > 0 {
		slow := max(slowFactor*mean, minSlowLatency)
		if limit <= 0 || slow < limit {
			limit = slow
		}
	}
	return limit
}

// maxInterval returns the interval between events above which a stream of the
// request's route counts as late, 0 while none is known.
func (g *Gateway) maxInterval(r *request) time.Duration {
	mean := g.pace(r.route.Name).interval.Value()
	if mean == 0 {
		return 0
	}
	return max(slowPaceFactor*mean, minSlowInterval)
}

// countStart counts the beginning of an answer as evidence on its upstream's
// version. A stream that begins in time counts as good once its pace is known:
// its end may come too late for a verdict.
func (g *Gateway) countStart(r *request) {
	took := r.beganAt.Sub(r.dispatchedAt)
	g.countIfLate(r, took, g.lateAfter(r))
	if r.route.Kind != route.KindStreaming {
		g.countGood(r)
	}
	if !g.isNewVersion(r) {
		g.pace(r.route.Name).begin.Observe(took)
	}
}

// countPace counts the pace of a stream as evidence on its upstream's version.
func (g *Gateway) countPace(r *request, interval time.Duration) {
	r.paced = true
	g.countIfLate(r, interval, g.maxInterval(r))
	g.countGood(r)
	if !g.isNewVersion(r) {
		g.pace(r.route.Name).interval.Observe(interval)
	}
}

// isNewVersion reports whether the request's upstream runs the new version of a
// rollout. The usual times are the baseline for that version, so they don't
// include its answers.
func (g *Gateway) isNewVersion(r *request) bool {
	state := g.rollouts[r.service]
	return state != nil && g.evidence(r) == &state.newer
}

// countOverdue counts the running attempts at a service whose answers have not
// begun in time, or whose first events have not come in time.
func (g *Gateway) countOverdue(service string) {
	for _, r := range g.requests {
		if r.service != service || r.phase != phaseRunning || r.continuesRun || r.move != nil {
			continue
		}
		switch {
		case !r.began:
			g.countIfLate(r, g.now.Sub(r.dispatchedAt), g.lateAfter(r))
		case !r.paced && r.route.Kind == route.KindStreaming:
			g.countIfLate(r, g.now.Sub(r.beganAt), (PaceEvents-1)*g.maxInterval(r))
		}
	}
}

// countIfLate counts an attempt as late, once, if it took longer than a limit; 0
// means that there is none.
func (g *Gateway) countIfLate(r *request, took, limit time.Duration) {
	evidence := g.evidence(r)
	if evidence == nil || r.counted != notCounted || limit <= 0 || took <= limit || !r.began && g.paths.lost {
		return
	}
	evidence.Late++
	r.counted = countedLate
}

// countGood counts an attempt as good unless it has been counted before.
func (g *Gateway) countGood(r *request) {
	if evidence := g.evidence(r); evidence != nil && r.counted == notCounted {
		evidence.Good++
		r.counted = countedGood
	}
}

// countEnd counts the end of an attempt as evidence on its upstream's version.
// One that was counted as good or late and failed later counts as failed only.
func (g *Gateway) countEnd(r *request, result Result) {
	evidence := g.evidence(r)
	if evidence == nil || result.NotRun() || result == ResultAborted || result == ResultBroken && g.paths.lost {
		return
	}
	if result == ResultComplete || result == ResultClosed {
		g.countGood(r)
		return
	}
	switch {
	case r.counted == countedGood && evidence.Good > 0:
		evidence.Good--
	case r.counted == countedLate && evidence.Late > 0:
		evidence.Late--
	}
	evidence.Failed++
	g.blameProcess(r.process, func() { evidence.Failed-- })
}
