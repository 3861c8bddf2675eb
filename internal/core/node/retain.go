package node

import (
	"time"

	"monsoonlanding/internal/core/caller"
)

// enter changes a record's phase and cancels the timer of the previous phase.
func (n *Node) enter(r *record, p phase) {
	r.phase = p
	r.phaseTimer = 0
}

// setPhaseTimer sets the record's phase timer and replaces any earlier one.
func (n *Node) setPhaseTimer(r *record, at time.Time) {
	r.phaseTimer = n.id()
	n.timers.add(timer{at: at, kind: timerPhase, key: r.request.Key, number: r.phaseTimer})
}

// runTimers handles all timers that are due.
func (n *Node) runTimers() {
	for {
		t, ok := n.timers.due(n.now)
		if !ok {
			return
		}
		n.runTimer(t)
	}
}

func (n *Node) runTimer(t timer) {
	switch t.kind {
	case timerFollow:
		n.followTimer(t.number)
		return
	case timerClaim:
		n.claimForwardTimedOut(t.number)
		return
	}
	r := n.records[t.key]
	if r == nil {
		return
	}
	switch {
	case t.kind == timerPhase && r.phaseTimer == t.number:
		r.phaseTimer = 0
		n.phaseTimer(r)
	case t.kind == timerDeadline && r.request.Instance == t.instance && r.active():
		n.deadlinePassed(r)
	case t.kind == timerRetention && r.request.Instance == t.instance && !r.active():
		n.remove(t.key)
	}
}

// phaseTimer handles the expiry of a record's phase timer.
func (n *Node) phaseTimer(r *record) {
	switch r.phase {
	case phaseSecuring:
		n.copyTimedOut(r)
	case phaseClaiming:
		n.claimTimedOut(r)
	case phaseRetrying:
		n.proceed(r)
	case phaseReleasing:
		n.dropTimedOut(r)
	case phaseHandingOver:
		n.handOverTimedOut(r)
	case phaseBackup:
		n.takeOverIfDead(r)
	}
}

func (n *Node) deadlinePassed(r *record) {
	n.refuse(r, caller.Refusal{Reason: caller.ReasonDeadlineExceeded, Step: string(r.phase), Detail: "the deadline has passed"})
}

// ended identifies a request that is only retained for callers that reconnect.
type ended struct {
	key      string
	instance string
}

// retain keeps an ended request for the retention period, for callers that
// reconnect.
func (n *Node) retain(r *record) {
	n.timers.add(timer{at: n.now.Add(n.cfg.Retention), kind: timerRetention, key: r.request.Key, instance: r.request.Instance})
	n.ended = append(n.ended, ended{key: r.request.Key, instance: r.request.Instance})
}

// retains reports whether an ended request is still retained.
func (n *Node) retains(e ended) bool {
	r := n.records[e.key]
	return r != nil && r.request.Instance == e.instance && !r.active()
}

// evictEnded evicts ended requests, the earliest first, until size more bytes
// fit into memory.
func (n *Node) evictEnded(size int) {
	for n.bytes+size > n.cfg.MemoryBytes && len(n.ended) > 0 {
		e := n.ended[0]
		n.ended = n.ended[1:]
		if n.retains(e) {
			n.remove(e.key)
		}
	}
}
