package gateway

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
)

var (
	playSeeds = flag.Uint64("play.seeds", 150, "number of random plays of one node's requests")
	playFirst = flag.Uint64("play.first", 1, "seed of the first of them")
)

// playEvents is the number of events of a play.
const playEvents = 2000

// TestConfigurationDispatchesNoRequestTwice: a configuration that came while requests waited put
// those into the queue again that it had just dispatched, so that unsafe requests ran twice.
func TestConfigurationDispatchesNoRequestTwice(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.receive(status("b"))
	full := status("b")
	full.Seq, full.Load = 1, []peer.UpstreamLoad{{Upstream: "d1", Running: 60}}
	b.receive(full)
	b.g.table.Teams()[0].Rate = 0
	dispatched := make(map[uint64]int)
	count := func(effects []Effect) {
		for _, e := range effects {
			if d, ok := e.(Dispatch); ok {
				dispatched[d.Conn]++
			}
		}
	}
	for range 30 {
		_, effects := b.arrive("/book/1")
		count(effects)
	}
	waiting := len(b.g.requests) - len(dispatched)
	b.Assert(waiting > 5, qt.IsTrue)
	// The peer's status frees capacity, which nothing dispatches before the configuration comes.
	free := status("b")
	free.Seq = 2
	b.receive(free)
	count(b.reduce(ConfigRead{Config: testConfig(2), Body: []byte("2"), Source: "store"}))
	for conn, n := range dispatched {
		b.Assert(n, qt.Equals, 1)
		b.Assert(b.g.requests[conn].phase, qt.Equals, phaseRunning)
	}
	count(b.wait(2 * time.Second))
	for _, n := range dispatched {
		b.Assert(n, qt.Equals, 1)
	}
}

// TestEachRequestHasOneAttemptOrOneEnd guards against requests that run beside themselves, are
// refused after a run, or never end: random plays of one node with configurations, moves, ends and
// callers that leave at any moment. Longer by hand:
//
//	go test ./internal/core/gateway -run OneAttempt -play.seeds 5000 -play.first 1000
func TestEachRequestHasOneAttemptOrOneEnd(t *testing.T) {
	for seed := *playFirst; seed < *playFirst+*playSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			qt.Assert(t, newRequestPlay(newBench(t, "a"), seed).play(playEvents), qt.HasLen, 0)
		})
	}
}
