package gateway

import (
	"slices"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/rollout"
)

// shareLife is how long a share that the lease holder told is good for.
const shareLife = 2 * time.Second

// rolloutState is what the node holds of an open or ended roll-out.
type rolloutState struct {
	order rollout.Order
	seen  time.Time
	// newer and older are this node's own counts since then.
	newer, older rollout.Evidence
	// share is the new version's, as decided here or told at toldAt.
	share  float64
	toldAt time.Time
	// stopped says that no request goes to the new version any more.
	stopped bool
	// endedAt is when the verdict was known here.
	endedAt time.Time
	// writing says that the verdict is on its way to the store.
	writing bool
	retryAt time.Time
}

func (g *Gateway) rolloutsChanged(e RolloutsChanged) {
	g.rolloutsRead = true
	for _, order := range e.Orders {
		g.rolloutOrdered(order)
	}
	for _, service := range e.Removed {
		delete(g.rollouts, service)
	}
}

func (g *Gateway) rolloutOrdered(order rollout.Order) {
	r := g.rollouts[order.Service]
	if r == nil || r.order.Target != order.Target || order.Open() && !r.order.Open() && order.Revision > r.order.Revision {
		r = &rolloutState{seen: g.now}
		g.rollouts[order.Service] = r
		g.tellSoon(0)
		g.log("rollout", "roll-out ordered", "service", order.Service, "version", order.Target,
			"within_ms", order.Within.Milliseconds(), "state", string(order.State))
	}
	if order.Revision < r.order.Revision {
		return
	}
	if r.order.Open() && !order.Open() {
		r.endedAt = g.now
	}
	if r.order.State != order.State {
		g.log("rollout", "roll-out state", "service", order.Service, "version", order.Target, "state", string(order.State))
	}
	r.order = order
	r.stopped = r.stopped || order.State == rollout.StateReverted
}

// chooseVersion restricts a query to the new version of a roll-out or to the
// others. Without a word of the lease holder nothing goes to the new one.
func (g *Gateway) chooseVersion(q *placement.Query) {
	r := g.rollouts[q.Service]
	if r == nil || r.order.State == rollout.StateComplete {
		return
	}
	share := r.share
	if r.stopped || !r.order.Open() || g.now.Sub(r.toldAt) > shareLife {
		share = 0
	}
	if share > 0 && g.rng.Float64() < share {
		q.Version = r.order.Target
		return
	}
	q.NotVersion = r.order.Target
}

// attendRollouts stops what is clearly bad and, as the lease holder, decides
// on shares and verdicts.
func (g *Gateway) attendRollouts() {
	for _, service := range g.rolloutNames() {
		r := g.rollouts[service]
		if !r.order.Open() {
			continue
		}
		g.judgeSilent(service)
		newer, older := g.rolloutEvidence(service, r)
		if !r.stopped && rollout.Condemned(newer, older) {
			r.stopped = true
			g.log("rollout", "version stopped", "service", service, "version", r.order.Target,
				"failed", newer.Failed, "late", newer.Late, "good", newer.Good,
				"old_failed", older.Failed, "old_late", older.Late, "old_good", older.Good)
			g.tellSoon(0)
		}
		if g.keeper.Held() {
			g.leadRollout(r, newer, older)
		}
	}
}

func (g *Gateway) rolloutNames() []string {
	var names []string
	for name := range g.rollouts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// rolloutEvidence adds up the counts of all nodes.
func (g *Gateway) rolloutEvidence(service string, r *rolloutState) (newer, older rollout.Evidence) {
	newer, older = r.newer, r.older
	for _, m := range g.members {
		for _, told := range m.status.Rollouts {
			if told.Service != service || told.Version != r.order.Target {
				continue
			}
			newer.Good += told.New.Good
			newer.Failed += told.New.Failed
			newer.Late += told.New.Late
			older.Good += told.Old.Good
			older.Failed += told.Old.Failed
			older.Late += told.Old.Late
		}
	}
	return newer, older
}

// leadRollout decides on the share and, at the end, writes the verdict.
func (g *Gateway) leadRollout(r *rolloutState, newer, older rollout.Evidence) {
	step := rollout.Next(g.now, rollout.View{Ordered: r.seen, Within: r.order.Within, New: newer, Old: older})
	if r.stopped {
		step = rollout.Step{Verdict: rollout.StateReverted}
	}
	if step.Share != r.share {
		g.tellSoon(0)
	}
	r.share, r.toldAt = step.Share, g.now
	if step.Verdict == "" || r.writing || g.now.Before(r.retryAt) {
		return
	}
	r.writing = true
	g.log("rollout", "verdict", "service", r.order.Service, "version", r.order.Target, "state", string(step.Verdict),
		"failed", newer.Failed, "late", newer.Late, "good", newer.Good,
		"old_failed", older.Failed, "old_late", older.Late, "old_good", older.Good)
	order := r.order
	order.State = step.Verdict
	g.emit(WriteRollout{Order: order})
}

func (g *Gateway) rolloutWritten(e RolloutWritten) {
	r := g.rollouts[e.Order.Service]
	if r == nil || r.order.Target != e.Order.Target {
		return
	}
	r.writing = false
	if !e.Done {
		r.retryAt = g.now.Add(usageRetry)
		return
	}
	g.rolloutOrdered(e.Order)
}

// meetRollout adds a roll-out that was not known here, and learns since when it
// stands, which the store does not tell.
func (g *Gateway) meetRollout(told peer.RolloutStatus) {
	known := g.rollouts[told.Service]
	if known == nil || known.order.Revision < told.Revision {
		g.rolloutOrdered(rollout.Order{
			Service: told.Service, Target: told.Version, Within: told.Within, Revision: told.Revision,
		})
	}
	r := g.rollouts[told.Service]
	if r.order.Target != told.Version || r.order.Revision != told.Revision {
		return
	}
	if seen := g.now.Add(-told.Elapsed); seen.Before(r.seen) {
		r.seen = seen
	}
}

// tellRollouts returns this node's counts and, from the lease holder, shares.
func (g *Gateway) tellRollouts() []peer.RolloutStatus {
	var list []peer.RolloutStatus
	for _, service := range g.rolloutNames() {
		r := g.rollouts[service]
		if !r.order.Open() {
			continue
		}
		s := peer.RolloutStatus{
			Service: service, Version: r.order.Target, Stopped: r.stopped,
			Within: r.order.Within, Elapsed: g.now.Sub(r.seen), Revision: r.order.Revision,
			New: told(r.newer), Old: told(r.older),
		}
		if g.keeper.Held() {
			s.Leads, s.Share = true, r.share
		}
		list = append(list, s)
	}
	return list
}

func told(e rollout.Evidence) peer.Answers {
	return peer.Answers{Good: e.Good, Failed: e.Failed, Late: e.Late}
}

// toldRollouts takes in a peer's word on open roll-outs, which few nodes watch.
func (g *Gateway) toldRollouts(s peer.Status) {
	for _, told := range s.Rollouts {
		g.meetRollout(told)
		r := g.rollouts[told.Service]
		if r == nil || r.order.Target != told.Version || !r.order.Open() {
			continue
		}
		r.stopped = r.stopped || told.Stopped
		if told.Leads && !g.keeper.Held() {
			r.share, r.toldAt = told.Share, g.now
		}
	}
}
