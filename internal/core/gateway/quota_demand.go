package gateway

import (
	"math"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/quota"
)

const (
	// demandDecay is the time constant of the decay of a team's demand.
	demandDecay = 500 * time.Millisecond
	// maxDemandPeriod bounds the time constant of the mean of peers' demand.
	maxDemandPeriod = 500 * time.Millisecond
	// minDemand is the demand in units a second below which a peer counts as asked for nothing.
	minDemand = 1
	// reserveTime is the time for which more urgent requests of a team have a reserve. It bridges
	// the irregular arrival of requests that the refill covers on the mean.
	reserveTime = 150 * time.Millisecond
	// nearQuotaFraction is the fraction of the burst below which a team counts as near its quota.
	nearQuotaFraction = 0.75
)

// Fractions of the tolerance beyond limit that a team may spend at once. The rest is for what
// nodes admit before they learn of a cut or a surge.
const (
	overdraftFraction = 0.4
	debtFraction      = 0.2
)

// peerDemand is what a team asks a peer for.
type peerDemand struct {
	perSecond quota.Demand
	// ranked is set if the peer has divided its demand by rank.
	ranked bool
}

// quotaRank returns the rank of a request among those of its team.
func quotaRank(r *request) int { return min(max(r.route.Priority, 0), quota.RankCount-1) }

// quotaState is what a decision on a request is made from: what this node and all nodes in contact
// are asked for by rank.
type quotaState struct {
	quota.Admission
	own, perSecond quota.Demand
}

// quotaAdmission returns what a decision on a request of a rank is made from.
func (g *Gateway) quotaAdmission(q *teamQuota, rank int, cost, share float64) quotaState {
	overdraft, debt := g.quotaOverdraft(q)
	own := q.demandPerSecond(g.now)
	peers := g.sumPeersDemand(q.name, own, rank)
	a := quotaState{own: own, Admission: quota.Admission{
		Left: q.bucket.Available(g.now, share), Overdraft: overdraft * share, Debt: debt * share, Usual: q.usualCost(),
		Unreported: peers.unreported(own, max(cost, q.usualCost()), g.demandPeriod()),
	}}
	for i := range own {
		a.perSecond[i] = own[i] + peers.fresh[i] + peers.stale[i]
		a.Expected[i] = a.perSecond[i] * reserveTime.Seconds()
	}
	return a
}

// demandSums is what the peers in contact report to be asked for by a team, in units a second.
type demandSums struct {
	// fresh sums up the peers with fresh statuses, stale the others.
	fresh, stale           quota.Demand
	freshCount, staleCount int
	// freshUnits and staleUnits are what they have been asked for since, if their demand goes on;
	// staleAge sums up the ages of the stale statuses.
	freshUnits, staleUnits quota.Demand
	staleAge               time.Duration
}

// sumPeersDemand sums up the peers' demand. What a peer has not divided by rank is divided as this
// node's own.
func (g *Gateway) sumPeersDemand(team string, own quota.Demand, rank int) *demandSums {
	var p demandSums
	for _, m := range g.sortedMembers() {
		if g.contactWithin(m, quotaSilentIntervals) {
			p.add(m.quotaDemand[team].byRank(own, rank), g.now.Sub(m.lastContact), g.maxFreshAge())
		}
	}
	return &p
}

// maxFreshAge returns the greatest age of a status that a node near a quota has sent early.
func (g *Gateway) maxFreshAge() time.Duration { return g.interval()/lowQuotaDivisor + TickInterval }

// add adds the demand of a peer with a status of the given age.
func (p *demandSums) add(perSecond quota.Demand, age, fresh time.Duration) {
	sum, units := &p.fresh, &p.freshUnits
	if age > fresh {
		sum, units = &p.stale, &p.staleUnits
		p.staleCount++
		p.staleAge += age + TickInterval
	} else {
		p.freshCount++
	}
	for i, d := range perSecond {
		sum[i] += d
		units[i] += d * (age + TickInterval).Seconds()
	}
}

const (
	// surgeFactor is the factor by which the latest demand must exceed that in stale statuses to
	// count as a surge that has begun since, and surgeRequests the number of usual requests that
	// must show it. Less may be chance: among many nodes each request stands for many.
	surgeFactor   = 1.5
	surgeRequests = 4
)

// unreported returns what the peers have probably been asked for since their latest statuses.
// During a surge those with stale ones are assumed to be asked for as much as this node and the
// others.
func (p *demandSums) unreported(own quota.Demand, usualCost float64, period time.Duration) quota.Demand {
	units := p.freshUnits
	surge := p.surge(own, usualCost, period)
	mean := p.recentMean(own)
	for i := range units {
		if surge {
			units[i] += mean[i] * p.staleAge.Seconds()
		} else {
			units[i] += p.staleUnits[i]
		}
	}
	return units
}

// surge reports whether this node and the peers with fresh statuses are asked for more than the
// others have reported.
func (p *demandSums) surge(own quota.Demand, usualCost float64, period time.Duration) bool {
	shown := p.fresh.Sum()*period.Seconds() + own.Sum()*demandDecay.Seconds()
	recent := p.recentMean(own).Sum() * float64(p.staleCount)
	return shown >= surgeRequests*usualCost && recent > surgeFactor*p.stale.Sum()
}

// recentMean returns the mean demand of this node and the peers with fresh statuses.
func (p *demandSums) recentMean(own quota.Demand) quota.Demand {
	mean := own
	for i := range mean {
		mean[i] = (p.fresh[i] + own[i]) / float64(p.freshCount+1)
	}
	return mean
}

// byRank returns the demand by rank. One that the peer has not divided is divided as this node's
// own, or counts for the given rank if there is none.
func (d peerDemand) byRank(own quota.Demand, rank int) quota.Demand {
	if d.ranked {
		return d.perSecond
	}
	total := d.perSecond[0]
	var divided quota.Demand
	sum := own.Sum()
	if sum <= 0 {
		divided[rank] = total
		return divided
	}
	for i := range own {
		divided[i] = total * own[i] / sum
	}
	return divided
}

// quotaOverdraft returns the parts of the tolerance that a team may spend at once.
func (g *Gateway) quotaOverdraft(q *teamQuota) (overdraft, debt float64) {
	window := g.cfg.Bounds.QuotaWindow.Seconds()
	bound := (q.rate*window + q.burst) * (1 + g.cfg.Bounds.QuotaOver)
	if q.tokens {
		bound += g.cfg.Bounds.QuotaSlack
	}
	limit := q.bucket.Limit()
	// The bucket holds no debt beyond its burst, so more than that would be no limit.
	rest := min(max(bound-limit.Rate*window-limit.Burst, 0), limit.Burst)
	if g.justRestarted() {
		return 0, debtFraction * rest
	}
	return overdraftFraction * rest, debtFraction * rest
}

// justRestarted reports whether this process may not know yet what others are asked for, on a VM
// on which an earlier one ran. All nodes may have restarted with it.
func (g *Gateway) justRestarted() bool {
	return !g.cfg.FirstStart && g.now.Sub(g.started) < quotaSilentIntervals*g.interval()
}

// demandPerSecond returns what this node is asked for by rank.
func (q *teamQuota) demandPerSecond(now time.Time) quota.Demand {
	var d quota.Demand
	for rank := range q.demand {
		d[rank] = q.demand[rank].PerSecond(now)
	}
	return d
}

// teamQuotaSpent returns what a status says of a team's quota.
func (g *Gateway) teamQuotaSpent(name string, q *teamQuota) peer.TeamQuotaSpent {
	s := peer.TeamQuotaSpent{Team: name, Units: q.spent, Asked: q.asked}
	if q.bucket.Level() < nearQuotaFraction*q.bucket.Limit().Burst {
		s.RankPercent = rankPercent(q.demandPerSecond(g.now))
	}
	return s
}

// rankPercent returns the percentage of each rank up to the last that asks for anything.
func rankPercent(d quota.Demand) []int {
	total := d.Sum()
	if total <= 0 {
		return nil
	}
	var list []int
	for rank, perSecond := range d {
		if percent := int(100*perSecond/total + 0.5); percent > 0 {
			list = append(list, make([]int, rank-len(list))...)
			list = append(list, percent)
		}
	}
	return list
}

// deductPeerSpending subtracts from the quotas the units that the peer has spent since its last
// status, takes back what was charged for it while it was silent, and notes what it is asked for.
// A new process counts from zero.
func (g *Gateway) deductPeerSpending(m *member, s peer.Status) {
	share, first := g.quotaShare(), m.lastContact.IsZero()
	if s.Start != m.status.Start {
		// The former process will not report what it was charged for.
		m.quotaCharged = nil
	}
	g.refundSilence(m, share)
	before := m.spendingOf(s.Start)
	demand := make(map[string]peerDemand)
	for _, spent := range s.QuotaSpent {
		units, asked, ok := spentSince(spent, before[spent.Team])
		if !ok {
			continue
		}
		if first {
			units = min(units, g.firstSpending(spent.Team))
		}
		if units != 0 {
			g.deductQuota(spent.Team, units, share)
		}
		if d := m.quotaDemand[spent.Team]; !first && (asked > 0 || d.perSecond.Sum() > minDemand) {
			perSecond := g.smoothDemand(d.perSecond.Sum(), asked, g.now.Sub(m.lastContact))
			demand[spent.Team] = newPeerDemand(perSecond, spent.RankPercent)
		}
	}
	m.quotaDemand = demand
	m.demandKnown = s.Start == m.status.Start || g.startedLongBefore(s)
}

// spendingOf returns what the latest status of a process reports as spent, by team.
func (m *member) spendingOf(start int64) map[string]peer.TeamQuotaSpent {
	spending := make(map[string]peer.TeamQuotaSpent)
	if start == m.status.Start {
		for _, spent := range m.status.QuotaSpent {
			spending[spent.Team] = spent
		}
	}
	return spending
}

// spentSince returns the units that were spent and asked for between two reports, false if the
// figures are not finite.
func spentSince(latest, before peer.TeamQuotaSpent) (units, asked float64, ok bool) {
	units = latest.Units - before.Units
	asked = max(latest.Asked-before.Asked, units)
	return units, asked, isFinite(units) && isFinite(asked)
}

// isFinite reports whether a peer's figure can be counted with.
func isFinite(units float64) bool { return !math.IsNaN(units) && !math.IsInf(units, 0) }

// longRunBursts is the spending, in multiples of a node's part of the burst, beyond which a process
// can't have just started.
const longRunBursts = 4

// startedLongBefore reports whether a peer's process has spent so much that it must have started long
// before this one. Then not all have restarted together, and it counts what this one spends.
func (g *Gateway) startedLongBefore(s peer.Status) bool {
	for _, spent := range s.QuotaSpent {
		q := g.quotas[spent.Team]
		if q != nil && spent.Units > longRunBursts*q.bucket.Limit().Burst/float64(len(g.members)+1) {
			return true
		}
	}
	return false
}

// smoothDemand returns the mean demand after units that were asked for in a period. A short period
// counts little, so that a single request between two statuses isn't taken for a surge.
func (g *Gateway) smoothDemand(mean, asked float64, period time.Duration) float64 {
	seconds := max(period, time.Millisecond).Seconds()
	weight := 1 - math.Exp(-seconds/g.demandPeriod().Seconds())
	return mean + weight*(max(asked, 0)/seconds-mean)
}

// demandPeriod returns the time constant of the mean of peers' demand.
func (g *Gateway) demandPeriod() time.Duration { return min(g.interval()/2, maxDemandPeriod) }

// firstSpending returns the number of units of a peer's first report that count here. What it
// spent before this process started is not in its bucket, which starts nearly empty; since then
// all nodes together had the refill to spend.
func (g *Gateway) firstSpending(team string) float64 {
	q := g.quotas[team]
	if g.cfg.FirstStart {
		return math.Inf(1)
	}
	if q == nil {
		return 0
	}
	return q.bucket.Limit().Rate * g.now.Sub(g.started).Seconds() / float64(len(g.members)+1)
}

// newPeerDemand divides a demand by the percentages of the ranks.
func newPeerDemand(perSecond float64, percent []int) peerDemand {
	var d peerDemand
	sum := 0
	for _, p := range percent {
		sum += clampPercent(p)
	}
	if sum == 0 {
		d.perSecond[0] = perSecond
		return d
	}
	d.ranked = true
	for rank, p := range percent {
		d.perSecond[min(rank, quota.RankCount-1)] += perSecond * float64(clampPercent(p)) / float64(sum)
	}
	return d
}

func clampPercent(p int) int { return min(max(p, 0), 100) }

// countQuotaRefusal counts a refusal by team and cause.
func (g *Gateway) countQuotaRefusal(r *request, verdict quota.Verdict) {
	g.count(CountQuota, r.team.Name+"."+string(verdict))
}
