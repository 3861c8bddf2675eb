package gateway

import (
	"strconv"
	"time"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quarantine"
	"monsoonlanding/internal/core/route"
)

// request is the node's state of a caller's request.
type request struct {
	conn    uint64
	req     Request
	route   *route.Route
	team    *route.Team
	service string
	phase   phase
	arrived time.Time
	// deadline is when the caller's or the route's timeout ends, whichever is
	// first.
	deadline time.Time
	// refuseAt is when the request is refused if it is still waiting.
	refuseAt time.Time
	// cost is the number of units taken from the team's quota.
	cost float64

	attempt int
	// upstream is the entry of the upstream of the current attempt, zero for one at another
	// node.
	upstream     placement.Upstream
	began        bool
	beganAt      time.Time
	dispatchedAt time.Time
	// continuesRun is set if the current attempt continues from the KV cache of
	// a stopped run, from.
	continuesRun bool
	from         KVCache
	counted      evidenceMark
	// versionDraw is the random number that decides on the version for the next attempt
	// during a rollout, 0 if none has been drawn.
	versionDraw float64
	// paced is set once the pace of the current attempt's stream is known.
	paced bool
	// move is the transfer of the current attempt to another engine, nil if
	// there is none.
	move      *move
	moveTries int
	// stopped is the run that waits to be continued, nil if there is none.
	stopped *stoppedRun
	// runs counts the failed attempts that may have run, notRun those that did
	// not run. An attempt whose run continues in the next one counts in neither.
	runs, notRun int
	exclude      []string
	// relayed is set if another node has passed the request on. relay is the node that this
	// node has passed it on to, empty if it is not at one; relaysTried and relayTries are
	// those that had it.
	relayed     *Relayed
	relay       string
	relaysTried []string
	relayTries  int
	// answerSent is set once part of an answer has reached the caller.
	answerSent bool
	// traits are those by which the request may crash upstreams. probe is set if it
	// was let through although one of them is quarantined.
	traits []quarantine.Trait
	probe  bool
	// process identifies the upstream's process of the current attempt, whose
	// answer has gone on beyond its begin if sound is set.
	process uint64
	sound   bool
}

// isBetweenRuns reports whether a run of the request has been stopped, or is being, to continue
// at another engine.
func (r *request) isBetweenRuns() bool { return r.move != nil || r.stopped != nil }

// urgency returns the request's priority at an upstream; 0 is the most urgent.
// A team's priority takes precedence over the route's.
func (r *request) urgency() int {
	if r.team != nil && r.team.HasPriority {
		return min(r.team.Priority, lowestUrgency)
	}
	return min(r.route.Priority, lowestUrgency)
}

// rank orders waiting requests; 0 is the first. Requests of equal urgency are
// ranked by their routes' priorities.
func (r *request) rank() int {
	return r.urgency()*(lowestUrgency+1) + min(r.route.Priority, lowestUrgency)
}

func (r *request) teamName() string {
	if r.team == nil {
		return ""
	}
	return r.team.Name
}

func (r *request) isStreaming() bool { return r.route.Kind == route.KindStreaming }

func (r *request) key() string { return strconv.FormatUint(r.conn, 10) }

const (
	// queueWaitFraction is the fraction of a route's latency goal for which a
	// request may wait before it is refused.
	queueWaitFraction = 0.5
	// defaultQueueWait bounds the wait if the route has no latency goal.
	defaultQueueWait = 500 * time.Millisecond
	// defaultTimeout applies if neither caller nor route sets one.
	defaultTimeout = 15 * time.Second
	// maxNotRunRetries bounds the retries of a request that upstreams refused.
	maxNotRunRetries = 2
)

func (g *Gateway) arrived(e Arrived) {
	r := &request{conn: e.Conn, req: e.Request, relayed: e.Relayed, arrived: g.now, phase: phaseWaiting, traits: traits(e.Request)}
	if reason := g.match(r); reason != "" {
		g.refuseNew(r, reason, 0)
		return
	}
	g.setDeadlines(r)
	if !g.canAnswer(r) {
		g.refuseNew(r, ReasonStopping, 0)
		return
	}
	if !g.admit(r) {
		g.refuseNew(r, ReasonSuspect, suspectRetryAfter)
		return
	}
	if r.relayed != nil {
		g.arrivedRelayed(r)
		return
	}
	if wait, ok := g.takeQuota(r); !ok {
		g.refuseNew(r, ReasonQuota, wait)
		return
	}
	g.requests[r.conn] = r
	g.budget(r.service).request(g.now)
	g.addWork(r)
	g.enqueue(r)
	g.sendDueStatuses()
}

// CheckHead returns the reason for which a request would be refused by its head alone, empty if there
// is none. It records nothing.
func (g *Gateway) CheckHead(r Request) Reason {
	if reason := g.match(&request{req: r}); reason != "" {
		return reason
	}
	if g.refusing() {
		return ReasonStopping
	}
	return ""
}

// match sets the request's route, team and service. It returns the reason to
// refuse the request, empty if there is none.
func (g *Gateway) match(r *request) Reason {
	if g.table.Version() == 0 || !g.evacuationsKnown() {
		return ReasonNoConfig
	}
	found, ok := g.table.Match(r.req.Host, r.req.Path)
	if !ok {
		return ReasonNoRoute
	}
	r.route = found
	if g.table.RequiresKeys() && !found.Public {
		team, known := g.table.Team(r.req.Key)
		if !known {
			return ReasonBadKey
		}
		r.team = team
	}
	r.service = g.chooseService(found)
	return ""
}

// chooseService picks one of the route's services at random by weight.
func (g *Gateway) chooseService(r *route.Route) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	n := g.rng.IntN(total)
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return r.Targets[0].Service
}

func (g *Gateway) setDeadlines(r *request) {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.req.CallerTimeout > 0 {
		timeout = min(timeout, r.req.CallerTimeout)
	}
	r.deadline = g.now.Add(timeout)
	queueWait := defaultQueueWait
	if r.route.LatencyGoal > 0 {
		queueWait = time.Duration(queueWaitFraction * float64(r.route.LatencyGoal))
	}
	r.refuseAt = g.now.Add(min(queueWait, timeout))
}

func (g *Gateway) budget(service string) *retryBudget {
	b := g.retryBudgets[service]
	if b == nil {
		b = newRetryBudget(g.cfg.Bounds.RetryWindow)
		g.retryBudgets[service] = b
	}
	return b
}

func (g *Gateway) logRequest(r *request, step, message string, inputs ...any) {
	team := ""
	if r.route != nil {
		team = r.teamName()
		inputs = append(inputs, "route", r.route.Name, "team", team)
	}
	g.emit(Log{Step: step, Conn: r.conn, Request: r.req.ID, Message: message, Inputs: inputs})
}
