package gateway

import (
	"slices"
	"time"

	"monsoonlanding/internal/core/placement"
)

// leaveRetention is the time for which the announced leave of an upstream that is not
// listed is retained: its entry may return.
const leaveRetention = time.Minute

// leaves holds the processes of upstreams that have said that they leave, to this node or to
// a peer, with the time at which they were last listed.
type leaves map[uint64]time.Time

// leavesAnnounced records that processes of upstreams have said to a node that they leave. Their runs
// are moved once all of these leaves are known.
func (g *Gateway) leavesAnnounced(to string, processes ...uint64) {
	news := make(map[uint64]bool)
	for _, process := range processes {
		if _, known := g.leaves[process]; !known {
			g.leaves[process] = g.now
			news[process] = true
		}
	}
	if len(news) == 0 {
		return
	}
	var leaving []placement.Upstream
	for _, u := range g.upstreams.All() {
		if !news[processID(u)] {
			continue
		}
		g.log("upstream", "upstream says that it leaves", "upstream", u.ID, "node", to, "state", string(u.State))
		u = g.asLeaving(u)
		g.upstreams.Put(u)
		g.trackDraining(u)
		leaving = append(leaving, u)
	}
	for _, u := range leaving {
		g.moveRuns(u)
	}
}

// asLeaving returns the entry of an upstream, as draining if its process has said that it
// leaves: the store may list it as ready for longer, or for good.
func (g *Gateway) asLeaving(u placement.Upstream) placement.Upstream {
	process := processID(u)
	if _, announced := g.leaves[process]; announced {
		g.leaves[process] = g.now
		u.State = placement.StateDraining
	}
	return u
}

// announcedLeaves returns the listed processes that have said that they leave, for the
// peers.
func (g *Gateway) announcedLeaves() []uint64 {
	if len(g.leaves) == 0 {
		return nil
	}
	var list []uint64
	for _, u := range g.upstreams.All() {
		process := processID(u)
		if _, announced := g.leaves[process]; announced {
			list = append(list, process)
		}
	}
	return list
}

// pruneLeaves removes the leaves of upstreams that have not been listed for leaveRetention.
func (g *Gateway) pruneLeaves() {
	listed := g.announcedLeaves()
	for process, at := range g.leaves {
		if !slices.Contains(listed, process) && g.now.Sub(at) > leaveRetention {
			delete(g.leaves, process)
		}
	}
}
