package emulator

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

var learnedPlays = flag.Int("emulator.learned", 2, "plays of each row with upstreams of different speeds")

// minInTime is the part of the callers that have to be served in time, by the stated target.
const minInTime = 0.95

// TestLearnedCapacity: upstreams that differ in speed, or slow down before they are full, got as much
// work as the others, though those had room. With what nodes learn, 95 in 100 callers are served in
// time where the others have room for that, and nobody is served worse by more than one in a hundred.
func TestLearnedCapacity(t *testing.T) {
	plain := func(s *Setup) { s.Nodes, s.PlainUpstreams = 12, 4 }
	for _, row := range []struct {
		pattern Pattern
		change  func(*Setup)
	}{
		{Speeds(), func(*Setup) {}},
		{Steady(), func(*Setup) {}},
		{ThirdSpeed(), plain},
		{SlowBeforeFull(), plain},
	} {
		t.Run(row.pattern.Name, func(t *testing.T) {
			c := qt.New(t)
			inTime := make(map[placement.Learning]float64)
			for seed := range *learnedPlays {
				for _, learning := range []placement.Learning{placement.LearnOff, placement.LearnOn} {
					setup := DefaultSetup(uint64(seed + 1))
					row.change(&setup)
					setup.Learning = learning
					r := Run(setup, row.pattern)
					c.Assert(r.Violations, qt.HasLen, 0)
					total := r.Total()
					inTime[learning] += total.InTimeFraction() / float64(*learnedPlays)
					c.Logf("seed %d, %s: in time %.3f, refused %d; %s", seed+1, learning, total.InTimeFraction(), total.Refused, byKind(r))
				}
			}
			on, off := inTime[placement.LearnOn], inTime[placement.LearnOff]
			c.Assert(on >= off-0.01, qt.IsTrue, qt.Commentf("%.3f on, %.3f off", on, off))
			c.Assert(on >= minInTime, qt.IsTrue, qt.Commentf("%.3f on", on))
		})
	}
}

// TestLearningOffChangesNothing: deployments that don't ask for it are served as before.
func TestLearningOffChangesNothing(t *testing.T) {
	c := qt.New(t)
	p := Burst()
	p.Length = 15 * time.Second
	before := DefaultSetup(3)
	off, reported := before, before
	off.Learning, reported.Learning = placement.LearnOff, placement.LearnReported
	want := Run(before, p)
	c.Assert(Run(off, p), qt.DeepEquals, want)
	// None of the upstreams reports how long work takes there.
	c.Assert(Run(reported, p), qt.DeepEquals, want)
}

// byKind formats the part of the callers of each kind that were in time, and the latency of 99 in 100.
func byKind(r *Report) string {
	var b strings.Builder
	for _, kind := range []string{"plan", "ask", "check", "book"} {
		if r.Kinds[kind] == nil {
			continue
		}
		fmt.Fprintf(&b, "%s %.3f %dms; ", kind, r.Kinds[kind].InTimeFraction(), r.P99(kind).Milliseconds())
	}
	return b.String()
}
