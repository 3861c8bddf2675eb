package node

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"monsoonlanding/internal/core/operator"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/platform"
)

// driveMoves performs the periodic work for all moves.
func (n *Node) driveMoves() {
	report := n.due(&n.schedule.evidence, n.evidenceReportInterval())
	if !n.due(&n.schedule.moves, moveInterval) {
		return
	}
	for _, service := range n.inForce.rules.Services() {
		name, ok := n.activeMove(service)
		if !ok {
			continue
		}
		m := n.move(name)
		if report {
			n.reportEvidence(name, m)
		}
		if n.preferred(movesPrefix + name) {
			n.drive(name, m)
		}
	}
}

// drive determines a move's next state and writes it. If two nodes drive the
// same move, the conditional update lets only one of them write each state.
func (n *Node) drive(name string, m *move) {
	if m.callPending || n.now.Before(m.retryAt) {
		return
	}
	if !m.loaded {
		m.callPending = true
		n.readObject(n.storeCall(storeCall{move: name}), movesPrefix+name)
		return
	}
	rule, _ := n.inForce.rules.Move(name)
	next, changed := operator.MoveState{}, false
	if m.state.Revision == 0 {
		next, changed = operator.StartMove(n.now, name, rule, n.inForce.rules.Source("move."+name)), true
	} else {
		next, changed = m.state.Next(n.now, n.self(), rule, n.evidence(m), m.stopReason)
	}
	if !changed {
		return
	}
	if next.Verdict == operator.VerdictRolledBack && m.stopReason == "" {
		n.stopVersion(name, m, next.Reason)
		n.broadcast(peer.VersionStopped{Move: name, Service: next.Service, Version: next.To, Reason: next.Reason})
	}
	n.writeMove(name, m, next)
}

func (n *Node) writeMove(name string, m *move, next operator.MoveState) {
	value, err := cbor.Marshal(next)
	if err != nil {
		return
	}
	m.callPending = true
	m.pendingValue = value
	n.writeObject(n.storeCall(storeCall{move: name}), movesPrefix+name, m.objectRevision, value)
}

func (n *Node) moveRead(name string, e ObjectRead) {
	m := n.move(name)
	m.callPending = false
	if e.Err != "" {
		m.retryAt = n.now.Add(moveRetryDelay)
		return
	}
	m.loaded = true
	m.objectRevision = e.Object.Revision
	if e.Object.Revision != 0 {
		n.applyMove(name, e.Object.Value)
	}
}

func (n *Node) moveWritten(name string, e ObjectWritten) {
	m := n.move(name)
	m.callPending = false
	if e.Outcome != platform.WriteOK {
		m.loaded = false
		m.retryAt = n.now.Add(moveRetryDelay)
		return
	}
	m.objectRevision = e.Revision
	n.applyMove(name, m.pendingValue)
	n.broadcast(peer.MoveUpdate{Move: name, Document: m.pendingValue})
}

// applyMove applies a move's state if it is newer than the known one. A verdict
// is final.
func (n *Node) applyMove(name string, value []byte) {
	var s operator.MoveState
	if err := cbor.Unmarshal(value, &s); err != nil {
		n.log(LevelWarn, "move", "", "", "%s: cannot decode move state: %v", name, err)
		return
	}
	m := n.move(name)
	if s.Revision <= m.state.Revision || m.state.Verdict != operator.VerdictNone {
		return
	}
	m.state = s
	if s.Verdict == operator.VerdictRolledBack && m.stopReason == "" {
		m.stopReason = s.Reason
	}
	n.log(LevelInfo, "move", "", "", "%s: stage %d, share %s, verdict %q: %s", name, s.Stage, strconv.FormatFloat(s.Share(), 'g', 3, 64), s.Verdict, s.Reason)
	n.dispatchAllQueued()
}

// gossipMoves sends a peer the states of all moves, so that it receives updates
// that were lost before.
func (n *Node) gossipMoves(to string) {
	for _, name := range n.inForce.rules.Moves() {
		m := n.move(name)
		if m.stopReason != "" {
			n.send(to, peer.VersionStopped{Move: name, Service: m.state.Service, Version: m.state.To, Reason: m.stopReason})
		}
		if m.state.Revision == 0 {
			continue
		}
		if value, err := cbor.Marshal(m.state); err == nil {
			n.send(to, peer.MoveUpdate{Move: name, Document: value})
		}
	}
}
