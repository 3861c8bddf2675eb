package gateway

import (
	"time"

	"monsoonlanding/internal/core/rollout"
)

const (
	// slowFactor is the multiple of the average begin latency above which an
	// answer counts as late. It is above 2, because a version with empty caches
	// takes up to twice as long.
	slowFactor = 3
	// minSlowLatency is the lower bound of the limit that slowFactor sets.
	minSlowLatency = 100 * time.Millisecond
	// beginLatencyWeight is the weight of the latest answer in the moving
	// average.
	beginLatencyWeight = 0.05
)

// evidenceMark is how an attempt has been counted in the evidence on its
// version.
type evidenceMark string

const (
	notCounted  evidenceMark = ""
	countedGood evidenceMark = "good"
	countedLate evidenceMark = "late"
)

// beginLatency is a moving average of the time until a route's answers begin.
type beginLatency struct{ mean time.Duration }

func (l *beginLatency) observe(took time.Duration) {
	if l.mean == 0 {
		l.mean = took
		return
	}
	l.mean += time.Duration(beginLatencyWeight * float64(took-l.mean))
}

// evidence returns the counts of the version that the request's upstream runs,
// nil if no rollout of the service is open.
func (g *Gateway) evidence(r *request) *rollout.Evidence {
	state := g.rollouts[r.service]
	u, ok := g.upstreams.Get(r.upstream)
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
	if average := g.beginLatency[r.route.Name]; average != nil && average.mean > 0 {
		slow := max(slowFactor*average.mean, minSlowLatency)
		if limit <= 0 || slow < limit {
			limit = slow
		}
	}
	return limit
}

// countStart counts the beginning of an answer as evidence on its upstream's
// version. Streams last long, those of a slow version longest, so their ends
// come too late for a verdict. The average is the baseline for the new
// version, so it does not include the new version's answers.
func (g *Gateway) countStart(r *request) {
	took := r.beganAt.Sub(r.dispatchedAt)
	g.countIfLate(r, took)
	g.countGood(r)
	if state := g.rollouts[r.service]; state != nil && g.evidence(r) == &state.newer {
		return
	}
	average := g.beginLatency[r.route.Name]
	if average == nil {
		average = &beginLatency{}
		g.beginLatency[r.route.Name] = average
	}
	average.observe(took)
}

// countOverdue counts the running attempts at a service whose answers have not
// begun in time.
func (g *Gateway) countOverdue(service string) {
	for _, r := range g.requests {
		if r.service == service && r.phase == phaseRunning && !r.began && !r.continuesRun && r.move == nil {
			g.countIfLate(r, g.now.Sub(r.dispatchedAt))
		}
	}
}

// countIfLate counts an attempt as late, once, if it took too long to begin.
func (g *Gateway) countIfLate(r *request, took time.Duration) {
	evidence := g.evidence(r)
	limit := g.lateAfter(r)
	if evidence == nil || r.counted != notCounted || limit <= 0 || took <= limit {
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
// One that was counted as good and failed later counts as failed only.
func (g *Gateway) countEnd(r *request, result Result) {
	evidence := g.evidence(r)
	if evidence == nil || result.NotRun() || result == ResultAborted {
		return
	}
	if result == ResultComplete || result == ResultClosed {
		g.countGood(r)
		return
	}
	if r.counted == countedGood && evidence.Good > 0 {
		evidence.Good--
	}
	evidence.Failed++
}
