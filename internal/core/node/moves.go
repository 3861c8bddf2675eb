package node

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/core/operator"
	"monsoonlanding/internal/core/peer"
)

const (
	// movesPrefix is the prefix of the paths of the objects of moves.
	movesPrefix = "moves/"
	// evidenceReporters is the number of nodes that may report per
	// evidenceInterval, which bounds the load of the driving node.
	evidenceReporters = 50
	// evidenceInterval is the minimum interval between two reports to the
	// driving node.
	evidenceInterval = time.Second
	// moveInterval is the interval at which the driving node evaluates a move.
	moveInterval = 200 * time.Millisecond
	// moveRetryDelay is the delay before a failed read or write of a move is
	// retried.
	moveRetryDelay = time.Second
)

// tallyKey identifies the counts of one version on one route within a move.
type tallyKey struct {
	version string
	route   string
}

// move is a node's state of one move of traffic from one version to another.
type move struct {
	state operator.MoveState
	// stopReason is set once any node has stopped the new version: it gets no
	// more new requests. A stop is never revoked.
	stopReason string
	// ownCounts are the attempts counted by this node, peerCounts those
	// reported by other nodes.
	ownCounts  map[tallyKey]operator.Tally
	peerCounts map[string]map[tallyKey]operator.Tally
	// objectRevision is the revision of the move's object, known once loaded.
	objectRevision uint64
	loaded         bool
	callPending    bool
	retryAt        time.Time
	// pendingValue is the encoded state being written.
	pendingValue []byte
}

func newMove() *move {
	return &move{ownCounts: make(map[tallyKey]operator.Tally), peerCounts: make(map[string]map[tallyKey]operator.Tally)}
}

// move returns the state of a move, and creates an empty one for an unknown
// move.
func (n *Node) move(name string) *move {
	m := n.moves[name]
	if m == nil {
		m = newMove()
		n.moves[name] = m
	}
	return m
}

// chooseVersion returns the version for a new request of a service: the target
// of the last finished move or, for the active move's share of the keys, the
// target of the active move. The key determines the choice, so a retried
// request gets the same version.
func (n *Node) chooseVersion(service, key string) string {
	rule, _ := n.inForce.rules.Service(service)
	version := rule.Version
	for _, name := range n.serviceMoves(service) {
		m := n.move(name)
		if m.stopReason != "" || m.state.Revision == 0 || m.state.From != version {
			continue
		}
		if keyFraction(name, key) < m.state.Share() {
			version = m.state.To
		}
		if m.state.Verdict == operator.VerdictNone {
			break
		}
	}
	return version
}

// keyFraction maps a key to a number between 0 and 1, with a different mapping
// per move.
func keyFraction(name, key string) float64 {
	return float64(xxhash.Sum64String(name+"/"+key)) / math.MaxUint64
}

// serviceMoves returns a service's moves, ordered by deadline.
func (n *Node) serviceMoves(service string) []string {
	var names []string
	for _, name := range n.inForce.rules.Moves() {
		if r, _ := n.inForce.rules.Move(name); r.Service == service {
			names = append(names, name)
		}
	}
	sort.SliceStable(names, func(i, j int) bool {
		a, _ := n.inForce.rules.Move(names[i])
		b, _ := n.inForce.rules.Move(names[j])
		return a.By.Before(b.By)
	})
	return names
}

// activeMove returns the move in progress of a service.
func (n *Node) activeMove(service string) (string, bool) {
	for _, name := range n.serviceMoves(service) {
		if n.move(name).state.Verdict == operator.VerdictNone {
			return name, true
		}
	}
	return "", false
}

// versionStopped reports whether a version gets no more new requests.
func (n *Node) versionStopped(service, version string) bool {
	for _, name := range n.serviceMoves(service) {
		m := n.move(name)
		if m.stopReason != "" && m.state.To == version {
			return true
		}
	}
	return false
}

func (n *Node) recordTokens(a *attempt) {
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = n.now
	}
	a.lastTokenAt = n.now
	a.tokenEvents++
}

// recordOutcome counts the end of an attempt as evidence for the active move.
func (n *Node) recordOutcome(a *attempt, r *record, failed bool) {
	name, ok := n.activeMove(a.upstream.Service)
	if !ok {
		return
	}
	m := n.move(name)
	if a.upstream.Version != m.state.From && a.upstream.Version != m.state.To {
		return
	}
	k := tallyKey{version: a.upstream.Version, route: r.request.Team}
	t := m.ownCounts[k]
	bad := failed || n.missedLatencyTarget(a)
	if bad {
		t.Bad++
	} else {
		t.Good++
	}
	m.ownCounts[k] = t
	if bad && k.version == m.state.To {
		n.reportEvidence(name, m)
		n.checkVersion(name, m)
	}
}

// missedLatencyTarget reports whether an attempt missed its service's latency
// targets.
func (n *Node) missedLatencyTarget(a *attempt) bool {
	s, _ := n.inForce.rules.Service(a.upstream.Service)
	if a.firstTokenAt.IsZero() {
		return false
	}
	if d := s.FirstToken.Duration; d > 0 && a.firstTokenAt.Sub(a.started) > d {
		return true
	}
	d := s.BetweenTokens.Duration
	return d > 0 && a.tokenEvents > 1 && a.lastTokenAt.Sub(a.firstTokenAt)/time.Duration(a.tokenEvents-1) > d
}

// evidence sums up the counts of all nodes known here.
func (n *Node) evidence(m *move) operator.Evidence {
	routes := make(map[string]*operator.Comparison)
	add := func(k tallyKey, t operator.Tally) {
		c := routes[k.route]
		if c == nil {
			c = &operator.Comparison{Route: k.route}
			routes[k.route] = c
		}
		if k.version == m.state.To {
			c.New = c.New.Add(t)
		} else {
			c.Old = c.Old.Add(t)
		}
	}
	for k, t := range m.ownCounts {
		add(k, t)
	}
	for _, counts := range m.peerCounts {
		for k, t := range counts {
			add(k, t)
		}
	}
	var list []operator.Comparison
	for _, c := range routes {
		list = append(list, *c)
	}
	return operator.NewEvidence(list)
}

// checkVersion stops the new version on strong evidence against it, without
// coordination with other nodes.
func (n *Node) checkVersion(name string, m *move) {
	if m.stopReason != "" || m.state.Verdict != operator.VerdictNone {
		return
	}
	if reason, bad := n.evidence(m).RollbackReason(); bad {
		n.stopVersion(name, m, reason)
		n.broadcast(peer.VersionStopped{Move: name, Service: m.state.Service, Version: m.state.To, Reason: reason})
	}
}

func (n *Node) stopVersion(name string, m *move, reason string) {
	m.stopReason = reason
	n.log(LevelWarn, "move", "", "", "%s: no more new requests for version %s: %s", name, m.state.To, reason)
}

func (n *Node) receiveVersionStopped(stopped peer.VersionStopped) {
	m := n.move(stopped.Move)
	if m.stopReason == "" {
		n.stopVersion(stopped.Move, m, stopped.Reason)
	}
}

// reportEvidence sends this node's counts to the node that drives the move.
func (n *Node) reportEvidence(name string, m *move) {
	to, ok := peer.Preferred(movesPrefix+name, n.members.Usable())
	if !ok || to.ID == n.self() || len(m.ownCounts) == 0 {
		return
	}
	e := peer.Evidence{Move: name, Node: n.self()}
	for k, t := range m.ownCounts {
		e.Versions = append(e.Versions, peer.VersionCount{Version: k.version, Route: k.route, Good: t.Good, Bad: t.Bad})
	}
	sort.Slice(e.Versions, func(i, j int) bool {
		a, b := e.Versions[i], e.Versions[j]
		if a.Version != b.Version {
			return a.Version < b.Version
		}
		return a.Route < b.Route
	})
	n.send(to.ID, e)
}

// receiveEvidence merges another node's counts. Counts only grow, so the larger
// number is the newer one.
func (n *Node) receiveEvidence(e peer.Evidence) {
	m := n.move(e.Move)
	counts := m.peerCounts[e.Node]
	if counts == nil {
		counts = make(map[tallyKey]operator.Tally)
		m.peerCounts[e.Node] = counts
	}
	for _, v := range e.Versions {
		k := tallyKey{version: v.Version, route: v.Route}
		t := counts[k]
		counts[k] = operator.Tally{Good: max(t.Good, v.Good), Bad: max(t.Bad, v.Bad)}
	}
	n.checkVersion(e.Move, m)
}

// evidenceReportInterval returns the interval between two reports. It grows
// with the number of nodes, so that the load of the driving node does not. Bad
// outcomes of the new version are reported immediately in any case.
func (n *Node) evidenceReportInterval() time.Duration {
	rounds := 1 + len(n.members.Usable())/evidenceReporters
	return evidenceInterval * time.Duration(rounds)
}

// MoveStatus is the status of a move as reported to operators.
type MoveStatus struct {
	operator.MoveState
	Share      float64           `json:"share"`
	Summary    string            `json:"sentence"`
	StopReason string            `json:"brake,omitempty"`
	Driver     string            `json:"driver"`
	Evidence   operator.Evidence `json:"evidence"`
}

// Moves returns the status of all moves in the rules. The evidence is complete
// only at the driving node.
func (n *Node) Moves(now time.Time) []MoveStatus {
	list := []MoveStatus{}
	for _, name := range n.inForce.rules.Moves() {
		m := n.move(name)
		rule, _ := n.inForce.rules.Move(name)
		e := n.evidence(m)
		driver, _ := peer.Preferred(movesPrefix+name, n.members.Usable())
		status := MoveStatus{MoveState: m.state, Share: m.state.Share(), StopReason: m.stopReason, Driver: driver.ID, Evidence: e}
		status.Name = name
		status.Summary = "not started yet"
		if m.state.Revision > 0 {
			status.Summary = m.state.Summary(now, rule, e)
		} else {
			status.Share = 0
		}
		list = append(list, status)
	}
	return list
}
