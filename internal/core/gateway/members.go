package gateway

import (
	"slices"
	"strings"
	"time"

	"monsoonlanding/internal/core/peer"
)

const (
	// statusInterval is the least time between two statuses to the peers.
	statusInterval = 250 * time.Millisecond
	// statusPerPeer lengthens the interval with the number of peers, so that
	// a node's messages a second stay bounded.
	statusPerPeer = 10 * time.Millisecond
	// statusSpread is the part of the interval, as a divisor, by which turns
	// are drawn apart.
	statusSpread = 4
	// silence is how many intervals without a status make a peer silent.
	silence = 4
	// farInterval is the time between two statuses to a silent peer.
	farInterval = time.Second
	// forgetAfter is the silence after which a node's entry is removed from
	// the platform.
	forgetAfter = 20 * time.Second
)

// member is another node.
type member struct {
	node    string
	address string
	status  peer.Status
	heardAt time.Time
	sentAt  time.Time
	// storeBackAt is when the node said that it has the store again.
	storeBackAt time.Time
	// addedAt is when the node became known here.
	addedAt time.Time
}

func (g *Gateway) interval() time.Duration {
	return max(statusInterval, time.Duration(len(g.members))*statusPerPeer)
}

// heard reports whether the member has told its status lately.
func (g *Gateway) heard(m *member) bool { return g.heardWithin(m, silence) }

// heardWithin reports whether it has within a number of intervals.
func (g *Gateway) heardWithin(m *member, intervals int) bool {
	return !m.heardAt.IsZero() && g.now.Sub(m.heardAt) < time.Duration(intervals)*g.interval()
}

// heardCount counts this node and the members that have told their status
// within a number of intervals.
func (g *Gateway) heardCount(intervals int) int {
	count := 1
	for _, m := range g.members {
		if g.heardWithin(m, intervals) {
			count++
		}
	}
	return count
}

func (g *Gateway) sortedMembers() []*member {
	list := make([]*member, 0, len(g.members))
	for _, m := range g.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return strings.Compare(a.node, b.node) })
	return list
}

// meet adds a node that was not known.
func (g *Gateway) meet(node, address string) *member {
	m := g.members[node]
	if m == nil {
		m = &member{node: node, addedAt: g.now}
		g.members[node] = m
		g.log("member", "node known", "peer", node, "address", address)
	}
	if address != "" {
		m.address = address
	}
	return m
}

// nodesListed takes in the platform's list. Nodes that it no longer holds and
// that are silent are forgotten.
func (g *Gateway) nodesListed(e NodesListed) {
	listed := make(map[string]bool, len(e.Nodes))
	for _, n := range e.Nodes {
		listed[n.Node] = true
		if n.Node != g.cfg.Node {
			g.meet(n.Node, n.PeerAddress)
		}
	}
	if !listed[g.cfg.Node] && !g.stopping {
		g.emit(Register{})
	}
	for _, m := range g.sortedMembers() {
		if listed[m.node] || g.heard(m) || g.now.Sub(m.addedAt) < farInterval {
			continue
		}
		delete(g.members, m.node)
		g.upstreams.PeerGone(m.node)
		delete(g.suspects.peers, m.node)
		g.log("member", "node forgotten", "peer", m.node)
	}
}

// tellSoon makes a status to all peers due after the time given.
func (g *Gateway) tellSoon(in time.Duration) {
	at := g.now.Add(in)
	if g.urgentAt.IsZero() || at.Before(g.urgentAt) {
		g.urgentAt = at
	}
}

// tellPeers sends a status to the peers whose turn it is, or to all if one is
// urgent. Turns are spread over the interval, since the link of a small VM
// takes long for statuses to all peers at once.
func (g *Gateway) tellPeers() {
	urgent := !g.urgentAt.IsZero() && !g.now.Before(g.urgentAt)
	if urgent {
		g.urgentAt = time.Time{}
		for _, q := range g.quotas {
			q.told = q.spent
		}
	}
	var turns []*member
	for _, m := range g.sortedMembers() {
		if urgent || g.due(m) {
			if g.heard(m) || g.now.Sub(m.sentAt) >= farInterval {
				turns = append(turns, m)
			}
		}
	}
	if len(turns) > 0 {
		g.tell(turns)
	}
	g.greetSeeds()
}

// tell sends a status to members. Counts of usage, over a quarter of it, go
// only to the nodes that have a use for them.
func (g *Gateway) tell(members []*member) {
	status := g.status()
	brief := status
	brief.Usage = nil
	readers := g.usageReaders()
	for _, m := range members {
		m.sentAt = g.now.Add(-time.Duration(g.rng.Int64N(int64(g.interval() / statusSpread))))
		message := brief
		if readers == nil || readers[m.node] {
			message = status
		}
		g.emit(Send{Node: m.node, Address: m.address, Message: message})
	}
}

// due reports whether it is the member's turn to get a status.
func (g *Gateway) due(m *member) bool { return g.now.Sub(m.sentAt) >= g.interval() }

// greetSeeds tells the seeds of this node until a peer has been heard.
func (g *Gateway) greetSeeds() {
	if g.now.Before(g.greetAt) {
		return
	}
	g.greetAt = g.now.Add(g.interval())
	for _, m := range g.members {
		if !m.heardAt.IsZero() {
			return
		}
	}
	status := g.status()
	for _, seed := range g.cfg.Seeds {
		if seed != g.cfg.PeerAddress {
			g.emit(Send{Address: seed, Message: status})
		}
	}
}

// CallerAddresses returns where callers may connect, at most limit addresses:
// this node and those that said lately that they are ready.
func (g *Gateway) CallerAddresses(limit int) []string {
	var list []string
	if g.Ready() {
		list = append(list, g.cfg.CallerAddress)
	}
	for _, m := range g.sortedMembers() {
		if len(list) < limit && g.heard(m) && m.status.Ready {
			list = append(list, m.status.CallerAddress)
		}
	}
	return list
}
