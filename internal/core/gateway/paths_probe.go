package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
)

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
		if slices.Contains(s.Unreached, process) && !g.hasReached(process, probeInterval) && g.Admits(g.now, u) && g.isFirstReaching(u.ID) {
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

// probeUpstreams opens connections to a few upstreams, first to those that have not failed, in
// zones of which none has.
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
	rank := func(u placement.Upstream) int {
		switch _, failed := p.failed[u.ID]; {
		case failed:
			return 2
		case failedZones[u.Zone]:
			return 1
		default:
			return 0
		}
	}
	list := slices.DeleteFunc(g.upstreams.All(), func(u placement.Upstream) bool { return !g.Admits(g.now, u) })
	g.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b placement.Upstream) int { return cmp.Compare(rank(a), rank(b)) })
	for _, u := range list[:min(probedUpstreams, len(list))] {
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
