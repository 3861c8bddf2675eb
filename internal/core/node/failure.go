package node

import (
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/upstream"
)

func (n *Node) upstreamFailed(e UpstreamFailed) {
	a, r := n.attemptAndRecord(e.Attempt)
	if a == nil {
		return
	}
	if r != nil && r.phase == phaseRunning {
		n.failAttempt(a, r, e.Cause, e.Detail)
		return
	}
	n.endAttempt(a, resultFor(e.Cause))
	if r != nil {
		r.attempt = 0
	}
}

func resultFor(cause Cause) upstream.DispatchResult {
	switch cause {
	case CauseBusy, CauseLeaving, CauseRejected:
		return upstream.DispatchNeutral
	}
	return upstream.DispatchFailed
}

// failAttempt ends a failed attempt, and queues, retries or refuses its
// request.
func (n *Node) failAttempt(a *attempt, r *record, cause Cause, detail string) {
	n.endAttempt(a, resultFor(cause))
	n.log(LevelInfo, "dispatch", a.key, a.upstream.ID, "attempt failed: %s: %s", cause, detail)
	r.attempt = 0
	if cause.NotRun() {
		r.mayHaveRun = a.mayHaveRunBefore
	}
	if cause == CauseBusy {
		// The request waits for capacity like any queued one; this is not a
		// failure.
		n.count(CountRetry, string(cause))
		n.upstreams.MarkBusy(n.now, a.upstream.ID)
		n.enqueue(r)
		return
	}
	r.failedOn = append(r.failedOn, a.upstream.ID)
	if cause == CauseLeaving {
		n.upstreamLeaving(a.upstream.ID, time.Time{})
	}
	if cause == CauseCrashed {
		n.recordCrash(a)
	}
	if !cause.NotRun() && cause != CauseRejected {
		n.recordOutcome(a, r, true)
	}
	n.retryOrRefuse(a, r, cause, detail)
	n.dispatchQueued(a.upstream.Service)
}

func (n *Node) recordCrash(a *attempt) {
	if n.upstreams.Reclaimed(n.now, a.upstream.ID) {
		return
	}
	if n.poison.RecordCrash(n.now, a.started, a.upstream.ID, a.upstream.Zone, a.content) {
		n.broadcast(peer.ContentSuspect{Content: a.content, Crashes: n.poison.Crashes(a.content)})
	}
}

func (n *Node) retryOrRefuse(a *attempt, r *record, cause Cause, detail string) {
	refusal := caller.Refusal{Reason: caller.ReasonUpstreamFailed, Step: "dispatch", Peer: a.upstream.ID, Detail: string(cause) + ": " + detail}
	if cause == CauseRejected {
		refusal.Reason, refusal.Outcome = caller.ReasonUpstreamRefused, caller.Ran
		n.recordResult(r, nil)
		n.refuse(r, refusal)
		return
	}
	if r.request.NonIdempotent && r.mayHaveRun && !n.cfg.Faults.RetryNonIdempotent {
		n.refuse(r, refusal)
		return
	}
	if n.poison.Quarantined(r.content) {
		refusal.Reason = caller.ReasonQuarantined
		n.refuse(r, refusal)
		return
	}
	n.retry(r, cause, refusal)
}

// retry schedules the next attempt after a back-off, if the number of attempts,
// the retry budget and the deadline allow one.
func (n *Node) retry(r *record, cause Cause, refusal caller.Refusal) {
	if !cause.NotRun() {
		r.attemptsRun++
	}
	if r.attemptsRun >= maxAttempts {
		n.refuse(r, refusal)
		return
	}
	if !n.upstreams.IsLeaving(refusal.Peer) && !n.budget(r.request.Service).TryWithdraw() {
		refusal.Reason = caller.ReasonRetryBudget
		refusal.RetryAfter = retryAfterBusy
		n.refuse(r, refusal)
		return
	}
	at := n.now.Add(upstream.Backoff(n.rng, len(r.failedOn)-1))
	if !at.Before(r.request.Deadline) {
		refusal.Reason = caller.ReasonDeadlineExceeded
		n.refuse(r, refusal)
		return
	}
	n.count(CountRetry, string(cause))
	n.enter(r, phaseRetrying)
	n.setPhaseTimer(r, at)
}
