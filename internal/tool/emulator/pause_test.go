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

// TestPausesUnderLoad: upstreams asked for pauses while callers pressed (BUDGET, second1). Where
// nothing takes requests, callers are refused within an eighth of their latency goal, from which
// on the users charge a refusal as late, and are told to come back when something does.
func TestPausesUnderLoad(t *testing.T) {
	press := func(at time.Duration, _ string) float64 {
		if at >= 7*time.Second && at < 12*time.Second {
			return 2
		}
		return 1
	}
	for _, row := range []struct {
		name   string
		change func(*Setup, *Pattern)
		// all is set if nothing takes requests.
		all bool
	}{
		{"a third of the engines", func(*Setup, *Pattern) {}, false},
		{"a third, long pauses", func(_ *Setup, p *Pattern) { p.Pausing.Pause = 8 * time.Second }, false},
		{"a third, short pauses", func(_ *Setup, p *Pattern) { p.Pausing.Pause = 700 * time.Millisecond }, false},
		{"a third, eager retries", func(_ *Setup, p *Pattern) { p.CallerRetries = 3 }, false},
		{"a third, callers at few nodes", func(_ *Setup, p *Pattern) { p.PickNode = Shift().PickNode }, false},
		{"all engines", func(_ *Setup, p *Pattern) { p.Pausing.Upstreams = engineIDs(12) }, true},
		{"all upstreams", func(_ *Setup, p *Pattern) {
			p.Pausing.Upstreams = append(engineIDs(12), "plain-0", "plain-1", "plain-2")
		}, true},
		{"all upstreams, one node", func(s *Setup, p *Pattern) {
			s.Nodes, p.Pausing.Upstreams = 1, append(engineIDs(12), "plain-0", "plain-1", "plain-2")
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range *plays {
				setup := DefaultSetup(seed + 1)
				setup.Engines = 12
				p := pausing(Steady(), engineIDs(4)...)
				p.RateFactor, p.Pausing.From, p.Pausing.To = press, 6*time.Second, 13*time.Second
				row.change(&setup, &p)
				r := Run(setup, p)
				comment := qt.Commentf("seed %d: refused after %.2f of the goal", seed+1, r.MaxRefusalDelayInPause)
				c.Check(r.Violations, qt.HasLen, 0, comment)
				if row.all {
					c.Check(r.MaxRefusalDelayInPause <= 0.125, qt.IsTrue, comment)
				}
			}
		})
	}
}
