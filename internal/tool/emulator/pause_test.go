package emulator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pausing lets upstreams ask for pauses in the middle of a run.
func pausing(p Pattern, upstreams ...string) Pattern {
	p.Pausing = &PausingUpstreams{Upstreams: upstreams, Pause: 3 * time.Second, From: 8 * time.Second, To: 20 * time.Second}
	return p
}

// TestPausesAmidEarlierTroubles: upstreams that had asked a node for a pause got requests from
// it as before (BUDGET), on days with troubles that earlier incidents were about.
func TestPausesAmidEarlierTroubles(t *testing.T) {
	engines := engineIDs(3)
	some := append([]string{"plain-0"}, engines...)
	for _, row := range []struct {
		name   string
		change func(*Setup, *Pattern)
	}{
		{"none", func(*Setup, *Pattern) {}},
		{"answers that break off", func(_ *Setup, p *Pattern) { p.BrokenFraction, p.ResetFraction = 0.1, 0.1 }},
		{"a part that crashes engines", func(_ *Setup, p *Pattern) {
			*p = pausing(crashingPattern(CrashingPart{Route: "check", Rate: 1.5, Sign: SignHead}), some...)
		}},
		{"limits", func(_ *Setup, p *Pattern) { p.Limits = limitedPattern(engineIDs(5)[1:], 2).Limits }},
		{"brittle plain services", func(_ *Setup, p *Pattern) { p.Brittle = brittlePattern(plainService, 4).Brittle }},
		{"brittle engines", func(_ *Setup, p *Pattern) { p.Brittle = brittlePattern(modelService, 4).Brittle }},
		{"paths that hang", func(_ *Setup, p *Pattern) { p.UpstreamCut = cutPattern(CutHangs, firstNodes(2)).UpstreamCut }},
		{"paths that are reset", func(_ *Setup, p *Pattern) { p.UpstreamCut = cutPattern(CutResets, firstNodes(2)).UpstreamCut }},
		{"paths without new connections", func(_ *Setup, p *Pattern) { p.UpstreamCut = cutPattern(CutRefusesNew, firstNodes(2)).UpstreamCut }},
		{"nodes that restart", func(_ *Setup, p *Pattern) { p.RestartAt = 12 * time.Second }},
		{"nodes that are cut off from each other", func(_ *Setup, p *Pattern) {
			p.PartitionedNodes, p.PartitionAt, p.PartitionDuration = 2, 10*time.Second, 5*time.Second
		}},
		{"engines that crash", func(_ *Setup, p *Pattern) { p.CrashedEngines, p.CrashAt = 2, 11*time.Second }},
		{"many nodes", func(s *Setup, _ *Pattern) { s.Nodes = 30 }},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range *plays {
				setup, p := DefaultSetup(seed+1), pausing(Steady(), some...)
				row.change(&setup, &p)
				c.Check(Run(setup, p).Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed+1))
			}
		})
	}
}
