package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/core/duty"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
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
	// knownTold is how many other nodes a status names.
	knownTold = 3
	// windowsTold is how many windows of usage a status tells.
	windowsTold = 2
	// silence is how many intervals without a status make a peer silent.
	silence = 4
	// farInterval is the time between two statuses to a silent peer.
	farInterval = time.Second
	// behindWait is how long a change that a peer knows of may take to arrive
	// here from the store.
	behindWait = 300 * time.Millisecond
	// readStep is the time between two readings of the store by any node.
	readStep = 600 * time.Millisecond
	// watchers is how many nodes watch the store; more than one, as it may be
	// cut off from some.
	watchers = 2
	// readLeast is the least time for which a node watches the store.
	readLeast = 300 * time.Millisecond
	// wantInterval is the least time between two requests for a configuration.
	wantInterval = 200 * time.Millisecond
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
func (g *Gateway) heard(m *member) bool {
	return !m.heardAt.IsZero() && g.now.Sub(m.heardAt) < silence*g.interval()
}

// heardCount counts this node and the members that it hears.
func (g *Gateway) heardCount() int {
	count := 1
	for _, m := range g.members {
		if g.heard(m) {
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
	var status peer.Status
	built := false
	for _, m := range g.sortedMembers() {
		if !urgent && !g.due(m) || !g.heard(m) && g.now.Sub(m.sentAt) < farInterval {
			continue
		}
		if !built {
			status, built = g.status(), true
		}
		m.sentAt = g.now.Add(-time.Duration(g.rng.Int64N(int64(g.interval() / statusSpread))))
		g.emit(Send{Node: m.node, Address: m.address, Message: status})
	}
	g.greetSeeds()
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
	for _, seed := range g.cfg.Seeds {
		if seed != g.cfg.PeerAddress {
			g.emit(Send{Address: seed, Message: g.status()})
		}
	}
}

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

// Turn says how a node is to read the store.
type Turn struct {
	// Wait is the time until the node reads the lists.
	Wait time.Duration
	// Watch says that the node watches the store until then.
	Watch bool
}

// Turn returns how this node reads the store. A few nodes watch it and tell
// the others. A watch may miss changes, so lists are read as well: the nodes
// that hear each other and have the store take turns, so that one of them
// reads in each readStep. Their order does not follow their zones, which fail
// together.
func (g *Gateway) Turn(now time.Time) Turn {
	heard, before := 1, 0
	own := xxhash.Sum64String(g.cfg.Node)
	for _, m := range g.members {
		if !g.heard(m) || m.status.StoreLost {
			continue
		}
		heard++
		if xxhash.Sum64String(m.node) < own {
			before++
		}
	}
	period := time.Duration(heard) * readStep
	turn := time.Duration(before) * readStep
	wait := (turn - time.Duration(now.UnixNano())%period + period) % period
	if wait < readLeast {
		wait += period
	}
	return Turn{Wait: wait, Watch: before < watchers}
}

func (g *Gateway) configAsked(from string) {
	m := g.members[from]
	if m == nil || g.table.Version() == 0 {
		return
	}
	g.emit(Send{Node: m.node, Address: m.address, Message: peer.ConfigPush{Version: g.table.Version(), Body: g.body}})
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

// leaseHolderHeard reports whether another node that was heard lately says
// that it holds the lease.
func (g *Gateway) leaseHolderHeard() bool {
	for _, m := range g.members {
		if g.heard(m) && m.status.LeaseToken > 0 && m.status.LeaseToken >= g.keeper.Token() {
			return true
		}
	}
	return false
}

// seekDelay returns how long this node leaves a lease that nobody seems to
// hold to the nodes that go before it, of which the first may not reach the
// store.
func (g *Gateway) seekDelay() time.Duration {
	before := 0
	for _, m := range g.members {
		if g.heard(m) && m.status.Ready && m.node < g.cfg.Node {
			before++
		}
	}
	return silence*statusInterval + min(time.Duration(before)*seekStep, seekLast)
}

func (g *Gateway) leaseStep(step duty.Step) {
	if step.Write == nil {
		g.emit(ReadLease{})
		return
	}
	g.emit(WriteLease{Lease: *step.Write, IfRevision: step.IfRevision})
}
