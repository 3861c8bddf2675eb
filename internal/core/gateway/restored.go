package gateway

import (
	"maps"
	"slices"
	"time"

	"monsoonlanding/internal/core/placement"
)

const (
	// relistLead is the time before the end of relistGrace at which the upstreams are listed
	// once more, so that none is forgotten whose entry has returned.
	relistLead = 200 * time.Millisecond
	// restoredEntryAge is the time after a restore of the store from which on its entries
	// are those of live upstreams: it removes an entry after three missed heartbeats.
	restoredEntryAge = 5 * time.Second
	// departedRetention is the time for which upstreams that are gone are remembered. Copies
	// of the store are some seconds old.
	departedRetention = time.Minute
)

// departures holds the processes of upstreams that are gone, with the time at which this was
// learned.
type departures map[uint64]time.Time

// storeGenerationRead processes the generation that the store's answers name, to this node or
// to a peer. If it has risen, the store was restored from a copy: what was written there
// since that copy is lost, and revisions are given out again.
func (g *Gateway) storeGenerationRead(generation int64) {
	if generation <= g.storeGeneration {
		return
	}
	before := g.storeGeneration
	g.storeGeneration = generation
	g.lease.HandleGeneration(g.now, generation)
	if !g.upstreamsRead && g.table.Version() == 0 {
		// Nothing is known of an earlier generation.
		return
	}
	g.log("store", "store was restored from a copy", "generation", generation, "before", before,
		"revision", g.knownRevision.Number, "config", g.table.Version(), "token", g.lease.FencingToken())
	g.storeRegainedAt = g.now
	g.relisted = false
	g.holdRestoredEntries()
	g.quarantineStore.lost = true
	for _, r := range g.rollouts {
		r.lost = r.lost || !r.order.Open()
	}
	g.emit(RegisterNode{})
	g.emit(ListFeed{Feed: FeedUpstreams})
	g.emit(ListFeed{Feed: FeedConfig})
	g.emit(ListFeed{Feed: FeedRollouts})
	if g.cfg.Evacuates {
		g.emit(ListFeed{Feed: FeedEvacuations})
	}
	g.scheduleBroadcast(0)
	g.sendDueStatuses()
}

// holdRestoredEntries begins the time in which the store's entries may be part of a copy,
// once for each generation.
func (g *Gateway) holdRestoredEntries() {
	if g.heldGeneration < g.storeGeneration {
		g.heldGeneration = g.storeGeneration
		g.restoredEntriesUntil = g.now.Add(restoredEntryAge)
	}
}

// isRestoredEntry reports whether an entry is older than what was known of its upstream
// before the store was restored: that of an earlier process, or of one that is gone.
func (g *Gateway) isRestoredEntry(u placement.Upstream) bool {
	if !g.now.Before(g.restoredEntriesUntil) {
		return false
	}
	if known, ok := g.upstreams.Get(u.ID); ok {
		return u.StartedAt.Before(known.StartedAt)
	}
	_, gone := g.departed[processID(u)]
	return gone
}

// departedProcesses returns the processes that are gone, for peers that have started since.
// They are told while the store's entries may be part of a copy.
func (g *Gateway) departedProcesses() []uint64 {
	if !g.now.Before(g.restoredEntriesUntil) {
		return nil
	}
	return slices.Sorted(maps.Keys(g.departed))
}

// departuresReported processes the departures that a peer reports because the store has been
// restored. This node may have started after that.
func (g *Gateway) departuresReported(from string, processes []uint64) {
	if len(processes) > 0 {
		g.holdRestoredEntries()
	}
	for _, process := range processes {
		if _, known := g.departed[process]; known {
			continue
		}
		g.departed[process] = g.now
		for _, u := range g.upstreams.All() {
			if processID(u) == process {
				g.deleteUpstream(u.ID, from)
			}
		}
	}
}

func (g *Gateway) pruneDeparted() {
	maps.DeleteFunc(g.departed, func(_ uint64, at time.Time) bool { return g.now.Sub(at) > departedRetention })
}

// relistAfterReturn lists the upstreams again before those that are missing are forgotten,
// and once the store's entries are no longer part of a copy.
func (g *Gateway) relistAfterReturn() {
	if len(g.missing) > 0 && !g.relisted && !g.storeDown && g.now.Sub(g.storeRegainedAt) >= relistGrace-relistLead {
		g.relisted = true
		g.emit(ListFeed{Feed: FeedUpstreams})
	}
	if !g.restoredEntriesUntil.IsZero() && !g.now.Before(g.restoredEntriesUntil) {
		g.restoredEntriesUntil = time.Time{}
		g.emit(ListFeed{Feed: FeedUpstreams})
	}
}
