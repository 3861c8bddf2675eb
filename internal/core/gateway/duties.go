package gateway

import (
	"slices"
	"time"

	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/peer"
)

const (
	// usageSettle is the time after the end of a window for the counts of all
	// nodes to arrive.
	usageSettle = 1200 * time.Millisecond
	// retryInterval is the interval between two attempts to report usage or to
	// write the verdict of a rollout.
	retryInterval = time.Second
	// usageSuccessors is the number of nodes, the first in order of name, that
	// receive the usage in addition to the lease holder, because they are the
	// first to acquire the lease after it.
	usageSuccessors = 3
	// retainedWindows is the number of windows for which peers' counts are
	// kept.
	retainedWindows = 12
)

// usage holds the usage counts of all nodes.
type usage struct {
	counter *leader.Counter
	// peers holds counts by window and process.
	peers map[int64]map[process]map[string]int64
	// offsets holds, by node, the cluster time it reported less this node's
	// clock.
	offsets map[string]time.Duration
	sending bool
	retryAt time.Time
	// unheldSince is the time since which neither this node nor one in contact
	// holds the lease, zero if one does.
	unheldSince time.Time
}

type process struct {
	node  string
	start int64
}

func newUsage(window time.Duration) usage {
	return usage{
		counter: leader.NewCounter(window),
		peers:   make(map[int64]map[process]map[string]int64),
		offsets: make(map[string]time.Duration),
	}
}

// peerReported stores a peer's counts, replacing its earlier ones; they only
// grow.
func (u *usage) peerReported(s peer.Status) {
	for _, w := range s.Usage {
		byProcess := u.peers[w.Window]
		if byProcess == nil {
			byProcess = make(map[process]map[string]int64)
			u.peers[w.Window] = byProcess
			delete(u.peers, w.Window-retainedWindows)
		}
		byProcess[process{node: s.Node, start: s.Start}] = w.Counts
	}
}

func (u *usage) setOffset(node string, offset time.Duration) { u.offsets[node] = offset }

// sum adds up the counts of a window over all processes.
func (u *usage) sum(t time.Time, window int64) map[string]int64 {
	total := make(map[string]int64)
	for name, n := range u.counter.Latest(t)[window] {
		total[name] += n
	}
	for _, counts := range u.peers[window] {
		for name, n := range counts {
			total[name] += n
		}
	}
	return total
}

// clusterTime returns the median of the times that the nodes in contact
// report, or this node's clock if that is within a second of it. A running
// process does not follow jumps of the time of day, but one that starts during
// a jump has a wrong clock.
func (g *Gateway) clusterTime() time.Time {
	offsets := []time.Duration{0}
	for node, offset := range g.usage.offsets {
		if m := g.members[node]; m != nil && g.inContact(m) {
			offsets = append(offsets, offset)
		}
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if median.Abs() < time.Second {
		return g.now
	}
	return g.now.Add(median)
}

// performDuties acquires the lease and, while holding it, makes the calls that
// only one node may make.
func (g *Gateway) performDuties() {
	if g.table.Version() == 0 || g.stopping {
		return
	}
	g.acquireLease()
	if !g.lease.Held() {
		g.observeFleet()
		return
	}
	if g.resignsLease() {
		g.resignLease()
		return
	}
	g.reportUsage()
	g.orderFleet()
	g.removeSilentNodes()
}

// reportUsage writes the counts of a window into the lease and then reports
// them. A report that the previous lease holder wrote is sent unchanged.
func (g *Gateway) reportUsage() {
	if !g.cfg.Bounds.ReportsUsage || g.usage.sending || g.now.Before(g.usage.retryAt) {
		return
	}
	written := g.lease.Latest().Report
	if written != nil && !written.Accepted {
		g.sendReport(*written)
		return
	}
	window := g.nextWindow(written)
	if g.clusterTime().Before(g.usage.counter.End(window).Add(usageSettle)) {
		return
	}
	report := &leader.Report{Window: window, Counts: g.usage.sum(g.clusterTime(), window)}
	if call, ok := g.lease.Renew(g.now, report); ok {
		g.emitStoreCall(call)
	}
}

// nextWindow returns the window to report after the one written last. Windows
// more than two before the current one are skipped, because they are too old
// to be counted.
func (g *Gateway) nextWindow(written *leader.Report) int64 {
	current := g.usage.counter.Window(g.clusterTime())
	first := g.usage.counter.Window(g.started)
	next := max(first, current-2)
	if written != nil {
		next = max(written.Window+1, current-2)
	}
	return max(next, g.firstUnreportedWindow())
}

// firstUnreportedWindow returns the first window that no process can have reported without this
// node's knowledge. A report that the store has lost was written before the restore, and its
// window had ended then.
func (g *Gateway) firstUnreportedWindow() int64 {
	lostUntil := g.lease.ReportsLostUntil()
	if lostUntil.IsZero() {
		return 0
	}
	offset := g.clusterTime().Sub(g.now)
	return g.usage.counter.Window(lostUntil.Add(offset))
}

func (g *Gateway) sendReport(report leader.Report) {
	if !g.lease.MayCallPlatform(g.now) {
		if call, ok := g.lease.Renew(g.now, nil); ok {
			g.emitStoreCall(call)
		}
		return
	}
	g.usage.sending = true
	g.publishReport()
	g.emit(ReportUsage{Report: report, Token: g.lease.FencingToken()})
}

// publishReport sends a status with the report to its readers before the platform gets it: if
// the store loses the report and this node is gone, the next holder must not report the
// window with other counts.
func (g *Gateway) publishReport() {
	readers := g.usageReaders()
	var recipients []*member
	for _, m := range g.sortedMembers() {
		if g.inContact(m) && (readers == nil || readers[m.node]) {
			recipients = append(recipients, m)
		}
	}
	g.sendStatus(recipients)
}

func (g *Gateway) usageReported(e UsageReported) {
	g.usage.sending = false
	if !e.Accepted {
		g.callFailedAt = g.now
		g.usage.retryAt = g.now.Add(retryInterval)
		g.count(CountDuty, "usage_failed")
		return
	}
	g.count(CountDuty, "usage_reported")
	g.lease.RecordAccepted(e.Window)
}

// removeSilentNodes removes the entries of nodes that have been silent for
// nodeExpiry.
func (g *Gateway) removeSilentNodes() {
	for _, m := range g.sortedMembers() {
		last := m.lastContact
		if last.IsZero() {
			last = m.addedAt
		}
		if g.now.Sub(last) < nodeExpiry {
			continue
		}
		// This restarts the expiry, so that the removal is not emitted each tick.
		m.lastContact, m.addedAt = time.Time{}, g.now
		g.emit(RemoveNode{Node: m.node})
	}
}

// usageReaders returns the nodes that receive this node's usage: those that
// claim the lease and those that would acquire it first. It returns nil, which
// means all nodes, while no node claims the lease.
func (g *Gateway) usageReaders() map[string]bool {
	readers := make(map[string]bool)
	claimed := g.lease.Claims(g.now)
	first := 0
	for _, m := range g.sortedMembers() {
		if !g.inContact(m) {
			continue
		}
		claims := m.status.LeaseToken > 0
		claimed = claimed || claims
		if first < usageSuccessors || claims {
			readers[m.node] = true
			first++
		}
	}
	if !claimed {
		return nil
	}
	return readers
}

func (g *Gateway) emitStoreCall(call leader.StoreCall) {
	if call.Write == nil {
		g.emit(ReadLease{})
		return
	}
	g.emit(WriteLease{Lease: *call.Write, IfRevision: call.IfRevision})
}
