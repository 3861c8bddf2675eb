package gateway

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/duty"
	"monsoonlanding/internal/core/peer"
)

// toldToken returns the token of the lease that the latest status claims.
func toldToken(effects []Effect) (token int64, told bool) {
	for _, e := range effects {
		if send, ok := e.(Send); ok {
			if s, is := send.Message.(peer.Status); is {
				token, told = s.LeaseToken, true
			}
		}
	}
	return token, told
}

// TestHolderWithoutStoreLeavesTheLease replays a holder that is cut off from
// the store for twelve seconds but not from its peers: nobody ordered upstreams
// meanwhile, since its statuses went on to claim the lease.
func TestHolderWithoutStoreLeavesTheLease(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.hear(status("b"))
	b.wait(3 * time.Second)
	b.reduce(LeaseRead{Result: duty.ResultMissing})
	lease := duty.Stored{Lease: duty.Lease{Holder: "a", Start: 1, Token: 1}, Revision: 1}
	write := func(effects []Effect) bool { return has(WriteLease{}, effects) }
	for !write(b.wait(TickInterval)) {
		b.hear(status("b"))
	}
	b.reduce(LeaseWritten{Result: duty.ResultOK, Stored: lease})
	b.hear(status("b"))
	token, told := toldToken(b.wait(time.Second))
	b.Assert(told && token == 1, qt.IsTrue)
	for !write(b.wait(TickInterval)) {
		b.hear(status("b"))
	}
	b.wait(time.Second)
	b.reduce(LeaseWritten{Result: duty.ResultUnknown})
	b.hear(status("b"))
	token, told = toldToken(b.wait(time.Second))
	b.Assert(told, qt.IsTrue)
	b.Assert(token, qt.Equals, int64(0))
}

// TestUsageIsToldWhereItIsRead: counts of usage are over a quarter of a status, and among
// sixty nodes only the holder of the lease and its successors read them.
func TestUsageIsToldWhereItIsRead(t *testing.T) {
	b := newBench(t, "m")
	b.ready(up("d1", "desk"))
	nodes := []string{"a", "b", "c", "d", "x", "y"}
	told := func(holder string) []string {
		var readers []string
		for _, node := range nodes {
			s := status(node)
			if node == holder {
				s.LeaseToken = 7
			}
			b.hear(s)
		}
		for _, e := range b.wait(time.Second) {
			send, ok := e.(Send)
			if !ok {
				continue
			}
			if s, is := send.Message.(peer.Status); is && len(s.Usage) > 0 && !slices.Contains(readers, send.Node) {
				readers = append(readers, send.Node)
			}
		}
		slices.Sort(readers)
		return readers
	}
	told("x")
	_, effects := b.arrive("/book/1")
	b.reduce(Began{Conn: 1, Attempt: b.dispatch(effects).Attempt})
	b.Assert(told("x"), qt.DeepEquals, []string{"a", "b", "c", "x"})
	b.Assert(told(""), qt.DeepEquals, nodes)
}
