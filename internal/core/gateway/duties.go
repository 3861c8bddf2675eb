package gateway

import (
	"slices"
	"time"

	"monsoonlanding/internal/core/duty"
	"monsoonlanding/internal/core/peer"
)

const (
	// usageSettle is waited after the end of a window for the counts of all
	// nodes.
	usageSettle = 1200 * time.Millisecond
	// usageRetry is the time between two reports of a window that was not
	// accepted.
	usageRetry = time.Second
	// seekStep is how long a node gives each node before it in order to take a
	// lease that nobody seems to hold, seekLast all of them.
	seekStep = time.Second
	seekLast = 2 * time.Second
	// successors is how many nodes, the first in order, are told the usage beside
	// the holder of the lease, as they seek it first.
	successors = 3
	// windowsHeard is how many windows of peers' counts are kept.
	windowsHeard = 12
)

// usage holds the counts of all nodes.
type usage struct {
	counter *duty.Counter
	// peers holds counts by window and process.
	peers map[int64]map[process]map[string]int64
	// offsets holds what peers take for the true time, less the node's clock.
	offsets  map[string]time.Duration
	sending  bool
	retryAt  time.Time
	unheldAt time.Time
}

type process struct {
	node  string
	start int64
}

func newUsage(window time.Duration) usage {
	return usage{
		counter: duty.NewCounter(window),
		peers:   make(map[int64]map[process]map[string]int64),
		offsets: make(map[string]time.Duration),
	}
}

// told keeps a peer's counts, which only grow.
func (u *usage) told(s peer.Status) {
	for _, w := range s.Usage {
		byProcess := u.peers[w.Window]
		if byProcess == nil {
			byProcess = make(map[process]map[string]int64)
			u.peers[w.Window] = byProcess
			delete(u.peers, w.Window-windowsHeard)
		}
		byProcess[process{node: s.Node, start: s.Start}] = w.Counts
	}
}

func (u *usage) hear(node string, offset time.Duration) { u.offsets[node] = offset }

// sum adds up the counts of a window.
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

// trueTime returns the node's idea of the true time: its clock does not
// follow jumps of the time of day, but may have started in one, so the median
// of all nodes is taken.
func (g *Gateway) trueTime() time.Time {
	offsets := []time.Duration{0}
	for node, offset := range g.usage.offsets {
		if m := g.members[node]; m != nil && g.heard(m) {
			offsets = append(offsets, offset)
		}
	}
	slices.Sort(offsets)
	middle := offsets[len(offsets)/2]
	if middle.Abs() < time.Second {
		return g.now
	}
	return g.now.Add(middle)
}

// attendDuties seeks the lease and, with it, makes the calls that only one
// node may make.
func (g *Gateway) attendDuties() {
	if g.table.Version() == 0 || g.stopping {
		return
	}
	g.seekLease()
	if !g.keeper.Held() {
		return
	}
	g.reportUsage()
	g.orderFleet()
	g.removeNodes()
}

func (g *Gateway) seekLease() {
	if g.keeper.InDoubt() {
		if step, ok := g.keeper.Seek(g.now); ok {
			g.leaseStep(step)
		}
		return
	}
	if g.keeper.Held() || g.leaseHolderHeard() {
		g.usage.unheldAt = time.Time{}
		return
	}
	if g.usage.unheldAt.IsZero() {
		g.usage.unheldAt = g.now
	}
	if g.now.Sub(g.usage.unheldAt) < g.seekDelay() {
		return
	}
	if step, ok := g.keeper.Seek(g.now); ok {
		g.leaseStep(step)
	}
}

func (g *Gateway) leaseWritten(e LeaseWritten) {
	before := g.keeper.Held()
	g.keeper.Written(g.now, e.Result, e.Stored)
	if g.keeper.Held() != before {
		g.log("lease", "lease changed", "held", g.keeper.Held(), "token", g.keeper.Token(), "result", string(e.Result))
		g.count(CountDuty, "lease_changed")
	}
	if g.keeper.Held() && !g.stopping {
		g.reportUsage()
	}
}

// reportUsage writes the counts of a window into the lease and then reports
// them. A report that the former holder wrote is sent again as it is.
func (g *Gateway) reportUsage() {
	if !g.cfg.Bounds.ReportsUsage || g.usage.sending || g.now.Before(g.usage.retryAt) {
		return
	}
	written := g.keeper.Known().Report
	if written != nil && !written.Sent {
		g.sendReport(*written)
		return
	}
	window := g.nextWindow(written)
	if g.trueTime().Before(g.usage.counter.End(window).Add(usageSettle)) {
		return
	}
	report := &duty.Report{Window: window, Counts: g.usage.sum(g.trueTime(), window)}
	if step, ok := g.keeper.Renew(g.now, report); ok {
		g.leaseStep(step)
	}
}

// nextWindow returns the window to report after the one written last. Windows
// too old to be counted are passed over.
func (g *Gateway) nextWindow(written *duty.Report) int64 {
	now := g.usage.counter.Window(g.trueTime())
	first := g.usage.counter.Window(g.started)
	next := max(first, now-2)
	if written != nil {
		next = max(written.Window+1, now-2)
	}
	return next
}

func (g *Gateway) sendReport(report duty.Report) {
	if !g.keeper.Holds(g.now) {
		if step, ok := g.keeper.Renew(g.now, nil); ok {
			g.leaseStep(step)
		}
		return
	}
	g.usage.sending = true
	g.emit(ReportUsage{Report: report, Token: g.keeper.Token()})
}

func (g *Gateway) usageReported(e UsageReported) {
	g.usage.sending = false
	if !e.Accepted {
		g.usage.retryAt = g.now.Add(usageRetry)
		g.count(CountDuty, "usage_failed")
		return
	}
	g.count(CountDuty, "usage_reported")
	g.keeper.Sent(e.Window)
}

// removeNodes removes the entries of nodes that have been silent for long.
func (g *Gateway) removeNodes() {
	for _, m := range g.sortedMembers() {
		last := m.heardAt
		if last.IsZero() {
			last = m.addedAt
		}
		if g.now.Sub(last) < forgetAfter {
			continue
		}
		m.heardAt, m.addedAt = time.Time{}, g.now
		g.emit(ForgetNode{Node: m.node})
	}
}

// leaseHolderHeard reports whether another node that was heard lately says
// that it holds the lease.
func (g *Gateway) leaseHolderHeard() bool {
	for _, m := range g.members {
		if g.heard(m) && m.status.LeaseToken > 0 && m.status.LeaseToken >= g.keeper.Token() {
			return true
		}
	}
	return false
}

// seekDelay returns how long this node leaves a lease that nobody seems to
// hold to the nodes that go before it, of which the first may not reach the
// store.
func (g *Gateway) seekDelay() time.Duration {
	before := 0
	for _, m := range g.members {
		if g.heard(m) && m.status.Ready && m.node < g.cfg.Node {
			before++
		}
	}
	return silence*statusInterval + min(time.Duration(before)*seekStep, seekLast)
}

// usageReaders returns the nodes that are told this node's usage: who claims the
// lease and who would seek it first. It returns nil, for all nodes, while
// nobody claims the lease.
func (g *Gateway) usageReaders() map[string]bool {
	readers := make(map[string]bool)
	claimed := g.keeper.Claims(g.now)
	first := 0
	for _, m := range g.sortedMembers() {
		if !g.heard(m) {
			continue
		}
		holds := m.status.LeaseToken > 0
		claimed = claimed || holds
		if first < successors || holds {
			readers[m.node] = true
			first++
		}
	}
	if !claimed {
		return nil
	}
	return readers
}

func (g *Gateway) leaseStep(step duty.Step) {
	if step.Write == nil {
		g.emit(ReadLease{})
		return
	}
	g.emit(WriteLease{Lease: *step.Write, IfRevision: step.IfRevision})
}
