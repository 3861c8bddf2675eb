package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/core/peer"
)

const (
	// statusInterval is the minimum interval between two statuses to a peer.
	statusInterval = 250 * time.Millisecond
	// statusIntervalPerPeer times the number of peers is the interval if that is
	// longer than statusInterval. It bounds a node's messages per second.
	statusIntervalPerPeer = 10 * time.Millisecond
	// statusJitterDivisor divides the interval; the result is the maximum random
	// shift of a peer's next turn. The shifts spread the turns.
	statusJitterDivisor = 4
	// silentIntervals is the number of intervals without a status after which a
	// peer counts as silent.
	silentIntervals = 4
	// unreachableIntervals is the number of intervals without a status after which a peer counts
	// as silent to which no connection can be opened. It is more than the time between two
	// statuses, so that a peer that is reached in one direction only stays in contact.
	unreachableIntervals = 1.4
	// namedAge is the age of a node's latest status from which on callers are not sent to it.
	// Among hundreds of nodes four intervals are longer, and nobody may be left in a lost zone
	// who could report it; a node that is left out by chance is named again with its next status.
	// namedIntervals times the interval is the age if that is longer, so that a node is named
	// between two statuses.
	namedAge       = 6 * time.Second
	namedIntervals = 1.5
	// silentPeerInterval is the minimum interval between two statuses to a
	// silent peer.
	silentPeerInterval = time.Second
	// minNodesInterval is the minimum mean interval between two reads of the list of nodes.
	// nodesIntervalPerNode times the number of nodes is the interval if that is longer.
	minNodesInterval     = 5 * time.Second
	nodesIntervalPerNode = 100 * time.Millisecond
	// nodeExpiry is the time without a status after which a node's entry is
	// removed from the platform.
	nodeExpiry = 20 * time.Second
)

// member is another node.
type member struct {
	node        string
	address     string
	status      peer.Status
	lastContact time.Time
	sentAt      time.Time
	// unreachable is set if no connection to the node could be opened since its latest status,
	// reportedUnreachable if a node in its zone has reported so.
	unreachable, reportedUnreachable bool
	// storeRegainedAt is when the node first reported that it reaches the store
	// again.
	storeRegainedAt time.Time
	// announcedConfig is the version of the configuration that the node has announced last;
	// it is not asked for its configuration before configPausedUntil.
	announcedConfig   int64
	configPausedUntil time.Time
	// quotaDemand is what teams ask the node for, by team.
	quotaDemand map[string]peerDemand
	// demandKnown is set once two statuses of the process have shown its demand.
	demandKnown bool
	// quotaSilent is set while the node's part of the quotas is left to it, quotaCharged is what
	// was charged meanwhile for its unreported spending, by team.
	quotaSilent  bool
	quotaCharged map[string]float64
	// statusesBehind counts the statuses in a row that show the node without the store and behind
	// the changes of upstreams that this node knows.
	statusesBehind int
	// addedAt is when the node became known here.
	addedAt time.Time
}

func (g *Gateway) interval() time.Duration {
	return max(statusInterval, time.Duration(len(g.members))*statusIntervalPerPeer)
}

// inContact reports whether a status of the member was received recently.
func (g *Gateway) inContact(m *member) bool { return g.contactWithin(m, silentIntervals) }

// contactWithin reports whether a status of the member was received within a
// number of intervals.
func (g *Gateway) contactWithin(m *member, intervals int) bool {
	limit := time.Duration(intervals) * g.interval()
	if m.unreachable || m.reportedUnreachable {
		limit = min(limit, time.Duration(unreachableIntervals*float64(g.interval())))
	}
	return !m.lastContact.IsZero() && g.now.Sub(m.lastContact) < limit
}

// peerUnreachable notes that a node can't be reached. Among many nodes the interval between two
// statuses is long, and several of them are longer than a lost node may stay unnoticed.
func (g *Gateway) peerUnreachable(node string) {
	m := g.members[node]
	if m == nil || m.unreachable {
		return
	}
	m.unreachable = true
	g.log("member", "node can't be reached", "peer", node, "silent_ms", g.now.Sub(m.lastContact).Milliseconds())
}

// contactCount counts this node and the members whose status was received
// within a number of intervals.
func (g *Gateway) contactCount(intervals int) int {
	count := 1
	for _, m := range g.members {
		if g.contactWithin(m, intervals) {
			count++
		}
	}
	return count
}

// orderInContact returns the number of the other nodes in contact that are selected,
// and how many of them come before this node in the rendezvous order of a task. All
// nodes that are in contact with each other agree on that order.
func (g *Gateway) orderInContact(task string, selected func(*member) bool) (before, others int) {
	own := rankForTask(task, g.cfg.Node)
	for _, m := range g.members {
		if !g.inContact(m) || !selected(m) {
			continue
		}
		others++
		if rankForTask(task, m.node) > own {
			before++
		}
	}
	return before, others
}

// rankForTask returns the rank of a node in the rendezvous order of a task; the highest is
// first.
func rankForTask(task, node string) uint64 { return xxhash.Sum64String(task + "/" + node) }

// isFirstInContact reports whether this node is the first of those in contact for a
// task.
func (g *Gateway) isFirstInContact(task string) bool {
	before, _ := g.orderInContact(task, func(*member) bool { return true })
	return before == 0
}

// sortedMembers returns the members in order of name. The caller must not change the list.
func (g *Gateway) sortedMembers() []*member { return g.memberOrder }

func compareMembers(a, b *member) int { return strings.Compare(a.node, b.node) }

// addMember returns the member of that name and adds it if it is not known.
func (g *Gateway) addMember(node, address string) *member {
	m := g.members[node]
	if m == nil {
		m = &member{node: node, addedAt: g.now}
		g.members[node] = m
		at, _ := slices.BinarySearchFunc(g.memberOrder, m, compareMembers)
		// The list may be in use, so it is copied.
		g.memberOrder = slices.Insert(slices.Clone(g.memberOrder), at, m)
		g.log("member", "node known", "peer", node, "address", address)
	}
	if address != "" {
		m.address = address
	}
	return m
}

// nodesListed processes the platform's list of nodes. Silent members that it no
// longer contains are removed.
func (g *Gateway) nodesListed(e NodesListed) {
	g.readRoster(e)
	listed := make(map[string]bool, len(e.Nodes))
	before := len(g.members)
	for _, n := range e.Nodes {
		listed[n.Node] = true
		if n.Node != g.cfg.Node {
			g.addMember(n.Node, n.PeerAddress)
		}
	}
	g.nodesKnown = len(g.members) == before && listed[g.cfg.Node]
	if !listed[g.cfg.Node] && !g.stopping {
		g.emit(RegisterNode{})
	}
	for _, m := range g.sortedMembers() {
		// A member that was just added may not have sent a status yet.
		if listed[m.node] || g.inContact(m) || g.now.Sub(m.addedAt) < silentPeerInterval {
			continue
		}
		delete(g.members, m.node)
		g.memberOrder = slices.DeleteFunc(slices.Clone(g.memberOrder), func(other *member) bool { return other == m })
		g.upstreams.RemovePeer(m.node)
		g.upstreams.ForgetSamples(m.node)
		g.quarantine.RemovePeer(m.node)
		g.log("member", "node forgotten", "peer", m.node)
	}
}

// NodesInterval returns the mean interval at which this node reads the list of nodes. While the
// list tells nothing new, the reads of all nodes together are bounded: nodes learn of each other
// from statuses as well.
func (g *Gateway) NodesInterval() time.Duration {
	if !g.nodesKnown {
		return minNodesInterval
	}
	return max(minNodesInterval, time.Duration(len(g.members)+1)*nodesIntervalPerNode)
}

// scheduleBroadcast schedules a status to all peers after the given delay,
// unless an earlier one is scheduled.
func (g *Gateway) scheduleBroadcast(in time.Duration) {
	at := g.now.Add(in)
	if g.broadcastAt.IsZero() || at.Before(g.broadcastAt) {
		g.broadcastAt = at
	}
}

// sendDueStatuses sends a status to the peers whose turn it is, or to all if a
// broadcast is due. Turns are spread over the interval, since statuses to all
// peers at once occupy the link of a small VM for a long time.
func (g *Gateway) sendDueStatuses() {
	broadcast := !g.broadcastAt.IsZero() && !g.now.Before(g.broadcastAt)
	if broadcast {
		g.broadcastAt = time.Time{}
		for _, q := range g.quotas {
			q.published = q.spent
		}
	}
	zones, readers := g.forwardZones(), g.usageReaders()
	var recipients []*member
	for _, m := range g.sortedMembers() {
		if zones.covers(m) && g.inContact(m) && !readers[m.node] {
			continue
		}
		if broadcast || g.statusDue(m) {
			if g.inContact(m) || g.now.Sub(m.sentAt) >= silentPeerInterval {
				recipients = append(recipients, m)
			}
		}
	}
	if len(recipients) > 0 {
		g.sendStatus(recipients)
	}
	g.sendToForwarders(zones, broadcast, readers == nil)
	g.contactSeeds()
}

// sendStatus sends a status to members. Usage counts, over a quarter of its
// size, go only to the nodes that read them.
func (g *Gateway) sendStatus(members []*member) {
	status := g.status()
	withoutUsage := status
	withoutUsage.Usage, withoutUsage.Report = nil, nil
	readers := g.usageReaders()
	for _, m := range members {
		m.sentAt = g.now.Add(-g.turnShift())
		message := withoutUsage
		if readers == nil || readers[m.node] {
			message = status
		}
		g.emit(Send{Node: m.node, Address: m.address, Message: message})
	}
}

// turnShift returns a random shift of a turn to send a status, so that turns spread.
func (g *Gateway) turnShift() time.Duration {
	return time.Duration(g.rng.Int64N(int64(g.interval() / statusJitterDivisor)))
}

// statusDue reports whether it is the member's turn to receive a status.
func (g *Gateway) statusDue(m *member) bool { return g.now.Sub(m.sentAt) >= g.interval() }

// contactSeeds sends a status to the seeds until one has been received from a
// peer.
func (g *Gateway) contactSeeds() {
	if g.now.Before(g.contactSeedsAt) {
		return
	}
	g.contactSeedsAt = g.now.Add(g.interval())
	for _, m := range g.members {
		if !m.lastContact.IsZero() {
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

// CallerAddresses returns the addresses at which callers may connect, at most
// limit: this node and the nodes in contact that are ready. Those that have lost their paths to
// the upstreams are left out unless there are no others.
func (g *Gateway) CallerAddresses(limit int) []string {
	list := g.callerAddresses(limit, func(lost bool) bool { return !lost })
	if len(list) > 0 {
		return list
	}
	return g.callerAddresses(limit, func(bool) bool { return true })
}

// isNamed reports whether callers may be sent to a member.
func (g *Gateway) isNamed(m *member) bool {
	return g.inContact(m) && m.status.Ready && g.now.Sub(m.lastContact) < g.maxNamedAge()
}

// maxNamedAge returns the age of a status from which on callers are not sent to its node.
func (g *Gateway) maxNamedAge() time.Duration {
	return max(namedAge, time.Duration(namedIntervals*float64(g.interval())))
}

// callerAddresses returns the addresses of nodes that are ready and selected by whether they
// have lost their paths to the upstreams.
func (g *Gateway) callerAddresses(limit int, selected func(lost bool) bool) []string {
	var list []string
	if g.Ready() && selected(g.paths.lost) {
		list = append(list, g.cfg.CallerAddress)
	}
	for _, m := range g.sortedMembers() {
		if len(list) < limit && g.isNamed(m) && selected(m.status.PathsLost) {
			list = append(list, m.status.CallerAddress)
		}
	}
	return list
}
