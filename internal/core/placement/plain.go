package placement

import "time"

// plainWait returns the expected wait behind a number of requests at a plain upstream. The
// requests share its slots, so that a request adds its service time divided by them.
func plainWait(running, slots int) time.Duration {
	return time.Duration(running) * plainServiceTime / time.Duration(max(slots, 1))
}

// jitter returns a random addition to the cost of an upstream. It keeps the nodes from all
// choosing the same one of equal upstreams. Plain requests end long before their node has told its
// peers of them: the more nodes share the upstreams, the less a difference in load says.
func (s *Set) jitter(q Query) time.Duration {
	limit := minJitter
	if q.Slots == 0 {
		peers := len(s.usedByPeers)
		limit = max(limit, plainServiceTime*time.Duration(peers)/time.Duration(peers+1))
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}
