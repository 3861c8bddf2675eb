package node

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStopDuringOutage stops a node whose results cannot be written to the
// ledger. It stays until its callers have their answers, and at most
// ledgerDrainTimeout longer for the ledger.
func TestStopDuringOutage(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 4, 4, Faults{})
	for i := range 20 {
		w.newCaller(fmt.Sprintf("b%d", i), fmt.Appendf(nil, "%d", i), true, 8*time.Second).sendTo(w.nodes[0])
	}
	w.run(40 * time.Millisecond)
	w.store.down = true
	w.deliver(w.nodes[0], Stop{})
	w.run(8*time.Second + ledgerDrainTimeout + time.Second)
	c.Assert(w.nodes[0].dead, qt.IsTrue, qt.Commentf("%+v", w.nodes[0].node.Usage()))
	w.store.down = false
	w.run(10 * time.Second)
	c.Assert(w.oracle.finalViolations(w, modeAny), qt.HasLen, 0)
}
