package gateway

import "time"

// pruneInterval is the interval between two removals of expired state.
const pruneInterval = 5 * time.Second

func (g *Gateway) tick() {
	// A status is half an interval old on average.
	g.upstreams.SetPeerLoadAge(g.interval()/2 + TickInterval)
	g.relistAfterReturn()
	g.removeMissing()
	g.logColdChanges("time")
	g.judge()
	g.checkPaths()
	g.refuseOverdue()
	g.endOverdueRuns()
	g.continueAfterPauses()
	g.dispatchQueues()
	g.checkRollouts()
	g.chargeSilence()
	g.sendDueStatuses()
	g.fetchConfig()
	g.performDuties()
	g.syncQuarantine()
	g.checkDrained()
	g.logCapacities()
	g.relistEvacuations()
	if g.now.Before(g.pruneAt) {
		return
	}
	g.pruneAt = g.now.Add(pruneInterval)
	g.upstreams.Expire(g.now)
	g.quarantine.Prune(g.now)
	g.expireEvacuations()
	g.pruneLeaves()
	g.pruneDeparted()
	g.changes.prune(g.now)
	g.prunePaths()
}
