package placement

import "time"

// plainWait returns the expected wait behind this node's own requests and those of others at a
// plain upstream. Requests share the slots, so that each adds its part of them. Its own ones add
// their whole service time: they are known exactly, and are spread evenly for it.
func plainWait(own, others, slots int) time.Duration {
	wait := time.Duration(own) * plainServiceTime
	return wait + time.Duration(others)*plainServiceTime/time.Duration(max(slots, 1))
}

// jitter returns a random addition to the cost of an upstream with a number of slots. It keeps the
// nodes from all choosing the same one of equal upstreams. Plain requests end long before their
// node has told its peers of them: nodes that share fewer slots than they are would all follow a
// small difference in an old picture. The more they are, the more of the range of waits is random.
func (s *Set) jitter(q Query, slots int) time.Duration {
	limit := minJitter
	if nodes := len(s.usedByPeers) + 1; q.Slots == 0 && slots > 0 && slots < nodes {
		longest := plainWait(0, plainCapacity(slots), slots)
		limit = max(limit, scale(longest, 1-float64(slots)/float64(nodes)))
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// plainCapacity returns the number of requests that may be at a plain upstream: as many as run
// there may wait.
func plainCapacity(slots int) int { return 2 * slots }
