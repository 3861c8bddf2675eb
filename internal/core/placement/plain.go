package placement

import "time"

// plainWait returns the expected wait behind this node's own requests and those of others at a
// plain upstream. Requests share the slots, so that each adds its part of them. Its own ones add
// their whole service time: they are known exactly, and are spread evenly for it.
func plainWait(own, others, slots int) time.Duration {
	wait := time.Duration(own) * plainServiceTime
	return wait + time.Duration(others)*plainServiceTime/time.Duration(max(slots, 1))
}

// maxJitter returns the bound of the random addition to costs: at an engine twice the wait that peers'
// unreported requests are expected to cause, elsewhere minJitter.
func (s *Set) maxJitter(now time.Time, q Query) time.Duration {
	if q.Slots == 0 {
		return minJitter
	}
	return max(minJitter, 2*s.uncertainty(now, q.Service, q.Slots))
}

// jitter returns a random addition to the cost of an upstream, up to limit, so that nodes don't all
// choose the same one of equal upstreams. Plain requests end before their node has reported them.
// So at a plain upstream with fewer slots than there are nodes the bound grows, with the number of
// nodes, towards the longest wait that can occur there.
func (s *Set) jitter(q Query, slots int, limit time.Duration) time.Duration {
	if nodes := len(s.usedByPeers) + 1; q.Slots == 0 && slots > 0 && slots < nodes {
		longest := plainWait(0, plainCapacity(slots), slots)
		limit = max(limit, scale(longest, 1-float64(slots)/float64(nodes)))
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// plainCapacity returns the number of requests that may be at a plain upstream: as many as run
// there may wait.
func plainCapacity(slots int) int { return 2 * slots }
