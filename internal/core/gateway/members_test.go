package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
)

// TestStatusesAreSpread: a node among 64 sends at most a third of its statuses
// in one tick, because all of them at once occupy a small VM's link for a long
// time, and each peer still receives one in time.
func TestStatusesAreSpread(t *testing.T) {
	b := newBench(t, "self")
	b.ready(up("d1", "desk"))
	const peers = 63
	lastSent := make(map[string]time.Time)
	for step := range 100 {
		b.now = b.now.Add(TickInterval)
		for i := range peers {
			s := status(fmt.Sprint("n", i))
			b.receive(s)
		}
		sent := 0
		for _, e := range b.reduce(Tick{}) {
			send, ok := e.(Send)
			if _, isStatus := send.Message.(peer.Status); !ok || !isStatus {
				continue
			}
			sent++
			lastSent[send.Node] = b.now
		}
		if step < 50 {
			continue
		}
		b.Assert(sent <= peers/3, qt.IsTrue, qt.Commentf("%d statuses in one tick", sent))
		for i := range peers {
			age := b.now.Sub(lastSent[fmt.Sprint("n", i)])
			b.Assert(age < 2*b.g.interval(), qt.IsTrue, qt.Commentf("%v", age))
		}
	}
}
