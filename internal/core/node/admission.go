package node

import (
	"time"

	"monsoonlanding/internal/core/average"
	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/team"
)

// runTimeWeight is the weight of the latest run in the mean run time of a service's
// requests.
const runTimeWeight = 0.1

// retryAfterBusy is the retry delay sent to a caller that is refused because of
// load or another temporary condition.
const retryAfterBusy = time.Second

// callerRequest handles a submission. If the same request is known here, the
// caller is attached to it; otherwise the request is started.
func (n *Node) callerRequest(e CallerRequest) {
	key := e.Request.Key
	n.conns[e.Conn] = key
	r := n.records[key]
	if r == nil || n.replaceable(r) {
		n.start(e.Request, &follower{conn: e.Conn, position: e.Position})
		return
	}
	if !r.request.SameContent(e.Request) {
		n.refuseConn(e.Conn, caller.Refusal{
			Outcome: caller.NotRun, Reason: caller.ReasonKeyReused, Step: "receive",
			Detail: "the idempotency key was used with another request",
		})
		return
	}
	request := e.Request
	n.attach(r, e.Conn, e.Position, &request)
}

// replaceable reports whether a new submission of the key replaces the earlier
// one: it ended without running, or it failed and may be run again.
func (n *Node) replaceable(r *record) bool {
	if r.phase != phaseFailed {
		return false
	}
	return r.refusal.Outcome == caller.NotRun || !r.request.NonIdempotent
}

// callerResume handles a caller that reconnects for its answer.
func (n *Node) callerResume(e CallerResume) {
	n.conns[e.Conn] = e.Key
	if r := n.records[e.Key]; r != nil {
		n.attach(r, e.Conn, e.Position, nil)
		return
	}
	n.subscribe(e.Conn, e.Key, e.Position, nil, "")
}

// attach connects a caller to a known request.
func (n *Node) attach(r *record, conn uint64, at caller.Position, request *caller.Request) {
	if r.phase == phaseBackup && !r.answer.Done() && r.refusal == nil {
		n.subscribe(conn, r.request.Key, at, request, r.holder)
		return
	}
	n.follow(r, &follower{conn: conn, position: at})
}

func (n *Node) callerDisconnected(conn uint64) {
	key, ok := n.conns[conn]
	if !ok {
		return
	}
	delete(n.conns, conn)
	if r := n.records[key]; r != nil {
		n.unfollow(r, func(f *follower) bool { return f.conn == conn })
		n.cancelUnaccepted(r)
	}
	n.unsubscribeConn(conn)
}

// cancelUnaccepted cancels a submission whose callers disconnected before it
// was accepted. The submission must not run: another node may have refused it
// with outcome not_run in the meantime, for instance if this process was paused
// between receiving and handling it.
func (n *Node) cancelUnaccepted(r *record) {
	if r.phase != phaseSecuring || len(r.followers) > 0 {
		return
	}
	n.stopWork(r)
	n.untrack(r)
	n.remove(r.request.Key)
	n.tombstone(r.request.Instance)
	n.dropCopies(r)
}

// callerCancel cancels a request for its caller. A non-idempotent request that
// may have run is not cancelled.
func (n *Node) callerCancel(key string) {
	r := n.records[key]
	if r == nil || !r.held() {
		n.forwardCancel(key, r)
		return
	}
	if r.terminal() || r.phase == phaseReleasing {
		return
	}
	if r.request.NonIdempotent && r.mayHaveRun {
		return
	}
	n.refuse(r, caller.Refusal{Reason: caller.ReasonCancelled, Step: "cancel"})
}

// start starts a new submission with its first follower.
func (n *Node) start(req caller.Request, f *follower) { n.startSubmission(req, f, false) }

// startSubmission starts a submission. mayHaveRun is set if the request may have
// run before.
func (n *Node) startSubmission(req caller.Request, f *follower, mayHaveRun bool) {
	r := &record{
		request: req,
		content: req.ContentHash(),
		phase:   phaseSecuring,
		epoch:   1,
		holder:  n.self(),
	}
	// An earlier submission that is still recorded here may have run.
	r.mayHaveRun = mayHaveRun || n.records[req.Key] != nil
	refusal := n.admit(req)
	n.put(r)
	if refusal != nil {
		n.follow(r, f)
		n.refuse(r, *refusal)
		return
	}
	n.track(r)
	n.timers.add(timer{at: req.Deadline, kind: timerDeadline, key: req.Key, instance: req.Instance})
	n.follow(r, f)
	n.budget(req.Service).Deposit()
	n.secure(r)
}

// track counts a request towards its team's limit until it ends.
func (n *Node) track(r *record) {
	if !r.tracked {
		r.tracked = true
		n.inFlight[r.request.Team]++
	}
}

func (n *Node) untrack(r *record) {
	if r.tracked {
		r.tracked = false
		n.inFlight[r.request.Team]--
	}
}

// admit checks a submission against the rules and limits and returns a refusal,
// or nil if it is admitted.
func (n *Node) admit(req caller.Request) *caller.Refusal {
	if n.shutdown.leaving {
		return newRefusal(caller.ReasonNodeLeaving, "receive", "this node is leaving; ask for addresses", retryAfterBusy)
	}
	if n.inForce.rules.Empty() {
		return newRefusal(caller.ReasonNoRules, "receive", "no rules are in force yet", retryAfterBusy)
	}
	if _, ok := n.inForce.rules.Service(req.Service); !ok {
		return newRefusal(caller.ReasonUnknownService, "receive", "no rule declares service "+req.Service, 0)
	}
	if !n.now.Before(req.Deadline) {
		return newRefusal(caller.ReasonDeadlineExceeded, "receive", "the deadline has passed", 0)
	}
	if n.poison.Quarantined(req.ContentHash()) {
		return newRefusal(caller.ReasonQuarantined, "receive", "this request content crashed upstreams", 0)
	}
	return n.admitLoad(req)
}

// admitLoad checks a submission against the limits on memory, team, queue and
// time.
func (n *Node) admitLoad(req caller.Request) *caller.Refusal {
	n.evictEnded(req.Size())
	if n.bytes+req.Size() > n.cfg.MemoryBytes {
		return newRefusal(caller.ReasonMemoryLimit, "admit", "the node's memory limit is reached", retryAfterBusy)
	}
	if n.overTeamLimit(req.Team) {
		return newRefusal(caller.ReasonTeamLimit, "admit", "team "+req.Team+" has too many requests in progress", retryAfterBusy)
	}
	switch n.queue(req.Service).CheckAdmission(req.Team, req.Size()) {
	case team.RefusalFull:
		return newRefusal(caller.ReasonQueueFull, "admit", "the queue of service "+req.Service+" is full", retryAfterBusy)
	case team.RefusalTeamShare:
		return newRefusal(caller.ReasonTeamLimit, "admit", "team "+req.Team+" has its share of the queue", retryAfterBusy)
	}
	if wait := n.expectedDuration(req.Service); n.now.Add(wait).After(req.Deadline) {
		return newRefusal(caller.ReasonDeadlineUnreachable, "admit", "the answer would take "+wait.Round(time.Millisecond).String(), wait/2)
	}
	return nil
}

func newRefusal(reason caller.Reason, step, detail string, after time.Duration) *caller.Refusal {
	return &caller.Refusal{Reason: reason, Step: step, Detail: detail, RetryAfter: after}
}

func (n *Node) overTeamLimit(name string) bool {
	t, ok := n.inForce.rules.Team(name)
	if !ok || t.MaxInFlight == 0 {
		return false
	}
	nodes := max(len(n.members.Usable()), 1)
	limit := (t.MaxInFlight + nodes - 1) / nodes
	return n.inFlight[name] >= limit
}

// expectedDuration estimates how long a new request takes: its own run, and the
// queue ahead of it at the rate of this node's share of the capacity.
func (n *Node) expectedDuration(service string) time.Duration {
	mean := n.runTime(service).Value()
	queued := n.queue(service).Len()
	if queued == 0 {
		return mean
	}
	slots := max(n.upstreams.Capacity(service)/max(len(n.members.Usable()), 1), 1)
	return mean + mean*time.Duration(queued)/time.Duration(slots)
}

// runTime returns the mean run time of a service's requests.
func (n *Node) runTime(service string) *average.Duration {
	mean := n.runTimes[service]
	if mean == nil {
		mean = &average.Duration{Weight: runTimeWeight}
		n.runTimes[service] = mean
	}
	return mean
}

func (n *Node) queue(service string) *team.Queue {
	q := n.queues[service]
	if q == nil {
		limits := team.Limits{Count: n.cfg.QueueCount, Bytes: n.cfg.QueueBytes, TeamShare: teamQueueShare}
		if s, ok := n.inForce.rules.Service(service); ok && s.QueueCount > 0 {
			limits.Count = s.QueueCount
		}
		q = team.New(limits)
		n.queues[service] = q
	}
	return q
}

func (n *Node) refuseConn(conn uint64, refusal caller.Refusal) {
	n.count(CountRefusal, string(refusal.Reason))
	n.reply(conn, caller.Failed{Refusal: refusal})
}
