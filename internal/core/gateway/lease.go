package gateway

import (
	"time"

	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/store"
)

const (
	// acquireStagger is the delay, for each ready node before this one in order
	// of name, until this node acquires a lease that no node seems to hold.
	// maxAcquireStagger bounds the sum.
	acquireStagger    = time.Second
	maxAcquireStagger = 2 * time.Second
	// resignedStagger replaces acquireStagger for a lease that its holder has
	// resigned.
	resignedStagger = 300 * time.Millisecond
	// resignAfter is the time without an answer of the store after which a lease
	// holder resigns, if peers reach the store. It is short because nobody orders
	// upstreams meanwhile.
	resignAfter = 500 * time.Millisecond
	// minLeaseFailures is the number of calls for the lease in a row that the store
	// must have failed to answer: a single one may have been refused by chance.
	minLeaseFailures = 2
)

// acquireLease tries to acquire the lease once no node has seemed to hold it for acquireDelay, and
// to confirm a write without an answer at once.
func (g *Gateway) acquireLease() {
	if g.lease.Unconfirmed() {
		if call, ok := g.lease.Acquire(g.now); ok {
			g.emitStoreCall(call)
		}
		return
	}
	if g.lease.Held() || g.leaseHolderInContact() {
		g.usage.unheldSince = time.Time{}
		return
	}
	if g.usage.unheldSince.IsZero() {
		g.usage.unheldSince = g.now
	}
	if g.now.Sub(g.usage.unheldSince) < g.acquireDelay() {
		return
	}
	if call, ok := g.lease.Acquire(g.now); ok {
		g.emitStoreCall(call)
	}
}

// leaseRead processes the result of a read of the lease.
func (g *Gateway) leaseRead(e LeaseRead) {
	g.recordLeaseCall(e.Result)
	g.lease.HandleRead(g.now, e.Result, e.Stored)
}

// recordLeaseCall notes whether the store answers calls for the lease. Most nodes read the lists
// seldom, so a holder learns of an outage first from these calls.
func (g *Gateway) recordLeaseCall(result leader.Result) {
	switch result {
	case leader.ResultRefused, leader.ResultUnknown:
		if g.leaseFailures == 0 {
			g.leaseFailingSince = g.now
		}
		g.leaseFailures++
	case leader.ResultOK, leader.ResultConflict, leader.ResultMissing:
		g.leaseFailures = 0
	}
}

// storeLostFor returns the time for which the store has not served this node, 0 if it does.
func (g *Gateway) storeLostFor() time.Duration {
	var lost time.Duration
	if g.storeDown {
		lost = g.now.Sub(g.storeLostAt)
	}
	if g.leaseFailures >= minLeaseFailures {
		lost = max(lost, g.now.Sub(g.leaseFailingSince))
	}
	return lost
}

// leaseWritten processes the result of a write of the lease.
func (g *Gateway) leaseWritten(e LeaseWritten) {
	g.recordLeaseCall(e.Result)
	before := g.lease.Held()
	g.lease.HandleWritten(g.now, e.Result, e.Stored)
	if g.lease.Held() != before {
		g.log("lease", "lease changed", "held", g.lease.Held(), "token", g.lease.FencingToken(), "result", string(e.Result))
		g.count(CountDuty, "lease_changed")
		g.scheduleBroadcast(0)
	}
	if g.lease.Held() && !g.stopping {
		g.reportUsage()
	}
}

// noteLease notes what a peer's status says of the lease: a holder's revision bounds the end of
// its term, and a resigned token ends it.
func (g *Gateway) noteLease(s peer.Status) {
	if s.LeaseToken > 0 && s.LeaseRevision > 0 {
		g.lease.NoteRevision(g.now, store.Revision{Generation: s.StoreGeneration, Number: s.LeaseRevision})
	}
	g.lease.NoteResigned(s.ResignedToken)
}

// hasResigned reports whether the member has resigned the lease with a token, 0 if none is known.
func (m *member) hasResigned(token int64) bool {
	return m.status.ResignedToken > 0 && m.status.ResignedToken >= token
}

// resignsLease reports whether this node should give up the lease that it holds: the store does
// not serve this node, but peers reach it. A call to the platform that is open, or that had no
// answer lately, may still take effect, and a successor's calls must come after it.
func (g *Gateway) resignsLease() bool {
	if g.storeLostFor() < resignAfter {
		return false
	}
	if g.usage.sending || g.fleetOrderOpen() || g.now.Sub(g.callFailedAt) < g.cfg.Bounds.LeaseTerm {
		return false
	}
	since := g.now.Add(-g.storeLostFor())
	for _, m := range g.members {
		if g.inContact(m) && m.lastContact.After(since) && m.status.Ready && !m.status.StoreUnavailable {
			return true
		}
	}
	return false
}

// resignLease gives up the lease and reports it to the peers, so that one of them takes it over without
// waiting for the end of its term.
func (g *Gateway) resignLease() {
	if !g.lease.Resign(g.now) {
		return
	}
	g.log("lease", "lease resigned, peers reach the store", "token", g.lease.Resigned(),
		"store_lost_ms", g.storeLostFor().Milliseconds())
	g.count(CountDuty, "lease_resigned")
	g.scheduleBroadcast(0)
}

// leaseHolderInContact reports whether another node in contact claims the lease
// with a fencing token at least as high as the one known here.
func (g *Gateway) leaseHolderInContact() bool {
	for _, m := range g.members {
		if g.inContact(m) && m.status.LeaseToken > 0 && m.status.LeaseToken >= g.lease.FencingToken() {
			return true
		}
	}
	return false
}

// acquireDelay returns the delay until this node acquires a lease that no node
// seems to hold. It lets the ready nodes before this one in order of name
// acquire the lease first, and grows with their number, because the first of
// them may not reach the store. A lease that its holder has resigned needs no
// proof of the holder's silence.
func (g *Gateway) acquireDelay() time.Duration {
	before := 0
	for _, m := range g.members {
		if g.inContact(m) && m.status.Ready && m.node < g.cfg.Node && !m.hasResigned(g.lease.FencingToken()) {
			before++
		}
	}
	if g.lease.IsResigned() {
		return min(time.Duration(before)*resignedStagger, maxAcquireStagger)
	}
	return silentIntervals*statusInterval + min(time.Duration(before)*acquireStagger, maxAcquireStagger)
}
