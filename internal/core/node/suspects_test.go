package node

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/caller"
)

// TestBusyUpstreamCrashQuarantinesNothing makes one upstream crash with many
// requests and continue to crash for a while. There are then more suspects than
// upstreams to run them on separately, and none may be sent back to an upstream
// on which it failed.
func TestBusyUpstreamCrashQuarantinesNothing(t *testing.T) {
	for seed := range uint64(10) {
		c := qt.New(t)
		w := newWorld(seed, 5, 3, Faults{})
		for i := range 20 {
			w.newCaller(fmt.Sprintf("s%d", i), fmt.Appendf(nil, "%d", i), false, 15*time.Second).send()
		}
		w.run(30 * time.Millisecond)
		u := w.upstreams["plans-1"]
		u.crashing = true
		w.crash(u)
		w.after(500*time.Millisecond, func() { u.crashing = false })
		w.run(15 * time.Second)
		for _, f := range w.callers {
			_, done := f.final.(caller.Done)
			c.Assert(done, qt.IsTrue, qt.Commentf("seed %d: %s: %+v", seed, f.key, f.final))
		}
	}
}
