package gateway

import (
	"slices"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/rollout"
	"monsoonlanding/internal/core/store"
)

// shareLifetime is the duration for which a traffic share from the lease holder
// is valid.
const shareLifetime = 2 * time.Second

// rolloutState is the node's state of an open or ended rollout.
type rolloutState struct {
	order rollout.Order
	// orderedAt is when the order was first seen, here or at a peer.
	orderedAt time.Time
	// newer and older are this node's own counts since it learned of the
	// rollout.
	newer, older rollout.Evidence
	// share is the fraction of traffic for the new version, as decided here or
	// received from the lease holder at shareAt.
	share   float64
	shareAt time.Time
	// stopped is set once no more requests may go to the new version.
	stopped bool
	// endedAt is when this node learned of the verdict.
	endedAt time.Time
	// lost is set if the store may have lost the verdict, which is then written again.
	lost bool
	// writing is set while the verdict is being written to the store.
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
	if order.Revision.Generation < g.storeGeneration {
		// Read before the store was restored.
		return
	}
	r := g.rollouts[order.Service]
	if r != nil && r.order.Target == order.Target && r.order.Revision.Generation < order.Revision.Generation {
		g.rolloutRestored(r, order)
		return
	}
	// An order for another version, or one that reopens an ended rollout, starts
	// with new counts.
	if r == nil || r.order.Target != order.Target || order.Open() && !r.order.Open() && r.order.Revision.Before(order.Revision) {
		r = &rolloutState{orderedAt: g.now}
		g.rollouts[order.Service] = r
		g.scheduleBroadcast(0)
		g.log("rollout", "rollout ordered", "service", order.Service, "version", order.Target,
			"within_ms", order.TimeLimit.Milliseconds(), "state", string(order.State))
	}
	if order.Revision.Before(r.order.Revision) {
		return
	}
	if r.order.Open() && !order.Open() {
		r.endedAt = g.now
	}
	if r.order.State != order.State {
		g.log("rollout", "rollout state changed", "service", order.Service, "version", order.Target, "state", string(order.State))
	}
	r.order = order
	r.lost = r.lost && order.Open()
	r.stopped = r.stopped || order.State == rollout.StateReverted
}

// rolloutRestored processes the order of a rollout as the restored store has it, which may
// lack the verdict.
func (g *Gateway) rolloutRestored(r *rolloutState, order rollout.Order) {
	if order.Open() && !r.order.Open() {
		g.log("rollout", "verdict is lost in the store", "service", order.Service, "version", order.Target, "state", string(r.order.State))
		order.State, r.lost = r.order.State, true
	}
	r.order = order
	r.stopped = r.stopped || order.State == rollout.StateReverted
}

// rewriteVerdict writes a verdict again that the store has lost.
func (g *Gateway) rewriteVerdict(r *rolloutState) {
	known := r.order.Revision.Generation == g.storeGeneration
	if !r.lost || !known || !g.lease.Held() || r.writing || g.now.Before(r.retryAt) {
		return
	}
	r.writing = true
	g.emit(WriteRollout{Order: r.order})
}

// chooseVersion restricts a query for a request to the new version of a rollout or to the
// others. Without a recent share from the lease holder nothing goes to the new version. The
// choice is drawn once for each attempt: a request that has to wait is placed many times.
func (g *Gateway) chooseVersion(q *placement.Query, req *request) {
	r := g.rollouts[q.Service]
	if r == nil || r.order.State == rollout.StateComplete {
		return
	}
	share := r.share
	if r.stopped || !r.order.Open() || g.now.Sub(r.shareAt) > shareLifetime {
		share = 0
	}
	if share > 0 && req.versionDraw == 0 {
		req.versionDraw = g.rng.Float64()
	}
	if share > 0 && req.versionDraw < share {
		q.Version = r.order.Target
		return
	}
	q.NotVersion = r.order.Target
}

// checkRollouts stops versions that are clearly bad and, on the lease holder,
// decides on shares and verdicts.
func (g *Gateway) checkRollouts() {
	for _, service := range g.rolloutServices() {
		r := g.rollouts[service]
		if !r.order.Open() {
			g.rewriteVerdict(r)
			continue
		}
		g.countOverdue(service)
		newer, older := g.rolloutEvidence(service, r)
		if !r.stopped && rollout.Compare(newer, older).IsWorse() {
			r.stopped = true
			g.logRollout(r, "new version stopped", "", newer, older)
			g.scheduleBroadcast(0)
		}
		if g.lease.Held() {
			g.decideRollout(r, newer, older)
		}
	}
}

func (g *Gateway) rolloutServices() []string {
	var services []string
	for service := range g.rollouts {
		services = append(services, service)
	}
	slices.Sort(services)
	return services
}

// rolloutEvidence adds up the counts of all nodes.
func (g *Gateway) rolloutEvidence(service string, r *rolloutState) (newer, older rollout.Evidence) {
	newer, older = r.newer, r.older
	for _, m := range g.members {
		for _, reported := range m.status.Rollouts {
			if reported.Service != service || reported.Version != r.order.Target {
				continue
			}
			newer, older = newer.Plus(answersOf(reported.New)), older.Plus(answersOf(reported.Old))
		}
	}
	return newer, older
}

// decideRollout sets the share and, at the end, writes the verdict.
func (g *Gateway) decideRollout(r *rolloutState, newer, older rollout.Evidence) {
	decision := rollout.Decide(g.now, rollout.View{OrderedAt: r.orderedAt, TimeLimit: r.order.TimeLimit, New: newer, Old: older})
	if r.stopped {
		decision = rollout.Decision{Verdict: rollout.StateReverted}
	}
	if decision.Share != r.share {
		g.scheduleBroadcast(0)
	}
	r.share, r.shareAt = decision.Share, g.now
	if decision.Verdict == "" || r.writing || g.now.Before(r.retryAt) || r.order.Revision.Generation != g.storeGeneration {
		return
	}
	r.writing = true
	g.logRollout(r, "verdict", decision.Verdict, newer, older)
	order := r.order
	order.State = decision.Verdict
	g.emit(WriteRollout{Order: order})
}

// logRollout logs a decision with the counts and the results of the tests.
func (g *Gateway) logRollout(r *rolloutState, message string, state rollout.State, newer, older rollout.Evidence) {
	compared := rollout.Compare(newer, older)
	g.log("rollout", message, "service", r.order.Service, "version", r.order.Target, "state", string(state),
		"failed", newer.Failed, "late", newer.Late, "good", newer.Good,
		"old_failed", older.Failed, "old_late", older.Late, "old_good", older.Good,
		"p_worse", compared.Worse, "p_sound", compared.Sound)
}

func (g *Gateway) rolloutWritten(e RolloutWritten) {
	r := g.rollouts[e.Order.Service]
	if r == nil || r.order.Target != e.Order.Target {
		return
	}
	r.writing = false
	if !e.Done {
		r.retryAt = g.now.Add(retryInterval)
		g.emit(ListFeed{Feed: FeedRollouts})
		return
	}
	g.rolloutOrdered(e.Order)
}

// mergeRollout adds a rollout that is not known here and adopts the earliest
// known time of its order. The store does not record that time.
func (g *Gateway) mergeRollout(reported peer.RolloutStatus, generation int64) {
	known := g.rollouts[reported.Service]
	revision := store.Revision{Generation: generation, Number: reported.Revision}
	if known == nil || known.order.Revision.Before(revision) || reported.Verdict != "" && known.order.Open() {
		g.rolloutOrdered(rollout.Order{
			Service: reported.Service, Target: reported.Version, TimeLimit: reported.TimeLimit,
			State: rollout.State(reported.Verdict), Revision: revision,
		})
	}
	r := g.rollouts[reported.Service]
	if r == nil || r.order.Target != reported.Version || r.order.Revision != revision {
		return
	}
	if orderedAt := g.now.Add(-reported.Elapsed); orderedAt.Before(r.orderedAt) {
		r.orderedAt = orderedAt
	}
}

// rolloutStatuses returns this node's counts and, on the lease holder, the
// shares.
func (g *Gateway) rolloutStatuses() []peer.RolloutStatus {
	var list []peer.RolloutStatus
	for _, service := range g.rolloutServices() {
		r := g.rollouts[service]
		known := r.order.Revision.Generation == g.storeGeneration
		if !known || !r.order.Open() && !r.lost {
			continue
		}
		s := peer.RolloutStatus{
			Service: service, Version: r.order.Target, Stopped: r.stopped,
			TimeLimit: r.order.TimeLimit, Elapsed: g.now.Sub(r.orderedAt), Revision: r.order.Revision.Number,
			New: answerCounts(r.newer), Old: answerCounts(r.older),
		}
		if !r.order.Open() {
			s.Verdict = string(r.order.State)
		} else if g.lease.Held() {
			s.Decides, s.Share = true, r.share
		}
		list = append(list, s)
	}
	return list
}

func answerCounts(e rollout.Evidence) peer.AnswerCounts {
	return peer.AnswerCounts{Good: e.Good, Failed: e.Failed, Late: e.Late}
}

func answersOf(c peer.AnswerCounts) rollout.Evidence {
	return rollout.Evidence{Good: c.Good, Failed: c.Failed, Late: c.Late}
}

// mergeRollouts processes a peer's report on open rollouts. Few nodes watch
// the rollouts in the store.
func (g *Gateway) mergeRollouts(s peer.Status) {
	for _, reported := range s.Rollouts {
		g.mergeRollout(reported, s.StoreGeneration)
		r := g.rollouts[reported.Service]
		if r == nil || r.order.Target != reported.Version || !r.order.Open() {
			continue
		}
		r.stopped = r.stopped || reported.Stopped
		if reported.Decides && !g.lease.Held() {
			r.share, r.shareAt = reported.Share, g.now
		}
	}
}
