package gateway

import (
	"time"

	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/store"
)

const (
	// statusKnownNodes bounds the number of other nodes that a status names.
	statusKnownNodes = 3
	// statusWindows is the number of usage windows that a status carries.
	statusWindows = 2
	// sampleIntervals is the number of status intervals for which a status carries a sample
	// of an upstream's capacity, so that one status may be lost.
	sampleIntervals = 2
	// syncGrace is the maximum time for a change that a peer reports to arrive
	// here from the store.
	syncGrace = 300 * time.Millisecond
)

func (g *Gateway) status() peer.Status {
	clusterTime := g.clusterTime()
	s := peer.Status{
		Node:              g.cfg.Node,
		Start:             g.cfg.Start,
		Seq:               g.nextStatusSeq(),
		Zone:              g.cfg.Zone,
		CallerAddress:     g.cfg.CallerAddress,
		PeerAddress:       g.cfg.PeerAddress,
		Ready:             g.Ready(),
		ConfigVersion:     g.table.Version(),
		UpstreamsRevision: g.ownRevision(g.changedRevision),
		StoreGeneration:   g.storeGeneration,
		StoreUnavailable:  g.storeDown,
		Time:              clusterTime,
		Quarantine:        g.quarantine.Report(g.now),
		KnownNodes:        g.sampleMembers(),
		Rollouts:          g.rolloutStatuses(),
		Leaving:           g.announcedLeaves(),
		Report:            usageReport(g.lease.LatestReport()),
		Departed:          g.departedProcesses(),
		TakesParts:        true,
		TakesRelays:       true,
		TakesForwards:     true,
		Unreachable:       g.unreachableNodes(),
		PathsLost:         g.paths.lost,
		Unreached:         g.unreached(),
		Reached:           g.reachedForPeers(),
		Reaches:           g.reaches(),
		Evacuations:       g.evacuations.Report(),
		Cold:              g.coldForPeers(),
	}
	if g.lease.Claims(g.now) {
		s.LeaseToken = g.lease.FencingToken()
		s.LeaseRevision = g.ownRevision(g.lease.Revision())
	}
	s.ResignedToken = g.lease.Resigned()
	if s.LeaseToken > 0 || s.ResignedToken > 0 && s.ResignedToken == g.lease.FencingToken() {
		s.Orders = g.acceptedOrders()
	}
	for id, p := range g.upstreams.OwnLoads() {
		s.Load = append(s.Load, peer.UpstreamLoad{Upstream: id, Running: p.Running, Prefill: p.Prefill, Memory: p.Memory})
	}
	s.Limits = g.upstreams.OwnLimits(g.now)
	s.Brittle = g.upstreams.OwnBrittle(g.now)
	s.Samples = g.upstreams.OwnSamples(g.now, g.interval()*sampleIntervals)
	for name, q := range g.quotas {
		s.QuotaSpent = append(s.QuotaSpent, g.teamQuotaSpent(name, q))
	}
	for name, w := range g.work {
		s.EngineLoad = append(s.EngineLoad, peer.ServiceEngineLoad{Service: name, Engines: w.average.PerSecond(g.now), Recent: w.recent.PerSecond(g.now)})
	}
	last := g.usage.counter.Window(clusterTime)
	for w, counts := range g.usage.counter.Latest(clusterTime) {
		if w > last-statusWindows {
			s.Usage = append(s.Usage, peer.UsageWindow{Window: w, Counts: counts})
		}
	}
	return s
}

// nextStatusSeq returns the sequence number of the next status.
func (g *Gateway) nextStatusSeq() uint64 {
	g.statusSeq++
	return g.statusSeq
}

// ownRevision returns the number of a revision, 0 if it is of an earlier generation than the
// one that the status names.
func (g *Gateway) ownRevision(r store.Revision) int64 {
	if r.Generation != g.storeGeneration {
		return 0
	}
	return r.Number
}

// sampleMembers returns a random sample of the nodes in contact.
func (g *Gateway) sampleMembers() []peer.KnownNode {
	var known []peer.KnownNode
	for _, m := range g.sortedMembers() {
		if g.inContact(m) {
			known = append(known, peer.KnownNode{Node: m.node, PeerAddress: m.address})
		}
	}
	g.rng.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return known[:min(len(known), statusKnownNodes)]
}

// usageReport returns the latest report for the peers: the next holder of the lease must know
// of it also if the store has lost it.
func usageReport(r *leader.Report) *peer.UsageReport {
	if r == nil {
		return nil
	}
	return &peer.UsageReport{Window: r.Window, Counts: r.Counts, Accepted: r.Accepted, Generation: r.Generation}
}

func (g *Gateway) peerReceived(e PeerReceived) {
	switch m := e.Message.(type) {
	case peer.Status:
		g.statusReceived(m)
	case peer.StatusForward:
		g.forwardReceived(m)
	case peer.UpstreamsDelta:
		g.deltaReceived(e.From, m)
	case peer.ConfigNotice:
		g.configAnnounced(e.From, m)
	case peer.ConfigRequest:
		g.configRequested(e.From, m)
	case peer.ConfigPart:
		g.configPart(e.From, m)
	case peer.ConfigBusy:
		g.configBusy(e.From)
	}
}

// statusReceived takes a peer's status. It reports whether it is the latest one.
func (g *Gateway) statusReceived(s peer.Status) (latest bool) {
	if s.Node == g.cfg.Node {
		return false
	}
	m := g.addMember(s.Node, s.PeerAddress)
	if s.Start < m.status.Start || s.Start == m.status.Start && s.Seq > 0 && s.Seq <= m.status.Seq {
		// A later one has overtaken it on another connection.
		return false
	}
	g.storeGenerationRead(s.StoreGeneration)
	wasReady := m.status.Ready
	g.deductPeerSpending(m, s)
	if m.status.StoreUnavailable && !s.StoreUnavailable {
		m.storeRegainedAt = g.now
	}
	if !g.inContact(m) {
		g.roster.invalidate()
	}
	m.status = s
	m.lastContact = g.now
	m.unreachable, m.reportedUnreachable = false, false
	g.confirmUpstreams(s)
	if s.Ready != wasReady {
		g.log("member", "node readiness changed", "peer", s.Node, "ready", s.Ready)
	}
	g.upstreams.SetPeerLoads(s.Node, upstreamLoads(s))
	g.upstreams.MergeLimits(g.now, s.Limits)
	g.upstreams.MergeBrittle(g.now, s.Brittle)
	g.upstreams.MergeSamples(g.now, s.Node, s.Start, s.Samples)
	g.mergeCold(s)
	g.departuresReported(s.Node, s.Departed)
	g.leavesAnnounced(s.Node, s.Leaving...)
	g.quarantine.Merge(g.now, s.Node, s.Quarantine)
	g.judge()
	g.usage.peerReported(s)
	g.noteLease(s)
	g.noteOrders(s)
	if s.Report != nil {
		g.lease.NoteReport(leader.Report{
			Window: s.Report.Window, Counts: s.Report.Counts, Accepted: s.Report.Accepted, Generation: s.Report.Generation,
		})
	}
	g.mergeRollouts(s)
	g.mergeEvacuations(s)
	g.usage.setOffset(s.Node, s.Time.Sub(g.now))
	for _, k := range s.KnownNodes {
		if k.Node != g.cfg.Node && g.members[k.Node] == nil {
			g.addMember(k.Node, k.PeerAddress)
		}
	}
	g.confirmFailures(s)
	g.probeForPeer(s)
	if m.configVersion() > g.table.Version() {
		g.fetchConfig()
	}
	g.relistIfBehind(m)
	g.resendChanges(m)
	for _, node := range s.Unreachable {
		if other := g.members[node]; other != nil {
			other.reportedUnreachable = true
		}
	}
	return true
}

func upstreamLoads(s peer.Status) map[string]placement.UpstreamLoad {
	loads := make(map[string]placement.UpstreamLoad, len(s.Load))
	for _, p := range s.Load {
		loads[p.Upstream] = placement.UpstreamLoad{Running: p.Running, Prefill: p.Prefill, Memory: p.Memory}
	}
	return loads
}

// relistIfBehind lists the upstreams again if the peer reports a change that
// this node has not received from the store within syncGrace.
func (g *Gateway) relistIfBehind(m *member) {
	if m.status.UpstreamsAt().Compare(g.knownRevision) <= 0 {
		return
	}
	// A behindSince that is older than this belongs to an earlier change.
	if g.behindSince.IsZero() || g.now.Sub(g.behindSince) > 2*syncGrace+g.interval() {
		g.behindSince = g.now
		return
	}
	if g.now.Sub(g.behindSince) < syncGrace {
		return
	}
	g.behindSince = g.now
	g.log("upstream", "listing upstreams, peer has a later revision", "peer", m.node,
		"revision", m.status.UpstreamsRevision, "own", g.knownRevision.Number)
	g.emit(ListFeed{Feed: FeedUpstreams})
}
