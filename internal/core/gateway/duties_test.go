package gateway

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/store"
)

// claimedToken returns the fencing token in the last status among the effects.
func claimedToken(effects []Effect) (token int64, sent bool) {
	for _, e := range effects {
		if send, ok := e.(Send); ok {
			if s, isStatus := send.Message.(peer.Status); isStatus {
				token, sent = s.LeaseToken, true
			}
		}
	}
	return token, sent
}

// TestHolderWithoutStoreStopsClaimingTheLease: a lease holder is cut off from
// the store for twelve seconds but not from its peers. If its statuses went on
// claiming the lease, no other node would acquire it and none would order
// upstreams.
func TestHolderWithoutStoreStopsClaimingTheLease(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.receive(status("b"))
	b.wait(3 * time.Second)
	b.reduce(LeaseRead{Result: leader.ResultMissing})
	lease := leader.Stored{Lease: leader.Lease{Holder: "a", ProcessStart: 1, FencingToken: 1}, Revision: store.Revision{Number: 1}}
	write := func(effects []Effect) bool { return has(WriteLease{}, effects) }
	for !write(b.wait(TickInterval)) {
		b.receive(status("b"))
	}
	b.reduce(LeaseWritten{Result: leader.ResultOK, Stored: lease})
	b.receive(status("b"))
	token, sent := claimedToken(b.wait(time.Second))
	b.Assert(sent && token == 1, qt.IsTrue)
	for !write(b.wait(TickInterval)) {
		b.receive(status("b"))
	}
	b.wait(time.Second)
	b.reduce(LeaseWritten{Result: leader.ResultUnknown})
	b.receive(status("b"))
	token, sent = claimedToken(b.wait(time.Second))
	b.Assert(sent, qt.IsTrue)
	b.Assert(token, qt.Equals, int64(0))
}

// TestUsageIsSentOnlyToItsReaders: usage counts make up over a quarter of a
// status, and among sixty nodes only the lease holder and its successors read
// them.
func TestUsageIsSentOnlyToItsReaders(t *testing.T) {
	b := newBench(t, "m")
	b.ready(up("d1", "desk"))
	nodes := []string{"a", "b", "c", "d", "x", "y"}
	readersWith := func(holder string) []string {
		var readers []string
		for _, node := range nodes {
			s := status(node)
			if node == holder {
				s.LeaseToken = 7
			}
			b.receive(s)
		}
		for _, e := range b.wait(time.Second) {
			send, ok := e.(Send)
			if !ok {
				continue
			}
			if s, isStatus := send.Message.(peer.Status); isStatus && len(s.Usage) > 0 && !slices.Contains(readers, send.Node) {
				readers = append(readers, send.Node)
			}
		}
		slices.Sort(readers)
		return readers
	}
	readersWith("x")
	_, effects := b.arrive("/book/1")
	b.reduce(Began{Conn: 1, Attempt: b.dispatch(effects).Attempt})
	b.Assert(readersWith("x"), qt.DeepEquals, []string{"a", "b", "c", "x"})
	b.Assert(readersWith(""), qt.DeepEquals, nodes)
}
