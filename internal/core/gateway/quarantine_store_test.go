package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/quarantine"
)

// writtenQuarantine returns the first WriteQuarantine among the effects.
func writtenQuarantine(effects []Effect) (WriteQuarantine, bool) {
	for _, e := range effects {
		if w, ok := e.(WriteQuarantine); ok {
			return w, true
		}
	}
	return WriteQuarantine{}, false
}

// TestQuarantineOutlastsAllNodes: what is quarantined is written to the store, once,
// and a node that starts when all others are gone refuses it as well.
func TestQuarantineOutlastsAllNodes(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	b.Assert(has(ReadQuarantine{}, b.wait(TickInterval)), qt.IsTrue)
	b.receiveReport("b", crashReport("p", 1, 2, 3))
	// Before the stored parts are known, they are not overwritten.
	b.Assert(has(WriteQuarantine{}, b.wait(time.Second)), qt.IsFalse)
	b.reduce(QuarantineRead{Done: true})
	written, ok := writtenQuarantine(b.wait(10 * time.Second))
	b.Assert(ok, qt.IsTrue)
	b.reduce(QuarantineWritten{Done: true})
	b.Assert(has(WriteQuarantine{}, b.wait(10*time.Second)), qt.IsFalse)

	started := newBench(t, "c")
	started.now = b.now.Add(30 * time.Second)
	started.ready(up("m1", "model"))
	started.reduce(QuarantineRead{Evidence: written.Evidence, At: written.At, Done: true})
	_, effects := started.send("/plan/1", "p")
	started.Assert(refusal(effects), qt.Equals, ReasonSuspect)
	started.Assert(has(WriteQuarantine{}, started.wait(time.Second)), qt.IsFalse)
}

// TestStoredQuarantineIsReadAgain: a node that can't reach the store when it starts
// reads the stored parts later.
func TestStoredQuarantineIsReadAgain(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	b.wait(TickInterval)
	b.reduce(QuarantineRead{})
	b.Assert(has(ReadQuarantine{}, b.wait(retryInterval-TickInterval)), qt.IsFalse)
	b.Assert(has(ReadQuarantine{}, b.wait(2*TickInterval)), qt.IsTrue)
}

// TestReleasedPartIsRemovedFromStore: when nothing is quarantined any more, the
// store has nothing either; a failed write is repeated.
func TestReleasedPartIsRemovedFromStore(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	b.wait(TickInterval)
	b.reduce(QuarantineRead{Evidence: crashReport("p", 1, 2, 3).Evidence, At: b.now, Done: true})
	b.Assert(b.g.quarantine.Quarantined(), qt.HasLen, 1)
	for range 20 {
		b.g.quarantine.RecordSound(b.now, quarantine.Traits([]string{"p"}, 5), false)
	}
	_, ok := writtenQuarantine(b.wait(TickInterval))
	b.Assert(ok, qt.IsTrue)
	b.reduce(QuarantineWritten{})
	written, ok := writtenQuarantine(b.wait(2 * retryInterval))
	b.Assert(ok, qt.IsTrue)
	b.Assert(written.Evidence, qt.HasLen, 0)
}
