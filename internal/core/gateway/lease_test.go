package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/fleet"
	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/store"
)

// holdLease makes the node of a bench the lease holder, beside the ready peer b.
func (b *bench) holdLease() {
	b.ready(up("d1", "desk"))
	b.receive(status("b"))
	b.wait(3 * time.Second)
	b.reduce(LeaseRead{Result: leader.ResultMissing})
	b.waitFor(WriteLease{}, status("b"))
	b.reduce(LeaseWritten{Result: leader.ResultOK, Stored: heldLease("a")})
	b.receive(status("b"))
}

func heldLease(holder string) leader.Stored {
	return leader.Stored{
		Lease:    leader.Lease{Holder: holder, ProcessStart: 1, FencingToken: 1},
		Revision: store.Revision{Number: 1},
	}
}

// waitFor waits until an effect of a kind appears, while a peer's status arrives each tick.
func (b *bench) waitFor(kind Effect, s peer.Status) time.Duration {
	b.Helper()
	start := b.now
	for !has(kind, b.wait(TickInterval)) {
		b.receive(s)
		if b.now.Sub(start) > 20*time.Second {
			b.Fatalf("no %T", kind)
		}
	}
	return b.now.Sub(start)
}

// resignedToken returns the resigned token in the last status among the effects.
func resignedToken(effects []Effect) (token int64) {
	for _, e := range effects {
		if send, ok := e.(Send); ok {
			if s, isStatus := send.Message.(peer.Status); isStatus {
				token = s.ResignedToken
			}
		}
	}
	return token
}

// TestHolderWithoutStoreResigns: the store refuses the calls of the lease holder and answers its peers, while
// upstreams are reclaimed. The holder can't renew and nobody else may act before its term and
// the wait for it have passed, so that for seconds no upstream is ordered.
func TestHolderWithoutStoreResigns(t *testing.T) {
	b := newBench(t, "a")
	b.holdLease()
	b.reduce(StoreLost{})
	b.receive(status("b"))
	b.Assert(resignedToken(b.wait(resignAfter-TickInterval)), qt.Equals, int64(0))
	b.receive(status("b"))
	b.Assert(resignedToken(b.wait(3*TickInterval)), qt.Equals, int64(1))
	b.Assert(b.g.lease.Held(), qt.Equals, false)
}

// TestHolderResignsWhenItsCallsForTheLeaseFail: a holder that reads the lists seldom learns from its
// calls for the lease that the store refuses them.
func TestHolderResignsWhenItsCallsForTheLeaseFail(t *testing.T) {
	b := newBench(t, "a")
	b.holdLease()
	b.waitFor(WriteLease{}, status("b"))
	b.reduce(LeaseWritten{Result: leader.ResultRefused})
	b.receive(status("b"))
	b.wait(resignAfter + TickInterval)
	b.Assert(b.g.lease.Held(), qt.IsTrue, qt.Commentf("resigned after a single refusal"))
	b.reduce(LeaseRead{Result: leader.ResultUnknown})
	b.receive(status("b"))
	b.Assert(resignedToken(b.wait(3*TickInterval)), qt.Equals, int64(1))
}

// TestHolderKeepsTheLeaseWhenNobodyReachesTheStore: a resignation would only cost the time of a new
// election once the store is back.
func TestHolderKeepsTheLeaseWhenNobodyReachesTheStore(t *testing.T) {
	b := newBench(t, "a")
	b.holdLease()
	b.reduce(StoreLost{})
	lost := status("b")
	lost.StoreUnavailable = true
	b.receive(lost)
	b.Assert(resignedToken(b.wait(800*time.Millisecond)), qt.Equals, int64(0))
	b.Assert(b.g.lease.Held(), qt.Equals, true)
}

// TestHolderWithAnOpenCallDoesNotResign: an order without an answer may still take effect, after the
// first call of a successor.
func TestHolderWithAnOpenCallDoesNotResign(t *testing.T) {
	b := newBench(t, "a")
	b.holdLease()
	b.g.callFailedAt = b.now
	b.reduce(StoreLost{})
	b.receive(status("b"))
	b.wait(800 * time.Millisecond)
	b.Assert(b.g.lease.Held(), qt.Equals, true)
	b.reduce(FleetOrdered{Order: fleet.Order{Service: "model"}, Outcome: fleet.Unknown})
	b.Assert(b.g.callFailedAt, qt.Equals, b.now)
}

// TestSuccessorOfAResignedHolder: a peer takes the lease over within a second of the status that
// tells of the resignation.
func TestSuccessorOfAResignedHolder(t *testing.T) {
	b := newBench(t, "b")
	b.ready(up("d1", "desk"))
	holder := status("a")
	holder.LeaseToken, holder.LeaseRevision = 1, 1
	b.receive(holder)
	b.wait(time.Second)
	holder.LeaseToken, holder.LeaseRevision, holder.ResignedToken = 0, 0, 1
	b.receive(holder)
	took := b.waitFor(ReadLease{}, holder)
	b.reduce(LeaseRead{Result: leader.ResultOK, Stored: heldLease("a")})
	took += b.waitFor(WriteLease{}, holder)
	b.Assert(took < time.Second, qt.Equals, true)
}

// TestTakeoverKeepsTheOrderOfNodes: nodes that have never read the lease don't take it all at once.
func TestTakeoverKeepsTheOrderOfNodes(t *testing.T) {
	b := newBench(t, "n9")
	b.ready(up("d1", "desk"))
	for _, node := range []string{"n1", "n2", "n3"} {
		b.receive(status(node))
	}
	b.Assert(b.g.acquireDelay(), qt.Equals, silentIntervals*statusInterval+maxAcquireStagger)
}

// TestOnlyHoldersReportOrders: a node that passed on the orders it has heard of would make them look
// younger each time, and upstreams that never started would count as starting for long.
func TestOnlyHoldersReportOrders(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.receive(status("b"))
	b.Assert(b.g.status().Orders, qt.HasLen, 0)
	s := status("b")
	s.Orders = []peer.FleetOrder{{Service: "model", Zone: "z1", Count: -3, Age: -time.Hour}}
	b.receive(s)
	b.Assert(b.g.planners, qt.HasLen, 0)
}
