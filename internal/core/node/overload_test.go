package node

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/caller"
)

// TestOverloadAnswersAcceptedRequests sends more requests than the upstreams
// can run at once: every accepted request is answered, although upstreams
// reject some for lack of capacity.
func TestOverloadAnswersAcceptedRequests(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 4, 4, Faults{})
	for _, u := range w.upstreams {
		u.entry.Slots = 1
	}
	w.run(2 * time.Second)
	for i := range 200 {
		w.newCaller(fmt.Sprintf("o%d", i), fmt.Appendf(nil, "%d", i), i%4 == 0, 60*time.Second).send()
		w.run(5 * time.Millisecond)
	}
	w.run(30 * time.Second)
	for _, f := range w.callers {
		_, done := f.final.(caller.Done)
		c.Assert(done || !f.accepted, qt.IsTrue, qt.Commentf("%s: %+v", f.key, f.final))
	}
}
