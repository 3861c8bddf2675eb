package node

import (
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/platform"
)

const (
	// claimForwardTimeout is the timeout for the reply of a ledger shard's
	// preferred node, after which this node writes to the platform itself.
	claimForwardTimeout = 250 * time.Millisecond
	// claimMargin is the time before the deadline at which a pending claim is
	// abandoned, so that the refusal still reaches the caller in time.
	claimMargin = 200 * time.Millisecond
)

// claim is a pending operation on the ledger: a claim, or the result or release
// of one.
type claim struct {
	op platform.Op
	// key is the key of the request; empty for a peer's operation.
	key string
	// from is the peer that requested the operation, fromOp its ID there.
	from   string
	fromOp uint64
	// forwarded is set while the operation is with the shard's preferred node.
	forwarded bool
}

// claim requests the exclusive right to run a non-idempotent request.
func (n *Node) claim(r *record) {
	n.enter(r, phaseClaiming)
	r.claimOp = n.id()
	r.claimNumber = r.claimOp
	op := platform.Op{ID: r.claimOp, Entry: n.entry(r, peer.EntryClaimed), Supersedes: r.supersedes}
	n.submit(&claim{op: op, key: r.request.Key})
	if at := r.request.Deadline.Add(-claimMargin); at.After(n.now) {
		n.setPhaseTimer(r, at)
	}
}

func (n *Node) entry(r *record, state peer.EntryState) peer.Entry {
	return peer.Entry{
		KeyHash:  platform.KeyHash(r.request.Key),
		Instance: r.request.Instance,
		Holder:   n.self(),
		State:    state,
		Content:  r.content,
		Claim:    r.claimNumber,
	}
}

// submit sends an operation to the shard's preferred node. If that is this
// node, or if the operation comes from a peer, it goes to the platform.
func (n *Node) submit(c *claim) {
	n.claims[c.op.ID] = c
	shard := n.ledger.ShardPath(c.op.Entry.KeyHash)
	best, ok := peer.Preferred(shard, n.members.Usable())
	if !ok || best.ID == n.self() || c.from != "" {
		n.ledger.Submit(n.now, c.op)
		return
	}
	c.forwarded = true
	n.send(best.ID, peer.LedgerRequest{Op: c.op.ID, Entry: c.op.Entry, Supersedes: c.op.Supersedes})
	n.timers.add(timer{at: n.now.Add(claimForwardTimeout), kind: timerClaim, number: c.op.ID})
}

// claimForwardTimedOut writes to the platform directly after the preferred node
// did not reply. Both may write: applying an operation twice has the same
// result as applying it once.
func (n *Node) claimForwardTimedOut(id uint64) {
	if c := n.claims[id]; c != nil && c.forwarded {
		c.forwarded = false
		n.ledger.Submit(n.now, c.op)
	}
}

// receiveClaim executes a ledger operation for a peer.
func (n *Node) receiveClaim(from string, m peer.LedgerRequest) {
	op := platform.Op{ID: n.id(), Entry: m.Entry, Supersedes: m.Supersedes}
	n.submit(&claim{op: op, from: from, fromOp: m.Op})
}

func (n *Node) receiveLedgerReply(m peer.LedgerReply) {
	n.ledger.Withdraw(m.Op)
	n.handleLedgerResult(platform.Result{Op: m.Op, Granted: m.Granted, Full: m.Full, Entry: m.Entry})
}

// runLedger emits the ledger's object calls and handles the results of finished
// operations.
func (n *Node) runLedger() {
	for _, r := range n.ledger.Results() {
		n.handleLedgerResult(r)
	}
	for _, c := range n.ledger.Tick(n.now) {
		if c.Write {
			call := n.storeCall(storeCall{ledger: c.ID})
			n.writeObject(call, c.Path, c.IfRevision, c.Value)
			continue
		}
		n.readObject(n.storeCall(storeCall{ledger: c.ID}), c.Path)
	}
	for _, r := range n.ledger.Results() {
		n.handleLedgerResult(r)
	}
}

// handleLedgerResult handles the result of a ledger operation, or sends it to
// the peer that requested the operation.
func (n *Node) handleLedgerResult(res platform.Result) {
	c := n.claims[res.Op]
	if c == nil {
		return
	}
	delete(n.claims, res.Op)
	if c.from != "" {
		n.send(c.from, peer.LedgerReply{Op: c.fromOp, Granted: res.Granted, Full: res.Full, Entry: res.Entry})
		return
	}
	if c.op.Entry.State != peer.EntryClaimed {
		return
	}
	r := n.records[c.key]
	if r == nil || r.claimOp != res.Op || r.phase != phaseClaiming {
		n.releaseClaim(c, res)
		return
	}
	r.claimOp = 0
	n.handleClaimResult(r, res)
}

// releaseClaim releases a claim that was granted after the request had ended.
func (n *Node) releaseClaim(c *claim, res platform.Result) {
	if !res.Granted {
		return
	}
	entry := c.op.Entry
	entry.State = peer.EntryReleased
	n.submit(&claim{op: platform.Op{ID: n.id(), Entry: entry}})
}

func (n *Node) handleClaimResult(r *record, res platform.Result) {
	switch {
	case res.Granted:
		// Every dispatch needs a claim, so no earlier holder has dispatched the
		// request.
		r.claimed = true
		r.mayHaveRun = false
		n.enqueue(r)
	case res.Full:
		n.refuse(r, caller.Refusal{
			Reason: caller.ReasonStoreUnavailable, Step: "claim", Peer: "platform",
			Detail: "the ledger shard is full", RetryAfter: retryAfterBusy,
		})
	case res.Entry.Content != r.content:
		n.refuse(r, caller.Refusal{
			Reason: caller.ReasonKeyReused, Step: "claim", Peer: res.Entry.Holder,
			Detail: "the idempotency key was used with another request",
		})
	case res.Entry.State == peer.EntryDone && len(res.Entry.Result) > 0:
		n.complete(r, res.Entry.Result)
	default:
		n.claimedElsewhere(r, res.Entry)
	}
}

// claimedElsewhere handles a key that another holder or an earlier submission
// has claimed. If that holder is alive, its answer is followed; otherwise the
// request is refused.
func (n *Node) claimedElsewhere(r *record, e peer.Entry) {
	_, known := n.members.Get(e.Holder)
	if known && e.Holder != n.self() && !n.members.IsDead(e.Holder) {
		n.followClaim(r, e.Holder)
		return
	}
	r.mayHaveRun = true
	n.refuse(r, caller.Refusal{
		Reason: caller.ReasonClaimedElsewhere, Step: "claim", Peer: e.Holder,
		Detail: "the request was claimed before and its result is not known",
	})
}

// followClaim yields to the holder that the ledger names, and marks the
// subscriptions that this creates for the request's callers as claimed.
func (n *Node) followClaim(r *record, holder string) {
	lastID := n.nextID
	n.yieldTo(r, holder)
	for _, s := range n.subsSorted() {
		if s.id > lastID && s.key == r.request.Key {
			s.claimed = true
		}
	}
}

// withdrawClaim withdraws a claim that is no longer needed. If a pending one is
// granted nevertheless, it is released when its result arrives.
func (n *Node) withdrawClaim(r *record) {
	if r.claimed && !r.mayHaveRun {
		r.claimed = false
		n.submit(&claim{op: platform.Op{ID: n.id(), Entry: n.entry(r, peer.EntryReleased)}})
	}
	if r.claimOp == 0 {
		return
	}
	n.ledger.Withdraw(r.claimOp)
	r.claimOp = 0
}

// recordResult writes the result of a non-idempotent request to the ledger.
func (n *Node) recordResult(r *record, result []byte) {
	if !r.request.NonIdempotent || !r.claimed {
		return
	}
	entry := n.entry(r, peer.EntryDone)
	entry.Result = result
	n.submit(&claim{op: platform.Op{ID: n.id(), Entry: entry}})
}

// claimTimedOut refuses a request whose claim was not granted in time.
func (n *Node) claimTimedOut(r *record) {
	n.refuse(r, caller.Refusal{
		Reason: caller.ReasonStoreUnavailable, Step: "claim", Peer: "platform", RetryAfter: retryAfterBusy,
		Detail: "the claim could not be written before the deadline",
	})
}
