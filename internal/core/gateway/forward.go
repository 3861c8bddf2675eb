package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"monsoonlanding/internal/core/peer"
)

// Bytes between availability zones cost money, and among hundreds of nodes nearly all of them were
// statuses: each node sent its own to each node of all other zones. Where another zone has many
// nodes, a node sends its status to one of them, which forwards it to the others there. Every
// node still gets the status of every other, at the same pace.

const (
	// minForwarders is the number of nodes of a zone that can forward from which on they do.
	// Among few nodes little is saved, and a node that fails takes much with it.
	minForwarders = 8
	// forwarderCount is the number of nodes of a zone that forward a node's statuses in turn, so
	// that one which fails takes one status of two with it until it is known to be lost.
	forwarderCount = 2
)

// forwardTurn is the latest status that was sent to a zone to be forwarded there.
type forwardTurn struct {
	sentAt time.Time
	number int
}

// forwardZones holds the possible forwarders by zone, for the zones in which this node's status is forwarded.
type forwardZones map[string][]*member

// covers reports whether a member gets this node's status from a forwarder.
func (z forwardZones) covers(m *member) bool {
	return len(z[m.status.Zone]) > 0 && m.status.TakesForwards
}

// forwardZones returns the zones in which this node's statuses are forwarded.
func (g *Gateway) forwardZones() forwardZones {
	zones := make(forwardZones)
	for _, m := range g.sortedMembers() {
		if g.mayForward(m) {
			zones[m.status.Zone] = append(zones[m.status.Zone], m)
		}
	}
	for zone, list := range zones {
		if len(list) < minForwarders {
			delete(zones, zone)
		}
	}
	return zones
}

// mayForward reports whether a member can forward this node's statuses in its zone.
func (g *Gateway) mayForward(m *member) bool {
	return m.status.TakesForwards && m.status.Ready && m.status.Zone != g.cfg.Zone && !m.unreachable && g.inContact(m)
}

// sendToForwarders sends a status to the zones that are due, or to all of them. It carries the
// counts of usage if all nodes read them.
func (g *Gateway) sendToForwarders(zones forwardZones, all, withUsage bool) {
	var status *peer.Status
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		turn := g.forwardTurns[zone]
		if !all && g.now.Sub(turn.sentAt) < g.interval() {
			continue
		}
		if status == nil {
			s := g.status()
			if !withUsage {
				s.Usage, s.Report = nil, nil
			}
			status = &s
		}
		turn.number++
		turn.sentAt = g.now.Add(-g.turnShift())
		g.forwardTurns[zone] = turn
		m := g.forwarder(zones[zone], turn.number)
		g.emit(Send{Node: m.node, Address: m.address, Message: peer.StatusForward{Status: *status}})
	}
}

// forwarder returns the member that forwards a turn's status: one of the first in this node's
// rendezvous order, so that the work is spread over the zone.
func (g *Gateway) forwarder(list []*member, turn int) *member {
	rank := func(m *member) uint64 { return rankForTask("forward/"+g.cfg.Node, m.node) }
	ordered := slices.Clone(list)
	slices.SortFunc(ordered, func(a, b *member) int { return cmp.Compare(rank(b), rank(a)) })
	return ordered[turn%forwarderCount]
}

// forwardReceived takes a status of a node in another zone and forwards it in this node's zone,
// unless a later one has overtaken it.
func (g *Gateway) forwardReceived(f peer.StatusForward) {
	if f.Status.Zone == g.cfg.Zone || !g.statusReceived(f.Status) {
		return
	}
	for _, m := range g.sortedMembers() {
		if m.status.Zone == g.cfg.Zone && g.inContact(m) {
			g.emit(Send{Node: m.node, Address: m.address, Message: f.Status})
		}
	}
}

// maxUnreachableNodes bounds the nodes that a status names as unreachable.
const maxUnreachableNodes = 32

// unreachableNodes returns the nodes of this node's zone that it can't reach, for the nodes of
// other zones: they send nothing to most nodes here and would notice the loss late. A node that
// reaches less than half of its zone may be cut off itself and names none.
func (g *Gateway) unreachableNodes() []string {
	var list []string
	inZone := 0
	for _, m := range g.sortedMembers() {
		if m.status.Zone != g.cfg.Zone {
			continue
		}
		inZone++
		if m.unreachable {
			list = append(list, m.node)
		}
	}
	if 2*len(list) > inZone {
		return nil
	}
	return list[:min(len(list), maxUnreachableNodes)]
}
