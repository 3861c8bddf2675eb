package gateway

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rosterMaxIntervals and rosterRetentionIntervals are in intervals of the reads of the list of nodes. A
	// node relies on a list for rosterMaxIntervals; a node that is new to the list, or gone from it,
	// changes who has a share of what for rosterRetentionIntervals only in the cautious direction. By
	// then every node that relies on a list has read one with the change.
	rosterMaxIntervals       = 2
	rosterRetentionIntervals = 3
	// sharersRefresh is the time after which the nodes with a share of an upstream are
	// determined again.
	sharersRefresh = time.Second
)

// roster is what a node knows of the store's list of nodes. Unlike the nodes in contact, it is the
// same at all nodes but for changes that are younger than rosterRetentionIntervals, also among nodes that
// can't exchange messages.
type roster struct {
	// listedAt is when each node was last listed, as of the read at readAt.
	listedAt map[string]time.Time
	readAt   time.Time
	// selfListed is set if the latest list names this node, selfNewAt is when a list first did.
	// It is zero for a node whose first read names it: an earlier process has registered it.
	selfListed bool
	selfNewAt  time.Time
	// mayUse is whether this node may use its shares, as of mayUseAt.
	mayUse   bool
	mayUseAt time.Time
	// sharers holds the nodes with a share of an upstream.
	sharers map[string]rosterSharers
}

// rosterSharers are the nodes with a share of an upstream, in requests a second each, as of a time.
type rosterSharers struct {
	nodes     []string
	perSecond float64
	at        time.Time
}

func newRoster() roster {
	return roster{listedAt: make(map[string]time.Time), sharers: make(map[string]rosterSharers)}
}

// readRoster records a read of the list of nodes.
func (g *Gateway) readRoster(e NodesListed) {
	r := &g.roster
	first, wasListed := r.readAt.IsZero(), r.selfListed
	r.readAt, r.selfListed = g.now, false
	r.invalidate()
	for _, n := range e.Nodes {
		r.listedAt[n.Node] = g.now
		r.selfListed = r.selfListed || n.Node == g.cfg.Node
	}
	if r.selfListed && !wasListed && !first {
		r.selfNewAt = g.now
	}
	for node, at := range r.listedAt {
		if g.now.Sub(at) > g.rosterTime(rosterRetentionIntervals) {
			delete(r.listedAt, node)
		}
	}
}

// rosterTime returns the length of a number of intervals of the reads of the list of nodes.
func (g *Gateway) rosterTime(intervals int) time.Duration {
	return time.Duration(intervals) * max(minNodesInterval, time.Duration(len(g.members)+1)*nodesIntervalPerNode)
}

// rosterNodes returns all nodes that may have a share of something, this one as well.
func (g *Gateway) rosterNodes() []string {
	nodes := []string{g.cfg.Node}
	for node := range g.roster.listedAt {
		if node != g.cfg.Node {
			nodes = append(nodes, node)
		}
	}
	for node := range g.members {
		if _, listed := g.roster.listedAt[node]; !listed {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// mayUseRosterShares reports whether this node may use its shares: all others that use theirs know
// that it has some, and what it knows of them is not too old. A node that most others are in
// contact with learns of new ones from them.
func (g *Gateway) mayUseRosterShares() bool {
	r := &g.roster
	if r.mayUseAt.IsZero() || g.now.Sub(r.mayUseAt) >= TickInterval {
		r.mayUse, r.mayUseAt = g.isRosterKnown(), g.now
	}
	return r.mayUse
}

// invalidate drops the cached result of isRosterKnown: the list or the nodes in contact have changed.
func (r *roster) invalidate() { r.mayUseAt = time.Time{} }

// isRosterKnown decides what mayUseRosterShares reports.
func (g *Gateway) isRosterKnown() bool {
	r := &g.roster
	isNew := !r.selfNewAt.IsZero() && g.now.Sub(r.selfNewAt) < g.rosterTime(rosterRetentionIntervals)
	if !r.selfListed || isNew {
		return false
	}
	return g.now.Sub(r.readAt) <= g.rosterTime(rosterMaxIntervals) || 2*g.contactCount(silentIntervals) > len(g.rosterNodes())
}

// sharersOf returns the nodes with a share of an upstream, determined again after sharersRefresh.
func (r *roster) sharersOf(now time.Time, upstream string, determine func() rosterSharers) rosterSharers {
	s, known := r.sharers[upstream]
	if !known || now.Sub(s.at) >= sharersRefresh {
		s = determine()
		s.at = now
		r.sharers[upstream] = s
	}
	return s
}

// firstForTask returns nodes in the rendezvous order of a task.
func firstForTask(task string, nodes []string) []string {
	rank := make(map[string]uint64, len(nodes))
	for _, node := range nodes {
		rank[node] = rankForTask(task, node)
	}
	slices.SortFunc(nodes, func(a, b string) int { return cmp.Or(cmp.Compare(rank[b], rank[a]), cmp.Compare(a, b)) })
	return nodes
}
