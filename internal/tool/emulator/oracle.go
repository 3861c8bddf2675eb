package emulator

import (
	"fmt"
	"slices"
	"time"

	"monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/route"
)

// oracle checks the system's guarantees from what callers and upstreams observe.
// It does not see the nodes' decisions.
type oracle struct {
	bounds gateway.Bounds
	teams  map[string]route.Team
	// runs counts the runs of each submission; notRun holds those refused with
	// a reason that guarantees that they have not run.
	runs   map[string]int
	notRun map[string]bool
	// charges holds the costs of each team's requests that ran.
	charges map[string][]charge
	// submissions holds the times of all submissions for a service, whether or
	// not they reached an upstream; retries holds the times at which attempts
	// after the first reached one.
	submissions, retries map[string][]time.Time
	crashing             crashingOracle
	limit                limitOracle
	brittle              brittleOracle
	pause                pauseOracle
	violations           []string
}

// charge is the cost of a request in tokens.
type charge struct {
	at   time.Time
	cost float64
}

func newOracle(bounds gateway.Bounds, teams []route.Team) *oracle {
	o := &oracle{
		bounds: bounds, teams: make(map[string]route.Team),
		runs: make(map[string]int), notRun: make(map[string]bool),
		charges:     make(map[string][]charge),
		submissions: make(map[string][]time.Time), retries: make(map[string][]time.Time),
	}
	for _, t := range teams {
		o.teams[t.Name] = t
	}
	return o
}

// violated records the violation of a guarantee.
func (o *oracle) violated(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// submitted records a caller's submission for a service.
func (o *oracle) submitted(now time.Time, service string) {
	o.submissions[service] = append(o.submissions[service], now)
}

// arrived records that an attempt reaches an upstream.
func (o *oracle) arrived(now time.Time, service string, attempt int) {
	if attempt > 1 {
		o.retries[service] = append(o.retries[service], now)
	}
}

// ran records that an upstream runs a submission.
func (o *oracle) ran(now time.Time, c *caller, r route.Route) {
	id := c.request.ID
	o.runs[id]++
	if o.runs[id] > 1 && !r.Retryable() {
		o.violated("%s of route %s ran %d times, at most 1 allowed", id, r.Name, o.runs[id])
	}
	if o.runs[id] > r.Attempts {
		o.violated("%s of route %s ran %d times, at most %d allowed", id, r.Name, o.runs[id], r.Attempts)
	}
	if o.notRun[id] {
		o.violated("%s ran after a refusal that guarantees that it has not run", id)
	}
	if o.runs[id] == 1 {
		o.charges[c.team] = append(o.charges[c.team], charge{now, o.cost(c)})
	}
}

func (o *oracle) cost(c *caller) float64 {
	if tokens := c.request.Prompt.InputTokens + c.request.Prompt.MaxOutputTokens; tokens > 0 {
		return float64(tokens)
	}
	return float64(o.teams[c.team].DefaultTokens)
}

// refused records that a submission was refused. Reasons other than
// ReasonDeadlineExceeded and ReasonFailed guarantee that it has not run.
func (o *oracle) refused(c *caller, reason gateway.Reason) {
	if reason == gateway.ReasonDeadlineExceeded || reason == gateway.ReasonFailed {
		return
	}
	id := c.request.ID
	if o.runs[id] > 0 {
		o.violated("%s was refused with %s after it had run", id, reason)
	}
	o.notRun[id] = true
}

// end checks the quotas and the retry budget, and that each caller has an
// outcome. It returns the violations of the whole run.
func (o *oracle) end(callers []*caller) []string {
	o.checkQuotas()
	o.checkRetryBudget()
	o.checkCrashing()
	o.checkLimits()
	o.checkBrittle()
	for _, c := range callers {
		if !c.done {
			o.violated("%s was neither answered, refused nor aborted", c.request.ID)
		}
	}
	return o.violations
}

// checkQuotas checks the usage in every quota window that ends with a request.
func (o *oracle) checkQuotas() {
	for name, charged := range o.charges {
		team := o.teams[name]
		if team.Rate <= 0 {
			continue
		}
		window := o.bounds.QuotaWindow
		allowed := (team.Rate*window.Seconds()+team.Burst)*(1+o.bounds.QuotaOver) + o.bounds.QuotaSlack
		slices.SortFunc(charged, func(a, b charge) int { return a.at.Compare(b.at) })
		sum, from := 0.0, 0
		for _, c := range charged {
			sum += c.cost
			for c.at.Sub(charged[from].at) > window {
				sum -= charged[from].cost
				from++
			}
			if sum > allowed {
				o.violated("%s used %.0f tokens within the quota window, at most %.0f allowed", name, sum, allowed)
				break
			}
		}
	}
}

// checkRetryBudget checks the retries in every window that ends with a retry.
// The budget grows with the requests of this window or of the one before,
// whichever has more.
func (o *oracle) checkRetryBudget() {
	window := o.bounds.RetryWindow
	for service, times := range o.retries {
		for _, end := range times {
			retried := countWithin(times, end, window)
			requests := max(countWithin(o.submissions[service], end, window), countWithin(o.submissions[service], end.Add(-window), window))
			if allowed := o.bounds.RetryRatio*float64(requests) + o.bounds.RetrySlack; float64(retried) > allowed {
				o.violated("service %s received %d retries within the retry window, at most %.0f allowed", service, retried, allowed)
				break
			}
		}
	}
}

// countWithin returns the number of times in the window that ends at end.
func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.After(end) && end.Sub(t) < window {
			n++
		}
	}
	return n
}
