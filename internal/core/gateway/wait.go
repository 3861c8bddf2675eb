package gateway

import "time"

const (
	// waitShare is the part of a route's goal that work placed before a request
	// at an engine may take.
	waitShare = 0.85
	// urgentShare is the part of the goal of more urgent requests that they may
	// wait at the engines that are kept for them.
	urgentShare = 0.4
	// leastWaitShare is the part that it may take though the request will be
	// late: prompts that take longer to read than the goal are served as well.
	leastWaitShare = 0.1
	// goalMemory is how long a goal counts after a request with it had to wait.
	goalMemory = time.Second
)

// maxWait returns how long work placed before the request at an engine may
// delay it: no longer than the goal leaves after the time waited here and the
// time to read its own prompt.
func (g *Gateway) maxWait(r *request) time.Duration {
	goal := r.route.Goal
	speed := g.upstreams.Speed(r.service)
	own := speed.ReadTime(r.req.Prompt.Input)
	left := goal - g.now.Sub(r.arrived) - own - speed.FirstTime
	limit := min(time.Duration(waitShare*float64(goal)), left)
	return max(limit, time.Duration(leastWaitShare*float64(goal)))
}

// urgentWait returns how long more urgent requests to the service can wait at
// an engine, 0 if none had to wait here of late.
func (g *Gateway) urgentWait(r *request) time.Duration {
	return time.Duration(urgentShare * float64(g.goals.moreUrgent(g.now, r)))
}

// goals holds the goals of the requests that had to wait of late, by service
// and rank.
type goals map[goalKey]goalSeen

type goalKey struct {
	service string
	rank    int
}

type goalSeen struct {
	goal time.Duration
	at   time.Time
}

// waited takes in the goal of a request that has to wait. A longer one
// replaces a shorter one that has not been seen for goalMemory.
func (s goals) waited(now time.Time, r *request) {
	if r.route.Goal <= 0 {
		return
	}
	key := goalKey{r.service, r.rank()}
	if seen, ok := s[key]; ok && seen.goal < r.route.Goal && now.Sub(seen.at) < goalMemory {
		return
	}
	s[key] = goalSeen{r.route.Goal, now}
}

// moreUrgent returns the least goal of more urgent requests to the same
// service that had to wait of late, 0 if none had to.
func (s goals) moreUrgent(now time.Time, r *request) time.Duration {
	least := time.Duration(0)
	for key, seen := range s {
		if key.service != r.service || key.rank >= r.rank() || now.Sub(seen.at) >= goalMemory {
			continue
		}
		if least == 0 || seen.goal < least {
			least = seen.goal
		}
	}
	return least
}
