package gateway

import (
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
)

const (
	// knownTold is how many other nodes a status names.
	knownTold = 3
	// windowsTold is how many windows of usage a status tells.
	windowsTold = 2
	// behindWait is how long a change that a peer knows of may take to arrive
	// here from the store.
	behindWait = 300 * time.Millisecond
	// wantInterval is the least time between two requests for a configuration.
	wantInterval = 200 * time.Millisecond
)

func (g *Gateway) status() peer.Status {
	s := peer.Status{
		Node:              g.cfg.Node,
		Start:             g.cfg.Start,
		Zone:              g.cfg.Zone,
		CallerAddress:     g.cfg.CallerAddress,
		PeerAddress:       g.cfg.PeerAddress,
		Ready:             g.Ready(),
		ConfigVersion:     g.table.Version(),
		UpstreamsRevision: g.changed,
		StoreLost:         g.storeDown,
		Time:              g.trueTime(),
		Crashes:           g.suspects.tell(),
		Known:             g.someKnown(),
		Rollouts:          g.tellRollouts(),
	}
	if g.keeper.Claims(g.now) {
		s.LeaseToken = g.keeper.Token()
	}
	for id, p := range g.upstreams.Placements() {
		s.Placed = append(s.Placed, peer.UpstreamPlaced{Upstream: id, Running: p.Running, Prefill: p.Prefill, Memory: p.Memory})
	}
	for name, q := range g.quotas {
		s.Spent = append(s.Spent, peer.TeamSpent{Team: name, Units: q.spent})
	}
	for name, w := range g.work {
		s.Work = append(s.Work, peer.ServiceWork{Service: name, Engines: w.engines(g.now)})
	}
	last := g.usage.counter.Window(g.trueTime())
	for w, counts := range g.usage.counter.Latest(g.trueTime()) {
		if w > last-windowsTold {
			s.Usage = append(s.Usage, peer.UsageWindow{Window: w, Counts: counts})
		}
	}
	return s
}

// someKnown draws a few of the nodes that were heard lately.
func (g *Gateway) someKnown() []peer.KnownNode {
	var known []peer.KnownNode
	for _, m := range g.sortedMembers() {
		if g.heard(m) {
			known = append(known, peer.KnownNode{Node: m.node, PeerAddress: m.address})
		}
	}
	g.rng.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return known[:min(len(known), knownTold)]
}

func (g *Gateway) peerReceived(e PeerReceived) {
	switch m := e.Message.(type) {
	case peer.Status:
		g.statusReceived(m)
	case peer.UpstreamsDelta:
		g.deltaReceived(e.From, m)
	case peer.ConfigAsk:
		g.configAsked(e.From)
	}
}

func (g *Gateway) statusReceived(s peer.Status) {
	if s.Node == g.cfg.Node {
		return
	}
	m := g.meet(s.Node, s.PeerAddress)
	if s.Start < m.status.Start {
		return
	}
	wasReady := m.status.Ready
	g.takeSpent(m, s)
	if m.status.StoreLost && !s.StoreLost {
		m.storeBackAt = g.now
	}
	m.status = s
	m.heardAt = g.now
	if s.Ready != wasReady {
		g.log("member", "node readiness changed", "peer", s.Node, "ready", s.Ready)
	}
	g.upstreams.PeerPlaced(s.Node, placed(s))
	g.suspects.told(s.Node, s.Crashes)
	g.usage.told(s)
	g.toldRollouts(s)
	g.usage.hear(s.Node, s.Time.Sub(g.now))
	for _, k := range s.Known {
		if k.Node != g.cfg.Node && g.members[k.Node] == nil {
			g.meet(k.Node, k.PeerAddress)
		}
	}
	g.askConfig(m)
	g.askUpstreams(m)
}

// takeSpent takes out of the quotas what the peer has spent since its last
// status. A new process counts from zero.
func (g *Gateway) takeSpent(m *member, s peer.Status) {
	before := make(map[string]float64)
	if s.Start == m.status.Start {
		for _, spent := range m.status.Spent {
			before[spent.Team] = spent.Units
		}
	}
	for _, spent := range s.Spent {
		if units := spent.Units - before[spent.Team]; units != 0 {
			g.peerSpent(spent.Team, units)
		}
	}
}

func placed(s peer.Status) map[string]placement.Placed {
	list := make(map[string]placement.Placed, len(s.Placed))
	for _, p := range s.Placed {
		list[p.Upstream] = placement.Placed{Running: p.Running, Prefill: p.Prefill, Memory: p.Memory}
	}
	return list
}

// askConfig asks a peer for its configuration if that is newer.
func (g *Gateway) askConfig(m *member) {
	if m.status.ConfigVersion <= g.table.Version() || g.now.Before(g.wanted) {
		return
	}
	g.wanted = g.now.Add(wantInterval)
	g.log("config", "asking a peer", "peer", m.node, "version", m.status.ConfigVersion, "own", g.table.Version())
	g.emit(Send{Node: m.node, Address: m.address, Message: peer.ConfigAsk{}})
}

// askUpstreams lists the upstreams anew if the peer knows of a change that
// the store has not told this node.
func (g *Gateway) askUpstreams(m *member) {
	if m.status.UpstreamsRevision <= g.covered {
		return
	}
	if g.behindAt.IsZero() || g.now.Sub(g.behindAt) > 2*behindWait+g.interval() {
		g.behindAt = g.now
		return
	}
	if g.now.Sub(g.behindAt) < behindWait {
		return
	}
	g.behindAt = g.now
	g.log("upstream", "listing upstreams, a peer knows more", "peer", m.node,
		"revision", m.status.UpstreamsRevision, "own", g.covered)
	g.emit(ListUpstreams{})
}

func (g *Gateway) configAsked(from string) {
	m := g.members[from]
	if m == nil || g.table.Version() == 0 {
		return
	}
	g.emit(Send{Node: m.node, Address: m.address, Message: peer.ConfigPush{Version: g.table.Version(), Body: g.body}})
}
