package node

import (
	"math"
	"slices"
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
)

const (
	// copyTimeout is the timeout for a backup's acknowledgement of a copy.
	copyTimeout = 300 * time.Millisecond
	// dropTimeout is the timeout for the confirmations that other nodes will
	// not run a refused request.
	dropTimeout = 200 * time.Millisecond
	// maxBackups bounds the number of nodes that a request is copied to.
	maxBackups = 5
	// tombstoneRetention is the retention period of a tombstone, longer than the
	// transit time of any message.
	tombstoneRetention = time.Minute
	// finalEpoch is the epoch sent by a holder that must not be superseded.
	finalEpoch = math.MaxUint64
)

// secure sends copies of a new request to backups. The request is accepted once
// a backup in another availability zone has acknowledged.
func (n *Node) secure(r *record) {
	if n.cfg.Faults.SkipBackup {
		n.accept(r)
		return
	}
	if len(n.addBackups(r)) == 0 {
		n.concludeSecuring(r)
		return
	}
	n.setPhaseTimer(r, n.now.Add(copyTimeout))
}

// addBackups sends copies to as many new backups as the request lacks.
func (n *Node) addBackups(r *record) []*backup {
	var added []*backup
	for _, m := range n.chooseBackups(r) {
		b := &backup{id: m.ID, state: backupSent, zone: m.Zone}
		if old := r.backup(m.ID); old != nil {
			old.state = backupSent
			b = old
		} else {
			r.backups = append(r.backups, b)
		}
		added = append(added, b)
	}
	for _, b := range added {
		n.send(b.id, r.copyFor(n.self()))
	}
	r.copiedTokens = r.answer.Count()
	return added
}

// chooseBackups returns the members to send a copy to: the first of the key's
// ranking, because other nodes look the key up there, and the first in another
// availability zone.
func (n *Node) chooseBackups(r *record) []peer.Member {
	var chosen []peer.Member
	passedFirst, otherZone := false, n.hasOtherZoneBackup(r)
	for _, m := range n.rankNear(r.request.Key, n.members.Usable()) {
		if m.ID == n.self() {
			passedFirst = true
			continue
		}
		b := r.backup(m.ID)
		hasCopy := b != nil && b.sentOrStored()
		unavailable := b != nil && !hasCopy
		wanted := !passedFirst || !otherZone && m.Zone != n.cfg.Self.Zone
		passedFirst = true
		if !wanted || unavailable || len(r.backups)+len(chosen) >= maxBackups {
			continue
		}
		otherZone = otherZone || m.Zone != n.cfg.Self.Zone
		if !hasCopy {
			chosen = append(chosen, m)
		}
		if otherZone {
			break
		}
	}
	return chosen
}

// rankNear returns the key's ranking of members, with those of this region
// first.
func (n *Node) rankNear(key string, members []peer.Member) []peer.Member {
	return peer.RankRegionFirst(key, n.cfg.Self.Region, members)
}

// hasOtherZoneBackup reports whether a usable backup in another zone holds a
// copy or is being sent one.
func (n *Node) hasOtherZoneBackup(r *record) bool {
	return slices.ContainsFunc(r.backups, func(b *backup) bool {
		if !b.sentOrStored() || b.zone == n.cfg.Self.Zone {
			return false
		}
		m, ok := n.members.Get(b.id)
		return ok && m.Usable()
	})
}

func (r *record) secured(zone string) bool {
	return slices.ContainsFunc(r.backups, func(b *backup) bool {
		return b.state == backupStored && b.zone != zone
	})
}

func (r *record) awaitingAck() bool {
	return slices.ContainsFunc(r.backups, func(b *backup) bool { return b.state == backupSent })
}

// concludeSecuring ends the securing phase once no acknowledgement is
// outstanding.
func (n *Node) concludeSecuring(r *record) {
	if r.phase != phaseSecuring || r.awaitingAck() {
		return
	}
	if r.secured(n.cfg.Self.Zone) {
		n.accept(r)
		return
	}
	if len(n.addBackups(r)) > 0 {
		n.setPhaseTimer(r, n.now.Add(copyTimeout))
		return
	}
	if n.cfg.Alone == AloneAccept && len(r.backups) == 0 {
		n.accept(r)
		return
	}
	n.refuse(r, caller.Refusal{
		Reason: caller.ReasonNoBackup, Step: "secure", RetryAfter: retryAfterBusy,
		Detail: "no node in another availability zone took a copy",
	})
}

// accept commits this node to answering the request and notifies the callers.
func (n *Node) accept(r *record) {
	r.accepted = true
	n.count(CountAccepted, r.request.Service)
	n.publish(r)
	n.proceed(r)
}

// proceed starts the next step of an accepted request.
func (n *Node) proceed(r *record) {
	if r.answer.Done() {
		n.finish(r)
		return
	}
	if n.shutdown.leaving && n.handOver(r) {
		return
	}
	if r.request.NonIdempotent && !r.claimed && !n.cfg.Faults.SkipClaim {
		n.claim(r)
		return
	}
	n.enqueue(r)
}

// copyTimedOut counts backups that did not acknowledge in time as lost.
func (n *Node) copyTimedOut(r *record) {
	for _, b := range r.backups {
		if b.state == backupSent {
			b.state = backupLost
		}
	}
	n.concludeSecuring(r)
}

// receiveCopy handles a copy sent by a holder.
func (n *Node) receiveCopy(from string, c peer.Copy) {
	ack := peer.CopyAck{Key: c.Request.Key, Instance: c.Request.Instance, Epoch: c.Epoch}
	ack.Status, ack.Holder, ack.HolderEpoch = n.decideCopy(c)
	if ack.Status == peer.CopyStored {
		old := n.records[c.Request.Key]
		ack.MayHaveRun = old != nil && n.replaceable(old)
		n.storeCopy(c)
	}
	n.send(from, ack)
}

// decideCopy decides whether a copy is stored. If the key is held already, it
// returns the holder and its epoch.
func (n *Node) decideCopy(c peer.Copy) (peer.CopyStatus, string, uint64) {
	if _, dropped := n.tombstones[c.Request.Instance]; dropped {
		return peer.CopyDropped, "", 0
	}
	r := n.records[c.Request.Key]
	if r == nil {
		return n.decideNewKey(c)
	}
	if !r.request.SameContent(c.Request) && !n.replaceable(r) {
		return peer.CopyKeyReused, "", 0
	}
	if r.held() {
		return n.decideHeld(r, c)
	}
	return n.decideBackup(r, c)
}

func (n *Node) decideNewKey(c peer.Copy) (peer.CopyStatus, string, uint64) {
	size := recordFromCopy(c).size()
	n.evictEnded(size)
	if n.bytes+size > n.cfg.MemoryBytes {
		return peer.CopyNoMemory, "", 0
	}
	return peer.CopyStored, "", 0
}

// decideHeld decides between this node, which holds the key, and the sender.
func (n *Node) decideHeld(r *record, c peer.Copy) (peer.CopyStatus, string, uint64) {
	if n.replaceable(r) {
		return peer.CopyStored, "", 0
	}
	if r.terminal() || r.request.NonIdempotent && r.attempt != 0 {
		return peer.CopyKeyHeld, n.self(), finalEpoch
	}
	same := r.request.Instance == c.Request.Instance
	if same && outranks(c.Epoch, c.Holder, r.epoch, n.self()) {
		return peer.CopyStored, "", 0
	}
	return peer.CopyKeyHeld, n.self(), r.epoch
}

// decideBackup decides between the copy on this node and the one offered.
func (n *Node) decideBackup(r *record, c peer.Copy) (peer.CopyStatus, string, uint64) {
	if r.holder == c.Holder || r.request.Instance == c.Request.Instance && outranks(c.Epoch, c.Holder, r.epoch, r.holder) {
		return peer.CopyStored, "", 0
	}
	if r.answer.Done() {
		return peer.CopyKeyHeld, n.self(), finalEpoch
	}
	if n.members.IsDead(r.holder) {
		n.takeOver(r)
		return peer.CopyKeyHeld, n.self(), r.epoch
	}
	return peer.CopyKeyHeld, r.holder, r.epoch
}

// outranks reports whether holder a with epoch ea has precedence over holder b
// with epoch eb.
func outranks(ea uint64, a string, eb uint64, b string) bool {
	if ea != eb {
		return ea > eb
	}
	return a > b
}

// storeCopy stores a copy. If this node was the holder until now, it becomes a
// backup, and its callers follow the new holder.
func (n *Node) storeCopy(c peer.Copy) {
	old := n.records[c.Request.Key]
	fresh := recordFromCopy(c)
	n.put(fresh)
	n.timers.add(timer{at: fresh.expiry(n.cfg.Retention), kind: timerRetention, key: c.Request.Key, instance: c.Request.Instance})
	if old != nil && old.held() {
		n.stepDown(old, c.Holder)
	}
}

// stepDown ends this node's work as the holder in favour of another node.
func (n *Node) stepDown(r *record, holder string) {
	n.stopWork(r)
	n.untrack(r)
	followers := r.followers
	r.followers = nil
	for _, f := range followers {
		n.redirect(r, f, holder)
	}
}

// receiveCopyAck handles a backup's reply to a copy.
func (n *Node) receiveCopyAck(from string, ack peer.CopyAck) {
	r := n.records[ack.Key]
	if r == nil || !r.held() || r.request.Instance != ack.Instance || r.epoch != ack.Epoch {
		return
	}
	b := r.backup(from)
	if b == nil {
		return
	}
	r.mayHaveRun = r.mayHaveRun || ack.MayHaveRun
	switch ack.Status {
	case peer.CopyStored:
		if b.state != backupDropped {
			b.state = backupStored
		}
	case peer.CopyGap:
		n.send(from, r.copyFor(n.self()))
		return
	case peer.CopyKeyHeld:
		b.state = backupDropped
		if n.yields(r, ack) {
			n.yieldTo(r, ack.Holder)
			return
		}
	case peer.CopyKeyReused:
		b.state = backupDropped
		if r.phase == phaseSecuring {
			n.refuse(r, caller.Refusal{
				Reason: caller.ReasonKeyReused, Step: "secure", Peer: from,
				Detail: "the idempotency key was used with another request",
			})
			return
		}
	case peer.CopyDropped, peer.CopyNoMemory:
		b.state = backupDropped
	}
	n.concludeSecuring(r)
}

// yields reports whether this node yields to the holder named in ack.
func (n *Node) yields(r *record, ack peer.CopyAck) bool {
	if ack.Holder == n.self() || r.terminal() || r.phase == phaseReleasing || r.phase == phaseHandingOver {
		return false
	}
	if r.phase == phaseSecuring {
		return true
	}
	if r.request.NonIdempotent && r.attempt != 0 {
		return false
	}
	return outranks(ack.HolderEpoch, ack.Holder, r.epoch, n.self())
}

// yieldTo drops this node's submission and follows the node that holds the key.
func (n *Node) yieldTo(r *record, holder string) {
	n.remove(r.request.Key)
	n.tombstone(r.request.Instance)
	n.dropCopies(r)
	n.stepDown(r, holder)
}
