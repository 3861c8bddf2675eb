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

// takeQuota spends the request's cost, or returns the time after which to retry.
func (g *Gateway) takeQuota(r *request) (wait time.Duration, ok bool) {
	if r.team == nil || r.team.Rate <= 0 {
		return 0, true
	}
	quotaShare := g.quotaShare()
	q := g.teamQuota(r.team)
	c := cost(r)
	rank := quotaRank(r)
	state := g.quotaAdmission(q, rank, c, quotaShare)
	verdict := state.Decide(rank, c, g.rng.Float64())
	q.latest = state.Admission
	q.recordAsked(g.now, rank, c, verdict)
	if verdict != quota.VerdictAdmitted {
		g.countQuotaRefusal(r, verdict)
		g.logRequest(r, "quota", "quota spent", "cost", c, "left", state.Left, "share", quotaShare,
			"unheard", state.Unreported.Sum(), "reserved", state.Reserve(rank), "verdict", string(verdict),
			"rate", r.team.Rate, "burst", r.team.Burst)
		return g.quotaRetryAfter(r, q, state, quotaShare), false
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

const (
	// retryWaitFraction is the part of its remaining time for which a caller waits to repeat a request.
	retryWaitFraction = 1.0 / 3
	// minRefillFraction is the least fraction of the refill that refused requests of a rank are
	// assumed to get.
	minRefillFraction = 0.05
)

// quotaRetryAfter returns the time after which a refused request may return: once the refill
// covers it, the reserve of more urgent ones and those refused here before.
func (g *Gateway) quotaRetryAfter(r *request, q *teamQuota, a quotaState, share float64) time.Duration {
	rank, c := quotaRank(r), cost(r)
	earliest := q.bucket.Wait(g.now, c+a.Reserve(rank), share)
	refill := q.bucket.Limit().Rate * share
	free := refill
	for i := range rank {
		free -= a.perSecond[i]
	}
	free = max(free, minRefillFraction*refill)
	part := 1 / float64(g.contactCount(quotaSilentIntervals))
	if a.perSecond[rank] > 0 {
		part = max(part, a.own[rank]/a.perSecond[rank])
	}
	longest := time.Duration(retryWaitFraction * float64(r.deadline.Sub(g.now)))
	return q.returns.Schedule(g.now, rank, c, free*part, max(earliest, minRetryAfter), longest)
}

func (g *Gateway) teamQuota(team *route.Team) *teamQuota {
	limit := g.limit(team)
	q := g.quotas[team.Name]
	if q == nil {
		q = &teamQuota{
			name:           team.Name,
			bucket:         quota.New(limit, g.initialLevel(team, limit), g.now),
			askedLately:    average.Rate{Decay: admittedPeriod},
			admittedLately: average.Rate{Decay: admittedPeriod},
		}
		for rank := range q.demand {
			q.demand[rank].Decay = demandDecay
		}
		g.quotas[team.Name] = q
	}
	q.rate, q.burst, q.tokens = team.Rate, team.Burst, team.Unit == route.UnitTokens
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
	return restartFraction * (limit.Burst - team.Burst) * g.quotaShare()
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
// contact: each silent node may spend its own part. A process that has just started leaves their
// parts to those of whose demand it knows nothing, too: all may have started with it.
func (g *Gateway) quotaShare() float64 {
	count := 1
	for _, m := range g.members {
		if g.contactWithin(m, quotaSilentIntervals) && (m.demandKnown || !g.justRestarted()) {
			count++
		}
	}
	return float64(count) / float64(len(g.members)+1)
}

// deductQuota subtracts units that a peer has spent from a team's quota.
func (g *Gateway) deductQuota(name string, units, share float64) {
	for i := range g.table.Teams() {
		team := &g.table.Teams()[i]
		if team.Name != name || team.Rate <= 0 {
			continue
		}
		g.teamQuota(team).bucket.Spend(g.now, units, share)
		return
	}
}
