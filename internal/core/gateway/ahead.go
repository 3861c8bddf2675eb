package gateway

import (
	"maps"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/store"
)

// A node that has missed a change of the upstreams lists them anew and applies no later change
// until then. The store may turn the node away for long, so the leaves among the later changes
// are applied at once: an upstream that leaves gets no request, whatever the missed change says.

// aheadChange is the leave of an upstream that was applied ahead of a missed change.
type aheadChange struct {
	revision store.Revision
	// removed is set if the upstream's entry was removed. The upstream is kept as draining until
	// the missed change is known, since its entry may have been written again.
	removed bool
}

// isAhead reports whether a later change of an upstream than the one at a revision was applied.
func (g *Gateway) isAhead(id string, revision store.Revision) bool {
	a, ok := g.ahead[id]
	return ok && revision.Before(a.revision)
}

// forgetAhead forgets what was applied ahead of a list that has been read.
func (g *Gateway) forgetAhead(listed store.Revision) {
	maps.DeleteFunc(g.ahead, func(_ string, a aheadChange) bool { return a.revision.Compare(listed) <= 0 })
}

// applyLeaves applies the leaves among the changes of a peer, before which another change was
// missed.
func (g *Gateway) applyLeaves(from string, d peer.UpstreamsDelta) {
	c := &listChange{from: from, revision: d.At()}
	for _, u := range d.Put {
		if u.State != placement.StateDraining || g.isAhead(u.ID, d.At()) {
			continue
		}
		g.putUpstream(u, c)
		g.ahead[u.ID] = aheadChange{revision: d.At()}
	}
	for _, id := range d.Removed {
		g.withdraw(id, c)
	}
	g.moveLeavingRuns(c)
}

// withdraw takes an upstream out of service whose entry a change has removed.
func (g *Gateway) withdraw(id string, c *listChange) {
	u, known := g.upstreams.Get(id)
	if !known || g.isAhead(id, c.revision) {
		return
	}
	g.ahead[id] = aheadChange{revision: c.revision, removed: true}
	u.State = placement.StateDraining
	g.upstreams.Put(u)
	g.trackDraining(u)
	g.log("upstream", "upstream withdrawn", "upstream", id, "from", c.from, "revision", c.revision.Number)
}
