package gateway

import (
	"slices"

	"monsoonlanding/internal/core/placement"
)

// A node that has lost its paths to the upstreams, or has no share of what they take, passes its
// callers' requests on to a node that has. The first node keeps what belongs to the caller: quota, usage, deadline and
// the answer's connection. The second one keeps what belongs to the upstreams: placement,
// their limits and health, retries and evidence.

// maxRelayTries bounds the nodes that a request is passed on to.
const maxRelayTries = 3

// Relay is the node that a request is passed on to. It is zero if the request goes to an
// upstream.
type Relay struct {
	Node    string
	Address string
	// Attempts is the number of upstreams that may run the request there.
	Attempts int
}

// Relayed is set for a request that another node has passed on.
type Relayed struct {
	// From is the node.
	From string
	// Attempts is the number of upstreams that may run the request.
	Attempts int
}

// maxAttempts returns the number of upstreams that may run the request from this node.
func (r *request) maxAttempts() int {
	if r.relayed != nil {
		return min(r.relayed.Attempts, r.route.Attempts)
	}
	return r.route.Attempts
}

// passOn sends the request to a node that has paths to the upstreams, if this node has none
// and there is one.
func (g *Gateway) passOn(r *request) bool {
	if !g.paths.lost {
		return false
	}
	return g.passOnTo(r, g.relayTarget(r, g.mayRelayTo))
}

// passOnToSharer sends the request to a node that has a share of an upstream, if all upstreams
// are shared out and this node has none.
func (g *Gateway) passOnToSharer(r *request, shared []placement.Shared) bool {
	sharers := make(map[string]bool)
	for _, u := range shared {
		for _, node := range g.sharers(u) {
			sharers[node] = true
		}
	}
	return g.passOnTo(r, g.relayTarget(r, func(m *member) bool { return sharers[m.node] && g.mayRelayTo(m) }))
}

// passOnTo sends the request to another node, if there is one and the request does not come
// from another node itself.
func (g *Gateway) passOnTo(r *request, m *member) bool {
	if m == nil || r.relayed != nil {
		return false
	}
	if !g.startAttempt(r) {
		return false
	}
	r.relay, r.upstream = m.node, placement.Upstream{}
	r.relayTries++
	r.began, r.dispatchedAt, r.process, r.move = false, g.now, 0, nil
	r.continuesRun, r.counted, r.paced = false, notCounted, false
	if r.attempt == 1 {
		g.observe(TimeWaited, r)
	}
	g.relaysAt[m.node]++
	attempts := r.route.Attempts - r.runs
	g.emit(Dispatch{
		Conn: r.conn, Attempt: r.attempt, Team: r.teamName(), Deadline: r.deadline,
		Relay:     Relay{Node: m.node, Address: m.address, Attempts: max(attempts, 1)},
		Streaming: r.isStreaming(), Resumable: r.route.Resumable,
	})
	g.logRequest(r, "place", "passed on to another node", "peer", m.node, "attempt", r.attempt,
		"waited_ms", g.now.Sub(r.arrived).Milliseconds(), "config", g.table.Version())
	return true
}

// relayTarget returns the peer to pass the request on to among those selected, nil if there is
// none: the one that this node has passed the fewest requests on to at the moment, in its zone
// if possible.
func (g *Gateway) relayTarget(r *request, selected func(*member) bool) *member {
	if r.relayTries >= maxRelayTries {
		return nil
	}
	var best *member
	better := func(m *member) bool {
		if best == nil {
			return true
		}
		if nearby := m.status.Zone == g.cfg.Zone; nearby != (best.status.Zone == g.cfg.Zone) {
			return nearby
		}
		return g.relaysAt[m.node] < g.relaysAt[best.node]
	}
	list := slices.Clone(g.sortedMembers())
	g.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, m := range list {
		if selected(m) && !slices.Contains(r.relaysTried, m.node) && better(m) {
			best = m
		}
	}
	return best
}

// mayRelayTo reports whether a peer takes requests of other nodes and reaches upstreams.
func (g *Gateway) mayRelayTo(m *member) bool {
	s := m.status
	return g.inContact(m) && s.TakesRelays && s.Ready && s.Reaches && !s.PathsLost
}

// relayBegan processes the begin of the answer to a request that was passed on.
func (g *Gateway) relayBegan(r *request) {
	first := !r.began && r.runs == 0
	r.began, r.beganAt = true, g.now
	if first {
		g.observe(TimeBegan, r)
	}
	if first && r.team != nil {
		g.usage.counter.Add(g.clusterTime(), r.team.Name)
	}
	g.logRequest(r, "begin", "answer began", "peer", r.relay, "attempt", r.attempt, "age_ms", g.now.Sub(r.arrived).Milliseconds())
}

// relayEnded processes the end of an attempt at another node. What it says about upstreams is
// known to that node.
func (g *Gateway) relayEnded(r *request, e Ended) {
	g.count(CountResult, string(e.Result))
	g.logEnd(r, e)
	g.endRelay(r)
	g.endAttempt(r)
	r.answerSent = r.answerSent || e.AnswerSent
	switch {
	case e.Result == ResultComplete:
		g.completed(r)
	case e.Result == ResultAborted:
		delete(g.requests, r.conn)
	case e.Result == ResultClosed && e.CallerFraming == FramingClose:
		g.afterClosed(r, e)
	case e.Result.NotRun():
		g.afterRelayRefused(r, e)
	default:
		// The other node has used the attempts that it was given.
		r.runs = r.route.Attempts
		g.fail(r, e)
	}
	g.dispatchQueue(g.queue(r.service))
}

// endRelay ends the count of the request at the node that it was passed on to.
func (g *Gateway) endRelay(r *request) {
	if r.relay == "" {
		return
	}
	if g.relaysAt[r.relay]--; g.relaysAt[r.relay] <= 0 {
		delete(g.relaysAt, r.relay)
	}
	r.relaysTried = append(r.relaysTried, r.relay)
	r.relay = ""
}

// afterRelayRefused passes a request on to another node, or refuses it. The delay is that of
// the node that refused it.
func (g *Gateway) afterRelayRefused(r *request, e Ended) {
	r.notRun++
	if r.answerSent && !r.route.Resumable {
		g.abort(r, ReasonFailed)
		return
	}
	if g.now.Before(r.deadline) && g.now.Before(r.refuseAt) && g.relayTarget(r, g.mayRelayTo) != nil {
		g.retry(r)
		return
	}
	g.refuse(r, ReasonNotRun, max(e.RetryAfter, g.retryAfter(minRetryAfter)))
}

// arrivedRelayed processes a request that another node has passed on, and that has taken its
// quota there. A node without paths refuses it at once.
func (g *Gateway) arrivedRelayed(r *request) {
	if g.paths.lost {
		g.refuseNew(r, ReasonNoUpstream, g.retryAfter(noUpstreamRetryAfter))
		return
	}
	g.requests[r.conn] = r
	g.enqueue(r)
}
