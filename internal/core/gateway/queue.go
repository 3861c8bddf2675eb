package gateway

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"monsoonlanding/internal/core/team"
)

const (
	// queueCount bounds the waiting requests of a service and rank.
	queueCount = 256
	// queueBytes bounds nothing here: bodies are held by the connections,
	// which are bounded themselves.
	queueBytes = 1 << 40
	// teamShare is the part of a half full queue that one team may take.
	teamShare = 0.5
	// spreadShare is the part of the wait before a return that is drawn, so
	// that refused callers don't return together.
	spreadShare = 0.5
	// returnWait is the least time after which a caller is asked to return.
	returnWait = 300 * time.Millisecond
)

// serviceQueue holds a service's waiting requests by rank.
type serviceQueue struct {
	service string
	ranks   []int
	lines   map[int]*team.Queue
}

func (q *serviceQueue) line(rank int) *team.Queue {
	line := q.lines[rank]
	if line == nil {
		line = team.New(team.Limits{Count: queueCount, Bytes: queueBytes, TeamShare: teamShare})
		q.lines[rank] = line
		q.ranks = append(q.ranks, rank)
		slices.Sort(q.ranks)
	}
	return line
}

func (g *Gateway) queue(service string) *serviceQueue {
	q := g.queues[service]
	if q == nil {
		q = &serviceQueue{service: service, lines: make(map[int]*team.Queue)}
		g.queues[service] = q
	}
	return q
}

// enqueue puts a request into its service's queue and serves the queue.
func (g *Gateway) enqueue(r *request) {
	r.phase = phaseWaiting
	if g.upstreams.Count(r.service) == 0 {
		g.refuse(r, ReasonNoUpstream, g.returnAfter(time.Second))
		return
	}
	q := g.queue(r.service)
	line := q.line(r.rank())
	if refused := line.Admits(r.teamName(), 0); refused != team.RefusedNone {
		g.refuse(r, ReasonOverload, g.returnAfter(returnWait))
		return
	}
	line.Push(team.Item{Key: r.key(), Team: r.teamName(), Weight: 1, Deadline: r.until})
	g.serve(q)
	if g.requests[r.conn] == r && r.phase == phaseWaiting {
		g.waits(r, line.Len())
	}
}

// waits notes that a request could not be dispatched at once.
func (g *Gateway) waits(r *request, inLine int) {
	if !g.now.Before(r.refuseAt) {
		// An upstream turned it away after it had waited for long.
		g.refuse(r, ReasonOverload, g.returnAfter(returnWait))
		return
	}
	g.goals.waited(g.now, r)
	g.logRequest(r, "wait", "no upstream takes it now", "rank", r.rank(), "waiting", inLine,
		"refuse_in_ms", r.refuseAt.Sub(g.now).Milliseconds())
}

func (g *Gateway) dequeue(r *request) {
	if q := g.queues[r.service]; q != nil {
		q.line(r.rank()).Remove(r.teamName(), r.key())
	}
}

// serveQueues dispatches what can go now, in all queues.
func (g *Gateway) serveQueues() {
	for _, s := range g.table.Services() {
		if q := g.queues[s.Name]; q != nil {
			g.serve(q)
		}
	}
}

func (g *Gateway) serve(q *serviceQueue) {
	for _, rank := range q.ranks {
		line := q.lines[rank]
		if line.Len() == 0 {
			continue
		}
		line.Visit(func(it team.Item) bool { return g.dispatch(g.waiting(it)) })
	}
}

// waiting returns the request of a queue's item.
func (g *Gateway) waiting(it team.Item) *request {
	conn, err := strconv.ParseUint(it.Key, 10, 64)
	if err != nil {
		panic("gateway: queue item with a foreign key: " + it.Key)
	}
	return g.requests[conn]
}

// requeue empties a queue after a change of the configuration and puts its
// requests back under their present ranks.
func (g *Gateway) requeue(q *serviceQueue) {
	var waiting []*request
	for _, r := range g.requests {
		if r.phase == phaseWaiting && r.move == nil && r.service == q.service {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, byArrival)
	for _, r := range waiting {
		g.dequeue(r)
		if reason := g.match(r); reason != "" {
			g.emit(Refuse{Conn: r.conn, Reason: reason})
			g.count(CountRefusal, string(reason))
			g.returnQuota(r)
			delete(g.requests, r.conn)
			continue
		}
		g.enqueue(r)
	}
}

// byArrival orders requests by their arrival; those of one moment by their
// connections, so that the same events give the same effects.
func byArrival(a, b *request) int {
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.conn, b.conn))
}

// refuseOverdue gives up on requests that can no longer begin in time.
func (g *Gateway) refuseOverdue() {
	var overdue []*request
	for _, r := range g.requests {
		if r.phase == phaseWaiting && r.move == nil && !g.now.Before(r.refuseAt) {
			overdue = append(overdue, r)
		}
	}
	slices.SortFunc(overdue, byArrival)
	for _, r := range overdue {
		g.refuse(r, ReasonOverload, g.returnAfter(returnWait))
	}
}

// returnAfter draws the time after which a refused caller may return.
func (g *Gateway) returnAfter(base time.Duration) time.Duration {
	return base + time.Duration(spreadShare*g.rng.Float64()*float64(base))
}
