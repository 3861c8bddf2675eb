package emulator

import (
	"fmt"
	"slices"
	"time"

	"monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/route"
)

// oracle checks the promises from what callers and upstreams see. It knows
// nothing of the nodes' decisions.
type oracle struct {
	bounds gateway.Bounds
	teams  map[string]route.Team
	// runs counts the runs of each submission, refused holds those that were
	// told that they had not run.
	runs    map[string]int
	refused map[string]bool
	// spent holds what teams' requests cost that ran.
	spent map[string][]spending
	// asked holds the submissions for a service, whether or not they reached an
	// upstream, again the arrivals there beyond the first of each.
	asked, again map[string][]time.Time
	broken       []string
}

type spending struct {
	at   time.Time
	cost float64
}

func newOracle(bounds gateway.Bounds, teams []route.Team) *oracle {
	o := &oracle{
		bounds: bounds, teams: make(map[string]route.Team),
		runs: make(map[string]int), refused: make(map[string]bool),
		spent: make(map[string][]spending),
		asked: make(map[string][]time.Time), again: make(map[string][]time.Time),
	}
	for _, t := range teams {
		o.teams[t.Name] = t
	}
	return o
}

func (o *oracle) breaks(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

// submitted notes that a caller asks for a service.
func (o *oracle) submitted(now time.Time, service string) {
	o.asked[service] = append(o.asked[service], now)
}

// arrived notes that a submission reaches an upstream.
func (o *oracle) arrived(now time.Time, service string, attempt int) {
	if attempt > 1 {
		o.again[service] = append(o.again[service], now)
	}
}

// ran notes that an upstream runs a submission.
func (o *oracle) ran(now time.Time, c *caller, r route.Route) {
	id := c.request.ID
	o.runs[id]++
	if o.runs[id] > 1 && !r.Repeatable() {
		o.breaks("%s of route %s runs %d times", id, r.Name, o.runs[id])
	}
	if o.runs[id] > r.Attempts {
		o.breaks("%s of route %s runs %d times, %d are allowed", id, r.Name, o.runs[id], r.Attempts)
	}
	if o.refused[id] {
		o.breaks("%s runs after it was said that it had not", id)
	}
	if o.runs[id] == 1 {
		o.spent[c.team] = append(o.spent[c.team], spending{now, o.cost(c)})
	}
}

func (o *oracle) cost(c *caller) float64 {
	if tokens := c.request.Prompt.Input + c.request.Prompt.Output; tokens > 0 {
		return float64(tokens)
	}
	return float64(o.teams[c.team].PlainTokens)
}

// told notes that a submission was refused. Reasons other than late and failed
// promise that it has not run.
func (o *oracle) told(c *caller, reason gateway.Reason) {
	if reason == gateway.ReasonLate || reason == gateway.ReasonFailed {
		return
	}
	id := c.request.ID
	if o.runs[id] > 0 {
		o.breaks("%s was refused with %s after it had run", id, reason)
	}
	o.refused[id] = true
}

// end checks what holds over windows of time, and that each caller has had an
// end.
func (o *oracle) end(callers []*caller) []string {
	o.checkQuotas()
	o.checkResends()
	for _, c := range callers {
		if !c.done {
			o.breaks("%s was never answered", c.request.ID)
		}
	}
	return o.broken
}

// checkQuotas checks every window that begins with a request.
func (o *oracle) checkQuotas() {
	for name, list := range o.spent {
		team := o.teams[name]
		if team.Rate <= 0 {
			continue
		}
		window := o.bounds.QuotaWindow
		allowed := (team.Rate*window.Seconds()+team.Burst)*(1+o.bounds.QuotaOver) + o.bounds.QuotaSlack
		slices.SortFunc(list, func(a, b spending) int { return a.at.Compare(b.at) })
		sum, from := 0.0, 0
		for _, s := range list {
			sum += s.cost
			for s.at.Sub(list[from].at) > window {
				sum -= list[from].cost
				from++
			}
			if sum > allowed {
				o.breaks("%s ran %.0f tokens in a window, %.0f are allowed", name, sum, allowed)
				break
			}
		}
	}
}

// checkResends checks every window that ends with a resend.
func (o *oracle) checkResends() {
	window := o.bounds.RetryWindow
	for service, list := range o.again {
		for _, end := range list {
			resends := within(list, end, window)
			requests := max(within(o.asked[service], end, window), within(o.asked[service], end.Add(-window), window))
			if allowed := o.bounds.RetryRatio*float64(requests) + o.bounds.RetrySlack; float64(resends) > allowed {
				o.breaks("%s got %d resends in a window, %.0f are allowed", service, resends, allowed)
				break
			}
		}
	}
}

// within counts the times in the window that ends at the time given.
func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.After(end) && end.Sub(t) < window {
			n++
		}
	}
	return n
}
