package gateway

import (
	"maps"
	"slices"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
)

const (
	// suspectAfter is the number of upstreams to which connections fail in a row from which on
	// the node's own paths may be the cause, and others are probed.
	suspectAfter = 2
	// lostAfter is the number of upstreams, or all of them, to which connections must fail in
	// a row for the node's paths to count as lost. Peers must reach confirmedAfter of them.
	lostAfter      = 5
	confirmedAfter = 3
	// suspectDelay is the time for which upstreams are collected before peers are asked
	// whether they reach them.
	suspectDelay = 50 * time.Millisecond
	// probedUpstreams is the number of upstreams that are probed at a time.
	probedUpstreams = 3
	// maxUnreached bounds the upstreams that peers are asked for.
	maxUnreached = 8
	// probeInterval is the interval between probes while the paths are suspected or lost.
	probeInterval = 500 * time.Millisecond
	// reachRetention is the time for which an answer shows that a node reaches upstreams.
	reachRetention = 2 * time.Second
	// blameRetention is the time before the first failed connect in which failures of
	// upstreams count as caused by the lost paths: bytes on open connections stay
	// unacknowledged for so long before the connection fails.
	blameRetention = 2500 * time.Millisecond
)

// paths is what a node knows of its paths to the upstreams, by the connections that it opens.
// Connections that were open before say nothing: they may live on while new ones fail.
type paths struct {
	// failed holds the upstreams to which no connection could be opened since one could be
	// opened to any. The first of them failed at failingSince.
	failed       map[string]failedUpstream
	failingSince time.Time
	// reached holds when each process of an upstream has last answered or accepted a
	// connection, reachedAt the latest of these times.
	reached   map[uint64]time.Time
	reachedAt time.Time
	// lost is set while this node reaches no upstream and others do.
	lost    bool
	probeAt time.Time
	// blamed holds what this node has counted against upstreams recently.
	blamed []blame
}

// failedUpstream is an upstream to which no connection can be opened.
type failedUpstream struct {
	// at is when this was last found. confirmed is set if a peer has reached it after that.
	at        time.Time
	confirmed bool
}

// blame is a failure that counts against an upstream's process or against its version.
type blame struct {
	at      time.Time
	process uint64
	// withdraw takes back what was counted, nil if there is nothing to take back.
	withdraw func()
}

// recordConnect records what became of the connection of the request's current attempt.
func (g *Gateway) recordConnect(r *request, c Connect) {
	switch c {
	case ConnectReused:
		g.recordReached(r.process)
	case ConnectOpened:
		g.connectOpened(r.process)
	case ConnectFailed:
		g.connectFailed(r.upstream)
	}
}

func (g *Gateway) recordReached(process uint64) {
	g.paths.reachedAt = g.now
	g.paths.reached[process] = g.now
}

func (g *Gateway) connectOpened(process uint64) {
	p := &g.paths
	g.recordReached(process)
	clear(p.failed)
	if !p.lost {
		return
	}
	p.lost = false
	g.log("paths", "paths to upstreams are restored", "after_ms", g.now.Sub(p.failingSince).Milliseconds())
	g.scheduleBroadcast(0)
	g.dispatchQueues()
}

func (g *Gateway) connectFailed(upstream string) {
	p := &g.paths
	if len(p.failed) == 0 {
		p.failingSince = g.now
	}
	f, known := p.failed[upstream]
	f.at = g.now
	p.failed[upstream] = f
	if !known && len(p.failed) == suspectAfter {
		g.log("paths", "connections to upstreams fail in a row", "since_ms", g.now.Sub(p.failingSince).Milliseconds(),
			"listed", len(g.upstreams.All()))
	}
	if !known && len(p.failed) >= suspectAfter {
		// Peers tell whether they reach the upstream.
		g.scheduleBroadcast(suspectDelay)
	}
	g.checkPaths()
}

// checkPaths probes upstreams if the node's own paths may be lost, and decides whether they
// are. A few upstreams that fall silent for a second are not enough, nor are all of them if
// no peer reaches any.
func (g *Gateway) checkPaths() {
	p := &g.paths
	if len(p.failed) == 0 {
		return
	}
	if len(p.failed) >= suspectAfter || p.lost {
		g.probeUpstreams()
	}
	if p.lost {
		if !g.peerReaches() {
			// Nobody reaches an upstream: it is not this node's paths.
			p.lost = false
			g.log("paths", "no peer reaches upstreams either")
		}
		return
	}
	if !g.pathsFail() {
		return
	}
	p.lost = true
	g.log("paths", "paths to all upstreams are lost", "failed", len(p.failed),
		"listed", len(g.upstreams.All()), "since_ms", g.now.Sub(p.failingSince).Milliseconds())
	g.withdrawBlame(p.failingSince.Add(-blameRetention))
	g.emit(DropIdleConnections{})
	g.scheduleBroadcast(0)
	g.sendDueStatuses()
	g.dispatchQueues()
}

// pathsFail reports whether connections have failed in a row to enough upstreams, and peers
// reach enough of these, in more than one zone if the upstreams are in several.
func (g *Gateway) pathsFail() bool {
	var listed, failed, confirmed []placement.Upstream
	for _, u := range g.upstreams.All() {
		listed = append(listed, u)
		f, ok := g.paths.failed[u.ID]
		if ok {
			failed = append(failed, u)
		}
		if f.confirmed {
			confirmed = append(confirmed, u)
		}
	}
	return len(failed) >= min(lostAfter, len(listed)) && len(confirmed) >= min(confirmedAfter, len(listed)) &&
		zoneCount(confirmed) >= min(2, zoneCount(listed))
}

// confirmFailures notes which of the upstreams that this node does not reach a peer has reached
// since.
func (g *Gateway) confirmFailures(s peer.Status) {
	if len(g.paths.failed) == 0 || len(s.Reached) == 0 {
		return
	}
	for _, u := range g.upstreams.All() {
		f, failed := g.paths.failed[u.ID]
		i := slices.IndexFunc(s.Reached, func(r peer.ReachedUpstream) bool { return r.Process == processID(u) })
		if failed && i >= 0 && g.now.Add(-s.Reached[i].Age).After(f.at) {
			f.confirmed = true
			g.paths.failed[u.ID] = f
		}
	}
	g.checkPaths()
}

// unreached returns the processes that this node asks its peers for.
func (g *Gateway) unreached() []uint64 {
	if len(g.paths.failed) < suspectAfter {
		return nil
	}
	var list []uint64
	for _, u := range g.upstreams.All() {
		if _, failed := g.paths.failed[u.ID]; failed && len(list) < maxUnreached {
			list = append(list, processID(u))
		}
	}
	return list
}

// reachedForPeers returns those of the processes that peers ask for which have just answered
// this node.
func (g *Gateway) reachedForPeers() []peer.ReachedUpstream {
	asked := make(map[uint64]bool)
	for _, m := range g.members {
		if !g.inContact(m) {
			continue
		}
		for _, process := range m.status.Unreached {
			asked[process] = true
		}
	}
	var list []peer.ReachedUpstream
	for _, process := range slices.Sorted(maps.Keys(asked)) {
		if g.hasReached(process, reachRetention) {
			list = append(list, peer.ReachedUpstream{Process: process, Age: g.now.Sub(g.paths.reached[process])})
		}
	}
	return list
}

// hasReached reports whether a process has answered this node within a time.
func (g *Gateway) hasReached(process uint64, within time.Duration) bool {
	at, known := g.paths.reached[process]
	return known && g.now.Sub(at) < within
}

// probeForPeer probes the upstreams that a peer asks for and that have not answered this node
// since it may have asked. One of the nodes does so for each upstream.
func (g *Gateway) probeForPeer(s peer.Status) {
	if len(s.Unreached) == 0 || g.paths.lost || g.now.Before(g.paths.probeAt) {
		return
	}
	for _, u := range g.upstreams.All() {
		process := processID(u)
		if slices.Contains(s.Unreached, process) && !g.hasReached(process, probeInterval) && g.isFirstReaching(u.ID) {
			g.paths.probeAt = g.now.Add(probeInterval)
			g.emit(ProbeUpstream{Upstream: u})
		}
	}
}

// isFirstReaching reports whether this node is the first of those in contact that don't miss
// upstreams themselves to probe an upstream.
func (g *Gateway) isFirstReaching(upstream string) bool {
	before, _ := g.orderInContact(upstream, func(m *member) bool { return len(m.status.Unreached) == 0 })
	return before == 0
}

// peerReaches reports whether a peer reaches upstreams.
func (g *Gateway) peerReaches() bool {
	for _, m := range g.members {
		if g.inContact(m) && m.status.Reaches && !m.status.PathsLost {
			return true
		}
	}
	return false
}

// reaches reports whether an upstream has answered this node recently.
func (g *Gateway) reaches() bool {
	return !g.paths.reachedAt.IsZero() && g.now.Sub(g.paths.reachedAt) < reachRetention
}

// probeUpstreams opens connections to a few upstreams, those in other zones than the ones that
// have failed first.
func (g *Gateway) probeUpstreams() {
	p := &g.paths
	if g.now.Before(p.probeAt) {
		return
	}
	p.probeAt = g.now.Add(probeInterval)
	failedZones := make(map[string]bool)
	for id := range p.failed {
		if u, ok := g.upstreams.Get(id); ok {
			failedZones[u.Zone] = true
		}
	}
	list := g.upstreams.All()
	g.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	probes := make([]placement.Upstream, 0, probedUpstreams)
	for _, preferred := range []bool{true, false} {
		for _, u := range list {
			_, failed := p.failed[u.ID]
			fresh := !failed && !failedZones[u.Zone]
			if len(probes) < probedUpstreams && fresh == preferred {
				probes = append(probes, u)
				failedZones[u.Zone] = failedZones[u.Zone] || fresh
			}
		}
	}
	for _, u := range probes {
		g.emit(ProbeUpstream{Upstream: u})
	}
}

// upstreamProbed processes the result of a probe.
func (g *Gateway) upstreamProbed(e UpstreamProbed) {
	u, known := g.upstreams.Get(e.Upstream)
	switch {
	case !known:
	case e.Connected:
		g.connectOpened(processID(u))
	default:
		g.connectFailed(e.Upstream)
	}
}

// prunePaths forgets when upstreams were reached long ago.
func (g *Gateway) prunePaths() {
	maps.DeleteFunc(g.paths.reached, func(_ uint64, at time.Time) bool { return g.now.Sub(at) > reachRetention })
}

// blameProcess notes that a failure of an attempt has been counted. It is taken back if the
// node finds that its own paths are lost.
func (g *Gateway) blameProcess(process uint64, withdraw func()) {
	p := &g.paths
	kept := p.blamed[:0]
	for _, b := range p.blamed {
		if g.now.Sub(b.at) < 2*blameRetention {
			kept = append(kept, b)
		}
	}
	p.blamed = append(kept, blame{at: g.now, process: process, withdraw: withdraw})
}

// withdrawBlame takes back what has been counted against upstreams since a time.
func (g *Gateway) withdrawBlame(since time.Time) {
	g.upstreams.ForgetFailures(since)
	for _, b := range g.paths.blamed {
		if b.at.Before(since) {
			continue
		}
		g.quarantine.Refute(since, b.process)
		if b.withdraw != nil {
			b.withdraw()
		}
	}
	g.paths.blamed = nil
	for _, r := range g.requests {
		if evidence := g.evidence(r); evidence != nil && r.phase == phaseRunning && !r.began && r.counted == countedLate {
			evidence.Late--
			r.counted = notCounted
		}
	}
}

// zoneCount returns the number of zones of upstreams.
func zoneCount(list []placement.Upstream) int {
	zones := make(map[string]bool)
	for _, u := range list {
		zones[u.Zone] = true
	}
	return len(zones)
}
