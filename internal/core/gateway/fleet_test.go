package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

// submitPrompts submits prompts at a rate for a time, with ticks.
func (b *bench) submitPrompts(perSecond int, d time.Duration) {
	every := time.Second / time.Duration(perSecond)
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(every)
		b.submit(Request{Path: "/plan/1", Key: "k", Prompt: placement.Prompt{InputTokens: 100, MaxOutputTokens: 20}})
		b.reduce(Tick{})
	}
}

// TestSurgeCountsForTheFleet: the demand trebles within a moment, and an upstream takes seconds to
// start. A mean over several seconds shows the surge when it is half over.
func TestSurgeCountsForTheFleet(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	b.submitPrompts(50, 20*time.Second)
	before, _ := b.g.totalWork("model")
	b.submitPrompts(150, time.Second)
	_, surge := b.g.totalWork("model")
	b.Assert(surge > 1.8*before, qt.IsTrue, qt.Commentf("%v after %v", surge, before))
	// A dip of a second doesn't end it.
	b.submitPrompts(50, time.Second)
	_, later := b.g.totalWork("model")
	b.Assert(later > 0.8*surge, qt.IsTrue, qt.Commentf("%v after %v", later, surge))
}

// TestChanceIsNoSurge: irregular arrivals around a steady demand order nothing.
func TestChanceIsNoSurge(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	b.submitPrompts(50, 20*time.Second)
	before, _ := b.g.totalWork("model")
	b.submitPrompts(70, time.Second)
	work, surge := b.g.totalWork("model")
	b.Assert(max(work, surge) < 1.1*before, qt.IsTrue, qt.Commentf("%v, %v after %v", work, surge, before))
}
