package emulator

import (
	"slices"
	"strings"
	"time"

	"monsoonlanding/internal/core/placement"
)

// UpstreamLimits are limits of requests a second that upstreams name in their
// answers.
type UpstreamLimits struct {
	// Upstreams holds the IDs of those that name one, PerSecond their limit.
	Upstreams []string
	PerSecond float64
	// From and To are the times between which they name it.
	From, To time.Duration
}

// limitOf returns the limit that an upstream names now.
func (s *simulation) limitOf(u *upstream) placement.RateLimit {
	l := s.pattern.Limits
	at := s.now.Sub(startTime)
	if l == nil || at < l.From || at >= l.To || !slices.Contains(l.Upstreams, strings.TrimRight(u.ID, "'")) {
		return placement.RateLimit{}
	}
	return placement.RateLimit{Named: true, PerSecond: l.PerSecond}
}

// nameLimit returns the limit that an answer of an upstream to a node names.
func (s *simulation) nameLimit(node int, u *upstream) placement.RateLimit {
	limit := s.limitOf(u)
	if limit.Named {
		s.oracle.limit.answered(s.now, node, u.ID)
	}
	return limit
}

const (
	// limitWindow is the window in which an upstream gets at most limitFactor times
	// what its limit allows and limitSlack requests more, from the nodes that have
	// had an answer with it for limitDelay, by the users' rules.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitDelay  = 500 * time.Millisecond
)

// limitOracle records what upstreams with a limit get from which node.
type limitOracle struct {
	limits *UpstreamLimits
	// arrivals holds the requests by upstream, named the time of each node's first
	// answer with its limit.
	arrivals map[string][]limitedArrival
	named    map[string]map[int]time.Time
}

type limitedArrival struct {
	node int
	at   time.Time
}

// arrived records a request that reaches an upstream.
func (o *limitOracle) arrived(now time.Time, node int, id string) {
	o.arrivals[id] = append(o.arrivals[id], limitedArrival{node, now})
}

// answered records an answer with a limit.
func (o *limitOracle) answered(now time.Time, node int, id string) {
	if o.named[id] == nil {
		o.named[id] = make(map[int]time.Time)
	}
	if o.named[id][node].IsZero() {
		o.named[id][node] = now
	}
}

// checkLimits checks each window in which limits are named, from contactTime after
// the first answer with it on.
func (o *oracle) checkLimits() {
	l := &o.limit
	if l.limits == nil {
		return
	}
	allowed := limitFactor*l.limits.PerSecond*limitWindow.Seconds() + limitSlack
	for id, byNode := range l.named {
		first := slices.MinFunc(valuesOf(byNode), time.Time.Compare)
		if most := l.mostInWindow(id, first.Add(contactTime), startTime.Add(l.limits.To)); float64(most) > allowed {
			o.violated("%s with a limit of %.1f a second got %d requests in %v, at most %.0f allowed",
				id, l.limits.PerSecond, most, limitWindow, allowed)
		}
	}
}

// mostInWindow returns the most requests that an upstream got in any window between
// two times from nodes that knew of its limit.
func (o *limitOracle) mostInWindow(id string, from, to time.Time) int {
	var times []time.Time
	for _, a := range o.arrivals[id] {
		named := o.named[id][a.node]
		told := !named.IsZero() && a.at.Sub(named) >= limitDelay
		if told && !a.at.Before(from) && a.at.Before(to) {
			times = append(times, a.at)
		}
	}
	most := 0
	for _, end := range times {
		most = max(most, countWithin(times, end, limitWindow))
	}
	return most
}

func valuesOf(m map[int]time.Time) []time.Time {
	var list []time.Time
	for _, t := range m {
		list = append(list, t)
	}
	return list
}
