package gateway

import (
	"math"
	"time"

	"monsoonlanding/internal/core/quota"
	"monsoonlanding/internal/core/route"
)

// cost returns what a request takes of its team's quota.
func cost(r *request) float64 {
	if r.team.Unit != route.UnitTokens {
		return 1
	}
	if tokens := r.req.Prompt.Input + r.req.Prompt.Output; tokens > 0 {
		return float64(tokens)
	}
	return float64(r.team.PlainTokens)
}

// takeQuota spends the request's cost or says how long it takes to fit.
func (g *Gateway) takeQuota(r *request) (wait time.Duration, ok bool) {
	if r.team == nil || r.team.Rate <= 0 {
		return 0, true
	}
	share := g.share()
	q := g.teamQuota(r.team)
	c := cost(r)
	q.ask(g.now, c)
	left := q.bucket.Left(g.now, share)
	unheard := g.unheard(q)
	if left < c || left-c < unheard*g.rng.Float64() {
		g.logRequest(r, "quota", "quota spent", "cost", c, "left", left, "share", share,
			"unheard", unheard, "rate", r.team.Rate, "burst", r.team.Burst)
		return max(q.bucket.Wait(g.now, c, share), returnWait), false
	}
	q.bucket.Spend(c)
	r.cost = c
	q.spent += c
	untold := (q.spent - q.told) * float64(len(g.members)+1)
	if untold > untoldPart*q.bucket.Limit().Burst || q.bucket.Left(g.now, share) < lowLeft*q.bucket.Limit().Burst {
		g.tellSoon(g.interval() / lowDivisor)
	}
	return 0, true
}

// askedMemory is the time over which a team's requests are averaged.
const askedMemory = 500 * time.Millisecond

// unheard estimates what the peers may have spent since they told last, if
// they are asked for as much as this node: near a limit they tell each
// lowDivisor-th part of the interval, on a tick. Where less is left, only as
// many requests are admitted as are likely to fit for all nodes together.
func (g *Gateway) unheard(q *teamQuota) float64 {
	peers := float64(g.heardCount(silence) - 1)
	rate := q.asked / askedMemory.Seconds() * peers
	return rate * (g.interval()/lowDivisor + TickInterval).Seconds()
}

// ask adds a request's cost to what the team asks for, which fades with
// askedMemory.
func (q *teamQuota) ask(now time.Time, cost float64) {
	if passed := now.Sub(q.askedAt); passed > 0 {
		q.asked *= math.Exp(-float64(passed) / float64(askedMemory))
	}
	q.askedAt = now
	q.asked += cost
}

func (g *Gateway) teamQuota(team *route.Team) *teamQuota {
	limit := g.limit(team)
	q := g.quotas[team.Name]
	if q == nil {
		q = &teamQuota{bucket: quota.New(limit, g.firstLevel(team, limit), g.now)}
		g.quotas[team.Name] = q
	}
	if q.bucket.Limit() != limit {
		q.bucket.SetLimit(limit)
	}
	return q
}

// firstLevel returns what a team may spend at once when this process first
// meets it. Other processes, and former ones on this VM, may have spent the
// burst just before; only the tolerance is left for that case.
func (g *Gateway) firstLevel(team *route.Team, limit quota.Limit) float64 {
	if g.cfg.FirstStart || g.now.Sub(g.started) > g.cfg.Bounds.QuotaWindow {
		return limit.Burst
	}
	return restartPart * (limit.Burst - team.Burst)
}

// restartPart is the part of the tolerance in use that a new process may spend
// at once; the rest is for what both sides of a cut spend before they notice.
const restartPart = 0.5

// toleranceUse is the part of the tolerance that one node's view uses; the
// rest is for what other nodes admit before they are heard.
const toleranceUse = 0.5

const (
	// lowLeft is the part of the burst below which nodes tell each other
	// sooner what they have spent.
	lowLeft = 0.3
	// untoldPart is the part of the burst that all nodes may have spent without
	// a word, if they spend alike, before they tell each other sooner.
	untoldPart = 0.1
	// lowDivisor is the part of the usual interval, as a divisor, after which
	// they do; a status to all peers takes a small machine's link for long.
	lowDivisor = 4
)

// limit returns a team's quota with the part of the tolerance that is used,
// so that no request within the quota is refused for a late word of a peer.
func (g *Gateway) limit(team *route.Team) quota.Limit {
	bounds := g.cfg.Bounds
	limit := quota.Limit{Rate: team.Rate, Burst: team.Burst}
	limit.Rate *= 1 + toleranceUse*bounds.QuotaOver
	if team.Unit == route.UnitTokens {
		limit.Burst += toleranceUse * bounds.QuotaSlack
	}
	return limit
}

// returnQuota gives back the cost of a request that did not run.
func (g *Gateway) returnQuota(r *request) {
	if r.team == nil || r.cost == 0 {
		return
	}
	if q := g.quotas[r.team.Name]; q != nil {
		q.bucket.Spend(-r.cost)
		q.spent -= r.cost
	}
	r.cost = 0
}

// quotaSilence is how many intervals without a status make a peer one that may
// spend its own share of the quotas; until then both sides of a cut spend all.
const quotaSilence = 2

// share returns the part of the quotas for which the nodes in contact answer:
// each node that is silent may spend its own share.
func (g *Gateway) share() float64 {
	return float64(g.heardCount(quotaSilence)) / float64(len(g.members)+1)
}

// peerSpent counts against a team's quota what a peer has spent since it last
// told.
func (g *Gateway) peerSpent(name string, units float64) {
	for i := range g.table.Teams() {
		team := &g.table.Teams()[i]
		if team.Name != name || team.Rate <= 0 {
			continue
		}
		g.teamQuota(team).bucket.Spend(units)
		return
	}
}
