package gateway

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"monsoonlanding/internal/core/team"
)

const (
	// queueCount bounds the waiting requests per service and rank.
	queueCount = 256
	// queueBytes is effectively unlimited: bodies are held by the connections,
	// which have their own bounds.
	queueBytes = 1 << 40
	// teamShare is the fraction of queueCount that one team may occupy while
	// the queue is at least half full.
	teamShare = 0.5
	// retryAfterJitter is the maximum random addition to a retry delay, as a
	// fraction of it, so that refused callers do not retry at the same time.
	retryAfterJitter = 0.5
	// minRetryAfter is the minimum retry delay given to a refused caller.
	minRetryAfter = 300 * time.Millisecond
	// noUpstreamRetryAfter is the retry delay while no upstream accepts new requests.
	noUpstreamRetryAfter = time.Second
)

// serviceQueue holds a service's waiting requests by rank.
type serviceQueue struct {
	service    string
	ranks      []int
	rankQueues map[int]*team.Queue
}

func (q *serviceQueue) rankQueue(rank int) *team.Queue {
	rankQueue := q.rankQueues[rank]
	if rankQueue == nil {
		rankQueue = team.New(team.Limits{Count: queueCount, Bytes: queueBytes, TeamShare: teamShare})
		q.rankQueues[rank] = rankQueue
		q.ranks = append(q.ranks, rank)
		slices.Sort(q.ranks)
	}
	return rankQueue
}

func (g *Gateway) queue(service string) *serviceQueue {
	q := g.queues[service]
	if q == nil {
		q = &serviceQueue{service: service, rankQueues: make(map[int]*team.Queue)}
		g.queues[service] = q
	}
	return q
}

// enqueue adds a request to its service's queue and dispatches from the queue.
func (g *Gateway) enqueue(r *request) {
	if !g.push(r) {
		return
	}
	g.dispatchQueue(g.queue(r.service))
	g.recordWait(r)
}

// push adds a waiting request to its service's queue. It returns false if the request is passed on or
// refused instead. It dispatches nothing, so that it may be called for one request after the other.
func (g *Gateway) push(r *request) bool {
	if !g.isWaiting(r) {
		g.logIllegal(r, "queue")
		return false
	}
	if g.passOn(r) {
		return false
	}
	if g.upstreams.Count(r.service) == 0 {
		g.refuseWithoutUpstream(r)
		return false
	}
	if g.isRefusedForPauses(r) {
		g.refuseForPauses(r)
		return false
	}
	ready, usable := g.upstreams.Usable(g.now, r.service, g.slots(r.service))
	if len(usable) == 0 && !r.answerSent || g.isRefusedForCold(r) {
		// Other nodes have the shares: of limits, of brittle upstreams' slots, or of cold upstreams.
		if !g.passOnToSharer(r, ready) {
			g.refuse(r, ReasonOverload, g.retryAfterCold(r, minRetryAfter))
		}
		return false
	}
	rankQueue := g.queue(r.service).rankQueue(r.rank())
	if refused := rankQueue.CheckAdmission(r.teamName(), 0); refused != team.RefusalNone {
		g.refuse(r, ReasonOverload, g.retryAfter(minRetryAfter))
		return false
	}
	rankQueue.Push(team.Item{Key: r.key(), Team: r.teamName(), Weight: 1, Deadline: r.deadline})
	return true
}

// recordWait records the wait of a request that could not be dispatched at once,
// or refuses the request if it has waited for too long.
func (g *Gateway) recordWait(r *request) {
	if !g.isWaiting(r) {
		return
	}
	if !g.now.Before(r.refuseAt) {
		// An upstream refused the request after a long wait in the queue.
		g.refuse(r, ReasonOverload, g.retryAfter(minRetryAfter))
		return
	}
	g.goals.record(g.now, r)
	g.logRequest(r, "wait", "request queued, no upstream has capacity", "rank", r.rank(), "waiting", g.queue(r.service).rankQueue(r.rank()).Len(),
		"refuse_in_ms", r.refuseAt.Sub(g.now).Milliseconds())
}

func (g *Gateway) dequeue(r *request) {
	if q := g.queues[r.service]; q != nil {
		q.rankQueue(r.rank()).Remove(r.teamName(), r.key())
	}
}

// dispatchQueues dispatches from all queues the requests that the upstreams
// have capacity for.
func (g *Gateway) dispatchQueues() {
	for _, s := range g.table.Services() {
		if q := g.queues[s.Name]; q != nil {
			g.dispatchQueue(q)
		}
	}
}

func (g *Gateway) dispatchQueue(q *serviceQueue) {
	for _, rank := range q.ranks {
		rankQueue := q.rankQueues[rank]
		if rankQueue.Len() == 0 {
			continue
		}
		rankQueue.ServeEach(g.serveQueued)
	}
}

// serveQueued dispatches the request of a queue item, if an upstream has capacity for it. It returns
// true if the item is to leave the queue.
func (g *Gateway) serveQueued(it team.Item) bool {
	r := g.queuedRequest(it)
	if r == nil || !g.isWaiting(r) {
		g.log("guard", "queue holds a request that does not wait", "conn", it.Key)
		return true
	}
	return g.dispatch(r)
}

// queuedRequest returns the request of a queue item, nil if it has ended.
func (g *Gateway) queuedRequest(it team.Item) *request {
	conn, err := strconv.ParseUint(it.Key, 10, 64)
	if err != nil {
		panic("gateway: key of queue item is not a connection number: " + it.Key)
	}
	return g.requests[conn]
}

// requeue empties the queues after a configuration change and adds the requests again with their
// new routes, services and ranks. A dispatch chooses among all requests of a queue, so none is made
// before each request is in its queue again.
func (g *Gateway) requeue() {
	list := g.waiting(func(*request) bool { return true })
	for _, r := range list {
		g.dequeue(r)
	}
	var queued []*request
	for _, r := range list {
		if reason := g.match(r); reason != "" {
			g.refuse(r, reason, 0)
			continue
		}
		if g.push(r) {
			queued = append(queued, r)
		}
	}
	g.dispatchQueues()
	for _, r := range queued {
		g.recordWait(r)
	}
}

// waiting returns the selected ones of the requests that wait for an upstream, in order of
// arrival.
func (g *Gateway) waiting(selected func(*request) bool) []*request {
	var list []*request
	for _, r := range g.requests {
		if g.isWaiting(r) && !r.isBetweenRuns() && selected(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, byArrival)
	return list
}

// byArrival orders requests by arrival, and those that arrived at the same time
// by connection, so that the same events give the same effects.
func byArrival(a, b *request) int {
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.conn, b.conn))
}

// refuseOverdue refuses requests that can no longer begin in time.
func (g *Gateway) refuseOverdue() {
	overdue := func(r *request) bool { return !g.now.Before(r.refuseAt) }
	g.refuseWaiting(overdue, ReasonOverload, minRetryAfter)
}

// refuseWaiting refuses the waiting requests that are selected, with a base delay
// after which to retry.
func (g *Gateway) refuseWaiting(selected func(*request) bool, reason Reason, wait time.Duration) {
	for _, r := range g.waiting(selected) {
		g.refuse(r, reason, g.retryAfter(wait))
	}
}

// retryAfter returns the base delay plus random jitter.
func (g *Gateway) retryAfter(base time.Duration) time.Duration {
	return base + time.Duration(retryAfterJitter*g.rng.Float64()*float64(base))
}
