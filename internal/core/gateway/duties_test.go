package gateway

import (
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
