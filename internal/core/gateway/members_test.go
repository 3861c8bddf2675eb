package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
)

// TestOvertakenStatusIsIgnored: bytes that a partition has held up on an old connection
// arrive after statuses on a new one. An older status set back what the peer had reported.
func TestOvertakenStatusIsIgnored(t *testing.T) {
	a, b := newBench(t, "a"), newBench(t, "b")
	for _, n := range []*bench{a, b} {
		n.ready(up("d1", "desk"))
	}
	a.receive(status("b"))
	var sent []peer.Status
	for range 2 {
		for _, e := range a.wait(time.Second) {
			send, _ := e.(Send)
			if s, ok := send.Message.(peer.Status); ok {
				sent = append(sent, s)
			}
		}
		a.receive(status("b"))
		a.reduce(Stop{})
	}
	b.receive(sent[len(sent)-1])
	b.Assert(b.g.CallerAddresses(64), qt.DeepEquals, []string{"b:1"})
	b.receive(sent[0])
	b.Assert(b.g.CallerAddresses(64), qt.DeepEquals, []string{"b:1"})
}

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
