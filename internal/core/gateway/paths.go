package gateway

import (
	"maps"
	"time"

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

// recordConnect records what became of the connection of the request's current attempt.
func (g *Gateway) recordConnect(r *request, c Connect) {
	switch c {
	case ConnectReused:
		g.recordReached(r.process)
	case ConnectOpened:
		g.connectOpened(r.process)
	case ConnectFailed:
		g.connectFailed(r.upstream.ID)
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
	if len(p.failed) >= suspectAfter {
		g.probeUpstreams()
	}
	switch {
	case p.lost && !g.peerReaches():
		p.lost = false
		g.log("paths", "no peer reaches upstreams either")
	case !p.lost && g.pathsFail():
		g.pathsLost()
	}
}

// pathsLost turns to the other nodes, since this one reaches no upstream.
func (g *Gateway) pathsLost() {
	p := &g.paths
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
// reach enough of these, in more than one zone if the upstreams are in several. Evacuated zones
// get no probes and don't count.
func (g *Gateway) pathsFail() bool {
	var listed, failed, confirmed []placement.Upstream
	for _, u := range g.capacity() {
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

// prunePaths forgets when upstreams were reached long ago.
func (g *Gateway) prunePaths() {
	maps.DeleteFunc(g.paths.reached, func(_ uint64, at time.Time) bool { return g.now.Sub(at) > reachRetention })
}

// zoneCount returns the number of zones of upstreams.
func zoneCount(list []placement.Upstream) int {
	zones := make(map[string]bool)
	for _, u := range list {
		zones[u.Zone] = true
	}
	return len(zones)
}
