package node

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/team"
	"monsoonlanding/internal/core/upstream"
)

const (
	// maxAttempts bounds the number of attempts of one request that may have
	// run.
	maxAttempts = 6
	// defaultProgressTimeout bounds the time without progress of an attempt for
	// services whose rule sets no timeout.
	defaultProgressTimeout = 5 * time.Second
	// prefixBytes is the number of leading bytes of a body that identify a
	// prompt prefix.
	prefixBytes = 256
)

// attempt is one dispatch of a request to an upstream.
type attempt struct {
	id       uint64
	key      string
	instance string
	upstream upstream.Upstream
	content  uint64
	started  time.Time
	// mayHaveRunBefore is the value of the record's mayHaveRun before this
	// attempt.
	mayHaveRunBefore bool
	firstTokenAt     time.Time
	lastTokenAt      time.Time
	// tokenEvents is the number of messages that carried new tokens.
	tokenEvents int
}

func (n *Node) budget(service string) *upstream.RetryBudget {
	b := n.budgets[service]
	if b == nil {
		b = upstream.NewRetryBudget()
		n.budgets[service] = b
	}
	return b
}

// enqueue adds a request to its service's queue and dispatches from the queue.
func (n *Node) enqueue(r *record) {
	n.enter(r, phaseQueued)
	n.schedule.lastRequest[r.request.Service] = n.now
	weight := 1.0
	if t, ok := n.inForce.rules.Team(r.request.Team); ok && t.Weight > 0 {
		weight = t.Weight
	}
	n.queue(r.request.Service).Push(team.Item{
		Key:      r.request.Key,
		Team:     r.request.Team,
		Weight:   weight,
		Priority: r.request.Priority,
		Deadline: r.request.Deadline,
		Bytes:    r.request.Size(),
	})
	n.dispatchQueued(r.request.Service)
}

// dispatchQueued dispatches a service's queued requests while upstreams have
// capacity.
func (n *Node) dispatchQueued(service string) {
	if n.now.Before(n.schedule.dispatchFrom) {
		return
	}
	n.queue(service).ServeEach(func(it team.Item) bool {
		r := n.records[it.Key]
		if r == nil || r.phase != phaseQueued {
			return true
		}
		return n.dispatch(r)
	})
}

func (n *Node) dispatchAllQueued() {
	for _, service := range n.inForce.rules.Services() {
		n.dispatchQueued(service)
	}
}

// dispatch sends a request to an upstream and reports whether the request left
// the queue.
func (n *Node) dispatch(r *record) bool {
	if n.poison.Quarantined(r.content) {
		n.refuse(r, caller.Refusal{Reason: caller.ReasonQuarantined, Step: "dispatch", Detail: "this request content crashed upstreams"})
		return true
	}
	n.pinVersion(r)
	if n.poison.Suspected(r.content) {
		return n.dispatchSuspect(r)
	}
	u, ok := n.upstreams.Pick(n.now, upstream.Query{
		Service: r.request.Service,
		Version: r.version,
		Zone:    n.cfg.Self.Zone,
		Prefix:  prefixOf(r.request),
		Exclude: r.failedOn,
	})
	if !ok {
		return false
	}
	r.version = u.Version
	n.startAttempt(r, u)
	return true
}

func prefixOf(r caller.Request) uint64 {
	return xxhash.Sum64(r.Body[:min(prefixBytes, len(r.Body))])
}

// pinVersion chooses the version for a request that has not started. A started
// answer stays on its version as long as that version has upstreams; an answer
// without tokens leaves a version that was stopped.
func (n *Node) pinVersion(r *record) {
	stopped := r.answer.Count() == 0 && n.versionStopped(r.request.Service, r.version)
	if r.version != "" && !stopped && n.upstreams.HasVersion(r.request.Service, r.version) {
		return
	}
	if r.version != "" && r.answer.Count() > 0 {
		n.restartAnswer(r)
	}
	r.version = n.chooseVersion(r.request.Service, r.request.Key)
}

// restartAnswer discards the tokens of an answer and begins a new run.
func (n *Node) restartAnswer(r *record) {
	n.countRecomputed(r, "restart")
	n.bytes -= r.answer.Size()
	r.answer = caller.NewAnswer(n.newRun(), "", nil)
	n.publish(r)
	n.refreshBackups(r)
}

// countRecomputed counts the tokens of an answer that another engine has to
// compute again, either to continue after them (label resume) or because it
// cannot continue an answer (label restart).
func (n *Node) countRecomputed(r *record, label string) {
	if tokens := r.answer.Count(); tokens > 0 {
		n.emit(Count{Counter: CountTokens, Label: label, N: tokens})
	}
}

func (n *Node) newRun() string { return fmt.Sprintf("%s-%d", n.self(), n.id()) }

func (n *Node) startAttempt(r *record, u upstream.Upstream) {
	if r.answer.Run() == "" {
		r.answer = caller.NewAnswer(n.newRun(), "", nil)
	}
	if r.answer.Count() > 0 && !n.inForce.rules.Resumes(u.Service, u.Version) {
		n.restartAnswer(r)
	}
	n.countRecomputed(r, "resume")
	a := &attempt{
		id: n.id(), key: r.request.Key, instance: r.request.Instance,
		upstream: u, content: r.content, started: n.now, lastTokenAt: n.now, mayHaveRunBefore: r.mayHaveRun,
	}
	n.attempts[a.id] = a
	r.attempt = a.id
	n.enter(r, phaseRunning)
	r.mayHaveRun = true
	n.upstreams.RecordStart(u.ID)
	n.emit(Dispatch{Attempt: a.id, Upstream: u, Request: r.request, Tokens: r.answer.Tokens(), ProgressTimeout: n.progressTimeout(u.Service)})
}

func (n *Node) progressTimeout(service string) time.Duration {
	if s, ok := n.inForce.rules.Service(service); ok && s.Timeout.Duration > 0 {
		return s.Timeout.Duration
	}
	return defaultProgressTimeout
}

// attemptAndRecord returns an attempt and its record. The record is nil if the
// request no longer waits for this attempt.
func (n *Node) attemptAndRecord(id uint64) (*attempt, *record) {
	a := n.attempts[id]
	if a == nil {
		n.count(CountDropped, "upstream")
		return nil, nil
	}
	r := n.records[a.key]
	if r == nil || r.attempt != id || r.request.Instance != a.instance {
		return a, nil
	}
	return a, r
}

func (n *Node) upstreamTokens(e UpstreamTokens) {
	a, r := n.attemptAndRecord(e.Attempt)
	if r == nil || r.phase != phaseRunning {
		return
	}
	before := r.size()
	fresh := r.answer.Append(e.Offset, e.Tokens)
	if fresh < 0 {
		n.cancelAttempt(a.id)
		n.failAttempt(a, r, CauseGap, fmt.Sprintf("tokens %d to %d are missing", r.answer.Count(), e.Offset))
		return
	}
	if fresh == 0 {
		return
	}
	n.bytes += r.size() - before
	n.recordTokens(a)
	n.publish(r)
	if r.answer.Count()-r.copiedTokens >= n.cfg.ProgressTokens {
		n.sendProgress(r)
	}
}

// sendProgress sends the backups the tokens that they lack.
func (n *Node) sendProgress(r *record) {
	m := peer.Progress{
		Key: r.request.Key, Instance: r.request.Instance, Epoch: r.epoch, Run: r.answer.Run(),
		Offset: r.copiedTokens, Tokens: r.answer.Tokens()[r.copiedTokens:],
		Done: r.answer.Done(), Result: r.answer.Result(),
	}
	r.copiedTokens = r.answer.Count()
	for _, id := range r.backupIDs() {
		n.send(id, m)
	}
}

// receiveProgress appends tokens to a copy, or requests a complete copy if they
// do not follow on from it.
func (n *Node) receiveProgress(from string, m peer.Progress) {
	ack := peer.CopyAck{Key: m.Key, Instance: m.Instance, Epoch: m.Epoch}
	r := n.records[m.Key]
	switch {
	case r == nil || r.request.Instance != m.Instance:
		ack.Status = peer.CopyGap
		if _, dropped := n.tombstones[m.Instance]; dropped {
			ack.Status = peer.CopyDropped
		}
	case r.held() || r.epoch > m.Epoch:
		ack.Status, ack.Holder, ack.HolderEpoch = peer.CopyKeyHeld, n.knownHolder(r), r.epoch
	case r.holder != from || r.answer.Run() != "" && r.answer.Run() != m.Run:
		ack.Status = peer.CopyGap
	default:
		n.appendCopy(r, m)
		return
	}
	n.send(from, ack)
}

func (n *Node) appendCopy(r *record, m peer.Progress) {
	before := r.size()
	if r.answer.Run() == "" {
		r.answer = caller.NewAnswer(m.Run, "", nil)
	}
	if r.answer.Append(m.Offset, m.Tokens) < 0 {
		n.send(r.holder, peer.CopyAck{Key: m.Key, Instance: m.Instance, Epoch: m.Epoch, Status: peer.CopyGap})
		return
	}
	if m.Done {
		r.answer.Complete(m.Result)
	}
	n.bytes += r.size() - before
}

func (n *Node) upstreamDone(e UpstreamDone) {
	a, r := n.attemptAndRecord(e.Attempt)
	if a == nil {
		return
	}
	if r != nil && r.phase == phaseRunning && r.answer.Count() != e.Count {
		n.failAttempt(a, r, CauseTruncated, fmt.Sprintf("%d of %d tokens arrived", r.answer.Count(), e.Count))
		return
	}
	n.endAttempt(a, upstream.DispatchSucceeded)
	if r == nil {
		return
	}
	r.attempt = 0
	if r.phase != phaseRunning {
		n.recordResult(r, e.Result)
		return
	}
	n.runTime(a.upstream.Service).Observe(n.now.Sub(a.started))
	n.recordOutcome(a, r, false)
	n.recordResult(r, e.Result)
	n.complete(r, e.Result)
	n.dispatchQueued(a.upstream.Service)
}

// complete ends a request with its complete answer.
func (n *Node) complete(r *record, result []byte) {
	n.bytes += len(result)
	r.answer.Complete(result)
	n.finish(r)
}

// finish sends the complete answer to all followers and backups and retains it
// for callers that reconnect.
func (n *Node) finish(r *record) {
	n.enter(r, phaseDone)
	n.untrack(r)
	n.count(CountAnswer, r.request.Service)
	n.publish(r)
	n.sendProgress(r)
	n.retain(r)
}

func (n *Node) endAttempt(a *attempt, result upstream.DispatchResult) {
	delete(n.attempts, a.id)
	n.upstreams.RecordEnd(n.now, a.upstream.ID, result)
	if r := n.records[a.key]; r != nil && r.attempt == a.id {
		n.endGrant(r)
	}
}

// cancelAttempt cancels an attempt without counting it for or against its
// upstream.
func (n *Node) cancelAttempt(id uint64) {
	a := n.attempts[id]
	if a == nil {
		return
	}
	n.emit(CancelDispatch{Attempt: id})
	n.endAttempt(a, upstream.DispatchNeutral)
}
