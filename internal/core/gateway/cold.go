package gateway

import (
	"slices"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

// An upstream that is cold crashes if it gets many more requests a second than it tolerates, from
// all nodes together. With many nodes a node's part of that is less than one request a second, and
// nodes that can't exchange messages must not count on each other. So a few nodes may send to it,
// by the rendezvous order of the roster, each at a pace at which all of them together can't exceed
// what it tolerates in any second.

const (
	// maxColdRate bounds the requests a second that a cold upstream may be configured to
	// tolerate.
	maxColdRate = 1e6
	// maxColdBound bounds the number of requests that one may get in a second.
	maxColdBound = 1e9
	// minColdRate is the number of requests a second that counts instead of one that makes no
	// sense.
	minColdRate = 1
	// coldPaceFraction keeps the interval between a node's requests so long that one that is
	// sent early or on its way for long doesn't fall into the second of the others.
	coldPaceFraction = 0.95
	// coldCostFraction is the time that a request is expected to take longer at a cold
	// upstream, as a fraction of its route's latency goal.
	coldCostFraction = 0.5
)

// coldRate returns the number of requests a second that a cold upstream tolerates.
func coldRate(c *route.Cold) float64 {
	if !(c.PerSecond > 0) {
		return minColdRate
	}
	return min(c.PerSecond, maxColdRate)
}

// isOddCold reports whether an operator's description of cold upstreams makes no sense.
func isOddCold(c *route.Cold) bool {
	return !(c.PerSecond > 0) || c.PerSecond > maxColdRate || c.Duration < 0
}

// logOddCold reports the services whose description of cold upstreams makes no sense.
func (g *Gateway) logOddCold() {
	for _, s := range g.table.Services() {
		if s.Cold != nil && isOddCold(s.Cold) {
			g.log("config", "limit of cold upstreams makes no sense", "service", s.Name, "per_s", s.Cold.PerSecond,
				"cold_ms", s.Cold.Duration.Milliseconds(), "used_per_s", coldRate(s.Cold))
		}
	}
}

// coldOf returns the description of a service's cold upstreams, nil if it has none.
func (g *Gateway) coldOf(service string) *route.Cold {
	s, ok := g.table.Service(service)
	if !ok {
		return nil
	}
	return s.Cold
}

// coldPlan says which part of what a cold upstream tolerates each node may use.
type coldPlan struct {
	// senders is the number of nodes that may send, perSecond the pace of each.
	senders   int
	perSecond float64
}

// planCold divides what a cold upstream tolerates. bound is the number of requests that it may get
// in any second. A node that sends at most p a second from a bucket of one sends at most
// floor(1+p) in any second. With more senders than the rate that is one each; with fewer nodes,
// each stays below its whole part of the bound.
func planCold(nodes int, rate, bound float64) coldPlan {
	senders := int(min(float64(nodes), 1+rate, bound))
	if senders < 1 {
		return coldPlan{}
	}
	inOneSecond := int(bound) / senders
	return coldPlan{senders: senders, perSecond: min(rate/float64(senders), coldPaceFraction*float64(inOneSecond))}
}

// limitsCold reports whether the upstreams of a service tolerate less while they are cold.
func (g *Gateway) limitsCold(service string) bool { return g.coldOf(service) != nil }

// coldShare returns this node's part of what a cold upstream tolerates, in requests a second.
func (g *Gateway) coldShare(upstream, service string) float64 {
	if g.stopping || g.paths.lost || !g.mayUseRosterShares() {
		return 0
	}
	s := g.coldSharers(upstream, service)
	if !slices.Contains(s.nodes, g.cfg.Node) {
		return 0
	}
	return s.perSecond
}

// coldSharers returns the nodes that may send to a cold upstream, and their pace.
func (g *Gateway) coldSharers(upstream, service string) rosterSharers {
	c := g.coldOf(service)
	if c == nil {
		return rosterSharers{}
	}
	return g.roster.sharersOf(g.now, upstream, func() rosterSharers {
		nodes := g.rosterNodes()
		rate := coldRate(c)
		bound := min(rate*g.cfg.Bounds.ColdOver+g.cfg.Bounds.ColdSlack, maxColdBound)
		plan := planCold(len(nodes), rate, bound)
		return rosterSharers{nodes: firstForTask(upstream, nodes)[:plan.senders], perSecond: plan.perSecond}
	})
}

// coldSharersOf returns the nodes that may send to an upstream while it is cold.
func (g *Gateway) coldSharersOf(upstream string) []string {
	u, known := g.upstreams.Get(upstream)
	if !known {
		return nil
	}
	return g.coldSharers(upstream, u.Service).nodes
}

// coldCost returns the time that a request is expected to take longer at a cold upstream. Others
// are preferred as long as they can meet its goal.
func (g *Gateway) coldCost(r *request) time.Duration {
	if g.coldOf(r.service) == nil {
		return 0
	}
	return time.Duration(coldCostFraction * float64(r.route.LatencyGoal))
}

// isRefusedForCold reports whether all upstreams that may take the request are cold, and none has
// room for this node within the time for which the request may wait.
func (g *Gateway) isRefusedForCold(r *request) bool {
	if r.answerSent || g.coldOf(r.service) == nil {
		return false
	}
	in := g.upstreams.ColdServiceWait(g.now, r.service)
	return in > 0 && g.now.Add(in).After(r.refuseAt)
}

// retryAfterCold returns the delay after which a refused caller may find room at a cold upstream,
// base if none is cold or there is room earlier.
func (g *Gateway) retryAfterCold(r *request, base time.Duration) time.Duration {
	if g.coldOf(r.service) == nil {
		return g.retryAfter(base)
	}
	return g.retryAfter(max(g.upstreams.ColdServiceWait(g.now, r.service), base))
}

// recordEntryCold records what the store's entry of an upstream says of its cold time, and reports
// whether that is news for peers.
func (g *Gateway) recordEntryCold(u, before placement.Upstream) (news bool) {
	if g.coldOf(u.Service) != nil && placement.IsOddColdLeft(u.ColdLeft) && u.ColdLeft != before.ColdLeft {
		g.log("cold", "cold time in entry makes no sense", "upstream", u.ID, "left_ms", u.ColdLeft.Milliseconds())
	}
	return g.upstreams.RecordEntryCold(g.now, u)
}

// recordCold records for how long an upstream stays cold by its answer. Peers learn it at once.
func (g *Gateway) recordCold(u placement.Upstream, left time.Duration) {
	if g.upstreams.RecordCold(g.now, u.ID, left) {
		g.logColdChanges("answer")
		g.scheduleBroadcast(0)
	}
}

// coldForPeers returns the upstreams that are cold by what this node has read of them.
func (g *Gateway) coldForPeers() []peer.ColdUpstream {
	var list []peer.ColdUpstream
	for _, c := range g.upstreams.OwnCold(g.now) {
		list = append(list, peer.ColdUpstream{Process: processID(c.Upstream), Left: c.Left})
	}
	return list
}

// mergeCold records what a peer has read of cold upstreams.
func (g *Gateway) mergeCold(s peer.Status) {
	if len(s.Cold) == 0 {
		return
	}
	left := make(map[uint64]time.Duration, len(s.Cold))
	for _, c := range s.Cold {
		left[c.Process] = c.Left
	}
	for _, u := range g.upstreams.All() {
		g.upstreams.MergeCold(g.now, u.ID, left[processID(u)])
	}
	g.logColdChanges(s.Node)
}

// logColdChanges reports the upstreams that this node has begun or ceased to take for cold.
func (g *Gateway) logColdChanges(source string) {
	began, ended := g.upstreams.ColdChanges(g.now)
	for _, c := range began {
		share := g.coldShare(c.Upstream.ID, c.Upstream.Service)
		g.log("cold", "upstream is cold", "upstream", c.Upstream.ID, "zone", c.Upstream.Zone, "left_ms", c.Left.Milliseconds(),
			"source", source, "share_per_s", share)
	}
	for _, c := range ended {
		g.log("cold", "upstream is no longer cold", "upstream", c.Upstream.ID, "zone", c.Upstream.Zone, "sent", c.Sent)
	}
}
