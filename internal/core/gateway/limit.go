package gateway

import (
	"cmp"
	"slices"

	"monsoonlanding/internal/core/placement"
)

// limitShare returns this node's part of the limit that an upstream has named to
// all nodes. The first nodes of a rendezvous order use it, one more than the limit
// has requests a second: with more of them, a low limit would mostly be used by the
// request that each may send at once. Nodes that are not in contact may use their
// own part, so theirs is left to them.
func (g *Gateway) limitShare(upstream string, perSecond float64) float64 {
	if g.stopping || g.paths.lost {
		return 0
	}
	before, others := g.orderInContact(upstream, sharesUpstreams)
	senders := limitSenders(others+1, perSecond)
	if before >= senders {
		return 0
	}
	inContact := float64(g.contactCount(silentIntervals)) / float64(len(g.members)+1)
	return perSecond * inContact / float64(senders)
}

// limitSenders returns how many of a number of nodes use a limit: at least one, whatever number
// a peer or an upstream has named.
func limitSenders(nodes int, perSecond float64) int {
	if perSecond >= float64(nodes) {
		return nodes
	}
	if perSecond >= 1 {
		return min(nodes, 1+int(perSecond))
	}
	return min(nodes, 1)
}

// slotPart returns this node's part of the slots of a brittle upstream: the slots of the nodes in
// contact are divided evenly among those of them that use their shares, in a rendezvous order.
// Nodes that are not in contact may use their own parts.
func (g *Gateway) slotPart(upstream string, slots int) int {
	if g.stopping || g.paths.lost {
		return 0
	}
	before, others := g.orderInContact(upstream, sharesUpstreams)
	ours, nodes := g.slotsInContact(slots), others+1
	part := ours / nodes
	if before < ours%nodes {
		part++
	}
	return part
}

// slotsInContact returns the number of an upstream's slots that belong to the nodes in contact.
func (g *Gateway) slotsInContact(slots int) int {
	return slots * g.contactCount(silentIntervals) / (len(g.members) + 1)
}

// sharesUpstreams reports whether a member uses its shares of upstreams.
func sharesUpstreams(m *member) bool { return m.status.Ready && !m.status.PathsLost }

// sharers returns the nodes in contact that have a share of an upstream.
func (g *Gateway) sharers(u placement.Shared) []string {
	count := len(g.members) + 1
	if u.Limit.Named {
		count = limitSenders(count, u.Limit.PerSecond)
	}
	if u.Slots > 0 {
		count = min(count, g.slotsInContact(u.Slots))
	}
	var nodes []string
	for _, m := range g.mayShare(u) {
		if g.inContact(m) && sharesUpstreams(m) {
			nodes = append(nodes, m.node)
		}
	}
	slices.SortFunc(nodes, func(a, b string) int { return cmp.Compare(rankForTask(u.ID, b), rankForTask(u.ID, a)) })
	return nodes[:min(count, len(nodes))]
}

// mayShare returns the members that may have a share of an upstream, of a cold one only those that
// have one by the roster.
func (g *Gateway) mayShare(u placement.Shared) []*member {
	if !u.Cold {
		return g.sortedMembers()
	}
	var list []*member
	for _, node := range g.coldSharersOf(u.ID) {
		if m := g.members[node]; m != nil {
			list = append(list, m)
		}
	}
	return list
}

// slots returns the number of slots of a service's engines, 0 for a plain service.
func (g *Gateway) slots(service string) int {
	if s, ok := g.table.Service(service); ok && s.Engine != nil {
		return s.Engine.Slots
	}
	return 0
}
