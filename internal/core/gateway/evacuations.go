package gateway

import (
	"slices"

	"monsoonlanding/internal/core/evacuation"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
)

// The operator evacuates an availability zone by an order in the store: nothing more is sent to
// the upstreams of that zone until the order is removed. Each node obeys what it or a peer has
// read. Only upstreams are evacuated: nodes in the zone go on serving callers.

// evacuationsListed processes the complete list of the evacuated zones.
func (g *Gateway) evacuationsListed(e EvacuationsListed) {
	if e.Revision.Generation < g.storeGeneration {
		// Read before the store was restored.
		g.evacuationsDropped = true
		g.relistEvacuations()
		return
	}
	g.evacuationsRead(g.evacuations.Listed(g.now, e.Revision, e.Zones), "list")
}

// relistEvacuations lists the evacuations again if a list was dropped before this node has processed
// any: it is not ready until then, and among many nodes its turn to list is far off.
func (g *Gateway) relistEvacuations() {
	if !g.evacuationsDropped || g.evacuationsKnown() || g.now.Before(g.evacuationsRelistAt) {
		return
	}
	g.evacuationsDropped = false
	g.evacuationsRelistAt = g.now.Add(readInterval)
	g.emit(ListFeed{Feed: FeedEvacuations})
}

// evacuationsChanged applies the changes of one read.
func (g *Gateway) evacuationsChanged(e EvacuationsChanged) {
	if e.Revision.Generation < g.storeGeneration {
		return
	}
	g.evacuationsRead(g.evacuations.Changed(g.now, e.Revision, e.Put, e.Removed), "watch")
}

// evacuationsRead applies changes that this node has read from the store, and sends them to the
// peers, few of which watch the store.
func (g *Gateway) evacuationsRead(changes []evacuation.Change, source string) {
	if len(changes) > 0 {
		g.applyEvacuations(changes, source)
		g.scheduleBroadcast(0)
		g.sendDueStatuses()
	}
}

// mergeEvacuations takes what a peer knows of the evacuated zones. A node that neither watches
// nor reaches the store learns of them in this way.
func (g *Gateway) mergeEvacuations(s peer.Status) {
	if changes := g.evacuations.Reported(g.now, s.StoreGeneration, s.Evacuations); len(changes) > 0 {
		g.applyEvacuations(changes, s.Node)
	}
}

// expireEvacuations returns the zones whose orders the store has lost long ago.
func (g *Gateway) expireEvacuations() {
	if changes := g.evacuations.Expire(g.now); len(changes) > 0 {
		g.applyEvacuations(changes, "expiry")
	}
}

// applyEvacuations applies changes to the upstreams and to the requests that wait for them.
// Running requests stay where they are: the operator asks that nothing more is sent, and a move
// would send the engine one more call.
func (g *Gateway) applyEvacuations(changes []evacuation.Change, source string) {
	for _, c := range changes {
		g.logEvacuation(c, source)
		if c.Ended {
			g.zoneReturnedAt = g.now
		}
	}
	g.upstreams.SetEvacuated(g.evacuations.Zones())
	evacuated := func(r *request) bool {
		return g.upstreams.Count(r.service) == 0 && g.upstreams.CountEvacuated(r.service) > 0
	}
	g.refuseWaiting(evacuated, ReasonEvacuated, noUpstreamRetryAfter)
	g.dispatchQueues()
}

func (g *Gateway) logEvacuation(c evacuation.Change, source string) {
	message := "availability zone is evacuated"
	switch {
	case c.Lost:
		message = "order of an evacuation is lost in the store, zone stays evacuated"
	case c.Ended:
		message = "evacuation of an availability zone has ended"
	}
	upstreams := 0
	for _, u := range g.upstreams.All() {
		if u.Zone == c.Zone {
			upstreams++
		}
	}
	g.log("evacuation", message, "zone", c.Zone, "source", source, "revision", c.Revision, "generation", c.Generation,
		"upstreams", upstreams)
}

// evacuationsKnown reports whether this node may send to upstreams: a process that starts knows
// of no evacuation before its first read.
func (g *Gateway) evacuationsKnown() bool { return !g.cfg.Evacuates || g.evacuations.Read() }

// isEvacuated reports whether an upstream is in an evacuated zone.
func (g *Gateway) isEvacuated(u placement.Upstream) bool { return g.upstreams.IsEvacuated(u.Zone) }

// refuseWithoutUpstream refuses a request to a service of which no upstream accepts requests.
func (g *Gateway) refuseWithoutUpstream(r *request) {
	reason := ReasonNoUpstream
	if g.upstreams.CountEvacuated(r.service) > 0 {
		reason = ReasonEvacuated
	}
	g.refuse(r, reason, g.retryAfter(noUpstreamRetryAfter))
}

// capacity returns the upstreams outside evacuated zones.
func (g *Gateway) capacity() []placement.Upstream {
	return slices.DeleteFunc(g.upstreams.All(), g.isEvacuated)
}
