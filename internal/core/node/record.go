package node

import (
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
)

// phase is the state of a request at this node.
type phase string

const (
	phaseSecuring    phase = "securing"
	phaseClaiming    phase = "claiming"
	phaseQueued      phase = "queued"
	phaseRunning     phase = "running"
	phaseRetrying    phase = "retrying"
	phaseReleasing   phase = "releasing"
	phaseHandingOver phase = "handing"
	phaseDone        phase = "done"
	phaseFailed      phase = "failed"
	// phaseBackup: another node is the holder.
	phaseBackup phase = "backup"
)

// backupState is the holder's view of a node that it sent a copy.
type backupState string

const (
	backupSent   backupState = "sent"
	backupStored backupState = "kept"
	// backupLost: no acknowledgement was received; the node may still hold a
	// copy.
	backupLost backupState = "lost"
	// backupDropped: the node has no copy, because it confirmed the drop or
	// rejected the copy.
	backupDropped backupState = "freed"
)

type backup struct {
	id    string
	state backupState
	zone  string
}

// sentOrStored reports whether the node holds a copy or one is on its way there.
// It is false for a lost backup, although that may hold a copy too.
func (b *backup) sentOrStored() bool { return b.state == backupSent || b.state == backupStored }

// follower is a receiver of an answer: a caller's connection or another node.
type follower struct {
	conn     uint64
	node     string
	sub      uint64
	position caller.Position
	accepted bool
}

// record is a node's state of one request.
type record struct {
	request    caller.Request
	content    uint64
	phase      phase
	epoch      uint64
	holder     string
	answer     caller.Answer
	refusal    *caller.Refusal
	accepted   bool
	mayHaveRun bool
	followers  []*follower

	// backups are the nodes that this holder sent copies to.
	backups []*backup
	// copiedTokens is the number of tokens already sent to the backups.
	copiedTokens int
	// successors lists the backups in the order in which they take over. A
	// backup receives it from the holder.
	successors []string

	// version is the upstream version that the answer was started on.
	version     string
	attempt     uint64
	attemptsRun int
	failedOn    []string

	// grant is the upstream reserved for this request while its content is
	// suspected, grantedBy the node that reserved it (empty for this node).
	grant            string
	grantedBy        string
	grantRequestedAt time.Time

	claimed bool
	// claimOp is the pending claim operation on the ledger, claimNumber the
	// number of the latest claim.
	claimOp     uint64
	claimNumber uint64
	// supersedes is the claim of the previous holder that handed the request
	// over.
	supersedes peer.ClaimRef

	// pendingRefusal is the refusal to send once all nodes in awaitingDropAck
	// have confirmed that they will not run the request; uncertain is set if one
	// of them could not confirm it.
	pendingRefusal  *caller.Refusal
	awaitingDropAck map[string]bool
	uncertain       bool
	// handOverTo is the node that the request is being handed over to,
	// handOvers the number of hand-overs attempted.
	handOverTo string
	handOvers  int
	// offer is the epoch offered with the latest hand-over.
	offer uint64

	// tracked is set while the request counts towards its team's limit.
	tracked bool
	// phaseTimer is the number of the active phase timer; 0 if there is none.
	phaseTimer uint64
}

func (r *record) held() bool { return r.phase != phaseBackup }

func (r *record) terminal() bool { return r.phase == phaseDone || r.phase == phaseFailed }

// active reports whether this node has to bring the request to an end.
func (r *record) active() bool { return r.held() && !r.terminal() }

// committed reports whether this node has to provide the answer to callers, now
// or when they reconnect.
func (r *record) committed() bool {
	return r.held() && r.accepted && r.phase != phaseFailed
}

func (r *record) size() int { return r.request.Size() + r.answer.Size() }

func (r *record) backup(id string) *backup {
	for _, b := range r.backups {
		if b.id == id {
			return b
		}
	}
	return nil
}

// backupIDs returns the IDs of the backups that are neither lost nor dropped.
func (r *record) backupIDs() []string {
	var ids []string
	for _, b := range r.backups {
		if b.sentOrStored() {
			ids = append(ids, b.id)
		}
	}
	return ids
}

// copyFor returns the message that transfers the complete record to another
// node.
func (r *record) copyFor(holder string) peer.Copy {
	return peer.Copy{
		Request:    r.request,
		Epoch:      r.epoch,
		Holder:     holder,
		Backups:    r.backupIDs(),
		Run:        r.answer.Run(),
		Parent:     r.answer.Parent(),
		Base:       r.answer.Base(),
		Tokens:     r.answer.Tokens(),
		Done:       r.answer.Done(),
		Result:     r.answer.Result(),
		Refusal:    r.refusal,
		MayHaveRun: r.mayHaveRun,
	}
}

// recordFromCopy returns a backup's record for a copy.
func recordFromCopy(c peer.Copy) *record {
	r := &record{
		request:    c.Request,
		content:    c.Request.ContentHash(),
		phase:      phaseBackup,
		epoch:      c.Epoch,
		holder:     c.Holder,
		refusal:    c.Refusal,
		accepted:   true,
		mayHaveRun: c.MayHaveRun,
		successors: c.Backups,
	}
	r.answer = caller.RestoreAnswer(c.Run, c.Parent, c.Base, c.Tokens)
	if c.Done {
		r.answer.Complete(c.Result)
	}
	return r
}

// expiry returns the time after which a copy of a request that did not end is
// no longer useful.
func (r *record) expiry(retention time.Duration) time.Time {
	return r.request.Deadline.Add(retention)
}
