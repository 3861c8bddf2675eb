package node

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"monsoonlanding/internal/core/operator"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/platform"
)

const (
	// RulesPath is the path of the object that holds the accepted rules.
	RulesPath = "rules/current"
	// HistoryPrefix is the prefix of the paths of all accepted revisions of the
	// rules.
	HistoryPrefix = "rules/history/"
	// initialRulesInterval is the interval between two reads of the rules by a
	// node that has none.
	initialRulesInterval = 500 * time.Millisecond
	// storeRetryDelay is the delay before a failed watch of the rules object is
	// retried. Failed calls for an ApplyRules are retried after a quarter of it.
	storeRetryDelay = time.Second
	// applyTimeout is the time limit for retries of the failed calls of one
	// ApplyRules.
	applyTimeout = 5 * time.Second
)

// Document is the accepted rules as stored in the platform.
type Document struct {
	Revision uint64    `cbor:"1,keyasint" json:"revision"`
	Text     string    `cbor:"2,keyasint" json:"text"`
	Edit     string    `cbor:"3,keyasint" json:"edit"`
	Author   string    `cbor:"4,keyasint" json:"author"`
	Accepted time.Time `cbor:"5,keyasint" json:"accepted"`
}

// DecodeDocument decodes the value of an object as a Document.
func DecodeDocument(value []byte) (Document, error) {
	var d Document
	err := cbor.Unmarshal(value, &d)
	return d, err
}

// storeCall is the purpose of a pending object call.
type storeCall struct {
	// ledger is the ledger's ID of the call; 0 for calls on rules and moves.
	ledger      uint64
	rulesChange *rulesChange
	// rulesRead is set on a read of the rules that is not part of a rulesChange.
	rulesRead bool
	// move is the name of the move whose object is read or written.
	move string
}

// rulesChange is an ApplyRules in progress.
type rulesChange struct {
	request  ApplyRules
	until    time.Time
	document Document
}

// rulesInForce holds the rules in force and the state of their updates. Its
// revision never decreases.
type rulesInForce struct {
	rules    *operator.Rules
	revision uint64
	document []byte
	since    time.Time

	objectRevision uint64
	watching       bool
	// watchAt is the earliest time of the next watch, readAt the time of the
	// last read or retry.
	watchAt       time.Time
	readAt        time.Time
	failedChanges []*rulesChange
	// peerRevisions is the latest known revision of the rules per node.
	peerRevisions map[string]uint64
}

func newRulesInForce() rulesInForce {
	return rulesInForce{rules: &operator.Rules{}, peerRevisions: make(map[string]uint64)}
}

func (n *Node) storeCall(c storeCall) uint64 {
	id := n.id()
	n.storeCalls[id] = c
	return id
}

func (n *Node) readObject(call uint64, path string) {
	n.count(CountStore, "read")
	n.emit(ReadObject{Call: call, Path: path})
}

func (n *Node) writeObject(call uint64, path string, revision uint64, value []byte) {
	n.count(CountStore, "write")
	n.emit(WriteObject{Call: call, Path: path, IfRevision: revision, Value: value})
}

func (n *Node) readRules() {
	n.inForce.readAt = n.now
	n.readObject(n.storeCall(storeCall{rulesRead: true}), RulesPath)
}

// watchRules keeps a watch on the rules if this node is the preferred one of
// its zone, and retries failed calls.
func (n *Node) watchRules() {
	if n.inForce.revision == 0 && n.now.Sub(n.inForce.readAt) >= initialRulesInterval {
		n.readRules()
	}
	n.retryRulesChanges()
	if n.inForce.watching || n.now.Before(n.inForce.watchAt) || !n.preferredInZone(RulesPath) {
		return
	}
	n.inForce.watching = true
	n.count(CountStore, "watch")
	n.emit(WatchObject{Path: RulesPath, After: n.inForce.objectRevision})
}

func (n *Node) objectChanged(e ObjectChanged) {
	n.inForce.watching = false
	if e.Err != "" {
		n.inForce.watchAt = n.now.Add(storeRetryDelay)
		return
	}
	n.installRulesObject(e.Object)
}

func (n *Node) installRulesObject(o platform.Object) {
	if o.Revision == 0 {
		return
	}
	n.inForce.objectRevision = max(n.inForce.objectRevision, o.Revision)
	before := n.inForce.revision
	n.installRules(o.Value)
	n.forwardRules(before)
}

// installRules puts rules in force if they are newer than the current ones.
func (n *Node) installRules(value []byte) {
	d, err := DecodeDocument(value)
	if err != nil {
		n.log(LevelWarn, "rules", "", "", "cannot decode rules: %v", err)
		return
	}
	if d.Revision <= n.inForce.revision {
		return
	}
	rules, problems := operator.Parse(d.Text)
	if len(problems) > 0 {
		n.log(LevelWarn, "rules", "", "", "rules revision %d is invalid: %s", d.Revision, problems[0])
		return
	}
	n.inForce.rules = rules
	n.inForce.revision = d.Revision
	n.inForce.document = value
	n.inForce.since = n.now
	n.log(LevelInfo, "rules", "", "", "rules revision %d is in force, author %s", d.Revision, d.Author)
	n.dispatchAllQueued()
}

// forwardRules sends newer rules that came from the platform to the nodes of
// this zone. The other zones have watches of their own.
func (n *Node) forwardRules(before uint64) {
	if n.inForce.revision == before {
		return
	}
	for _, m := range n.members.All() {
		if m.Zone == n.cfg.Self.Zone && m.State != peer.Dead {
			n.send(m.ID, peer.RulesUpdate{Revision: n.inForce.revision, Document: n.inForce.document})
		}
	}
}

// receiveRules installs a peer's rules, sends newer ones, or replies with the
// revision in force here.
func (n *Node) receiveRules(from string, m peer.RulesUpdate) {
	n.inForce.peerRevisions[from] = max(n.inForce.peerRevisions[from], m.Revision)
	if len(m.Document) > 0 {
		n.installRules(m.Document)
		return
	}
	switch {
	case m.Revision < n.inForce.revision:
		n.send(from, peer.RulesUpdate{Revision: n.inForce.revision, Document: n.inForce.document})
	case m.Revision > n.inForce.revision || m.RequestRevision:
		n.send(from, peer.RulesUpdate{Revision: n.inForce.revision})
	}
}

// requestRevisions requests the revision of the rules in force from all nodes.
func (n *Node) requestRevisions() {
	n.broadcast(peer.RulesUpdate{Revision: n.inForce.revision, RequestRevision: true})
}

// Revisions returns the latest known revision of the rules in force per node.
func (n *Node) Revisions() map[string]uint64 {
	revisions := map[string]uint64{n.self(): n.inForce.revision}
	for id, revision := range n.inForce.peerRevisions {
		revisions[id] = revision
	}
	return revisions
}

// applyRules checks an operator's text and reads the current rules in order to
// replace them.
func (n *Node) applyRules(e ApplyRules) {
	if _, problems := operator.Parse(e.Text); len(problems) > 0 {
		n.emit(RulesApplied{Call: e.Call, Outcome: ApplyInvalid, Revision: n.inForce.revision, Problems: problems})
		return
	}
	change := &rulesChange{request: e, until: n.now.Add(applyTimeout)}
	n.readObject(n.storeCall(storeCall{rulesChange: change}), RulesPath)
}

func (n *Node) objectRead(e ObjectRead) {
	c, ok := n.storeCalls[e.Call]
	if !ok {
		return
	}
	delete(n.storeCalls, e.Call)
	switch {
	case c.rulesChange != nil:
		n.rulesChangeRead(c.rulesChange, e)
	case c.move != "":
		n.moveRead(c.move, e)
	case c.rulesRead:
		if e.Err == "" {
			n.installRulesObject(e.Object)
		}
	default:
		n.ledger.ReadDone(n.now, c.ledger, e.Object, errorOf(e.Err))
	}
}

func errorOf(text string) error {
	if text == "" {
		return nil
	}
	return storeError(text)
}

// storeError is the error of a failed call to the object API.
type storeError string

func (e storeError) Error() string { return "object API: " + string(e) }

// rulesChangeRead writes the new text if the operator edited the current
// revision. If the current rules carry this edit already, an earlier write
// succeeded and its reply was lost.
func (n *Node) rulesChangeRead(change *rulesChange, e ObjectRead) {
	if e.Err != "" {
		n.inForce.failedChanges = append(n.inForce.failedChanges, change)
		return
	}
	var current Document
	if e.Object.Revision != 0 {
		d, err := DecodeDocument(e.Object.Value)
		if err != nil {
			n.emit(RulesApplied{Call: change.request.Call, Outcome: ApplyUnavailable, Revision: n.inForce.revision})
			return
		}
		current = d
		n.installRulesObject(e.Object)
	}
	switch {
	case current.Edit == change.request.Edit && current.Revision != 0:
		n.rulesChangeAccepted(change, current.Revision)
	case current.Revision != change.request.Base:
		n.emit(RulesApplied{Call: change.request.Call, Outcome: ApplyConflict, Revision: current.Revision, Text: current.Text})
	default:
		n.writeRules(change, e.Object.Revision)
	}
}

func (n *Node) writeRules(change *rulesChange, revision uint64) {
	change.document = Document{Revision: change.request.Base + 1, Text: change.request.Text, Edit: change.request.Edit, Author: change.request.Author, Accepted: n.now}
	value, err := cbor.Marshal(change.document)
	if err != nil {
		n.emit(RulesApplied{Call: change.request.Call, Outcome: ApplyUnavailable, Revision: n.inForce.revision})
		return
	}
	n.writeObject(n.storeCall(storeCall{rulesChange: change}), RulesPath, revision, value)
}

func (n *Node) objectWritten(e ObjectWritten) {
	c, ok := n.storeCalls[e.Call]
	if !ok {
		return
	}
	delete(n.storeCalls, e.Call)
	switch {
	case c.move != "":
		n.moveWritten(c.move, e)
		return
	case c.rulesChange == nil:
		n.ledger.WriteDone(n.now, c.ledger, e.Outcome, e.Revision)
		return
	}
	if e.Outcome == platform.WriteOK {
		n.inForce.objectRevision = max(n.inForce.objectRevision, e.Revision)
		n.rulesChangeAccepted(c.rulesChange, c.rulesChange.document.Revision)
		return
	}
	n.inForce.failedChanges = append(n.inForce.failedChanges, c.rulesChange)
}

// rulesChangeAccepted replies to the operator and adds the text to the history.
func (n *Node) rulesChangeAccepted(change *rulesChange, revision uint64) {
	change.document.Revision = revision
	if change.document.Text == "" {
		change.document = Document{Revision: revision, Text: change.request.Text, Edit: change.request.Edit, Author: change.request.Author, Accepted: n.now}
	}
	value, err := cbor.Marshal(change.document)
	if err == nil {
		before := n.inForce.revision
		n.installRules(value)
		n.forwardRules(before)
		call := n.id()
		n.writeObject(call, fmt.Sprintf("%s%010d", HistoryPrefix, revision), 0, value)
	}
	n.emit(RulesApplied{Call: change.request.Call, Outcome: ApplyAccepted, Revision: revision})
}

// retryRulesChanges retries the failed calls of ApplyRules in progress.
func (n *Node) retryRulesChanges() {
	waiting := n.inForce.failedChanges
	if len(waiting) == 0 || n.now.Sub(n.inForce.readAt) < storeRetryDelay/4 {
		return
	}
	n.inForce.readAt = n.now
	n.inForce.failedChanges = nil
	for _, change := range waiting {
		if n.now.After(change.until) {
			n.emit(RulesApplied{Call: change.request.Call, Outcome: ApplyUnavailable, Revision: n.inForce.revision})
			continue
		}
		n.readObject(n.storeCall(storeCall{rulesChange: change}), RulesPath)
	}
}
