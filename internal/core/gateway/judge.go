package gateway

import (
	"time"

	"monsoonlanding/internal/core/rollout"
)

const (
	// slowFactor is how many times longer than usual an answer takes to begin
	// if it counts as a sign of a bad version. A version with empty caches
	// takes up to twice as long.
	slowFactor = 3
	// slowLeast is the time below which no answer counts as slow.
	slowLeast = 100 * time.Millisecond
	// usualDecay is the weight of the latest answer in the usual time.
	usualDecay = 0.05
)

// judgement says how an attempt has counted as a sign of its version.
type judgement string

const (
	judgedNot  judgement = ""
	judgedGood judgement = "good"
	judgedLate judgement = "late"
)

// usual averages the time to the beginning of a route's answers.
type usual struct{ mean time.Duration }

func (u *usual) observe(took time.Duration) {
	if u.mean == 0 {
		u.mean = took
		return
	}
	u.mean += time.Duration(usualDecay * float64(took-u.mean))
}

// evidence returns where the present attempt counts as a sign of its
// upstream's version, nil if no roll-out of the service is open.
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

// lateAfter returns the time after which an answer of the request's route that
// has not begun counts as late: the goal, or far later than usual. It returns 0
// while neither is known.
func (g *Gateway) lateAfter(r *request) time.Duration {
	limit := r.route.Goal
	if u := g.usual[r.route.Name]; u != nil && u.mean > 0 {
		slow := max(slowFactor*u.mean, slowLeast)
		if limit <= 0 || slow < limit {
			limit = slow
		}
	}
	return limit
}

// judgeStart counts an answer's beginning as a sign of its upstream's version.
// Streams last long, and a slow version's for longest, so that their
// ends come too late for a verdict.
func (g *Gateway) judgeStart(r *request) {
	took := r.beganAt.Sub(r.placedAt)
	g.judgeTime(r, took)
	g.judgeGood(r)
	if state := g.rollouts[r.service]; state != nil && g.evidence(r) == &state.newer {
		return
	}
	u := g.usual[r.route.Name]
	if u == nil {
		u = &usual{}
		g.usual[r.route.Name] = u
	}
	u.observe(took)
}

// judgeSilent counts the attempts at a service that have not begun in time.
func (g *Gateway) judgeSilent(service string) {
	for _, r := range g.requests {
		if r.service == service && r.phase == phaseRunning && !r.began && !r.goesOn && r.move == nil {
			g.judgeTime(r, g.now.Sub(r.placedAt))
		}
	}
}

// judgeTime counts an attempt once if it took too long to begin.
func (g *Gateway) judgeTime(r *request, took time.Duration) {
	evidence := g.evidence(r)
	limit := g.lateAfter(r)
	if evidence == nil || r.judged != judgedNot || limit <= 0 || took <= limit {
		return
	}
	evidence.Late++
	r.judged = judgedLate
}

// judgeGood counts an attempt as good unless it has counted before.
func (g *Gateway) judgeGood(r *request) {
	if evidence := g.evidence(r); evidence != nil && r.judged == judgedNot {
		evidence.Good++
		r.judged = judgedGood
	}
}

// judgeEnd counts an attempt's end as a sign of its upstream's version. One that
// began well and failed later counts as failed only.
func (g *Gateway) judgeEnd(r *request, result Result) {
	evidence := g.evidence(r)
	if evidence == nil || result.NotRun() || result == ResultAborted {
		return
	}
	if result == ResultComplete {
		g.judgeGood(r)
		return
	}
	if r.judged == judgedGood && evidence.Good > 0 {
		evidence.Good--
	}
	evidence.Failed++
}
