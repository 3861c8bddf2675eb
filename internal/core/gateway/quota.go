package gateway

import (
	"time"

	"monsoonlanding/internal/core/average"
	"monsoonlanding/internal/core/quota"
	"monsoonlanding/internal/core/route"
)

// cost returns the number of units that a request takes from its team's quota.
func cost(r *request) float64 {
	if r.team.Unit != route.UnitTokens {
		return 1
	}
	if tokens := r.req.Prompt.InputTokens + r.req.Prompt.MaxOutputTokens; tokens > 0 {
		return float64(tokens)
	}
	return float64(r.team.DefaultTokens)
}

// takeQuota spends the request's cost, or returns the time until the quota
// suffices.
func (g *Gateway) takeQuota(r *request) (wait time.Duration, ok bool) {
	if r.team == nil || r.team.Rate <= 0 {
		return 0, true
	}
	quotaShare := g.quotaShare()
	q := g.teamQuota(r.team)
	c := cost(r)
	left := q.bucket.Available(g.now, quotaShare)
	unreported := g.unreported(q, c)
	q.asked += c
	q.demand.Add(g.now, c)
	if left < c || left-c < unreported*g.rng.Float64() {
		g.logRequest(r, "quota", "quota spent", "cost", c, "left", left, "share", quotaShare,
			"unheard", unreported, "rate", r.team.Rate, "burst", r.team.Burst)
		return max(q.bucket.Wait(g.now, c, quotaShare), minRetryAfter), false
	}
	q.bucket.Spend(g.now, c, quotaShare)
	r.cost = c
	q.spent += c
	unpublished := (q.spent - q.published) * float64(len(g.members)+1)
	if unpublished > unpublishedFraction*q.bucket.Limit().Burst || q.bucket.Available(g.now, quotaShare) < lowQuotaFraction*q.bucket.Limit().Burst {
		g.scheduleBroadcast(g.interval() / lowQuotaDivisor)
	}
	return 0, true
}

// demandDecay is the time constant of the decay of a team's demand.
const demandDecay = 500 * time.Millisecond

// surgeRequests is the number of requests, of the size of the next one, that a team must have
// sent to this node within demandDecay for the node to conclude from its own demand on that of
// its peers. One or two arrive together by chance, and among many nodes each stands for many.
const surgeRequests = 2

// surgeFactor is the factor by which a node's own demand must exceed what its peers report to
// count as a surge that they have not reported yet, and not as chance.
const surgeFactor = 1.5

// unreported estimates the units that the peers have spent since their latest statuses: what
// they have reported that teams ask for lately, or if that is more, what this node is asked
// for itself during a surge that has begun since. Near a limit they send a status on the tick
// after interval/lowQuotaDivisor. If less than the estimate is left, takeQuota admits requests at
// random, only as many as are likely to fit for all nodes together.
func (g *Gateway) unreported(q *teamQuota, cost float64) float64 {
	rate := q.peerDemand.PerSecond(g.now)
	if own := q.demand.PerSecond(g.now); own*demandDecay.Seconds() >= surgeRequests*cost {
		peers := float64(g.contactCount(silentIntervals) - 1)
		if own*peers > surgeFactor*rate {
			rate = own * peers
		}
	}
	return rate * (g.interval()/lowQuotaDivisor + TickInterval).Seconds()
}

func (g *Gateway) teamQuota(team *route.Team) *teamQuota {
	limit := g.limit(team)
	q := g.quotas[team.Name]
	if q == nil {
		q = &teamQuota{
			bucket:     quota.New(limit, g.initialLevel(team, limit), g.now),
			demand:     average.Rate{Decay: demandDecay},
			peerDemand: average.Rate{Decay: demandDecay},
		}
		g.quotas[team.Name] = q
	}
	if q.bucket.Limit() != limit {
		q.bucket.SetLimit(limit)
	}
	return q
}

// initialLevel returns the number of units that a team may spend at once when
// its bucket is created. Other processes, and earlier ones on this VM, may
// just have spent the burst; in that case only part of the tolerance is
// granted.
func (g *Gateway) initialLevel(team *route.Team, limit quota.Limit) float64 {
	if g.cfg.FirstStart || g.now.Sub(g.started) > g.cfg.Bounds.QuotaWindow {
		return limit.Burst
	}
	return restartFraction * (limit.Burst - team.Burst)
}

// restartFraction is the fraction that a new process may spend at once of the
// tolerance that its limit uses. The rest is for requests that both sides of a
// partition admit before they detect it.
const restartFraction = 0.5

// toleranceFraction is the fraction of the tolerance, QuotaOver and
// QuotaSlack, that one node's limit uses. The rest is for requests that other
// nodes admit before their status arrives.
const toleranceFraction = 0.5

const (
	// lowQuotaFraction is the fraction of the burst below which nodes report
	// their spending earlier.
	lowQuotaFraction = 0.3
	// unpublishedFraction is the fraction of the burst above which spending not
	// yet reported to all peers makes nodes report earlier. It counts all nodes,
	// assuming that they spend alike.
	unpublishedFraction = 0.1
	// lowQuotaDivisor divides the status interval to give the delay of these
	// earlier reports. They are not sent at once, because a status to all peers
	// occupies a small VM's link for a long time.
	lowQuotaDivisor = 4
)

// limit returns a team's quota plus the used fraction of the tolerance, so that
// no request within the quota is refused because a peer's report is late.
func (g *Gateway) limit(team *route.Team) quota.Limit {
	bounds := g.cfg.Bounds
	limit := quota.Limit{Rate: team.Rate, Burst: team.Burst}
	limit.Rate *= 1 + toleranceFraction*bounds.QuotaOver
	if team.Unit == route.UnitTokens {
		limit.Burst += toleranceFraction * bounds.QuotaSlack
	}
	return limit
}

// refundQuota returns to the quota the cost of a request that did not run.
func (g *Gateway) refundQuota(r *request) {
	if r.team == nil || r.cost == 0 {
		return
	}
	if q := g.quotas[r.team.Name]; q != nil {
		q.bucket.Spend(g.now, -r.cost, g.quotaShare())
		q.spent -= r.cost
	}
	r.cost = 0
}

// quotaSilentIntervals is the number of intervals without a status after which
// a peer is assumed to spend its own part of each quota. Until then both sides
// of a partition spend the whole quota.
const quotaSilentIntervals = 2

// quotaShare returns the fraction of the quotas that belongs to the nodes in
// contact: each silent node may spend its own part.
func (g *Gateway) quotaShare() float64 {
	return float64(g.contactCount(quotaSilentIntervals)) / float64(len(g.members)+1)
}

// deductQuota subtracts units that a peer has spent from a team's quota. The peer was asked for
// as many, or more.
func (g *Gateway) deductQuota(name string, units, asked, share float64) {
	for i := range g.table.Teams() {
		team := &g.table.Teams()[i]
		if team.Name != name || team.Rate <= 0 {
			continue
		}
		q := g.teamQuota(team)
		q.bucket.Spend(g.now, units, share)
		q.peerDemand.Add(g.now, max(asked, 0))
		return
	}
}
