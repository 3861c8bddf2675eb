package gateway

import (
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/store"
)

// relistGrace is the duration after the store's return in which the entries of
// running upstreams may still be missing from its list.
const relistGrace = 2200 * time.Millisecond

// Sources of what is known of upstreams, for logs, beside the names of peers.
const (
	sourceStore = "store"
	// sourceOutage: the entry was still missing some time after an outage of the store.
	sourceOutage = "outage"
)

// listChange is a change of the list of upstreams while it is applied.
type listChange struct {
	// from is its source, for the log.
	from     string
	revision store.Revision
	// delta collects what peers are to be sent.
	delta peer.UpstreamsDelta
	// leaving collects the upstreams that drain.
	leaving []placement.Upstream
}

// newChange returns the change that a read of the store at a revision makes.
func (g *Gateway) newChange(revision store.Revision) *listChange {
	return &listChange{from: sourceStore, revision: revision, delta: g.newDelta(revision)}
}

// moveLeavingRuns moves the runs at the upstreams that a change lists as draining. It is called
// once the whole change has been applied: many upstreams may leave at once.
func (g *Gateway) moveLeavingRuns(c *listChange) {
	for _, u := range c.leaving {
		g.moveRuns(u)
	}
}

// upstreamsListed replaces the known upstreams by the complete list.
func (g *Gateway) upstreamsListed(e UpstreamsListed) {
	if g.isOvertaken(e.Revision) {
		return
	}
	if !g.upstreamsRead {
		g.changes.since = e.Revision
	}
	g.upstreamsRead = true
	g.upstreamsCurrentAt = g.now
	present := make(map[string]bool, len(e.List))
	c := g.newChange(e.Revision)
	for _, u := range e.List {
		present[u.ID] = true
		g.putUpstream(u, c)
	}
	for _, u := range g.upstreams.All() {
		if !present[u.ID] {
			g.removeUpstream(u.ID, c)
		}
	}
	g.forgetAhead(e.Revision)
	g.moveLeavingRuns(c)
	g.sendDelta(c.delta)
	g.logColdChanges(sourceStore)
	g.dispatchQueues()
}

// upstreamsChanged applies the changes of one read. They go to the peers in one
// message, since they share a revision.
func (g *Gateway) upstreamsChanged(e UpstreamsChanged) {
	if g.isOvertaken(e.Revision) {
		return
	}
	g.upstreamsCurrentAt = g.now
	c := g.newChange(e.Revision)
	for _, u := range e.Put {
		g.putUpstream(u, c)
	}
	for _, id := range e.Removed {
		g.removeUpstream(id, c)
	}
	g.moveLeavingRuns(c)
	g.sendDelta(c.delta)
	g.logColdChanges(sourceStore)
	g.dispatchQueues()
}

// isOvertaken reports whether a read of the upstreams is older than what is known of them:
// a peer may have sent a later change while the read was under way.
func (g *Gateway) isOvertaken(read store.Revision) bool {
	overtaken := read.Generation < g.storeGeneration || g.upstreamsRead && read.Before(g.knownRevision)
	if overtaken {
		g.log("upstream", "read of upstreams was overtaken", "revision", read.Number, "own", g.knownRevision.Number)
	}
	return overtaken
}

// newDelta returns an empty delta for a change at a revision of the store. The first one of
// a generation follows none: peers that don't know its revision list the upstreams.
func (g *Gateway) newDelta(revision store.Revision) peer.UpstreamsDelta {
	previous := revision.Number
	if g.changedRevision.Generation == revision.Generation {
		previous = g.changedRevision.Number
	}
	return peer.UpstreamsDelta{Revision: revision.Number, Previous: previous, Generation: revision.Generation}
}

// sendDelta sends changes read from the store to the peers, few of which watch
// the store.
func (g *Gateway) sendDelta(delta peer.UpstreamsDelta) {
	g.knownRevision = store.Latest(g.knownRevision, delta.At())
	if len(delta.Put) == 0 && len(delta.Removed) == 0 {
		return
	}
	g.changedRevision = store.Latest(g.changedRevision, delta.At())
	g.changes.record(g.now, delta)
	for _, m := range g.sortedMembers() {
		if g.inContact(m) && m.status.UpstreamsAt().Before(delta.At()) {
			g.emit(Send{Node: m.node, Address: m.address, Message: delta})
		}
	}
}

// deltaReceived applies changes that a peer has read from the store. If this
// node has missed an earlier change, the complete list is read instead.
func (g *Gateway) deltaReceived(from string, d peer.UpstreamsDelta) {
	g.storeGenerationRead(d.Generation)
	if d.At().Compare(g.knownRevision) <= 0 || !g.upstreamsRead {
		return
	}
	if d.Generation > g.knownRevision.Generation || d.Previous > g.knownRevision.Number {
		g.applyLeaves(from, d)
		g.count(CountChange, changeSkipped)
		g.log("upstream", "listing upstreams, an earlier change was missed", "peer", from, "revision", d.Revision,
			"previous", d.Previous, "own", g.knownRevision.Number, "put", len(d.Put), "removed", d.Removed, "store_down", g.storeDown)
		g.emit(ListFeed{Feed: FeedUpstreams})
		return
	}
	c := &listChange{from: from, revision: d.At()}
	for _, u := range d.Put {
		g.putUpstream(u, c)
	}
	for _, id := range d.Removed {
		if g.isAhead(id, d.At()) {
			continue
		}
		// Its sender has the store, so the entry has not just expired in an outage.
		g.deleteUpstream(id, from)
	}
	g.moveLeavingRuns(c)
	g.count(CountChange, changeApplied)
	g.upstreamsCurrentAt = g.now
	g.knownRevision = d.At()
	g.changedRevision = store.Latest(g.changedRevision, d.At())
	g.changes.record(g.now, d)
	g.logColdChanges(from)
	g.dispatchQueues()
}

// confirmUpstreams notes that the list of upstreams is current if a peer that reaches the store
// knows no later change.
func (g *Gateway) confirmUpstreams(s peer.Status) {
	if !s.StoreUnavailable && s.UpstreamsAt().Compare(g.knownRevision) <= 0 {
		g.upstreamsCurrentAt = g.now
	}
}

// putUpstream adds or replaces an upstream as part of a change.
func (g *Gateway) putUpstream(u placement.Upstream, c *listChange) {
	if g.isRestoredEntry(u) {
		g.log("upstream", "entry is older than its upstream", "upstream", u.ID, "revision", c.revision.Number)
		return
	}
	if g.isAhead(u.ID, c.revision) {
		return
	}
	returned := g.missing[u.ID]
	delete(g.missing, u.ID)
	delete(g.departed, processID(u))
	old, known := g.upstreams.Get(u.ID)
	ahead, isAhead := g.ahead[u.ID]
	delete(g.ahead, u.ID)
	u = g.asLeaving(u)
	if known && !ahead.removed && old.State == placement.StateDraining && old.StartedAt.Equal(u.StartedAt) {
		// A process that drains is never ready again.
		if u.State == placement.StateReady {
			// Peers that have started since may take the restored entry for true.
			g.leaves[processID(u)] = g.now
		}
		u.State, u.StopsAt = old.State, old.StopsAt
	}
	// What was applied ahead has not been passed on to the peers.
	changed := !known || returned || isAhead || old.State != u.State || !old.StartedAt.Equal(u.StartedAt) || old.Address != u.Address
	if changed {
		g.log("upstream", "upstream listed", "upstream", u.ID, "service", u.Service, "zone", u.Zone,
			"state", string(u.State), "from", c.from, "revision", c.revision.Number, "reclaimable", u.Reclaimable, "version", u.Version)
	}
	g.upstreams.Put(u)
	if g.recordEntryCold(u, old) || changed {
		c.delta.Put = append(c.delta.Put, u)
	}
	g.trackDraining(u)
	if u.State == placement.StateDraining {
		c.leaving = append(c.leaving, u)
	}
}

// removeUpstream removes an upstream that the store does not list, as part of a change. While
// the store is lost or has just come back, entries of running upstreams may be missing
// temporarily, so the upstream is only marked as missing.
func (g *Gateway) removeUpstream(id string, c *listChange) {
	if _, known := g.upstreams.Get(id); !known || g.isAhead(id, c.revision) {
		return
	}
	if g.ahead[id].removed {
		// A peer has read its removal from the store, too.
		c.delta.Removed = append(c.delta.Removed, id)
		g.deleteUpstream(id, c.from)
		return
	}
	if g.storeDown || g.now.Sub(g.storeRegainedAt) < relistGrace && !g.storeRegainedAt.IsZero() {
		if !g.missing[id] {
			g.count(CountChange, changeMissing)
			g.log("upstream", "upstream missing", "upstream", id, "from", c.from, "store_down", g.storeDown)
		}
		g.missing[id] = true
		g.upstreams.MarkUnlisted(id)
		return
	}
	c.delta.Removed = append(c.delta.Removed, id)
	g.deleteUpstream(id, c.from)
}

// deleteUpstream deletes all state of an upstream. from is the source of its removal, for the log.
func (g *Gateway) deleteUpstream(id, from string) {
	u, known := g.upstreams.Get(id)
	if !known {
		return
	}
	g.departed[processID(u)] = g.now
	delete(g.missing, id)
	delete(g.ahead, id)
	delete(g.drainingSince, id)
	delete(g.roster.sharers, id)
	g.upstreams.Remove(id)
	g.log("upstream", "upstream gone", "upstream", id, "from", from)
}

// removeMissing deletes the upstreams whose entries are still missing after
// relistGrace.
func (g *Gateway) removeMissing() {
	if g.storeDown || g.now.Sub(g.storeRegainedAt) < relistGrace {
		return
	}
	for id := range g.missing {
		g.deleteUpstream(id, sourceOutage)
	}
}
