package emulator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// crashingPattern has prompts of two shared parts, one of which crashes engines.
func crashingPattern(part CrashingPart) Pattern {
	kinds := typicalMix(1)
	for i, groups := range []int{1, 20, 40} {
		kinds[i].Groups = groups
	}
	part.From, part.To = 10*time.Second, 50*time.Second
	return Pattern{Name: "crashing part", Length: 55 * time.Second, Kinds: kinds, CrashingPart: &part}
}

// TestPromptPartThatCrashesEngines: requests of which no two are the same, but
// which share a prompt part, crashed engines without end (BUDGET), since nodes
// counted crashes by the whole content only. For more plays:
//
//	go test ./internal/tool/emulator -run Crashes -emulator.plays 50
func TestPromptPartThatCrashesEngines(t *testing.T) {
	for _, route := range []string{"check", "ask", "plan"} {
		for _, first := range []bool{false, true} {
			for _, sign := range []CrashSign{SignHead, SignNothing, SignEvent} {
				t.Run(fmt.Sprintf("%s/first=%t/%s", route, first, sign), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					for seed := range *plays {
						p := crashingPattern(CrashingPart{Route: route, Rate: 1.5, First: first, Sign: sign})
						r := Run(DefaultSetup(seed+1), p)
						c.Check(r.Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed+1))
					}
				})
			}
		}
	}
}

// TestCrashingPartAmidOtherTroubles: the part is found while nodes start again
// without state, while some are partitioned from the others, at a high rate, and by
// many nodes.
func TestCrashingPartAmidOtherTroubles(t *testing.T) {
	base := CrashingPart{Route: "check", Rate: 1.5, Sign: SignHead}
	for _, row := range []struct {
		name  string
		setup func(*Setup, *Pattern)
	}{
		{"restart before the crashes", func(_ *Setup, p *Pattern) { p.RestartAt = 9 * time.Second }},
		{"restart of all nodes amid the crashes", func(_ *Setup, p *Pattern) { p.RestartAt = 25 * time.Second }},
		{"restart of all nodes, seldom", func(_ *Setup, p *Pattern) { p.RestartAt, p.CrashingPart.Rate = 30*time.Second, 0.5 }},
		{"part that was sound before", func(_ *Setup, p *Pattern) { p.CrashingPart.Known = true }},
		{"often", func(_ *Setup, p *Pattern) { p.CrashingPart.Rate = 10 }},
		{"seldom", func(_ *Setup, p *Pattern) { p.CrashingPart.Rate = 0.4 }},
		{"partition", func(_ *Setup, p *Pattern) {
			p.PartitionedNodes, p.PartitionAt, p.PartitionDuration = 1, 9*time.Second, 5*time.Second
		}},
		{"resets", func(_ *Setup, p *Pattern) { p.ResetFraction = 0.1 }},
		{"24 nodes", func(s *Setup, p *Pattern) {
			s.Nodes, s.Engines = 24, 20
			for i := range p.Kinds {
				p.Kinds[i].Rate *= 2
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range *plays {
				part, setup := base, DefaultSetup(seed+1)
				p := crashingPattern(part)
				row.setup(&setup, &p)
				c.Check(Run(setup, p).Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed+1))
			}
		})
	}
}

// TestSoundRequestsAreNotSuspected: requests are not refused as suspect because
// engines are lost, connections reset or answers broken off.
func TestSoundRequestsAreNotSuspected(t *testing.T) {
	patterns := Patterns()
	for _, reset := range []float64{0.1, 0.5} {
		p := HotPrefix()
		p.Name, p.ResetFraction = fmt.Sprint("resets ", reset), reset
		patterns = append(patterns, p)
	}
	lost := HotPrefix()
	lost.Name, lost.CrashedEngines, lost.CrashAt = "engines lost", 5, 10*time.Second
	broken := Steady()
	broken.Name, broken.BrokenFraction = "broken answers", 0.5
	patterns = append(patterns, lost, broken)
	for _, p := range patterns {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range *plays {
				r := Run(DefaultSetup(seed+1), p)
				c.Check(r.WronglySuspected, qt.Equals, 0, qt.Commentf("seed %d", seed+1))
			}
		})
	}
}
