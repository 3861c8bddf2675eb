package node

import (
	"slices"
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
)

const (
	// successorDelay is the time that a backup waits per living backup ahead of
	// it before it takes over.
	successorDelay = 500 * time.Millisecond
	// handOverTimeout is the timeout for the acknowledgement of a hand-over.
	handOverTimeout = 300 * time.Millisecond
	// maxHandOvers bounds the number of nodes that a request is offered to.
	maxHandOvers = 3
	// ledgerDrainTimeout is the maximum time that a leaving node without other
	// work waits for its results to be written to the ledger. Backups hold the
	// results as well.
	ledgerDrainTimeout = 3 * time.Second
	// callerMoveMargin is the time before the reclaim at which connected callers
	// are redirected to another address.
	callerMoveMargin = 700 * time.Millisecond
)

// memberDied takes over requests from a dead holder, replaces a dead backup and
// renews subscriptions at the dead node.
func (n *Node) memberDied(id string) {
	for _, key := range n.sortedKeys(func(r *record) bool { return r.phase == phaseBackup && r.holder == id }) {
		n.takeOverInOrder(n.records[key])
	}
	n.backupLost(id)
	for _, s := range n.subsSorted() {
		if s.holder == id {
			n.renew(s)
		}
	}
}

// backupLost replaces a dead or leaving backup for requests in progress and for
// answers that callers may still reconnect for.
func (n *Node) backupLost(id string) {
	affected := n.sortedKeys(func(r *record) bool { return r.committed() && r.backup(id) != nil })
	for _, key := range affected {
		r := n.records[key]
		if b := r.backup(id); b.state != backupDropped {
			b.state = backupLost
		}
		n.addBackups(r)
	}
}

// takeOverInOrder takes over immediately if this node is the first living
// successor, and otherwise after a delay.
func (n *Node) takeOverInOrder(r *record) {
	rank := 0
	for _, id := range r.successors {
		if id == n.self() {
			if rank == 0 {
				n.takeOver(r)
				return
			}
			n.setPhaseTimer(r, n.now.Add(time.Duration(rank)*successorDelay))
			return
		}
		if !n.members.IsDead(id) {
			rank++
		}
	}
}

func (n *Node) takeOverIfDead(r *record) {
	if n.members.IsDead(r.holder) {
		n.takeOver(r)
	}
}

// takeOver makes this node the holder after the previous holder died. The
// previous holder may have dispatched the request.
func (n *Node) takeOver(r *record) {
	if r.answer.Done() {
		n.adoptAnswer(r)
		return
	}
	if !n.now.Before(r.request.Deadline) {
		return
	}
	n.count(CountTakeover, "death")
	n.log(LevelInfo, "takeover", r.request.Key, r.holder, "taking over from the dead holder with %d tokens", r.answer.Count())
	r.mayHaveRun = true
	n.becomeHolder(r, r.epoch+1, r.successors)
	n.proceed(r)
}

// adoptAnswer makes this node the holder of a complete answer whose holder is
// gone, so that the answer has a backup again.
func (n *Node) adoptAnswer(r *record) {
	r.epoch++
	r.holder = n.self()
	r.accepted = true
	r.backups = nil
	n.enter(r, phaseDone)
	n.addBackups(r)
	n.retain(r)
}

// becomeHolder starts a new epoch and a new run that continues the copied
// tokens, and notifies the other backups.
func (n *Node) becomeHolder(r *record, epoch uint64, backups []string) {
	r.epoch = epoch
	r.holder = n.self()
	r.accepted = true
	r.backups = nil
	r.attempt = 0
	if r.answer.Run() != "" {
		r.answer = caller.NewAnswer(n.newRun(), r.answer.Run(), r.answer.Tokens())
	}
	n.enter(r, phaseQueued)
	n.track(r)
	n.timers.add(timer{at: r.request.Deadline, kind: timerDeadline, key: r.request.Key, instance: r.request.Instance})
	for _, id := range backups {
		if m, ok := n.members.Get(id); ok && id != n.self() && m.State != peer.Dead {
			r.backups = append(r.backups, &backup{id: id, state: backupSent, zone: m.Zone})
		}
	}
	n.refreshBackups(r)
	n.addBackups(r)
	n.adoptSubscriptions(r)
}

// refreshBackups sends the complete record to all its backups.
func (n *Node) refreshBackups(r *record) {
	for _, id := range r.backupIDs() {
		n.send(id, r.copyFor(n.self()))
	}
	r.copiedTokens = r.answer.Count()
}

// adoptSubscriptions turns this node's subscriptions to the answer into local
// followers.
func (n *Node) adoptSubscriptions(r *record) {
	for _, s := range n.subsSorted() {
		if s.key == r.request.Key {
			n.followLocally(s, r)
		}
	}
}

// leave starts a graceful shutdown. until is the time of the reclaim, zero if
// there is none.
func (n *Node) leave(until time.Time) {
	if !until.IsZero() && (n.shutdown.until.IsZero() || until.Before(n.shutdown.until)) {
		n.shutdown.until = until
	}
	if !n.shutdown.leaving {
		n.shutdown.leaving = true
		n.members.MarkSelfLeaving()
		n.log(LevelInfo, "leave", "", "", "graceful shutdown started")
		n.broadcast(peer.Ping{Members: []peer.Member{n.members.Self()}})
	}
	for _, key := range n.sortedKeys(n.mustHandOver) {
		n.handOver(n.records[key])
	}
	for _, key := range n.sortedKeys(n.mayBeLastCopy) {
		n.adoptAnswer(n.records[key])
	}
	for _, key := range n.sortedKeys(func(r *record) bool { return r.phase == phaseDone }) {
		n.addBackups(n.records[key])
	}
}

// mayBeLastCopy reports whether this node has a complete answer that its holder
// may no longer be able to provide.
func (n *Node) mayBeLastCopy(r *record) bool {
	if r.phase != phaseBackup || !r.answer.Done() {
		return false
	}
	m, ok := n.members.Get(r.holder)
	return !ok || !m.Usable()
}

// shutdownState is the state of a graceful shutdown.
type shutdownState struct {
	leaving bool
	// idleSince is the time at which all work except writes to the ledger was
	// done.
	idleSince    time.Time
	until        time.Time
	callersMoved bool
	drained      bool
}

// mustHandOver reports whether a leaving node hands the request over now. With
// a reclaim ahead this includes running idempotent requests.
func (n *Node) mustHandOver(r *record) bool {
	switch r.phase {
	case phaseQueued, phaseClaiming, phaseRetrying:
		return r.accepted
	case phaseRunning:
		return !n.shutdown.until.IsZero() && !r.request.NonIdempotent
	}
	return false
}

// handOver offers a request to another node and reports whether one was found.
func (n *Node) handOver(r *record) bool {
	if r.handOvers >= maxHandOvers || r.request.NonIdempotent && r.attempt != 0 {
		return false
	}
	target, ok := n.handOverTarget(r)
	if !ok {
		return false
	}
	claim := peer.ClaimRef{}
	if r.claimNumber != 0 {
		claim = peer.ClaimRef{Holder: n.self(), Number: r.claimNumber}
	}
	r.claimed = false
	n.stopWork(r)
	r.handOvers++
	r.offer = max(r.offer, r.epoch) + 1
	r.handOverTo = target.ID
	if b := r.backup(target.ID); b != nil {
		b.state = backupSent
	} else {
		r.backups = append(r.backups, &backup{id: target.ID, state: backupSent, zone: target.Zone})
	}
	n.enter(r, phaseHandingOver)
	n.setPhaseTimer(r, n.now.Add(handOverTimeout))
	// This node's epoch stays below the offered one, so that it yields if it
	// learns of the new holder before the acknowledgement arrives.
	offer := r.copyFor(target.ID)
	offer.Epoch = r.offer
	n.send(target.ID, peer.HandOver{Copy: offer, Claim: claim})
	return true
}

// handOverTarget returns the node to hand a request over to, preferably a
// backup that already has a copy.
func (n *Node) handOverTarget(r *record) (peer.Member, bool) {
	var other peer.Member
	for _, m := range n.rankNear(r.request.Key, n.members.Usable()) {
		b := r.backup(m.ID)
		if m.ID == n.self() || b != nil && b.state == backupLost || m.ID == r.handOverTo {
			continue
		}
		if b != nil && b.state == backupStored {
			return m, true
		}
		if other.ID == "" {
			other = m
		}
	}
	return other, other.ID != ""
}

// receiveHandOver makes this node the holder of another node's request.
func (n *Node) receiveHandOver(from string, m peer.HandOver) {
	c := m.Copy
	ack := peer.HandOverAck{Key: c.Request.Key, Instance: c.Request.Instance, Epoch: c.Epoch}
	r := n.records[c.Request.Key]
	_, dropped := n.tombstones[c.Request.Instance]
	own := r != nil && r.held() && r.request.Instance == c.Request.Instance
	switch {
	case own && r.epoch >= c.Epoch:
		ack.Accepted = true
	case own || dropped || n.shutdown.leaving || r != nil && r.request.Instance != c.Request.Instance:
	default:
		ack.Accepted = true
		n.acceptHandOver(m)
	}
	n.send(from, ack)
}

func (n *Node) acceptHandOver(m peer.HandOver) {
	r := recordFromCopy(m.Copy)
	r.supersedes = m.Claim
	n.put(r)
	n.count(CountTakeover, "handover")
	n.becomeHolder(r, m.Copy.Epoch, m.Copy.Backups)
	n.proceed(r)
}

// receiveHandOverAck ends this node's work on a request that the other node
// accepted.
func (n *Node) receiveHandOverAck(from string, ack peer.HandOverAck) {
	r := n.records[ack.Key]
	if r == nil || r.phase != phaseHandingOver || r.offer != ack.Epoch || r.handOverTo != from {
		return
	}
	if !ack.Accepted {
		r.backup(from).state = backupDropped
		n.handOverFailed(r)
		return
	}
	n.enter(r, phaseBackup)
	r.holder, r.epoch = from, r.offer
	r.successors = nil
	n.retain(r)
	n.stepDown(r, from)
}

// handOverTimedOut tries another node. The one that did not reply may have
// taken the request over; the epoch that it was offered is lower than that of
// any later holder.
func (n *Node) handOverTimedOut(r *record) {
	if b := r.backup(r.handOverTo); b != nil {
		b.state = backupLost
	}
	n.handOverFailed(r)
}

// handOverFailed offers the request to another node, or continues with it here.
func (n *Node) handOverFailed(r *record) {
	if n.handOver(r) {
		return
	}
	r.epoch = r.offer + 1
	r.handOvers = maxHandOvers
	n.refreshBackups(r)
	n.proceed(r)
}

// moveCallers redirects the connected callers to another node shortly before
// the reclaim.
func (n *Node) moveCallers() {
	if n.shutdown.until.IsZero() || n.shutdown.callersMoved || n.now.Before(n.shutdown.until.Add(-callerMoveMargin)) {
		return
	}
	n.shutdown.callersMoved = true
	var conns []uint64
	for conn := range n.conns {
		conns = append(conns, conn)
	}
	slices.Sort(conns)
	for _, conn := range conns {
		key := n.conns[conn]
		address := n.addressFor(key)
		n.callerDisconnected(conn)
		n.reply(conn, caller.Moved{Address: address})
	}
}

// addressFor returns the address at which the answer to a key can be read once
// this node is gone.
func (n *Node) addressFor(key string) string {
	if r := n.records[key]; r != nil && r.phase == phaseBackup {
		if m, ok := n.members.Get(r.holder); ok {
			return m.CallerAddress
		}
	}
	for _, m := range n.rankNear(key, n.members.Usable()) {
		if m.ID != n.self() {
			return m.CallerAddress
		}
	}
	return ""
}

// isIdle reports whether no caller and no request needs this node any more.
func (n *Node) isIdle() bool {
	if len(n.conns) > 0 || len(n.subs) > 0 {
		return false
	}
	for _, r := range n.records {
		if r.active() {
			return false
		}
	}
	return true
}

// checkDrained reports, once, that a leaving node has no work left.
func (n *Node) checkDrained() {
	if !n.shutdown.leaving || n.shutdown.drained || !n.isIdle() {
		return
	}
	if n.shutdown.idleSince.IsZero() {
		n.shutdown.idleSince = n.now
	}
	if len(n.claims) > 0 && n.now.Sub(n.shutdown.idleSince) < ledgerDrainTimeout {
		return
	}
	n.shutdown.drained = true
	n.members.MarkSelfDead()
	n.broadcast(peer.Ping{Members: []peer.Member{n.members.Self()}})
	n.emit(Drained{})
}
