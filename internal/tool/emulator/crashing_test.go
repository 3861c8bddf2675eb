package emulator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var crashingPlays = flag.Uint64("crashing.plays", 2, "number of plays of each row of requests that crash engines")

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
//	go test ./internal/tool/emulator -run Crashes -crashing.plays 50
func TestPromptPartThatCrashesEngines(t *testing.T) {
	for _, route := range []string{"check", "ask", "plan"} {
		for _, first := range []bool{false, true} {
			for _, sign := range []CrashSign{SignHead, SignNothing, SignEvent} {
				t.Run(fmt.Sprintf("%s/first=%t/%s", route, first, sign), func(t *testing.T) {
					c := qt.New(t)
					for seed := range *crashingPlays {
						p := crashingPattern(CrashingPart{Route: route, Rate: 1.5, First: first, Sign: sign})
						r := Run(DefaultSetup(seed+1), p)
						c.Check(r.Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed+1))
					}
				})
			}
		}
	}
}
