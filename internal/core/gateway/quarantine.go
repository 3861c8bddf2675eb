package gateway

import (
	"time"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quarantine"
)

const (
	// soundAge is the time after the begin of an answer from which on its request
	// is not suspected of the upstream's crash.
	soundAge = time.Second
	// suspectRetryAfter is the delay after which a caller whose request is refused
	// as suspect may retry.
	suspectRetryAfter = time.Minute
)

// traits returns what a request shares with others and may crash upstreams. The
// last part of a prompt is its own.
func traits(r Request) []quarantine.Trait {
	ids := r.Prompt.PartIDs()
	return quarantine.Traits(ids[:max(len(ids)-1, 0)], r.Fingerprint)
}

// isRefused reports whether a request must not reach an upstream because of its
// traits.
func (g *Gateway) isRefused(r *request) bool {
	return !r.probe && g.quarantine.Refuses(r.traits)
}

// admit decides at a request's arrival whether it may reach an upstream.
func (g *Gateway) admit(r *request) bool {
	admission := g.quarantine.Admit(g.now, r.traits, g.mayProbe)
	r.probe = admission == quarantine.AdmittedAsProbe
	if r.probe {
		g.logRequest(r, "quarantine", "request with a quarantined trait is let through", "traits", r.traits)
	}
	return admission != quarantine.Refused
}

// mayProbe reports whether this node is the one to let a request with a
// quarantined trait through: the first of the nodes in contact, if these are a
// majority.
func (g *Gateway) mayProbe(t quarantine.Trait) bool {
	return 2*g.contactCount(silentIntervals) > len(g.members)+1 && g.isFirstInContact(string(t))
}

// recordEnd records what the end of an attempt says about the request's traits
// and about its upstream.
func (g *Gateway) recordEnd(r *request, e Ended) {
	switch e.Result {
	case ResultComplete, ResultErrored:
		g.recordLife(r)
		g.recordSound(r)
	case ResultFull, ResultRefused:
		g.recordLife(r)
	case ResultBroken:
		if r.move == nil {
			g.recordBreak(r, e)
		}
	}
}

// recordBreak records an attempt that broke as evidence on its request's traits.
func (g *Gateway) recordBreak(r *request, e Ended) {
	sign := quarantine.SignNothing
	switch {
	case r.sound:
		return
	case g.paths.lost:
		return
	case r.began && g.now.Sub(r.beganAt) >= soundAge:
		g.recordSound(r)
		return
	case r.began:
		sign = quarantine.SignEvent
	case e.Framing != "":
		sign = quarantine.SignHead
	}
	r.probe = false
	g.quarantine.RecordCrash(g.now, r.process, r.traits, sign)
	g.blameProcess(r.process, nil)
	g.judge()
}

// recordSound records, once per attempt, that a request's answer has gone on
// beyond its begin.
func (g *Gateway) recordSound(r *request) {
	if r.sound {
		return
	}
	r.sound = true
	g.quarantine.RecordSound(g.now, r.traits, r.probe)
}

// recordLife records that an attempt's upstream answers.
func (g *Gateway) recordLife(r *request) { g.quarantine.RecordLife(g.now, r.process) }

// processID identifies the process of an upstream.
func processID(u placement.Upstream) uint64 { return quarantine.ProcessID(u.ID, u.StartedAt) }

// judge decides which traits are quarantined, and refuses the waiting requests
// that have them.
func (g *Gateway) judge() {
	// A report, an answer to it after the margin and the report of that.
	settle := 3*g.interval() + quarantine.LifeMargin
	changed := g.quarantine.Judge(g.now, settle)
	if len(changed) == 0 {
		return
	}
	quarantined := g.quarantine.Quarantined()
	for _, t := range changed {
		if t.IsContent() {
			continue
		}
		crashes, held := quarantined[t]
		g.log("quarantine", "quarantine changed", "trait", string(t), "quarantined", held, "crashes", crashes)
	}
	g.refuseWaiting(g.isRefused, ReasonSuspect, suspectRetryAfter)
}
