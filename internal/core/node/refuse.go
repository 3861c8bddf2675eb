package node

import (
	"slices"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
)

// receiveDrop handles the request to drop a copy. A tombstone for the instance
// keeps a copy that arrives late from being stored.
func (n *Node) receiveDrop(from string, d peer.Drop) {
	ack := peer.DropAck{Key: d.Key, Instance: d.Instance, Epoch: d.Epoch}
	r := n.records[d.Key]
	_, dropped := n.tombstones[d.Instance]
	switch {
	case r != nil && r.request.Instance == d.Instance:
		ack.TakenOver = r.held() || r.epoch > d.Epoch
		if !ack.TakenOver {
			n.remove(d.Key)
		}
	case r != nil && r.phase != phaseReleasing:
		ack.Holder = n.self()
		if !r.held() && !r.answer.Done() {
			ack.Holder = r.holder
		}
	default:
		ack.Unknown = !dropped
		ack.RecordsMayBeLost = n.copiesMayBeLost(d.Key)
	}
	if !ack.TakenOver {
		n.tombstone(d.Instance)
	}
	n.send(from, ack)
}

// dropCopies sends a drop request to all backups that are neither lost nor
// dropped.
func (n *Node) dropCopies(r *record) {
	for _, id := range r.backupIDs() {
		n.send(id, dropMessage(r))
	}
}

func dropMessage(r *record) peer.Drop {
	return peer.Drop{Key: r.request.Key, Instance: r.request.Instance, Epoch: r.epoch}
}

func (n *Node) tombstone(instance string) { n.tombstones[instance] = n.now }

// receiveDropAck counts a confirmation towards a not_run refusal.
func (n *Node) receiveDropAck(from string, ack peer.DropAck) {
	r := n.records[ack.Key]
	if r == nil || !r.held() || r.request.Instance != ack.Instance || r.epoch != ack.Epoch {
		return
	}
	if r.phase == phaseReleasing && (ack.TakenOver || ack.Holder != "") {
		n.followOtherHolder(r, from, ack)
		return
	}
	r.uncertain = r.uncertain || ack.RecordsMayBeLost
	b := r.backup(from)
	switch {
	case b != nil && ack.Unknown && b.state != backupDropped:
		// The node may have had the copy, run it and removed it since.
		r.uncertain = true
	case b != nil:
		b.state = backupDropped
	}
	delete(r.awaitingDropAck, from)
	n.concludeRelease(r)
}

// followOtherHolder drops this node's submission and follows the node that
// turned out to hold the request.
func (n *Node) followOtherHolder(r *record, from string, ack peer.DropAck) {
	holder := ack.Holder
	if ack.TakenOver {
		holder = from
	}
	n.remove(r.request.Key)
	n.tombstone(r.request.Instance)
	n.stepDown(r, holder)
}

// refuse ends a request without an answer. The outcome is not_run only if no
// attempt may have run it and all nodes that may know the key confirm that they
// will not run it.
func (n *Node) refuse(r *record, refusal caller.Refusal) {
	if r.terminal() || r.phase == phaseReleasing {
		return
	}
	n.stopWork(r)
	if r.mayHaveRun {
		if refusal.Outcome != caller.Ran {
			refusal.Outcome = caller.Unknown
		}
		n.fail(r, refusal)
		return
	}
	n.release(r, refusal)
}

// release sends a drop request to all nodes that may know the key. The refusal
// is sent as soon as all have confirmed, or after dropTimeout.
func (n *Node) release(r *record, refusal caller.Refusal) {
	refusal.Outcome = caller.NotRun
	r.pendingRefusal = &refusal
	r.awaitingDropAck = make(map[string]bool)
	r.uncertain = n.copiesMayBeLost(r.request.Key)
	n.enter(r, phaseReleasing)
	for _, id := range n.lookupTargets(r.request.Key) {
		n.requestDrop(r, id)
	}
	for _, b := range r.backups {
		if b.state != backupDropped {
			n.requestDrop(r, b.id)
		}
	}
	n.setPhaseTimer(r, n.now.Add(dropTimeout))
	n.concludeRelease(r)
}

// copiesMayBeLost reports whether a holder of the key and all its backups may
// be among the members that died recently.
func (n *Node) copiesMayBeLost(key string) bool {
	dead := n.members.Dead()
	if len(dead) < 2 {
		return false
	}
	for _, holder := range dead {
		ranked := peer.RankRegionFirst(key, holder.Region, n.members.All())
		if !slices.ContainsFunc(backupsOf(holder, ranked), func(m peer.Member) bool { return m.State != peer.Dead }) {
			return true
		}
	}
	return false
}

// backupsOf returns the members that a holder sends copies to, given the key's
// ranking of members: the first one, and the first in another zone if that is a
// different one.
func backupsOf(holder peer.Member, ranked []peer.Member) []peer.Member {
	var backups []peer.Member
	for i, m := range ranked {
		otherZone := m.Zone != holder.Zone
		if m.ID != holder.ID && (i == 0 || otherZone) {
			backups = append(backups, m)
		}
		if otherZone {
			break
		}
	}
	return backups
}

func (n *Node) requestDrop(r *record, id string) {
	if r.awaitingDropAck[id] {
		return
	}
	r.awaitingDropAck[id] = true
	n.send(id, dropMessage(r))
}

func (n *Node) concludeRelease(r *record) {
	if r.phase != phaseReleasing || len(r.awaitingDropAck) > 0 {
		return
	}
	n.finishRelease(r, !r.uncertain)
}

// dropTimedOut sends the refusal although not all nodes have confirmed.
func (n *Node) dropTimedOut(r *record) { n.finishRelease(r, false) }

func (n *Node) finishRelease(r *record, confirmed bool) {
	refusal := *r.pendingRefusal
	if !confirmed {
		refusal.Outcome = caller.Unknown
		refusal.Detail += "; some nodes could not confirm that they did not run it"
	}
	n.fail(r, refusal)
	if n.cfg.Faults.DispatchRefused && refusal.Reason != caller.ReasonQuarantined {
		n.put(r)
		n.enqueue(r)
	}
}

// fail ends a request with a refusal and sends it to all followers.
func (n *Node) fail(r *record, refusal caller.Refusal) {
	n.enter(r, phaseFailed)
	r.refusal = &refusal
	n.untrack(r)
	n.count(CountRefusal, string(refusal.Reason))
	n.log(LevelInfo, refusal.Step, r.request.Key, refusal.Peer, "request refused: %s, outcome %s", refusal.Reason, refusal.Outcome)
	if refusal.Outcome != caller.NotRun {
		n.dropCopies(r)
	}
	n.publish(r)
	if refusal.Outcome == caller.NotRun {
		// A caller that reconnects starts a new submission.
		n.remove(r.request.Key)
		return
	}
	n.retain(r)
}

// stopWork removes a request from the queue, the ledger and the upstream.
func (n *Node) stopWork(r *record) {
	n.queue(r.request.Service).Remove(r.request.Team, r.request.Key)
	r.phaseTimer = 0
	n.endGrant(r)
	n.withdrawClaim(r)
	if r.attempt != 0 && !r.request.NonIdempotent {
		n.cancelAttempt(r.attempt)
		r.attempt = 0
	}
}
