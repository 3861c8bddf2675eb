package gateway

// The phase of a request is changed here only: dispatchTo and passOnTo begin an attempt, the events that end one
// end it, and what is decided then either dispatches the request again, queues it, or deletes it.

// phase is the stage of a request's life cycle.
type phase string

const (
	// phaseWaiting requests are queued, or their stream has ended and they wait
	// for the answer to their move.
	phaseWaiting phase = "waiting"
	phaseRunning phase = "running"
)

// isWaiting reports whether a request that is still known has no open attempt.
func (g *Gateway) isWaiting(r *request) bool {
	return g.requests[r.conn] == r && r.phase == phaseWaiting
}

// startAttempt begins the next attempt of a waiting request. It returns false if an attempt is open:
// a second one would run the request beside the first.
func (g *Gateway) startAttempt(r *request) bool {
	if !g.isWaiting(r) {
		g.logIllegal(r, string(phaseRunning))
		return false
	}
	r.phase = phaseRunning
	r.attempt++
	return true
}

// endAttempt ends the open attempt of a request.
func (g *Gateway) endAttempt(r *request) { r.phase = phaseWaiting }

// mayHaveRun reports whether an attempt of the request may have run, or may still run.
func (r *request) mayHaveRun() bool { return r.runs > 0 || r.phase == phaseRunning }

// logIllegal reports a step, to a phase or into the queue, that the request's phase does not allow and
// that is not taken.
func (g *Gateway) logIllegal(r *request, to string) {
	g.logRequest(r, "guard", "step is not allowed in this phase", "to", to, "phase", string(r.phase), "attempt", r.attempt,
		"known", g.requests[r.conn] == r)
}
