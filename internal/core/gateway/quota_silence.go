package gateway

import (
	"time"

	"monsoonlanding/internal/core/quota"
)

// admittedPeriod is the time constant of the fraction of a team's requests that are admitted.
const admittedPeriod = time.Second

// chargeSilence charges the quotas with what peers that have just fallen silent have probably
// spent since their latest statuses. During a partition both sides spend before they notice it;
// afterwards each side bears its part. A peer that returns reports its spending.
func (g *Gateway) chargeSilence() {
	for _, m := range g.sortedMembers() {
		silent := !g.contactWithin(m, quotaSilentIntervals)
		if silent && !m.quotaSilent && !m.lastContact.IsZero() {
			g.chargeSilentPeer(m)
		}
		m.quotaSilent = silent
	}
}

// chargeSilentPeer charges the quotas once for a peer that has fallen silent.
func (g *Gateway) chargeSilentPeer(m *member) {
	share := g.quotaShare()
	if m.quotaCharged != nil {
		return
	}
	m.quotaCharged = make(map[string]float64)
	for i := range g.table.Teams() {
		q := g.quotas[g.table.Teams()[i].Name]
		if q == nil {
			continue
		}
		units := g.silentDemand(q, m) * g.now.Sub(m.lastContact).Seconds() * q.admittedFraction(g.now)
		// The other side bears its own part.
		units *= share
		if units > 0 {
			q.bucket.Spend(g.now, units, share)
			m.quotaCharged[q.name] = units
		}
	}
}

// silentDemand returns what a silent peer has probably been asked for, in units a second: what it
// has reported, or during a surge as much as this node and the others.
func (g *Gateway) silentDemand(q *teamQuota, m *member) float64 {
	own := q.demandPerSecond(g.now)
	p := g.sumPeersDemand(q.name, own, 0)
	reported := m.quotaDemand[q.name].perSecond
	p.add(reported, g.now.Sub(m.lastContact), g.maxFreshAge())
	if p.surge(own, q.usualCost(), g.demandPeriod()) {
		return max(reported.Sum(), p.recentMean(own).Sum())
	}
	return reported.Sum()
}

// refundSilence takes back what was charged for a peer that reports again.
func (g *Gateway) refundSilence(m *member, share float64) {
	for team, units := range m.quotaCharged {
		if q := g.quotas[team]; q != nil {
			q.bucket.Spend(g.now, -units, share)
		}
	}
	m.quotaCharged, m.quotaSilent = nil, false
}

// usualCost returns the mean cost of the team's requests here.
func (q *teamQuota) usualCost() float64 { return q.asked / max(q.requests, 1) }

// admittedFraction returns the fraction of the team's demand here that was admitted lately.
func (q *teamQuota) admittedFraction(now time.Time) float64 {
	asked := q.askedLately.PerSecond(now)
	if asked <= 0 {
		return 1
	}
	return min(q.admittedLately.PerSecond(now)/asked, 1)
}

// recordAsked counts a request that was admitted or refused.
func (q *teamQuota) recordAsked(now time.Time, rank int, cost float64, verdict quota.Verdict) {
	q.asked += cost
	q.requests++
	q.demand[rank].Add(now, cost)
	q.askedLately.Add(now, cost)
	if verdict == quota.VerdictAdmitted {
		q.admittedLately.Add(now, cost)
	}
}
