package gateway

import "time"

const (
	// maxWaitFraction is the maximum wait of a request behind earlier work at an
	// engine, as a fraction of its route's latency goal.
	maxWaitFraction = 0.85
	// urgentWaitFraction is the maximum wait of more urgent requests at the
	// engines reserved for them, as a fraction of their goal.
	urgentWaitFraction = 0.4
	// minWaitFraction is the wait behind earlier work that is always acceptable,
	// as a fraction of the goal, even if the request will be late. Without it,
	// prompts whose prefill takes longer than the goal would not be served.
	minWaitFraction = 0.1
	// goalRetention is the duration for which a goal is retained after a request
	// with that goal had to wait.
	goalRetention = time.Second
)

// maxWait returns the maximum wait of the request behind earlier work at an
// engine: the rest of the goal after the time waited here, the prefill of the
// request's own prompt and the latency of its first event, within the bounds
// that minWaitFraction and maxWaitFraction set.
func (g *Gateway) maxWait(r *request) time.Duration {
	goal := r.route.LatencyGoal
	speed := g.upstreams.Speed(r.service)
	own := speed.PrefillTime(r.req.Prompt.InputTokens)
	left := goal - g.now.Sub(r.arrived) - own - speed.PostPrefillLatency
	limit := min(time.Duration(maxWaitFraction*float64(goal)), left)
	return max(limit, time.Duration(minWaitFraction*float64(goal)))
}

// urgentWait returns the maximum wait at an engine of more urgent requests to
// the service, 0 if none had to wait here recently.
func (g *Gateway) urgentWait(r *request) time.Duration {
	return time.Duration(urgentWaitFraction * float64(g.goals.moreUrgent(g.now, r)))
}

// goals holds the goals of the requests that had to wait recently, by service
// and rank.
type goals map[goalKey]recentGoal

type goalKey struct {
	service string
	rank    int
}

type recentGoal struct {
	goal time.Duration
	at   time.Time
}

// record stores the goal of a request that has to wait. A longer goal replaces
// a shorter one only if the shorter one has not been recorded within
// goalRetention.
func (s goals) record(now time.Time, r *request) {
	if r.route.LatencyGoal <= 0 {
		return
	}
	key := goalKey{r.service, r.rank()}
	if recent, ok := s[key]; ok && recent.goal < r.route.LatencyGoal && now.Sub(recent.at) < goalRetention {
		return
	}
	s[key] = recentGoal{r.route.LatencyGoal, now}
}

// moreUrgent returns the shortest goal of more urgent requests to the same
// service that had to wait recently, 0 if none had to.
func (s goals) moreUrgent(now time.Time, r *request) time.Duration {
	shortest := time.Duration(0)
	for key, recent := range s {
		if key.service != r.service || key.rank >= r.rank() || now.Sub(recent.at) >= goalRetention {
			continue
		}
		if shortest == 0 || recent.goal < shortest {
			shortest = recent.goal
		}
	}
	return shortest
}
