package gateway

import "time"

const (
	// maxWaitFraction is the fraction of a route's latency goal that work placed
	// before a request at an engine may take.
	maxWaitFraction = 0.85
	// urgentWaitFraction is the fraction of the goal of more urgent requests
	// that they may wait at the engines that are reserved for them.
	urgentWaitFraction = 0.4
	// minWaitFraction is the fraction of the goal that such work may always
	// take, even if the request will be late, so that prompts whose prefill
	// takes longer than the goal are served as well.
	minWaitFraction = 0.1
	// goalRetention is the duration for which a goal counts after a request
	// with it had to wait.
	goalRetention = time.Second
)

// maxWait returns how long work placed before the request at an engine may
// delay it: what remains of the goal after the time waited here, the prefill of
// the request's own prompt and the latency of its first event, within the bounds
// that minWaitFraction and maxWaitFraction set.
func (g *Gateway) maxWait(r *request) time.Duration {
	goal := r.route.LatencyGoal
	speed := g.upstreams.Speed(r.service)
	own := speed.PrefillTime(r.req.Prompt.InputTokens)
	left := goal - g.now.Sub(r.arrived) - own - speed.PostPrefillLatency
	limit := min(time.Duration(maxWaitFraction*float64(goal)), left)
	return max(limit, time.Duration(minWaitFraction*float64(goal)))
}

// urgentWait returns how long more urgent requests to the service can wait at
// an engine, 0 if none had to wait here recently.
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
// a shorter one only if that has not been recorded for goalRetention.
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
	least := time.Duration(0)
	for key, recent := range s {
		if key.service != r.service || key.rank >= r.rank() || now.Sub(recent.at) >= goalRetention {
			continue
		}
		if least == 0 || recent.goal < least {
			least = recent.goal
		}
	}
	return least
}
